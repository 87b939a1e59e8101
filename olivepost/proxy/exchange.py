"""The exchange: all that the downstream and the upstream side know of each other."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from olivepost.proxy import invariants
from olivepost.proxy.buffers import PooledBody
from olivepost.units import Duration, Instant


class ResponseKind(Enum):
    """How a request ended; the client's status code follows from it."""

    SERVED = "served"
    NOT_MODIFIED = "not_modified"  # the client's own copy is current
    REJECTED = "rejected"  # a retry by the client is harmless
    FAILED = "failed"  # with no promise about its effect


@dataclass(slots=True)
class Response:
    """The final response; its last owner releases its body."""

    kind: ResponseKind
    etag: str | None = None  # without quotes; None: the endpoint named none
    body: PooledBody | None = None
    generated_at: Instant | None = None  # when the origin generated it; None: unknown
    retry_after: Duration | None = None  # None: no advice

    def release(self) -> None:
        """Releases the body, if there is one."""
        if self.body is not None:
            self.body.release()


@dataclass(slots=True, eq=False)
class Exchange:
    """One request as the client sent it, and the way back for its response.

    It holds what the wire needs on both sides. Routing sees an `api.Request`: the event loop makes it of an
    exchange on arrival, with the time that remains then. The downstream connection's reader thread makes the
    exchange; the event loop closes it exactly once. `_lock` guards `is_closed`; no other field ever changes.
    """

    id: str
    class_name: str
    object: str
    part: int
    group: int
    etag: str | None  # of the client's copy, without quotes; None: none that upstream could be given
    body: bytes
    timeout: Duration  # from `received_at`
    received_at: Instant  # when the last byte was read
    deliver: Callable[[Exchange, Response], None]  # gives the response to the client's connection
    is_client_disconnected: Callable[[], bool]  # asks the client's connection; no attempt begins then
    is_write: bool = False  # it changes the object, at the origin
    idempotency_key: str | None = None  # by which caches know a retry, as the client gave it
    is_closed: bool = False
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def close(self, response: Response | None) -> bool:
        """Ends the exchange, with None where the client has disconnected; true for the first call only.

        The response of a second call is released, not delivered. `deliver` is called without the lock.
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
    """A client's request has been read to its end."""

    exchange: Exchange


@dataclass(slots=True)
class RequestAbandoned:
    """The client has disconnected before its response."""

    exchange: Exchange
