"""Parsing of field lines (RFC 9112, section 5)."""

from __future__ import annotations

import re

from olivepost.proxy.http1.messages import HttpError

_FIELD_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t -~\x80-\xff]*)")
_FOLDED_LINE_PREFIXES = (b" ", b"\t")  # RFC 9112, section 5.2
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")


def parse_headers(lines: list[bytes]) -> dict[str, tuple[str, ...]]:
    """Parses field lines; raises HttpError if a line is malformed.

    Returns the values of each field by the field's name in lower case. The values of a repeated field are in
    the order of its lines.
    """
    headers: dict[str, tuple[str, ...]] = {}
    repeated: dict[str, list[str]] = {}
    for line in lines:
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise HttpError(
                400, "malformed field line; expected a token, a colon and a value without control characters"
            )
        key = match[1].decode("ascii").lower()
        value = match[2].strip(b" \t").decode("latin-1")
        if key not in headers:
            headers[key] = (value,)
        else:
            repeated.setdefault(key, []).append(value)
    for key, values in repeated.items():
        headers[key] += tuple(values)
    return headers


def unfold_lines(lines: list[bytes]) -> list[bytes]:
    """Joins each field line with the lines that continue it (RFC 9112, section 5.2).

    A first line that continues nothing is returned unchanged, so that `parse_headers` does not accept it.
    """
    unfolded: list[bytes] = []
    for line in lines:
        if unfolded and line.startswith(_FOLDED_LINE_PREFIXES):
            unfolded[-1] += b" " + line.strip(b" \t")
        else:
            unfolded.append(line)
    return unfolded


def find_bare_line_feed(data: bytes | bytearray, start: int) -> int:
    """Returns the position of the first LF from `start` that follows no CR; returns -1 if there is none."""
    match = _BARE_LINE_FEED.search(data, start)
    return -1 if match is None else match.start()
