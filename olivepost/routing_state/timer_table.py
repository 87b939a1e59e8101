"""The table of the timers that routing has set."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from olivepost.units import Instant

TimerCallback = Callable[[Instant], None]  # called with the time at which the timer fired


class TimerTable:
    """Timer callbacks by timer id. No id is used twice."""

    def __init__(self) -> None:
        self._callbacks: dict[int, TimerCallback] = {}
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._callbacks)

    def __contains__(self, timer_id: int) -> bool:
        return timer_id in self._callbacks

    def add(self, callback: TimerCallback) -> int:
        """Registers a callback and returns its timer id."""
        self._last_id += 1
        self._callbacks[self._last_id] = callback
        return self._last_id

    def pop(self, timer_id: int) -> TimerCallback | None:
        """Removes a timer and returns its callback; None if the timer has fired or was discarded."""
        return self._callbacks.pop(timer_id, None)

    def discard(self, timer_ids: Iterable[int]) -> None:
        """Removes the timers of a request that is over, so that they use no memory until they fire."""
        for timer_id in timer_ids:
            self._callbacks.pop(timer_id, None)
