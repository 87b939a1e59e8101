"""Types of HTTP/1.1 messages, and the error of a message that is not accepted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar


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
