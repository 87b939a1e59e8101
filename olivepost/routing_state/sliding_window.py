"""A running sum over a sliding window of time."""

from __future__ import annotations

from collections import deque

from olivepost.units import Duration, Instant


class SlidingWindowSum:
    """Amounts by time, and the sum of those within the window.

    The sum is kept as amounts come and go, since several decisions a request read it.
    """

    __slots__ = ("_amounts", "_total", "_window")

    def __init__(self, window: Duration) -> None:
        self._window = window
        self._amounts: deque[tuple[Instant, float]] = deque()
        self._total = 0.0

    def __len__(self) -> int:
        return len(self._amounts)

    def add(self, now: Instant, amount: float) -> None:
        """Adds an amount at the present time."""
        self._amounts.append((now, amount))
        self._total += amount
        self._evict(now)

    def total(self, now: Instant) -> float:
        """The sum of what was added within the window."""
        self._evict(now)
        return self._total

    def _evict(self, now: Instant) -> None:
        amounts = self._amounts
        while amounts and amounts[0][0] <= now - self._window:
            self._total -= amounts.popleft()[1]
