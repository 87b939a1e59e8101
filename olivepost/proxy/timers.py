"""Timers of the event loop: those that the router sets, and one for the timeout of each attempt."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from olivepost.units import Instant

# Stale timers no longer have an effect. All stale timers are removed when the number of timers exceeds this
# number plus twice the number of timers that remained after the last removal.
MAX_STALE_TIMERS = 1_024


class Timer(NamedTuple):
    """One timer. Timers that are due at the same time fire in the order in which they were set."""

    due_at: Instant
    sequence: int  # number that grows with each timer that is set; it orders timers with the same due time
    timer_id: int
    # True if the timer is the timeout of an attempt. False if the router set the timer; `timer_id` is then
    # the id that the router has chosen.
    is_attempt_timeout: bool


class TimerQueue:
    """A priority queue of timers by due time. Only the event loop's thread uses it.

    Timers are not cancelled. Instead, a timer becomes stale when it is no longer needed, and a stale timer
    has no effect when it fires. Stale timers, for which `is_live` returns false, leave the queue when they
    are due. If there are too many timers (see `MAX_STALE_TIMERS`), all stale timers are removed at once.
    """

    def __init__(self, is_live: Callable[[Timer], bool]) -> None:
        self._is_live = is_live
        self._heap: list[Timer] = []
        self._sequence = 0
        # Stale timers are removed if there are more timers than this.
        self._cleaning_length = MAX_STALE_TIMERS

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def next_due_at(self) -> Instant | None:
        """Time at which the next timer is due; None if no timer is set."""
        return self._heap[0].due_at if self._heap else None

    def new_timer_id(self) -> int:
        """Returns an id for the timeout of an attempt; no other attempt of this process gets the same id."""
        self._sequence += 1
        return self._sequence

    def schedule(self, due_at: Instant, timer_id: int, *, is_attempt_timeout: bool = False) -> None:
        """Sets a timer.

        `is_attempt_timeout` is true if the timer is the timeout of an attempt, and false if the router set
        the timer. A timer of the router and the timeout of an attempt may have the same id.
        """
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
