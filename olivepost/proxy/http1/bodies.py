"""The three framings of an HTTP/1.1 response's body (RFC 9112, sections 6.3, 7.1 and 8), without I/O.

The end of a body is known from its length, from its last chunk, or from the close of the connection. A body
removes its bytes from the beginning of the received bytes, which are all bytes after the response's head.
"""

from __future__ import annotations

import re
from enum import Enum, auto
from typing import Protocol

from olivepost.proxy.http1.fields import parse_headers, unfold_lines
from olivepost.proxy.http1.messages import HttpError
from olivepost.proxy.http1.parser import END_OF_LINE, take_prefix

# A chunk's size, and its extensions, which are ignored.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:[ \t]*;[\t -~\x80-\xff]*)?")
LINE_FEED = b"\n"
HEXADECIMAL = 16
# Largest number of hexadecimal digits of a chunk size, without leading zeros. A longer number is larger than
# every allowed body.
MAX_SIZE_DIGITS = 15


class MalformedBodyError(HttpError):
    """Error for a body that is malformed or too long."""

    def __init__(self, reason: str) -> None:
        super().__init__(400, reason)


class ResponseBody(Protocol):
    """Interface of a body that may arrive in pieces."""

    def take(self, data: bytearray) -> bytes | None:
        """Removes the body's bytes from `data`; returns the body, or None while it is incomplete.

        Raises MalformedBodyError.
        """

    def close(self) -> bool:
        """Records that the server has closed the connection; returns whether that is the body's end."""


class FixedLengthBody:
    """A body with a known number of bytes."""

    def __init__(self, length: int) -> None:
        self._length = length

    def take(self, data: bytearray) -> bytes | None:
        """Removes and returns the body as soon as it is complete."""
        return take_prefix(data, self._length)

    def close(self) -> bool:
        """Returns False."""
        return False


class BodyUntilClose:
    """A body that ends with the connection; it has at most `max_bytes`."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._is_closed = False

    def take(self, data: bytearray) -> bytes | None:
        """Removes and returns the body once the connection is closed."""
        if len(data) > self._max_bytes:
            raise MalformedBodyError(
                f"the body has at least {len(data)} bytes; the limit is {self._max_bytes}"
            )
        return take_prefix(data, len(data)) if self._is_closed else None

    def close(self) -> bool:
        """Records the end of the body."""
        self._is_closed = True
        return True


class _ChunkPart(Enum):
    """The part of a chunked body that is expected next."""

    SIZE = auto()
    DATA = auto()
    END_OF_DATA = auto()
    TRAILER = auto()
    NOTHING = auto()


class ChunkedBody:
    """A body in the chunked transfer coding (RFC 9112, section 7.1).

    Chunk extensions are ignored and trailer fields are dropped. The decoded body has at most
    `max_body_bytes`. One line, and the trailer section, have at most `max_line_bytes`. All lines together may
    have that many bytes and `max_body_bytes` in addition to the digits of the sizes.
    """

    def __init__(self, max_body_bytes: int, max_line_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._max_line_bytes = max_line_bytes
        self._spare_line_bytes = max_body_bytes + max_line_bytes
        self._part = _ChunkPart.SIZE
        self._remaining = 0  # bytes of the current chunk that have not been received
        self._body = bytearray()
        self._trailer_lines: list[bytes] = []
        self._trailer_bytes = 0

    def take(self, data: bytearray) -> bytes | None:
        """Decodes the chunks in `data`; returns the body after the trailer section."""
        while data and self._part is not _ChunkPart.NOTHING:
            if not self._take_part(data):
                return None
        return bytes(self._body) if self._part is _ChunkPart.NOTHING else None

    def close(self) -> bool:
        """Returns False, since only the last chunk ends the body."""
        return False

    def _take_part(self, data: bytearray) -> bool:
        """Removes one part of the coding from `data`; returns whether the part was there completely."""
        if self._part is _ChunkPart.DATA:
            return self._take_data(data)
        line = self._take_line(data)
        if line is None:
            return False
        if self._part is _ChunkPart.SIZE:
            self._begin_chunk(line)
        elif self._part is _ChunkPart.END_OF_DATA:
            self._end_chunk(line)
        else:
            self._add_trailer_line(line)
        return True

    def _take_line(self, data: bytearray) -> bytes | None:
        """Removes and returns a line without its CRLF; returns None if the line is incomplete."""
        line_feed = data.find(LINE_FEED, 0, self._max_line_bytes)
        if line_feed < 0:
            if len(data) >= self._max_line_bytes:
                raise MalformedBodyError(
                    f"a line of the chunked coding is longer than {self._max_line_bytes} bytes"
                )
            return None
        line = bytes(data[: line_feed + 1])
        if not line.endswith(END_OF_LINE):
            raise MalformedBodyError(f"line {line[:40]!r} of the chunked coding ends without CR")
        del data[: line_feed + 1]
        return line[: -len(END_OF_LINE)]

    def _begin_chunk(self, line: bytes) -> None:
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise MalformedBodyError(f"malformed chunk line {line[:40]!r}; expected a hexadecimal size")
        digits = match[1].lstrip(b"0")
        self._spare_line_bytes -= len(line) - len(digits)
        if self._spare_line_bytes < 0:
            raise MalformedBodyError("the chunk extensions are too long")
        size = (
            int(digits or b"0", HEXADECIMAL) if len(digits) <= MAX_SIZE_DIGITS else self._max_body_bytes + 1
        )
        if len(self._body) + size > self._max_body_bytes:
            raise MalformedBodyError(
                f"a chunk of size {line[:20]!r} exceeds the body's limit of {self._max_body_bytes} bytes"
            )
        self._remaining = size
        self._part = _ChunkPart.DATA if size else _ChunkPart.TRAILER

    def _take_data(self, data: bytearray) -> bool:
        """Removes bytes of the current chunk from `data`; returns whether the chunk is complete."""
        size = min(self._remaining, len(data))
        with memoryview(data) as received:
            self._body += received[:size]
        del data[:size]
        self._remaining -= size
        if self._remaining:
            return False
        self._part = _ChunkPart.END_OF_DATA
        return True

    def _end_chunk(self, line: bytes) -> None:
        if line:
            raise MalformedBodyError(f"{line[:20]!r} follows a chunk's last byte; expected CRLF")
        self._part = _ChunkPart.SIZE

    def _add_trailer_line(self, line: bytes) -> None:
        if not line:
            parse_headers(unfold_lines(self._trailer_lines))  # raises HttpError if a line is malformed
            self._part = _ChunkPart.NOTHING
            return
        self._trailer_bytes += len(line)
        if self._trailer_bytes > self._max_line_bytes:
            raise MalformedBodyError(f"the trailer section is longer than {self._max_line_bytes} bytes")
        self._trailer_lines.append(line)
