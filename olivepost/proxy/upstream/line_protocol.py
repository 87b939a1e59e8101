"""Line protocol between the proxy and its endpoints: encodes commands and parses responses, without I/O.

A command or a response is a line of words that ends in CR LF. If its last word is a length, that many bytes
and another CR LF follow.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from olivepost.proxy.upstream.errors import LineProtocolError

MAX_LINE_BYTES = 1_024  # longest line including CR LF; the protocol sets this limit
# Maximum number of digits of a body's length in bytes; no endpoint sends a body of 1 GB.
MAX_LENGTH_DIGITS = 9
MAX_REPORTED_BYTES = 80  # largest number of bytes of a rejected line that an error quotes
LINE_END = b"\r\n"
LINE_FEED = 0x0A
NO_FIELDS = "-"
LIVENESS_STATUS = "PONG"  # status of the reply to a liveness check
RESPONSE_WORDS = 4  # number of words of a response line: request id, status, fields, body length
LIVENESS_RESPONSE_WORDS = 2  # number of words of a reply to a liveness check: request id, status

PRINTABLE_ASCII = re.compile(rb"[ -~]*")
# Allowed text of a field's value and of an endpoint's id: printable ASCII without the separators of fields
# and words (space, `"`, `+`, `,`, `=`). Three other patterns are similar and differ for these reasons:
# - class names (olivepost.config) exclude `/`, because they are part of a request's target as well;
# - idempotency keys (olivepost.proxy.downstream) also exclude `/` and have at most 128 characters;
# - entity tags (olivepost.proxy.downstream) may contain `+`, which separates nothing in their field. They
#   are enclosed in double quotes and have at most 128 characters.
FIELD_VALUE = re.compile(r"[!#-*\-.-<>-~]{1,200}", re.ASCII)


@dataclass(slots=True)
class ResponseLine:
    """First line of a response."""

    request_id: str
    status: str  # HIT, VALID, NONE, SHED, FAULT, LATE or PONG; the caller handles any other status
    fields: dict[str, str]
    body_length: int | None  # length in bytes; None if neither a body nor its CR LF follows


class ResponseEnd:
    """Marker for the end of a response."""


RESPONSE_END = ResponseEnd()


def encode_command(
    verb: str, request_id: str, fields: dict[str, str] | None = None, body: bytes | None = None
) -> bytes:
    """Encodes one command.

    If the body is None, the command has neither fields nor a length. An empty body is sent with both.
    """
    if body is None:
        return f"{verb} {request_id}\r\n".encode("ascii")
    field_list = ",".join(f"{name}={value}" for name, value in (fields or {}).items()) or NO_FIELDS
    return f"{verb} {request_id} {field_list} {len(body)}\r\n".encode("ascii") + body + LINE_END


def parse_fields(text: str) -> dict[str, str]:
    """Parses `name=value,name=value`, or `-` for no fields.

    Raises LineProtocolError if a name is missing, empty or repeated.
    """
    if text == NO_FIELDS:
        return {}
    fields: dict[str, str] = {}
    for item in text.split(","):
        name, separator, value = item.partition("=")
        if not separator or not name or name in fields:
            raise LineProtocolError("field is not name=value with a unique name", item[:MAX_REPORTED_BYTES])
        fields[name] = value
    return fields


def parse_response_line(line: bytes, max_body_bytes: int) -> ResponseLine:
    """Parses a response's line, given without its CR LF; raises LineProtocolError if it is malformed."""
    if not PRINTABLE_ASCII.fullmatch(line):
        raise LineProtocolError("line contains bytes outside printable ASCII", line[:MAX_REPORTED_BYTES])
    words = line.decode("ascii").split(" ")
    if len(words) == LIVENESS_RESPONSE_WORDS and words[1] == LIVENESS_STATUS:
        words += [NO_FIELDS, ""]
    if len(words) != RESPONSE_WORDS or not words[0] or not words[1]:
        raise LineProtocolError(
            "line is not a response ('ID STATUS FIELDS LENGTH' or 'ID PONG')", line[:MAX_REPORTED_BYTES]
        )
    request_id, status, field_list, length = words
    has_body = bool(length) or status != LIVENESS_STATUS
    body_length = _parse_body_length(length, max_body_bytes) if has_body else None
    return ResponseLine(request_id, status, parse_fields(field_list), body_length)


def _parse_body_length(text: str, max_body_bytes: int) -> int:
    """Parses a body's length in bytes; raises LineProtocolError if it is not a number or too large."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS
    if not is_number or int(text) > max_body_bytes:
        raise LineProtocolError(
            f"body length is not a number from 0 to {max_body_bytes}", text[:MAX_REPORTED_BYTES]
        )
    return int(text)


class ResponseParser:
    """Parser of the bytes that an endpoint sends, in chunks of any size.

    Only one thread at a time may use it. After a LineProtocolError the rest of the stream can't be parsed.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._line = bytearray()  # received part of an incomplete response line
        # Number of bytes of the current body and its CR LF that are not received yet; None if the next byte
        # belongs to a response line.
        self._remaining: int | None = None

    @property
    def is_between_responses(self) -> bool:
        """Whether each response that has begun is complete."""
        return self._remaining is None and not self._line

    def feed(self, data: memoryview) -> Iterator[ResponseLine | memoryview | ResponseEnd]:
        """Yields, for each response, its `ResponseLine`, chunks of its body and `RESPONSE_END`.

        The chunks are views of `data`. A response may begin in one call and continue in later calls.
        """
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
        """Adds a chunk to the current line; returns the parsed line, or None while the line is incomplete."""
        if len(self._line) + len(chunk) > MAX_LINE_BYTES:
            raise LineProtocolError(f"line is longer than {MAX_LINE_BYTES} bytes")
        self._line += chunk
        if chunk[-1] != LINE_FEED:
            return None
        line = bytes(self._line)
        self._line.clear()
        if not line.endswith(LINE_END):
            raise LineProtocolError("line ends in LF without CR", line[:MAX_REPORTED_BYTES])
        return parse_response_line(line[: -len(LINE_END)], self._max_body_bytes)

    def _check_line_end_byte(self, remaining: int, byte: int) -> None:
        """Checks one byte of the CR LF that follows a body, and reduces `_remaining` by one byte.

        `remaining` is the number of bytes of the CR LF that are not checked yet, including this one. Sets
        `_remaining` to None after the last byte. Raises LineProtocolError if the byte is a wrong one.
        """
        if byte != LINE_END[-remaining]:
            raise LineProtocolError("byte after a body is not part of CR LF", bytes((byte,)))
        self._remaining = remaining - 1 or None


def _chunk_of_line(data: memoryview) -> memoryview:
    """Returns the bytes of `data` up to and including the first line feed.

    Returns all of `data` if its first `MAX_LINE_BYTES` bytes contain no line feed.
    """
    end = bytes(data[:MAX_LINE_BYTES]).find(b"\n")
    return data if end < 0 else data[: end + 1]
