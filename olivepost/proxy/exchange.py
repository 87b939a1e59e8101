"""The exchange: the only data that the downstream and the upstream side of the proxy share."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from olivepost.proxy import invariants
from olivepost.proxy.buffers import PooledBody
from olivepost.units import Duration, Instant


class ResponseKind(Enum):
    """Outcome of a request, from which the status code for the client follows."""

    SERVED = "served"
    NOT_MODIFIED = "not_modified"  # the client's own copy is current
    REJECTED = "rejected"  # the client may safely send the request again
    FAILED = "failed"  # the request may have been executed or not


@dataclass(slots=True)
class Response:
    """The final response to a request. Its last owner releases its body."""

    kind: ResponseKind
    etag: str | None = None  # entity tag without quotes; None if the endpoint sent none
    body: PooledBody | None = None
    generated_at: Instant | None = None  # time at which the origin generated it; None if unknown
    retry_after: Duration | None = None  # advised delay before the client's retry; None if there is none

    def release(self) -> None:
        """Releases the body, if there is one."""
        if self.body is not None:
            self.body.release()


@dataclass(slots=True, eq=False)
class Exchange:
    """One request as the client sent it, and the callback that delivers its response.

    It holds the data that the protocols on both sides need. Routing uses an `api.Request` instead, which the
    event loop creates when the exchange arrives, with the time that remains then. The downstream connection's
    reader thread creates the exchange, and the event loop closes it exactly once. `_lock` guards `is_closed`;
    no other field ever changes.
    """

    id: str
    class_name: str
    object: str
    part: int
    group: int
    # Entity tag of the client's copy, without quotes; None if there is none that can be sent upstream.
    etag: str | None
    body: bytes
    timeout: Duration  # duration that starts at `received_at`
    received_at: Instant  # time at which the request's last byte was read
    deliver: Callable[[Exchange, Response], None]  # passes the response to the client's connection
    # Asks the client's connection. If it returns true, no attempt is written.
    is_client_disconnected: Callable[[], bool]
    is_write: bool = False  # whether the request changes the object at the origin
    idempotency_key: str | None = None  # the client's key, by which caches recognize a retry
    is_closed: bool = False
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def close(self, response: Response | None) -> bool:
        """Ends the exchange; returns True for the first call only.

        The response is None if the client has disconnected. The response of a second call is released and not
        delivered. `deliver` is called without holding the lock.
        """
        with self._lock:
            is_first = not self.is_closed
            self.is_closed = True
        if not invariants.check(is_first, "exchange_closed_once"):
            if response is not None:
                response.release()
        elif response is not None:
            self.deliver(self, response)
        return is_first


@dataclass(slots=True)
class RequestReceived:
    """Event: a client's request has been read completely."""

    exchange: Exchange


@dataclass(slots=True)
class RequestAbandoned:
    """Event: the client has disconnected before it got its response."""

    exchange: Exchange
