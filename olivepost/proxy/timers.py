"""Timers of the event loop: the router's, and one for the timeout of each attempt."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from olivepost.units import Instant

# Stale timers, beyond as many as there are live ones, from which all stale ones are removed.
MAX_STALE_TIMERS = 1_024


class Timer(NamedTuple):
    """One timer; those that are due at one time fire in the order in which they were set."""

    due_at: Instant
    sequence: int  # in which they were set
    timer_id: int
    is_attempt_timeout: bool  # otherwise the router set it, under an id of its own


class TimerQueue:
    """Timers by due time. Only the event loop's thread calls this.

    A timer is not cancelled: its id is ignored when it fires. Such stale timers leave the queue when they are
    due, or once they outnumber those for which `is_live` holds.
    """

    def __init__(self, is_live: Callable[[Timer], bool]) -> None:
        self._is_live = is_live
        self._heap: list[Timer] = []
        self._sequence = 0
        self._cleaning_length = MAX_STALE_TIMERS  # of the heap, from which stale timers are removed

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def next_due_at(self) -> Instant | None:
        """When the next timer is due; None where none is set."""
        return self._heap[0].due_at if self._heap else None

    def new_timer_id(self) -> int:
        """An id for an attempt's timeout, unique in this process."""
        self._sequence += 1
        return self._sequence

    def schedule(self, due_at: Instant, timer_id: int, *, is_attempt_timeout: bool = False) -> None:
        """Sets a timer."""
        self._sequence += 1
        heappush(self._heap, Timer(due_at, self._sequence, timer_id, is_attempt_timeout))
        if len(self._heap) > self._cleaning_length:
            self._remove_stale()

    def pop(self) -> Timer:
        """Removes and returns the timer that is due next."""
        return heappop(self._heap)

    def _remove_stale(self) -> None:
        self._heap = [timer for timer in self._heap if self._is_live(timer)]
        heapify(self._heap)
        self._cleaning_length = 2 * len(self._heap) + MAX_STALE_TIMERS
