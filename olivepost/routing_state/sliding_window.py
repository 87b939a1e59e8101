"""A running sum over a sliding window of time."""

from __future__ import annotations

from collections import deque

from olivepost.units import Duration, Instant


class SlidingWindowSum:
    """Amounts with the times at which they were added, and their sum within the window.

    The sum is updated whenever amounts are added or evicted, because several decisions per request read it.
    """

    __slots__ = ("_amounts", "_total", "_window")

    def __init__(self, window: Duration) -> None:
        self._window = window
        self._amounts: deque[tuple[Instant, float]] = deque()
        self._total = 0.0

    def __len__(self) -> int:
        return len(self._amounts)

    def add(self, now: Instant, amount: float) -> None:
        """Adds an amount at `now`."""
        self._amounts.append((now, amount))
        self._total += amount
        self._evict(now)

    def total(self, now: Instant) -> float:
        """Returns the sum of the amounts that were added within the window."""
        self._evict(now)
        return self._total

    def _evict(self, now: Instant) -> None:
        amounts = self._amounts
        while amounts and amounts[0][0] <= now - self._window:
            self._total -= amounts.popleft()[1]
