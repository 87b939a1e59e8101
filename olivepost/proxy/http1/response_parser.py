"""Parsing of HTTP/1.1 responses in every form that RFC 9112 allows, without I/O."""

from __future__ import annotations

import re

from olivepost.proxy.http1.bodies import BodyUntilClose, ChunkedBody, FixedLengthBody, ResponseBody
from olivepost.proxy.http1.fields import find_bare_line_feed, unfold_lines
from olivepost.proxy.http1.messages import HttpError, Message, StatusLine
from olivepost.proxy.http1.parser import VERSIONS, Parser

STATUSES_WITHOUT_BODY = ("204", "304")  # RFC 9110, section 6.4.1
INTERIM_STATUS_CLASS = "1"
SWITCHING_PROTOCOLS = "101"  # never sent in response to a request that offers no other protocol
# Largest number of interim responses before the final one.
MAX_INTERIM_RESPONSES = 64
CHUNKED = "chunked"
# Largest number of digits of a length, without leading zeros; a longer one is larger than every allowed body.
MAX_LENGTH_DIGITS = 10
_STATUS_CODE = re.compile(rb"[1-9][0-9]{2}")
_LATER_MINOR_VERSION = re.compile(rb"HTTP/1\.[2-9]")
_LENGTH = re.compile(r"[0-9]+", re.ASCII)


class ResponseParser(Parser[StatusLine]):
    """Incremental parser of the responses to GET requests.

    Interim responses are dropped, and so are the fields of trailer sections. A transfer coding other than
    chunked is not accepted, because requests offer none.
    """

    _body: ResponseBody
    _interim_count = 0
    _is_closed = False

    @property
    def is_closed(self) -> bool:
        """Whether the server has closed the connection."""
        return self._is_closed

    def close(self) -> bool:
        """Records that the server has closed the connection; returns whether that ends a response."""
        self._is_closed = True
        return self._head is not None and self._body.close()

    def take(self) -> Message[StatusLine] | None:
        """Returns the next final response, or None if it is incomplete; raises HttpError."""
        while (message := super().take()) is not None:
            if not message.start_line.status.startswith(INTERIM_STATUS_CLASS):
                self._interim_count = 0
                return message
            self._drop_interim(message)
        return None

    def _drop_interim(self, message: Message[StatusLine]) -> None:
        self._interim_count += 1
        if message.start_line.status == SWITCHING_PROTOCOLS or self._interim_count > MAX_INTERIM_RESPONSES:
            raise HttpError(
                400,
                f"interim response {self._interim_count} has status {message.start_line.status}; at most"
                f" {MAX_INTERIM_RESPONSES} with another status than {SWITCHING_PROTOCOLS} are accepted",
            )

    def _check_incomplete_head(self, start: int) -> None:
        """Raises HttpError for a bare LF, so that a head which never ends costs no further wait."""
        line_feed = find_bare_line_feed(self._data, start)
        if line_feed >= 0:
            raise HttpError(400, f"line {bytes(self._data[:line_feed])[-40:]!r} of the head ends without CR")

    def _split_head(self, head: bytes) -> tuple[bytes, list[bytes]]:
        if find_bare_line_feed(head, 0) >= 0:
            raise HttpError(400, "a line of the head ends without CR")
        first_line, field_lines = super()._split_head(head)
        return first_line, unfold_lines(field_lines)

    def _parse_start_line(self, line: bytes) -> StatusLine:
        words = line.split(b" ", 2)
        version = VERSIONS.get(words[0])
        if version is None and _LATER_MINOR_VERSION.fullmatch(words[0]):
            version = "HTTP/1.1"  # RFC 9110, section 2.5
        if version is None or len(words) < 2 or not _STATUS_CODE.fullmatch(words[1]):
            raise HttpError(
                400,
                f"malformed status line {line[:40]!r}; expected HTTP/1.0 or HTTP/1.1 and a status code",
            )
        return StatusLine(words[1].decode("ascii"), version)

    def _begin_body(self, head: Message[StatusLine]) -> None:
        """Chooses the body's framing, in the order of RFC 9112, section 6.3."""
        status = head.start_line.status
        if status in STATUSES_WITHOUT_BODY or status.startswith(INTERIM_STATUS_CLASS):
            self._body = FixedLengthBody(0)
        elif "transfer-encoding" in head.headers:
            self._check_transfer_encoding(head)
            self._body = ChunkedBody(self._max_body_bytes, self._max_head_bytes)
        elif "content-length" in head.headers:
            self._body = FixedLengthBody(self._read_length(head))
        else:
            self._body = BodyUntilClose(self._max_body_bytes)

    def _take_body(self) -> bytes | None:
        return self._body.take(self._data)

    def _check_transfer_encoding(self, head: Message[StatusLine]) -> None:
        if "content-length" in head.headers:
            raise HttpError(400, "the response has both Content-Length and Transfer-Encoding")
        if head.start_line.version == "HTTP/1.0":
            raise HttpError(400, "an HTTP/1.0 response has Transfer-Encoding")
        codings = _list_elements(head, "transfer-encoding")
        if [coding.lower() for coding in codings] != [CHUNKED]:
            raise HttpError(501, f"Transfer-Encoding {', '.join(codings)[:40]!r} is not {CHUNKED!r}")

    def _read_length(self, head: Message[StatusLine]) -> int:
        """Returns the length, which may be repeated (RFC 9112, section 6.3, item 5)."""
        elements = _list_elements(head, "content-length")
        lengths = {element.lstrip("0") for element in elements if _LENGTH.fullmatch(element)}
        if len(lengths) != 1 or not all(map(_LENGTH.fullmatch, elements)):
            raise HttpError(400, f"Content-Length {', '.join(elements)[:40]!r} is not one decimal number")
        digits = lengths.pop()
        if len(digits) > MAX_LENGTH_DIGITS or int(digits or "0") > self._max_body_bytes:
            raise HttpError(
                413, f"Content-Length is {digits[:20]} bytes; the limit is {self._max_body_bytes}"
            )
        return int(digits or "0")


def _list_elements(head: Message[StatusLine], name: str) -> list[str]:
    """Returns the elements of a list field without the empty ones (RFC 9110, section 5.6.1.2)."""
    elements = ",".join(head.headers[name]).split(",")
    return [element.strip(" \t") for element in elements if element.strip(" \t")]
