"""Encoding of the heads of HTTP/1.1 messages."""

from __future__ import annotations

from collections.abc import Mapping

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
