"""The exchange object: all that the client side and the server side know of each other."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from olivepost.proxy import invariants
from olivepost.proxy.buffers import Body


class Verdict(Enum):
    """What became of a request."""

    SERVED = "served"
    CURRENT = "current"  # the client's own copy is the one
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Answer:
    """The final answer; whoever ends with it releases its body."""

    verdict: Verdict
    tag: str = ""
    body: Body | None = None
    issued: int = 0  # when the origin gave out this copy, in Unix nanoseconds; 0: not told
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
    tag: str  # the client's copy, bare; empty: none that can be passed on
    payload: bytes
    patience: int
    arrived: int  # when the last byte was read
    deliver: Callable[[Exchange, Answer], None]
    deserted: Callable[[], bool]  # whether the client has gone, by its connection: no attempt begins then
    writes: bool = False  # it changes the object, at the origin
    dedupe: str = ""  # by which caches know a repeat, as the client gave it
    closed: bool = False
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def close(self, answer: Answer | None) -> bool:
        """Ends the exchange; None where the client has gone. Only the first call counts."""
        with self._lock:
            first, self.closed = not self.closed, True
        if not invariants.check(first, "answered_once"):
            if answer is not None:
                answer.release()
        elif answer is not None:
            self.deliver(self, answer)
        return first


@dataclass(slots=True)
class Arrived:
    """A client's request has come whole."""

    exchange: Exchange


@dataclass(slots=True)
class Left:
    """The client has gone before it had its answer."""

    exchange: Exchange
