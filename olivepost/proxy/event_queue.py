"""The event loop's queue: any thread posts, the event loop's thread takes."""

from __future__ import annotations

import queue
from typing import NamedTuple

from olivepost.proxy.clock import Clock
from olivepost.proxy.messages import LoopEvent
from olivepost.units import Instant


class PostedEvent(NamedTuple):
    """A message, with the time at which it was posted."""

    posted_at: Instant  # nanoseconds on the proxy's clock
    event: LoopEvent


class EventQueue:
    """Messages in the order in which they were posted. Thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue: queue.SimpleQueue[PostedEvent] = queue.SimpleQueue()

    def post(self, event: LoopEvent) -> None:
        """Hands a message over; never waits."""
        self._queue.put(PostedEvent(self._clock.now(), event))

    def get(self, timeout_s: float | None) -> PostedEvent:
        """The next message; `queue.Empty` where none comes within the timeout, `None`: wait for ever."""
        return self._queue.get(timeout=timeout_s)
