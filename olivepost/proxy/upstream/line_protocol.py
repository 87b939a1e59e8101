"""Line protocol between the proxy and its endpoints: commands encoded, responses parsed. No I/O here.

A command or a response is a line of words that ends in CR LF. Where its last word is a length, that many
bytes and another CR LF follow.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from olivepost.proxy.upstream.errors import LineProtocolError

MAX_LINE_BYTES = 1_024  # with CR LF; the protocol's own bound
MAX_LENGTH_DIGITS = 9  # of a body's length: no endpoint sends a body of a gigabyte
MAX_REPORTED_BYTES = 80  # of a rejected line, in an error
LINE_END = b"\r\n"
LINE_FEED = 0x0A
NO_FIELDS = "-"
LIVENESS_STATUS = "PONG"  # of the response to a liveness check
RESPONSE_WORDS = 4  # request id, status, fields, body length
LIVENESS_RESPONSE_WORDS = 2  # request id, status

PRINTABLE_ASCII = re.compile(rb"[ -~]*")
# What a field's value and an endpoint's id may hold: printable ASCII without the separators of fields and
# words (space, `"`, `+`, `,`, `=`). Three other patterns resemble it, each with a reason of its own:
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


class ResponseEnd:
    """Marks that a response is complete."""


RESPONSE_END = ResponseEnd()


def encode_command(
    verb: str, request_id: str, fields: dict[str, str] | None = None, body: bytes | None = None
) -> bytes:
    """Encodes one command; without a body (None, not an empty one) it has no fields and no length."""
    if body is None:
        return f"{verb} {request_id}\r\n".encode("ascii")
    field_list = ",".join(f"{name}={value}" for name, value in (fields or {}).items()) or NO_FIELDS
    return f"{verb} {request_id} {field_list} {len(body)}\r\n".encode("ascii") + body + LINE_END


def parse_fields(text: str) -> dict[str, str]:
    """Parses `name=value,name=value`, or `-` for no field; a name is neither empty nor repeated."""
    if text == NO_FIELDS:
        return {}
    fields: dict[str, str] = {}
    for item in text.split(","):
        name, separator, value = item.partition("=")
        if not separator or not name or name in fields:
            raise LineProtocolError("a field without a name of its own", item[:MAX_REPORTED_BYTES])
        fields[name] = value
    return fields


def parse_response_line(line: bytes, max_body_bytes: int) -> ResponseLine:
    """Parses a response's line, given without its line end; raises LineProtocolError."""
    if not PRINTABLE_ASCII.fullmatch(line):
        raise LineProtocolError("a line with bytes outside printable ASCII", line[:MAX_REPORTED_BYTES])
    words = line.decode("ascii").split(" ")
    if len(words) == LIVENESS_RESPONSE_WORDS and words[1] == LIVENESS_STATUS:
        words += [NO_FIELDS, ""]
    if len(words) != RESPONSE_WORDS or not words[0] or not words[1]:
        raise LineProtocolError("a line that is not a response", line[:MAX_REPORTED_BYTES])
    request_id, status, field_list, length = words
    has_body = bool(length) or status != LIVENESS_STATUS
    body_length = _parse_body_length(length, max_body_bytes) if has_body else None
    return ResponseLine(request_id, status, parse_fields(field_list), body_length)


def _parse_body_length(text: str, max_body_bytes: int) -> int:
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS
    if not is_number or int(text) > max_body_bytes:
        raise LineProtocolError(f"a body length outside 0 to {max_body_bytes}", text[:MAX_REPORTED_BYTES])
    return int(text)


class ResponseParser:
    """Parses the bytes of an endpoint, however they are split. One thread at a time may use it.

    After a LineProtocolError the stream can't be parsed further.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._line = bytearray()  # the part of a response's line that was received
        # Bytes of a body and its CR LF that are still to come; None: the next byte belongs to a line.
        self._remaining: int | None = None

    @property
    def is_between_responses(self) -> bool:
        """Whether no response has begun that is not complete."""
        return self._remaining is None and not self._line

    def feed(self, data: memoryview) -> Iterator[ResponseLine | memoryview | ResponseEnd]:
        """Yields a `ResponseLine`, chunks of its body (views of `data`), then `RESPONSE_END`, and so on."""
        while data:
            if self._remaining is None:
                chunk = _chunk_of_line(data)
                data = data[len(chunk) :]
                response_line = self._add_to_line(chunk)
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
                self._check_line_end_byte(self._remaining, data[0])
                data = data[1:]
                if self._remaining is None:
                    yield RESPONSE_END

    def _add_to_line(self, chunk: memoryview) -> ResponseLine | None:
        """Adds a chunk to the line; returns the response's line once it is complete."""
        if len(self._line) + len(chunk) > MAX_LINE_BYTES:
            raise LineProtocolError(f"a line of more than {MAX_LINE_BYTES} bytes")
        self._line += chunk
        if chunk[-1] != LINE_FEED:
            return None
        line = bytes(self._line)
        self._line.clear()
        if not line.endswith(LINE_END):
            raise LineProtocolError("a line that ends without CR", line[:MAX_REPORTED_BYTES])
        return parse_response_line(line[: -len(LINE_END)], self._max_body_bytes)

    def _check_line_end_byte(self, remaining: int, byte: int) -> None:
        """Checks and counts one byte of the CR LF behind a body."""
        if byte != LINE_END[-remaining]:
            raise LineProtocolError("no CR LF after a body", bytes((byte,)))
        self._remaining = remaining - 1 or None


def _chunk_of_line(data: memoryview) -> memoryview:
    """The data up to the first line end, with it; all of the data where the line goes on."""
    end = bytes(data[:MAX_LINE_BYTES]).find(b"\n")
    return data if end < 0 else data[: end + 1]
