"""Decides whether what one shared store says counts: a breaker on its answers, and its generation.

A store that came back empty, or from an old snapshot, must not be believed: its holders may be older than
purges, its claims those of others. Each process leaves a serial of its own there with every sync. A store
that does not know the last one confirmed has gone back, whatever its generation says, and whoever notices
raises it. All other records stand under a generation, so that those of older ones are gone for all fronts at
once. After each change of it this front's purges are put back and confirmed before anything read counts.
No clock, no I/O.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from olivepost.shared_store.messages import Reply

BAD_IN_A_ROW, LAST, BAD_SHARE, GOOD_TRIALS = 5, 20, 0.5, 2


class Gate(Enum):
    """Whether a store is asked."""

    OPEN = "asked"
    SHUT = "left alone"
    TRIAL = "tried"


class Trust(Enum):
    """How far a store's word counts."""

    NONE = "not met yet"
    RESTORING = "purges are put back"
    SURE = "counts"


class Verdict(Enum):
    """What a reply says of its store."""

    COUNTS = "counts"
    STALE = "of no use now"
    EMPTY = "has no generation"
    WENT_BACK = "has forgotten"
    MOVED = "another generation"


@dataclass(slots=True)
class Standing:
    """One store as this front sees it."""

    name: str
    draw: random.Random
    pause_first: int
    pause_most: int
    gate: Gate = Gate.TRIAL
    trust: Trust = Trust.NONE
    generation: int = 0
    confirmed: int = 0  # the last serial that it has said to have
    serial: int = 0
    cursor: int = 0  # the last purge read of it, by number
    restore: deque[tuple[tuple[str, int], ...]] = field(default_factory=deque)  # chunks still to be put back
    raising: bool = False  # a new generation is asked for
    pause: int = 0
    until: int = 0  # left alone until then
    good: int = 0  # in a row, while it is tried
    _bad: int = 0  # in a row
    _last: deque[bool] = field(default_factory=lambda: deque(maxlen=LAST))

    @property
    def up(self) -> bool:
        """Whether a request may wait for it."""
        return self.gate is Gate.OPEN and self.trust is Trust.SURE

    def answered(self, now: int, in_time: bool) -> None:
        """One answer, useful or late.

        Guards against stores that are slow, silent, full or refuse, at the price of a few requests' waits.
        Hurts where one answer in two is late for long: the good half is not used either."""
        self._last.append(not in_time)
        self._bad = 0 if in_time else self._bad + 1
        if self.gate is Gate.TRIAL:
            self.good = self.good + 1 if in_time else 0
            if self.good >= GOOD_TRIALS:
                self.gate, self.pause, self._bad = Gate.OPEN, 0, 0
                self._last.clear()
            elif not in_time:
                self._shut(now)
        elif self.gate is Gate.OPEN:
            half = len(self._last) == LAST and sum(self._last) > BAD_SHARE * LAST
            if self._bad >= BAD_IN_A_ROW or half:
                self._shut(now)

    def _shut(self, now: int) -> None:
        self.gate, self.good = Gate.SHUT, 0
        self.pause = min(self.pause_most, 2 * self.pause) if self.pause else self.pause_first
        # Jitter: fronts that lost a store together must not all try it in the same moment.
        self.until = now + int(self.pause * (0.5 + self.draw.random() / 2))

    def due(self, now: int) -> bool:
        """Whether it may be synced with now; one that was left alone long enough is on trial from here."""
        if self.gate is Gate.SHUT and now >= self.until:
            self.gate, self.good = Gate.TRIAL, 0
        return self.gate is not Gate.SHUT

    def next_serial(self) -> int:
        """This process's next sign of life."""
        self.serial += 1
        return self.serial

    def judge(self, reply: Reply, generation: int, confirmed: int) -> Verdict:
        """What a reply means; `generation` and `confirmed` are those of when it was asked."""
        if not reply.generation:
            return Verdict.EMPTY
        if reply.generation < self.generation:
            return Verdict.WENT_BACK if generation == self.generation else Verdict.STALE
        if reply.generation > self.generation:
            return Verdict.MOVED
        if generation != self.generation:
            return Verdict.STALE
        # Once it has forgotten, a serial that it was told since proves nothing: until a new generation.
        forgot = reply.serial < confirmed or self.trust is Trust.NONE
        return Verdict.WENT_BACK if forgot else Verdict.COUNTS

    def adopt(self, generation: int, purges: list[tuple[tuple[str, int], ...]]) -> None:
        """Goes by another generation, once the purges are put back, in chunks, and confirmed."""
        self.generation, self.confirmed, self.cursor = generation, 0, 0
        self.trust, self.restore = Trust.RESTORING, deque(purges)

    def put_back(self, chunk: tuple[tuple[str, int], ...]) -> bool:
        """A chunk of purges is confirmed; true where that was the last."""
        if self.trust is not Trust.RESTORING:
            return False
        if self.restore and self.restore[0] is chunk:
            self.restore.popleft()
        if not self.restore:
            self.trust = Trust.SURE
        return self.trust is Trust.SURE
