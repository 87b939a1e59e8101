"""Line protocol between the proxy and its endpoints: commands encoded, responses parsed. No I/O here.

A command or a response is a line of words that ends in CR LF. Where its last word is a length, that many
bytes and another CR LF follow.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from olivepost.proxy.upstream.errors import LineProtocolError

MAX_LINE_BYTES = 1_024  # with CR LF; the protocol's own bound
MAX_LENGTH_DIGITS = 9  # of a body's length: no endpoint sends a body of a gigabyte
MAX_REPORTED_BYTES = 80  # of a rejected line that an error carries
LINE_END = b"\r\n"
LIVENESS_STATUS = "PONG"  # of the response to a liveness check

PRINTABLE_ASCII = re.compile(rb"[ -~]*")
# What a field's value and an endpoint's id may hold: printable ASCII without what separates fields and words
# (space, `"`, `+`, `,`, `=`). Three other patterns come close to it, each with a reason of its own:
# - class names (olivepost.config) have no `/`, since they stand in a request's target as well;
# - idempotency keys (olivepost.proxy.downstream) have no `/` either, and 128 characters at most;
# - entity tags (olivepost.proxy.downstream) may hold `+`, which separates nothing in their field, stand
#   within double quotes and have 128 characters at most.
FIELD_VALUE = re.compile(r"[!#-*\-.-<>-~]{1,200}", re.ASCII)


@dataclass(slots=True)
class ResponseLine:
    """First line of a response."""

    request_id: str
    status: str  # HIT, VALID, NONE, SHED, FAULT, LATE or PONG; others are left to the caller
    fields: dict[str, str]
    body_length: int | None  # bytes; None: neither a body nor its line end follows


class TakenLine(NamedTuple):
    """The data behind what a line took, and the parsed line where it is complete."""

    rest: memoryview
    response_line: ResponseLine | None


class ResponseEnd:
    """Marks that a response is complete."""


RESPONSE_END = ResponseEnd()


def encode_command(
    verb: str, request_id: str, fields: dict[str, str] | None = None, body: bytes | None = None
) -> bytes:
    """Encodes one command; without a body (None, not an empty one) it has no fields and no length."""
    if body is None:
        return f"{verb} {request_id}\r\n".encode("ascii")
    field_list = ",".join(f"{name}={value}" for name, value in (fields or {}).items()) or "-"
    return f"{verb} {request_id} {field_list} {len(body)}\r\n".encode("ascii") + body + LINE_END


def parse_fields(text: str) -> dict[str, str]:
    """Parses `name=value,name=value`, or `-` for no field; a name is neither empty nor repeated."""
    if text == "-":
        return {}
    fields: dict[str, str] = {}
    for item in text.split(","):
        name, separator, value = item.partition("=")
        if not separator or not name or name in fields:
            raise LineProtocolError("a field without a name of its own", item[:MAX_REPORTED_BYTES])
        fields[name] = value
    return fields


def parse_response_line(line: bytes, max_body_size: int) -> ResponseLine:
    """Parses a response's line, without its line end; raises LineProtocolError where it is malformed."""
    if not PRINTABLE_ASCII.fullmatch(line):
        raise LineProtocolError("a line with bytes outside printable ASCII", line[:MAX_REPORTED_BYTES])
    words = line.decode("ascii").split(" ")
    if len(words) == 2 and words[1] == LIVENESS_STATUS:
        words += ["-", ""]
    if len(words) != 4 or not words[0] or not words[1]:
        raise LineProtocolError("a line that is not a response", line[:MAX_REPORTED_BYTES])
    request_id, status, field_list, length = words
    has_body = bool(length) or status != LIVENESS_STATUS
    body_length = _parse_body_length(length, max_body_size) if has_body else None
    return ResponseLine(request_id, status, parse_fields(field_list), body_length)


def _parse_body_length(text: str, max_body_size: int) -> int:
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS
    if not is_number or int(text) > max_body_size:
        raise LineProtocolError(f"a body length outside 0 to {max_body_size}", text[:MAX_REPORTED_BYTES])
    return int(text)


class ResponseParser:
    """Parses what an endpoint sends, whatever the split of its bytes. One thread at a time may use it.

    After a LineProtocolError the stream can't be parsed further.
    """

    def __init__(self, max_body_size: int) -> None:
        self._max_body_size = max_body_size
        self._line = bytearray()
        # Bytes of a body and its CR LF that are still to come; None while a line is read.
        self._remaining: int | None = None

    @property
    def is_between_responses(self) -> bool:
        """Whether no response has begun that is not complete."""
        return self._remaining is None and not self._line

    def feed(self, data: memoryview) -> Iterator[ResponseLine | memoryview | ResponseEnd]:
        """Yields a `ResponseLine`, chunks of its body (views of `data`), then `RESPONSE_END`, and so on."""
        while data:
            if self._remaining is None:
                taken = self._take_line(data)
                data = taken.rest
                response_line = taken.response_line
                if response_line is None:
                    continue
                yield response_line
                if response_line.body_length is None:
                    yield RESPONSE_END
                else:
                    self._remaining = response_line.body_length + len(LINE_END)
            elif self._remaining > len(LINE_END):
                chunk = data[: self._remaining - len(LINE_END)]
                self._remaining -= len(chunk)
                data = data[len(chunk) :]
                yield chunk
            else:
                self._remaining = take_line_end_byte(data[0], self._remaining)
                data = data[1:]
                if self._remaining is None:
                    yield RESPONSE_END

    def _take_line(self, data: memoryview) -> TakenLine:
        """Takes the data up to a line's end."""
        end = bytes(data[:MAX_LINE_BYTES]).find(b"\n")
        chunk = data[: end + 1] if end >= 0 else data
        if len(self._line) + len(chunk) > MAX_LINE_BYTES:
            raise LineProtocolError(f"a line of more than {MAX_LINE_BYTES} bytes")
        self._line += chunk
        rest = data[len(chunk) :]
        if end < 0:
            return TakenLine(rest, None)
        line = bytes(self._line)
        self._line.clear()
        if not line.endswith(LINE_END):
            raise LineProtocolError("a line that ends without CR", line[:MAX_REPORTED_BYTES])
        response_line = parse_response_line(line[: -len(LINE_END)], self._max_body_size)
        return TakenLine(rest, response_line)


def take_line_end_byte(byte: int, remaining: int) -> int | None:
    """Checks one byte of the CR LF behind a body; returns how many remain, None after the last one."""
    if byte != LINE_END[-remaining]:
        raise LineProtocolError("no CR LF after a body", bytes((byte,)))
    if remaining == 1:
        return None
    return remaining - 1
