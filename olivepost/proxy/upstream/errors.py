"""Errors that end an upstream connection."""

from __future__ import annotations

from olivepost.units import MILLISECOND, Duration


class UpstreamError(Exception):
    """Base class of the errors after which an upstream connection can no longer be used."""


class LineProtocolError(UpstreamError):
    """Bytes that the published line protocol does not allow.

    `received` is the start of the rejected input. It is empty if the input was only too long.
    """

    def __init__(self, problem: str, received: bytes | str = "") -> None:
        super().__init__(f"{problem}: {received!r}" if received else problem)
        self.problem = problem
        self.received = received


class EndpointUnresponsiveError(UpstreamError):
    """Failure of an endpoint to continue or end a response, or reply to a liveness check, within `limit`."""

    def __init__(self, problem: str, limit: Duration) -> None:
        super().__init__(f"{problem} within {limit // MILLISECOND} ms")
        self.problem = problem
        self.limit = limit


class ReadBufferUnavailableError(UpstreamError):
    """Shortage of read buffers: none became free for a new connection within `timeout_s`."""

    def __init__(self, timeout_s: float) -> None:
        super().__init__(f"no read buffer became free within {timeout_s} s")
        self.timeout_s = timeout_s
