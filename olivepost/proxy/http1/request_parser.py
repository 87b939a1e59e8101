"""Parsing of HTTP/1.1 requests, without I/O."""

from __future__ import annotations

import re

from olivepost.proxy.http1.messages import HttpError, Message, RequestLine
from olivepost.proxy.http1.parser import END_OF_LINE, VERSIONS, Parser, take_prefix

# Largest number of field lines of a request. Parsing many short ones takes much longer than receiving them.
MAX_FIELD_LINES = 100
_METHOD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_REQUEST_TARGET = re.compile(rb"[!-~]+")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,10}", re.ASCII)


class RequestParser(Parser[RequestLine]):
    """Parser of requests. A request without a Content-Length has no body."""

    _forbidden_prefixes = (b"\r", b"\n")
    _body_length = 0  # body length in bytes of the message whose head is parsed

    @property
    def expected_body_bytes(self) -> int:
        """Body length in bytes of the message whose head is parsed; 0 if no head is parsed."""
        return self._body_length if self._head is not None else 0

    def _parse_start_line(self, line: bytes) -> RequestLine:
        words = line.split(b" ")
        if len(words) != 3 or not _METHOD.fullmatch(words[0]) or not _REQUEST_TARGET.fullmatch(words[1]):
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

    def _split_head(self, head: bytes) -> tuple[bytes, list[bytes]]:
        count = head.count(END_OF_LINE)
        if count > MAX_FIELD_LINES:
            raise HttpError(431, f"the request has {count} field lines; the limit is {MAX_FIELD_LINES}")
        return super()._split_head(head)

    def _begin_body(self, head: Message[RequestLine]) -> None:
        head.header("host")  # raises HttpError if Host is repeated (RFC 9112, section 3.2)
        self._body_length = self._read_body_length(head)

    def _take_body(self) -> bytes | None:
        return take_prefix(self._data, self._body_length)

    def _read_body_length(self, head: Message[RequestLine]) -> int:
        if "transfer-encoding" in head.headers:
            if "content-length" in head.headers:
                raise HttpError(400, "the message has both Content-Length and Transfer-Encoding")
            raise HttpError(501, "Transfer-Encoding is not supported")
        text = head.header("content-length")
        if text is None:
            return 0
        if not _CONTENT_LENGTH.fullmatch(text):
            raise HttpError(400, f"Content-Length {text[:20]!r} is not a number of 1 to 10 decimal digits")
        length = int(text)
        if length > self._max_body_bytes:
            raise HttpError(413, f"Content-Length is {length} bytes; the limit is {self._max_body_bytes}")
        return length
