"""The part of parsing that requests and responses have in common, without I/O."""

from __future__ import annotations

from typing import ClassVar, Generic

from olivepost.proxy.http1.fields import parse_headers
from olivepost.proxy.http1.messages import HttpError, Message, StartLineT

VERSIONS = {b"HTTP/1.1": "HTTP/1.1", b"HTTP/1.0": "HTTP/1.0"}
END_OF_LINE = b"\r\n"
END_OF_HEAD = b"\r\n\r\n"


def take_prefix(data: bytearray, length: int) -> bytes | None:
    """Removes and returns the first `length` bytes; returns None if there are fewer."""
    if len(data) < length:
        return None
    with memoryview(data) as view:
        prefix = bytes(view[:length])
    del data[:length]
    return prefix


class Parser(Generic[StartLineT]):
    """Incremental parser that turns a stream of bytes, split at any position, into complete messages.

    Not thread-safe. After an HttpError, the start of the next message in the stream is unknown, so the caller
    must close the connection.
    """

    _forbidden_prefixes: ClassVar[tuple[bytes, ...]] = ()

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._data = bytearray()
        # Number of first bytes of `_data` that were searched for the end of the head.
        self._searched_bytes = 0
        self._head: Message[StartLineT] | None = None

    @property
    def buffered_bytes(self) -> int:
        """Number of received bytes that belong neither to a parsed head nor to a returned message."""
        return len(self._data)

    @property
    def is_idle(self) -> bool:
        """Whether no byte of the next message has been received."""
        return self._head is None and not self._data

    def clear(self) -> None:
        """Discards the received bytes and the parsed head, if any."""
        self._data.clear()
        self._head = None
        self._searched_bytes = 0

    def feed(self, data: bytes | memoryview) -> None:
        """Appends received bytes to the stream."""
        self._data += data

    def take(self) -> Message[StartLineT] | None:
        """Returns the next message, or None if it is incomplete; raises HttpError if it is not accepted."""
        if self._head is None:
            self._parse_head()
        message = self._head
        if message is None:
            return None
        body = self._take_body()
        if body is None:
            return None
        message.body = body
        self._head = None
        return message

    def _parse_head(self) -> None:
        if self._data.startswith(self._forbidden_prefixes):
            raise HttpError(400, "the request starts with CR or LF instead of a request line")
        # The blank line that ends the head may be split between two reads. The search therefore starts a few
        # bytes before the new data.
        end = self._data.find(END_OF_HEAD, max(0, self._searched_bytes - len(END_OF_HEAD) + 1))
        head_bytes = end if end >= 0 else len(self._data)
        if head_bytes > self._max_head_bytes:
            raise HttpError(
                431, f"the message head has at least {head_bytes} bytes; the limit is {self._max_head_bytes}"
            )
        if end < 0:
            self._check_incomplete_head(self._searched_bytes)
            self._searched_bytes = len(self._data)
            return
        first_line, field_lines = self._split_head(bytes(self._data[:end]))
        del self._data[: end + len(END_OF_HEAD)]
        self._searched_bytes = 0
        head = Message(self._parse_start_line(first_line), parse_headers(field_lines), b"")
        self._begin_body(head)
        self._head = head

    def _check_incomplete_head(self, start: int) -> None:
        """Raises HttpError if the bytes from `start`, which are new, can't be a part of a head."""

    def _split_head(self, head: bytes) -> tuple[bytes, list[bytes]]:
        """Returns the first line and the field lines; raises HttpError if a line is not accepted."""
        first_line, *field_lines = head.split(END_OF_LINE)
        return first_line, field_lines

    def _parse_start_line(self, line: bytes) -> StartLineT:
        """Parses the first line of a message; raises HttpError if the line is not accepted."""
        raise NotImplementedError

    def _begin_body(self, head: Message[StartLineT]) -> None:
        """Prepares for the body of a message; raises HttpError if the head's fields are not accepted."""
        raise NotImplementedError

    def _take_body(self) -> bytes | None:
        """Removes the body from the received bytes and returns it; returns None if it is incomplete."""
        raise NotImplementedError
