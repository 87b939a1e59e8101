"""Line protocol between the proxy and its endpoints: commands encoded, responses parsed. No I/O here.

A command or a response is a line of words that ends in CR LF. Where its last word is a length, that many
bytes and another CR LF follow.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from olivepost.proxy.upstream.errors import LineProtocolError

MAX_LINE_SIZE = 1_024  # bytes, with CR LF; the protocol's own bound
MAX_LENGTH_DIGITS = 9  # of a body's length: no endpoint sends a body of a gigabyte
MAX_REPORTED_SIZE = 80  # bytes of a rejected line that an error carries
LINE_END = b"\r\n"
LIVENESS_STATUS = "PONG"  # of the response to a liveness check
NO_BODY = -1  # length of a response that has neither a body nor the CR LF behind one
IN_LINE = -1  # remaining bytes of a body while the parser reads a line

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
    body_length: int  # bytes; NO_BODY: neither a body nor its line end follows


class ResponseEnd:
    """Marks that a response is complete."""


RESPONSE_END = ResponseEnd()


def encode_command(
    verb: str, request_id: str, fields: dict[str, str] | None = None, body: bytes | None = None
) -> bytes:
    """Encode one command; without a body (None, not an empty one) it has no fields and no length."""
    if body is None:
        return f"{verb} {request_id}\r\n".encode("ascii")
    field_list = ",".join(f"{name}={value}" for name, value in (fields or {}).items()) or "-"
    return f"{verb} {request_id} {field_list} {len(body)}\r\n".encode("ascii") + body + LINE_END


def parse_fields(text: str) -> dict[str, str]:
    """Parse `name=value,name=value`, or `-` for no field; a name is neither empty nor repeated."""
    if text == "-":
        return {}
    fields: dict[str, str] = {}
    for item in text.split(","):
        name, separator, value = item.partition("=")
        if not separator or not name or name in fields:
            raise LineProtocolError("a field without a name of its own", item[:MAX_REPORTED_SIZE])
        fields[name] = value
    return fields


def parse_response_line(line: bytes, max_body_size: int) -> ResponseLine:
    """Parse a response's line, given without its line end; LineProtocolError where it is malformed."""
    if not PRINTABLE_ASCII.fullmatch(line):
        raise LineProtocolError("a line with bytes outside printable ASCII", line[:MAX_REPORTED_SIZE])
    words = line.decode("ascii").split(" ")
    if len(words) == 2 and words[1] == LIVENESS_STATUS:
        words += ["-", ""]
    if len(words) != 4 or not words[0] or not words[1]:
        raise LineProtocolError("a line that is not a response", line[:MAX_REPORTED_SIZE])
    request_id, status, field_list, length = words
    has_body = bool(length) or status != LIVENESS_STATUS
    body_length = _parse_body_length(length, max_body_size) if has_body else NO_BODY
    return ResponseLine(request_id, status, parse_fields(field_list), body_length)


def _parse_body_length(text: str, max_body_size: int) -> int:
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS
    if not is_number or int(text) > max_body_size:
        raise LineProtocolError(f"a body length outside 0 to {max_body_size}", text[:MAX_REPORTED_SIZE])
    return int(text)


class ResponseParser:
    """Parses what an endpoint sends, whatever the split of its bytes. One thread at a time may use it.

    After a LineProtocolError the stream can't be parsed further.
    """

    def __init__(self, max_body_size: int) -> None:
        self._max_body_size = max_body_size
        self._line = bytearray()
        self._remaining = IN_LINE  # bytes of a body and its CR LF that are still to come

    @property
    def is_between_responses(self) -> bool:
        """Whether no response has begun that is not complete."""
        return self._remaining < 0 and not self._line

    def feed(self, data: memoryview) -> Iterator[ResponseLine | memoryview | ResponseEnd]:
        """Yield a `ResponseLine`, pieces of its body (views of `data`), then `RESPONSE_END`, and so on."""
        while data:
            if self._remaining < 0:
                data, response_line = self._take_line(data)
                if response_line is None:
                    continue
                yield response_line
                if response_line.body_length < 0:
                    yield RESPONSE_END
                else:
                    self._remaining = response_line.body_length + len(LINE_END)
            elif self._remaining > len(LINE_END):
                piece = data[: self._remaining - len(LINE_END)]
                self._remaining -= len(piece)
                data = data[len(piece) :]
                yield piece
            else:
                self._take_line_end_byte(data[0])
                data = data[1:]
                if self._remaining < 0:
                    yield RESPONSE_END

    def _take_line(self, data: memoryview) -> tuple[memoryview, ResponseLine | None]:
        """Take up to a line's end; the rest of the data, and the line where it is complete."""
        end = bytes(data[:MAX_LINE_SIZE]).find(b"\n")
        piece = data[: end + 1] if end >= 0 else data
        if len(self._line) + len(piece) > MAX_LINE_SIZE:
            raise LineProtocolError(f"a line of more than {MAX_LINE_SIZE} bytes")
        self._line += piece
        if end < 0:
            return data[len(piece) :], None
        line = bytes(self._line)
        self._line.clear()
        if not line.endswith(LINE_END):
            raise LineProtocolError("a line that ends without CR", line[:MAX_REPORTED_SIZE])
        response_line = parse_response_line(line[: -len(LINE_END)], self._max_body_size)
        return data[len(piece) :], response_line

    def _take_line_end_byte(self, byte: int) -> None:
        """Take one byte of the CR LF behind a body."""
        if byte != LINE_END[-self._remaining]:
            raise LineProtocolError("no CR LF after a body", bytes((byte,)))
        self._remaining -= 1
        if not self._remaining:
            self._remaining = IN_LINE
