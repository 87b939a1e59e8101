"""Errors that end an upstream connection."""

from __future__ import annotations

from olivepost.units import MILLISECOND, Duration


class UpstreamError(Exception):
    """Base of the errors after which an upstream connection can't be used further."""


class LineProtocolError(UpstreamError):
    """Bytes that the published line protocol does not allow.

    `received` is what was rejected, cut to its first bytes; empty where the length alone was wrong.
    """

    def __init__(self, problem: str, received: bytes | str = "") -> None:
        super().__init__(f"{problem}: {received!r}" if received else problem)
        self.problem = problem
        self.received = received


class EndpointUnresponsiveError(UpstreamError):
    """The endpoint stopped within a response, or did not answer a liveness check, for `limit`."""

    def __init__(self, problem: str, limit: Duration) -> None:
        super().__init__(f"{problem} within {limit // MILLISECOND} ms")
        self.problem = problem
        self.limit = limit


class ReadBufferUnavailableError(UpstreamError):
    """No buffer to read into came free for a new connection within `timeout_s`."""

    def __init__(self, timeout_s: float) -> None:
        super().__init__(f"no read buffer came free within {timeout_s} s")
        self.timeout_s = timeout_s
