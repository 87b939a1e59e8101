"""HTTP/1.1 message parsing and head encoding, without I/O (RFC 9112).

The downstream connections use `RequestParser`, and the discovery client uses `ResponseParser`.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import ClassVar, Generic, NamedTuple, Protocol, TypeVar

REASON_PHRASES = {
    200: "OK",
    304: "Not Modified",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
VERSIONS = {b"HTTP/1.1": "HTTP/1.1", b"HTTP/1.0": "HTTP/1.0"}
STATUSES_WITHOUT_BODY = ("204", "304")  # RFC 9110, section 6.4.1
END_OF_LINE = b"\r\n"
END_OF_HEAD = b"\r\n\r\n"
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_REQUEST_TARGET = re.compile(rb"[!-~]+")
_FIELD_VALUE = re.compile(rb"[\t -~\x80-\xff]*")
_STATUS_CODE = re.compile(rb"[1-9][0-9]{2}")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,10}", re.ASCII)


class HttpError(Exception):
    """Error for a message that cannot be accepted.

    If the message is a request, `status` is the status code of the response to it. `reason` describes the
    error.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class RequestLine(NamedTuple):
    """The start line of a request."""

    method: str
    target: str
    version: str


class StatusLine(NamedTuple):
    """The start line of a response without its reason phrase. `status` is the three-digit status code."""

    status: str
    version: str


class StartLine(Protocol):
    """The interface that request lines and status lines have in common."""

    @property
    def version(self) -> str:
        """Protocol version: `HTTP/1.0` or `HTTP/1.1`."""


StartLineT = TypeVar("StartLineT", bound=StartLine)


@dataclass(slots=True)
class Message(Generic[StartLineT]):
    """A complete request or response. The field names in `headers` are in lower case."""

    start_line: StartLineT
    headers: dict[str, tuple[str, ...]]
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the value of a field, or None if it is absent; raises HttpError if it is repeated."""
        values = self.headers.get(name, ())
        if len(values) > 1:
            raise HttpError(400, f"field '{name}' appears {len(values)} times; at most one is allowed")
        return values[0] if values else None

    @property
    def keeps_alive(self) -> bool:
        """Whether the sender keeps the connection open after this message (RFC 9112, section 9.3)."""
        joined = ",".join(self.headers.get("connection", ()))
        options = {option.strip().lower() for option in joined.split(",")}
        if "close" in options:
            return False
        return self.start_line.version == "HTTP/1.1" or "keep-alive" in options


def parse_headers(lines: list[bytes]) -> dict[str, tuple[str, ...]]:
    """Parses field lines; raises HttpError if a line is malformed.

    Returns the values of each field by the field's name in lower case. The values of a repeated field are in
    the order of its lines.
    """
    headers: dict[str, tuple[str, ...]] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not _TOKEN.fullmatch(name) or not _FIELD_VALUE.fullmatch(value):
            raise HttpError(
                400, "malformed field line; expected a token, a colon and a value without control characters"
            )
        key = name.decode("ascii").lower()
        headers[key] = (*headers.get(key, ()), value.strip(b" \t").decode("latin-1"))
    return headers


class Parser(Generic[StartLineT]):
    """Incremental parser that turns a stream of bytes, split at any position, into complete messages.

    Not thread-safe. After an HttpError, the start of the next message in the stream is unknown, so the caller
    must close the connection.
    """

    _forbidden_prefixes: ClassVar[tuple[bytes, ...]] = ()
    _needs_length: ClassVar[bool] = False

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._data = bytearray()
        # Number of first bytes of `_data` that were searched for the end of the head.
        self._searched_bytes = 0
        self._head: Message[StartLineT] | None = None
        self._body_length = 0  # body length in bytes of the message in `_head`

    @property
    def buffered_bytes(self) -> int:
        """Number of received bytes that belong neither to a parsed head nor to a returned message."""
        return len(self._data)

    @property
    def is_idle(self) -> bool:
        """Whether no byte of the next message has been received."""
        return self._head is None and not self._data

    @property
    def expected_body_bytes(self) -> int:
        """Body length in bytes of the message whose head is parsed; 0 if no head is parsed."""
        return self._body_length if self._head is not None else 0

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
        if message is None or len(self._data) < self._body_length:
            return None
        with memoryview(self._data) as data:
            message.body = bytes(data[: self._body_length])
        del self._data[: self._body_length]
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
            self._searched_bytes = len(self._data)
            return
        first_line, *field_lines = bytes(self._data[:end]).split(END_OF_LINE)
        del self._data[: end + len(END_OF_HEAD)]
        self._searched_bytes = 0
        head = Message(self._parse_start_line(first_line), parse_headers(field_lines), b"")
        self._check_fields(head)
        self._body_length = self._read_body_length(head)
        self._head = head

    def _read_body_length(self, head: Message[StartLineT]) -> int:
        if "transfer-encoding" in head.headers:
            if "content-length" in head.headers:
                raise HttpError(400, "the message has both Content-Length and Transfer-Encoding")
            raise HttpError(501, "Transfer-Encoding is not supported")
        text = head.header("content-length")
        if text is None:
            if self._needs_length:
                self._check_has_no_body(head)
            return 0
        if not _CONTENT_LENGTH.fullmatch(text):
            raise HttpError(400, f"Content-Length {text[:20]!r} is not a number of 1 to 10 decimal digits")
        length = int(text)
        if length > self._max_body_bytes:
            raise HttpError(413, f"Content-Length is {length} bytes; the limit is {self._max_body_bytes}")
        return length

    def _parse_start_line(self, line: bytes) -> StartLineT:
        """Parses the first line of a message; raises HttpError if the line is not accepted."""
        raise NotImplementedError

    def _check_has_no_body(self, head: Message[StartLineT]) -> None:
        """Raises HttpError if a message may have a body although it has no Content-Length."""

    def _check_fields(self, head: Message[StartLineT]) -> None:
        """Raises HttpError if a field is invalid for this kind of message, a request or a response."""


class RequestParser(Parser[RequestLine]):
    """Parser of requests. A request without a Content-Length has no body."""

    _forbidden_prefixes = (b"\r", b"\n")

    def _parse_start_line(self, line: bytes) -> RequestLine:
        words = line.split(b" ")
        if len(words) != 3 or not _TOKEN.fullmatch(words[0]) or not _REQUEST_TARGET.fullmatch(words[1]):
            raise HttpError(
                400,
                f"malformed request line {line[:40]!r}; expected a method, a target and a version",
            )
        method, target, version_token = words
        version = VERSIONS.get(version_token)
        if version is None:
            raise HttpError(
                505 if version_token.startswith(b"HTTP/") else 400,
                f"HTTP version {version_token[:16]!r} is not supported; expected HTTP/1.0 or HTTP/1.1",
            )
        return RequestLine(method.decode("ascii"), target.decode("ascii"), version)

    def _check_fields(self, head: Message[RequestLine]) -> None:
        head.header("host")  # raises HttpError if Host is repeated (RFC 9112, section 3.2)


class ResponseParser(Parser[StatusLine]):
    """Parser of responses.

    A response without a Content-Length is accepted only if its status allows no body.
    """

    _needs_length = True

    def _parse_start_line(self, line: bytes) -> StatusLine:
        words = line.split(b" ", 2)
        version = VERSIONS.get(words[0])
        if version is None or len(words) < 2 or not _STATUS_CODE.fullmatch(words[1]):
            raise HttpError(
                400,
                f"malformed status line {line[:40]!r}; expected HTTP/1.0 or HTTP/1.1 and a status code",
            )
        return StatusLine(words[1].decode("ascii"), version)

    def _check_has_no_body(self, head: Message[StatusLine]) -> None:
        if head.start_line.status not in STATUSES_WITHOUT_BODY:
            raise HttpError(
                400, f"a response with status {head.start_line.status} must have a Content-Length"
            )


def response_head(status: int, length: int | None, headers: Mapping[str, str], closes: bool) -> bytes:
    """Encodes the status line and the header section of a response.

    Content-Length is omitted if `length` is None. If `closes` is true, the head announces that the connection
    will be closed.
    """
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES[status]}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if closes:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def request_head(target: str, host: str) -> bytes:
    """Encodes a GET request that keeps its connection open."""
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("ascii")
