"""Errors that end an upstream connection."""

from __future__ import annotations

from olivepost.units import MILLISECOND, Duration


class UpstreamError(Exception):
    """Base class of the errors after which an upstream connection can no longer be used."""


class LineProtocolError(UpstreamError):
    """Error: an endpoint has sent bytes that the published line protocol does not allow.

    `received` is the start of the rejected input. It is empty if the input was only too long.
    """

    def __init__(self, problem: str, received: bytes | str = "") -> None:
        super().__init__(f"{problem}: {received!r}" if received else problem)
        self.problem = problem
        self.received = received


class EndpointUnresponsiveError(UpstreamError):
    """Error: an endpoint has not done within `limit` what the proxy waited for.

    The proxy waited for the next bytes or the end of a response, or for the reply to a liveness check.
    """

    def __init__(self, problem: str, limit: Duration) -> None:
        super().__init__(f"{problem} within {limit // MILLISECOND} ms")
        self.problem = problem
        self.limit = limit


class ReadBufferUnavailableError(UpstreamError):
    """Error: no read buffer became free for a new connection within `timeout_s`."""

    def __init__(self, timeout_s: float) -> None:
        super().__init__(f"no read buffer became free within {timeout_s} s")
        self.timeout_s = timeout_s
