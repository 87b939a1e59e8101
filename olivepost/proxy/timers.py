"""Timers of the event loop: the router's, and one for the timeout of each attempt."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import NamedTuple


class Timer(NamedTuple):
    """One timer; those that are due at one time fire in the order in which they were set."""

    due_at: int  # nanoseconds on the proxy's clock
    sequence: int
    timer_id: int
    is_attempt_timeout: bool  # otherwise the router set it, under an id of its own


class TimerQueue:
    """Timers by due time. Only the event loop's thread calls this.

    A timer is never removed before it is due: whoever no longer needs it ignores its id.
    """

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._sequence = 0

    @property
    def next_due_at(self) -> int | None:
        """When the next timer is due; None where none is set."""
        return self._heap[0].due_at if self._heap else None

    def new_timer_id(self) -> int:
        """An id for an attempt's timeout, unique in this process."""
        self._sequence += 1
        return self._sequence

    def schedule(self, due_at: int, timer_id: int, *, is_attempt_timeout: bool = False) -> None:
        """Sets a timer."""
        self._sequence += 1
        heappush(self._heap, Timer(due_at, self._sequence, timer_id, is_attempt_timeout))

    def pop(self) -> Timer:
        """Removes and returns the timer that is due next."""
        return heappop(self._heap)
