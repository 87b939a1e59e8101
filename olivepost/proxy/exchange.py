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
    """Outcome of a request. It determines the status code of the response to the client."""

    SERVED = "served"
    NOT_MODIFIED = "not_modified"  # the copy that the client has is current
    REJECTED = "rejected"  # the client may safely send the request again
    FAILED = "failed"  # the request may or may not have been executed


@dataclass(slots=True)
class Response:
    """The final response to a request. The code that uses the response last releases the body."""

    kind: ResponseKind
    etag: str | None = None  # entity tag without quotes; None if the endpoint sent none
    body: PooledBody | None = None
    generated_at: Instant | None = None  # time at which the origin generated the response; None if unknown
    retry_after: Duration | None = None  # advised delay before the client's retry; None if there is none

    def release(self) -> None:
        """Releases the body, if there is one."""
        if self.body is not None:
            self.body.release()


@dataclass(slots=True, eq=False)
class Exchange:
    """One request as the client sent it, and the callback that delivers its response.

    An exchange holds the data that the protocols of the downstream and the upstream connections need. Routing
    uses an `api.Request` instead. The event loop creates that object when the exchange arrives, and stores in
    it the time that remains for the request at that moment. The downstream connection's reader thread creates
    the exchange, and the event loop closes it exactly once. `_lock` guards `is_closed`; no other field ever
    changes.
    """

    id: str
    class_name: str
    object: str
    part: int
    group: int
    # Entity tag of the client's copy, without quotes. None if the client sent no tag that can be sent
    # upstream.
    etag: str | None
    body: bytes
    timeout: Duration  # time that the client waits for a response, from `received_at` on
    received_at: Instant  # time at which the request's last byte was read
    deliver: Callable[[Exchange, Response], None]  # passes the response to the client's connection
    # Asks the client's connection whether the client has disconnected. If so, no further attempt is written.
    is_client_disconnected: Callable[[], bool]
    is_write: bool = False  # whether the request changes the object at the origin
    is_client_retry: bool = False  # whether the client marked the request as a retry
    idempotency_key: str | None = None  # the client's key, by which caches recognize a retry
    is_closed: bool = False
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def close(self, response: Response | None) -> bool:
        """Ends the exchange and delivers its response; returns True for the first call only.

        `response` is None if the client has disconnected. A response that is passed to a second call is
        released and not delivered. `_lock` is not held during the call of `deliver`.
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
