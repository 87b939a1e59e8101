"""Virtual time and seeded chance: callbacks in the order in which they are due."""

from __future__ import annotations

import random
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Protocol

from olivepost.units import MILLISECOND, SECOND

START = 1_800_000_000 * SECOND  # Unix time at which every simulation starts


class Pausable(Protocol):
    """A process that does nothing until a time."""

    paused_until: int


class Simulation:
    """An event queue, the present time in nanoseconds, and what chance draws. Not thread-safe."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.now = START
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._last_number = 0  # of what is due at the same time, the first comes first

    def now_ms(self) -> int:
        """The present time in milliseconds, as stores have it."""
        return self.now // MILLISECOND

    def after(self, delay: int, process: Pausable | None, callback: Callable[[], None]) -> None:
        """Calls back later; a process that is paused then does it when it goes on."""
        self._last_number += 1
        due = self.now + max(0, delay)
        heappush(self._queue, (due, self._last_number, lambda: self._call(process, callback)))

    def _call(self, process: Pausable | None, callback: Callable[[], None]) -> None:
        if process is not None and process.paused_until > self.now:
            self.after(process.paused_until - self.now, process, callback)
        else:
            callback()

    def run(self, duration: int) -> None:
        """Lets time pass."""
        end = self.now + duration
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heappop(self._queue)
            callback()
        self.now = end
