"""The event loop's queue, to which any thread posts events. Only the event loop's thread removes them."""

from __future__ import annotations

import queue
from typing import NamedTuple

from olivepost.proxy.clock import Clock
from olivepost.proxy.messages import LoopEvent
from olivepost.units import Instant


class PostedEvent(NamedTuple):
    """An event and the time at which it was posted."""

    posted_at: Instant
    event: LoopEvent


class EventQueue:
    """A thread-safe first-in, first-out queue of events, whose length is not limited."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue: queue.SimpleQueue[PostedEvent] = queue.SimpleQueue()

    def post(self, event: LoopEvent) -> None:
        """Queues an event without blocking. Any thread may call this method."""
        self._queue.put(PostedEvent(self._clock.now(), event))

    def get(self, timeout_s: float | None) -> PostedEvent:
        """Removes and returns the next event.

        Raises `queue.Empty` if no event arrives within the timeout. If the timeout is None, waits without a
        limit.
        """
        return self._queue.get(timeout=timeout_s)
