"""Discrete-event simulation: virtual time, a queue of callbacks and a seeded random generator.

`Simulation` owns the queue and the current time, and runs callbacks in the order in which they are due. An
exception in a callback ends the simulation.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Protocol

from olivepost.units import MILLISECOND, SECOND, Duration, Instant

START: Instant = 1_800_000_000 * SECOND  # Unix time at which every simulation starts


class Pausable(Protocol):
    """A process that can be paused. It does nothing before the instant `paused_until`."""

    paused_until: Instant | None  # `None` if the process is not paused


class Simulation:
    """An event queue, the current time, and the random generator of all random choices.

    Not thread-safe.
    """

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.now = START
        self._queue: list[tuple[Instant, int, Callable[[], None]]] = []
        # Callbacks are numbered, so that those due at the same instant run in the order of their scheduling.
        self._last_number = 0

    def now_ms(self) -> int:
        """Returns the current time in Unix milliseconds, the unit in which stores measure time."""
        return self.now // MILLISECOND

    def is_paused(self, process: Pausable) -> bool:
        """Whether a process is paused now."""
        return process.paused_until is not None and process.paused_until > self.now

    def after(self, delay: Duration, process: Pausable | None, callback: Callable[[], None]) -> None:
        """Calls back after a delay.

        If `process` is paused when the delay is over, calls back when the process resumes.
        """
        self._last_number += 1
        due = self.now + max(0, delay)
        heappush(self._queue, (due, self._last_number, lambda: self._call(process, callback)))

    def _call(self, process: Pausable | None, callback: Callable[[], None]) -> None:
        if process is None or process.paused_until is None or process.paused_until <= self.now:
            callback()
            return
        self.after(process.paused_until - self.now, process, callback)

    def run(self, duration: Duration) -> None:
        """Advances the time by a duration and runs the callbacks that become due."""
        end = self.now + duration
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heappop(self._queue)
            callback()
        self.now = end
