"""Virtual time and a seeded random generator: callbacks in the order in which they are due.

Owns the queue of callbacks and the present time. A callback that raises ends the simulation.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Protocol

from olivepost.units import MILLISECOND, SECOND, Duration, Instant

START: Instant = 1_800_000_000 * SECOND  # Unix time at which every simulation starts


class Pausable(Protocol):
    """A process that does nothing until an instant."""

    paused_until: Instant | None  # None: it runs


class Simulation:
    """An event queue, the present time, and the random generator of all that is left to chance.

    Not thread-safe.
    """

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.now = START
        self._queue: list[tuple[Instant, int, Callable[[], None]]] = []
        self._last_number = 0  # of a callback: of those due at the same instant, the first set runs first

    def now_ms(self) -> int:
        """The present time in Unix milliseconds, as stores have it."""
        return self.now // MILLISECOND

    def is_paused(self, process: Pausable) -> bool:
        """Whether a process does nothing now."""
        return process.paused_until is not None and process.paused_until > self.now

    def after(self, delay: Duration, process: Pausable | None, callback: Callable[[], None]) -> None:
        """Calls back later; for a process that is paused by then, once it resumes."""
        self._last_number += 1
        due = self.now + max(0, delay)
        heappush(self._queue, (due, self._last_number, lambda: self._call(process, callback)))

    def _call(self, process: Pausable | None, callback: Callable[[], None]) -> None:
        if process is None or process.paused_until is None or process.paused_until <= self.now:
            callback()
            return
        self.after(process.paused_until - self.now, process, callback)

    def run(self, duration: Duration) -> None:
        """Lets time pass, with all that is due meanwhile."""
        end = self.now + duration
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heappop(self._queue)
            callback()
        self.now = end
