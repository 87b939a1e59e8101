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

from olivepost.shared_store.messages import StoreReply

BAD_IN_A_ROW, LAST, BAD_SHARE, GOOD_TRIALS = 5, 20, 0.5, 2


class BreakerState(Enum):
    """Whether a store is asked."""

    CLOSED = "asked"
    OPEN = "left alone"
    HALF_OPEN = "tried"


class TrustLevel(Enum):
    """How far a store's word counts."""

    NONE = "not met yet"
    RESTORING = "purges are put back"
    TRUSTED = "counts"


class ReplyVerdict(Enum):
    """What a reply says of its store."""

    CURRENT = "counts"
    STALE = "of no use now"
    EMPTY = "has no generation"
    ROLLED_BACK = "has forgotten"
    MOVED = "another generation"


@dataclass(slots=True)
class StoreHealth:
    """One store as this front sees it."""

    name: str
    draw: random.Random
    pause_first: int
    pause_most: int
    breaker: BreakerState = BreakerState.HALF_OPEN
    trust: TrustLevel = TrustLevel.NONE
    generation: int = 0
    confirmed_serial: int = 0  # the last serial that it has said to have
    serial: int = 0
    cursor: int = 0  # the last purge read of it, by number
    unpublished: deque[tuple[tuple[str, int], ...]] = field(
        default_factory=deque
    )  # chunks still to be put back
    is_advancing: bool = False  # a new generation is asked for
    backoff: int = 0
    retry_at: int = 0  # left alone until then
    good_in_a_row: int = 0  # in a row, while it is tried
    _bad: int = 0  # in a row
    _last: deque[bool] = field(default_factory=lambda: deque(maxlen=LAST))

    @property
    def is_available(self) -> bool:
        """Whether a request may wait for it."""
        return self.breaker is BreakerState.CLOSED and self.trust is TrustLevel.TRUSTED

    def record_reply(self, now: int, in_time: bool) -> None:
        """One answer, useful or late.

        Guards against stores that are slow, silent, full or refuse, at the price of a few requests' waits.
        Hurts where one answer in two is late for long: the good half is not used either."""
        self._last.append(not in_time)
        self._bad = 0 if in_time else self._bad + 1
        if self.breaker is BreakerState.HALF_OPEN:
            self.good_in_a_row = self.good_in_a_row + 1 if in_time else 0
            if self.good_in_a_row >= GOOD_TRIALS:
                self.breaker, self.backoff, self._bad = BreakerState.CLOSED, 0, 0
                self._last.clear()
            elif not in_time:
                self._shut(now)
        elif self.breaker is BreakerState.CLOSED:
            half = len(self._last) == LAST and sum(self._last) > BAD_SHARE * LAST
            if self._bad >= BAD_IN_A_ROW or half:
                self._shut(now)

    def _shut(self, now: int) -> None:
        self.breaker, self.good_in_a_row = BreakerState.OPEN, 0
        self.backoff = min(self.pause_most, 2 * self.backoff) if self.backoff else self.pause_first
        # Jitter: fronts that lost a store together must not all try it in the same moment.
        self.retry_at = now + int(self.backoff * (0.5 + self.draw.random() / 2))

    def allows_sync(self, now: int) -> bool:
        """Whether it may be synced with now; one that was left alone long enough is on trial from here."""
        if self.breaker is BreakerState.OPEN and now >= self.retry_at:
            self.breaker, self.good_in_a_row = BreakerState.HALF_OPEN, 0
        return self.breaker is not BreakerState.OPEN

    def next_serial(self) -> int:
        """This process's next sign of life."""
        self.serial += 1
        return self.serial

    def judge(self, reply: StoreReply, generation: int, confirmed: int) -> ReplyVerdict:
        """What a reply means; `generation` and `confirmed_serial` are those of when it was asked."""
        if not reply.generation:
            return ReplyVerdict.EMPTY
        if reply.generation < self.generation:
            return ReplyVerdict.ROLLED_BACK if generation == self.generation else ReplyVerdict.STALE
        if reply.generation > self.generation:
            return ReplyVerdict.MOVED
        if generation != self.generation:
            return ReplyVerdict.STALE
        # Once it has forgotten, a serial that it was told since proves nothing: until a new generation.
        forgot = reply.serial < confirmed or self.trust is TrustLevel.NONE
        return ReplyVerdict.ROLLED_BACK if forgot else ReplyVerdict.CURRENT

    def adopt(self, generation: int, purges: list[tuple[tuple[str, int], ...]]) -> None:
        """Goes by another generation, once the purges are put back, in chunks, and confirmed."""
        self.generation, self.confirmed_serial, self.cursor = generation, 0, 0
        self.trust, self.unpublished = TrustLevel.RESTORING, deque(purges)

    def confirm_published(self, chunk: tuple[tuple[str, int], ...]) -> bool:
        """A chunk of purges is confirmed; true where that was the last."""
        if self.trust is not TrustLevel.RESTORING:
            return False
        if self.unpublished and self.unpublished[0] is chunk:
            self.unpublished.popleft()
        if not self.unpublished:
            self.trust = TrustLevel.TRUSTED
        return self.trust is TrustLevel.TRUSTED
