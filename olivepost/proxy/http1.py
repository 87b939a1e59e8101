"""HTTP/1.1: requests and answers parsed and written. No I/O here."""

from __future__ import annotations

import re
from dataclasses import dataclass

REASONS = {
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
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
TARGET = re.compile(rb"[!-~]+")
VALUE = re.compile(rb"[\t -~\x80-\xff]*")
STATUS = re.compile(rb"[1-9][0-9]{2}")
DIGITS = re.compile(r"[0-9]{1,10}", re.ASCII)


class HttpError(Exception):
    """A message that can't be used, with the status that answers it."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request (`first` has method and target) or an answer (`first` has the status), whole."""

    first: tuple[str, str]
    version: str
    headers: dict[str, tuple[str, ...]]
    body: bytes

    def header(self, name: str) -> str | None:
        """The one value of a header; None where it is absent; one that came twice is an error."""
        values = self.headers.get(name, ())
        if len(values) > 1:
            raise HttpError(400, f"'{name}' came {len(values)} times")
        return values[0] if values else None

    @property
    def keeps_alive(self) -> bool:
        """Whether the peer will use the connection further."""
        listed = ",".join(self.headers.get("connection", ()))
        words = {word.strip().lower() for word in listed.split(",")}
        return "close" not in words and (self.version == "HTTP/1.1" or "keep-alive" in words)


def read_request_line(line: bytes) -> tuple[tuple[str, str], str]:
    words = line.split(b" ")
    if len(words) != 3 or not TOKEN.fullmatch(words[0]) or not TARGET.fullmatch(words[1]):
        raise HttpError(400, "bad request line")
    if words[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        raise HttpError(505 if words[2].startswith(b"HTTP/") else 400, "bad version")
    return (words[0].decode("ascii"), words[1].decode("ascii")), words[2].decode("ascii")


def read_status_line(line: bytes) -> tuple[tuple[str, str], str]:
    words = line.split(b" ", 2)
    known = words[0] in (b"HTTP/1.1", b"HTTP/1.0")
    if len(words) < 2 or not known or not STATUS.fullmatch(words[1]):
        raise HttpError(400, "bad status line")
    return (words[1].decode("ascii"), ""), words[0].decode("ascii")


def read_headers(lines: list[bytes]) -> dict[str, tuple[str, ...]]:
    headers: dict[str, tuple[str, ...]] = {}
    for line in lines:
        name, sign, value = line.partition(b":")
        if not sign or not TOKEN.fullmatch(name) or not VALUE.fullmatch(value):
            raise HttpError(400, "bad header line")
        key = name.decode("ascii").lower()
        headers[key] = (*headers.get(key, ()), value.strip(b" \t").decode("latin-1"))
    return headers


class Parser:
    """Takes bytes in any split and gives whole messages, one after another."""

    def __init__(self, head_size: int, body_size: int, answers: bool = False) -> None:
        self._head_size, self._body_size, self._answers = head_size, body_size, answers
        self._data = bytearray()
        self._seen = 0  # bytes already searched for the end of a head
        self._head: Message | None = None
        self._length = 0

    @property
    def held(self) -> int:
        """Bytes that are not yet part of a message that was taken."""
        return len(self._data)

    @property
    def idle(self) -> bool:
        """Whether nothing of a next message has come."""
        return self._head is None and not self._data

    @property
    def expects(self) -> int:
        """Bytes of the body of a message whose head has come; 0 where there is none."""
        return self._length if self._head is not None else 0

    def clear(self) -> None:
        """Forgets what has come."""
        self._data.clear()
        self._head, self._seen = None, 0

    def feed(self, data: bytes | memoryview) -> None:
        self._data += data

    def take(self) -> Message | None:
        """The next whole message, if it is there."""
        if self._head is None:
            self._read_head()
        head = self._head
        if head is None or len(self._data) < self._length:
            return None
        body = bytes(self._data[: self._length])
        del self._data[: self._length]
        self._head = None
        return Message(head.first, head.version, head.headers, body)

    def _read_head(self) -> None:
        if not self._answers and self._data.startswith((b"\r", b"\n")):
            raise HttpError(400, "an empty line before a request")
        end = self._data.find(b"\r\n\r\n", max(0, self._seen - 3))
        if (end if end >= 0 else len(self._data)) > self._head_size:
            raise HttpError(431, "header block too long")
        if end < 0:
            self._seen = len(self._data)
            return
        first, *rest = bytes(self._data[:end]).split(b"\r\n")
        del self._data[: end + 4]
        self._seen = 0
        start, version = (read_status_line if self._answers else read_request_line)(first)
        head = Message(start, version, read_headers(rest), b"")
        self._length = self._body_length(head)
        self._head = head

    def _body_length(self, head: Message) -> int:
        if "transfer-encoding" in head.headers:
            if "content-length" in head.headers:
                raise HttpError(400, "a length and a transfer coding")
            raise HttpError(501, "a transfer coding")
        text = head.header("content-length")
        if text is None:
            if self._answers and head.first[0] not in ("204", "304"):
                raise HttpError(400, "an answer of no known length")
            return 0
        if not DIGITS.fullmatch(text):
            raise HttpError(400, "bad length")
        if int(text) > self._body_size:
            raise HttpError(413, "body too long")
        return int(text)


def answer_head(status: int, length: int | None, headers: dict[str, str], close: bool) -> bytes:
    """Status line and headers of an answer; a length of None is left out."""
    lines = [f"HTTP/1.1 {status} {REASONS[status]}", *(f"{name}: {value}" for name, value in headers.items())]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def request_head(target: str, host: str) -> bytes:
    """A GET that keeps its connection."""
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("ascii")
