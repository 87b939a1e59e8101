"""The lines that fronts and members speak: commands written, answers parsed. No I/O here.

A command or an answer is a line of words that ends in CR LF. Where its last word is a length, so many
bytes and CR LF follow.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

MAX_LINE_SIZE = 1_024
PLAIN = re.compile(rb"[ -~]*")


class LineProtocolError(Exception):
    """Bytes that no member of the published protocol sends; the link can't be used further."""


@dataclass(slots=True)
class ResponseLine:
    """The line of an answer."""

    id: str
    word: str
    fields: dict[str, str]
    length: int


class ResponseEnd:
    """An answer is whole."""


RESPONSE_END = ResponseEnd()


def encode_command(
    name: str, id_: str, fields: dict[str, str] | None = None, body: bytes | None = None
) -> bytes:
    """One command as it goes on the wire."""
    if body is None:
        return f"{name} {id_}\r\n".encode("ascii")
    listed = ",".join(f"{key}={value}" for key, value in (fields or {}).items()) or "-"
    return f"{name} {id_} {listed} {len(body)}\r\n".encode("ascii") + body + b"\r\n"


def parse_fields(text: str) -> dict[str, str]:
    """FIELDS: `name=value,name=value`, or `-` for none."""
    if text == "-":
        return {}
    fields: dict[str, str] = {}
    for item in text.split(","):
        name, sign, value = item.partition("=")
        if not sign or not name or name in fields:
            raise LineProtocolError(f"odd field: {item[:80]!r}")
        fields[name] = value
    return fields


def parse_response_line(line: bytes, longest_body: int) -> ResponseLine:
    """One answer's line, without its line end."""
    if not PLAIN.fullmatch(line):
        raise LineProtocolError("a line with bytes that are not plain ASCII")
    words = line.decode("ascii").split(" ")
    if len(words) == 2 and words[1] == "PONG":
        words += ["-", ""]
    if len(words) != 4 or not words[0] or not words[1]:
        raise LineProtocolError(f"a line that is no answer: {line[:80]!r}")
    length = -1 if words[3] == "" and words[1] == "PONG" else _read_length(words[3], longest_body)
    return ResponseLine(words[0], words[1], parse_fields(words[2]), length)


def _read_length(word: str, most: int) -> int:
    if not (word.isascii() and word.isdigit()) or len(word) > 9 or int(word) > most:
        raise LineProtocolError(f"a length that can't be: {word[:80]!r}")
    return int(word)


class ResponseParser:
    """Parses what a member sends, whatever the split of its bytes.

    `feed` gives a `ResponseLine`, then pieces of the body (views of what was fed), then `RESPONSE_END`.
    """

    def __init__(self, longest_body: int) -> None:
        self._longest, self._line = longest_body, bytearray()
        self._left = -1  # bytes of a body and its CR LF that are still to come; -1: in a line

    @property
    def between(self) -> bool:
        """Whether no answer has begun that is not whole."""
        return self._left < 0 and not self._line

    def feed(self, data: memoryview) -> Iterator[ResponseLine | memoryview | ResponseEnd]:
        while data:
            if self._left < 0:
                data, head = self._take_line(data)
                if head is None:
                    continue
                yield head
                if head.length < 0:
                    yield RESPONSE_END
                else:
                    self._left = head.length + 2
            elif self._left > 2:
                piece = data[: self._left - 2]
                self._left -= len(piece)
                data = data[len(piece) :]
                yield piece
            else:
                if data[0] != b"\r\n"[2 - self._left]:
                    raise LineProtocolError("no line end after a body")
                self._left -= 1
                data = data[1:]
                if not self._left:
                    self._left = -1
                    yield RESPONSE_END

    def _take_line(self, data: memoryview) -> tuple[memoryview, ResponseLine | None]:
        end = bytes(data[:MAX_LINE_SIZE]).find(b"\n")
        piece = data[: end + 1] if end >= 0 else data
        if len(self._line) + len(piece) > MAX_LINE_SIZE:
            raise LineProtocolError("a line without an end")
        self._line += piece
        if end < 0:
            return data[len(piece) :], None
        line = bytes(self._line)
        self._line.clear()
        if not line.endswith(b"\r\n"):
            raise LineProtocolError("a line that ends without CR")
        return data[len(piece) :], parse_response_line(line[:-2], self._longest)
