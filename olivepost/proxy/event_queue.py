"""The event loop's queue: any thread posts, the event loop's thread takes."""

from __future__ import annotations

import queue
from typing import NamedTuple

from olivepost.proxy.clock import Clock
from olivepost.proxy.messages import LoopEvent
from olivepost.units import Instant


class PostedEvent(NamedTuple):
    """An event, with the time at which it was posted."""

    posted_at: Instant
    event: LoopEvent


class EventQueue:
    """Events in the order in which they were posted. Thread-safe; its length has no bound of its own."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue: queue.SimpleQueue[PostedEvent] = queue.SimpleQueue()

    def post(self, event: LoopEvent) -> None:
        """Queues an event; never waits. Any thread may call it."""
        self._queue.put(PostedEvent(self._clock.now(), event))

    def get(self, timeout_s: float | None) -> PostedEvent:
        """Takes the next event; raises `queue.Empty` at the timeout. None waits for ever."""
        return self._queue.get(timeout=timeout_s)
