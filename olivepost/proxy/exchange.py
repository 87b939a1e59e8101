"""The exchange object: all that the client side and the server side know of each other."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from olivepost.proxy import invariants
from olivepost.proxy.buffers import PooledBody


class ResponseKind(Enum):
    """What became of a request."""

    SERVED = "served"
    NOT_MODIFIED = "current"  # the client's own copy is the one
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Response:
    """The final answer; whoever ends with it releases its body."""

    kind: ResponseKind
    etag: str = ""
    body: PooledBody | None = None
    generated_at: int = 0  # when the origin gave out this copy, in Unix nanoseconds; 0: not told
    retry_after: int = 0

    def release(self) -> None:
        if self.body is not None:
            self.body.release()


@dataclass(slots=True, eq=False)
class Exchange:
    """One request and its answer; closed exactly once, by the engine."""

    id: str
    class_name: str
    object: str
    part: int
    group: int
    etag: str  # the client's copy, bare; empty: none that can be passed on
    body: bytes
    timeout: int
    received_at: int  # when the last byte was read
    deliver: Callable[[Exchange, Response], None]
    is_client_gone: Callable[
        [], bool
    ]  # whether the client has gone, by its connection: no attempt begins then
    is_write: bool = False  # it changes the object, at the origin
    idempotency_key: str = ""  # by which caches know a repeat, as the client gave it
    is_closed: bool = False
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def close(self, answer: Response | None) -> bool:
        """Ends the exchange; None where the client has gone. Only the first call counts."""
        with self._lock:
            first, self.is_closed = not self.is_closed, True
        if not invariants.check(first, "answered_once"):
            if answer is not None:
                answer.release()
        elif answer is not None:
            self.deliver(self, answer)
        return first


@dataclass(slots=True)
class RequestReceived:
    """A client's request has come whole."""

    exchange: Exchange


@dataclass(slots=True)
class RequestAbandoned:
    """The client has gone before it had its answer."""

    exchange: Exchange
