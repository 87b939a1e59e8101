"""Decides whether one shared store is used: a circuit breaker on its replies, and trust in its generation.

A store that came back empty, or from an old snapshot, must not be trusted: its cache locations may be older
than invalidations, its leases may belong to others. Each proxy process therefore leaves a growing serial with
every sync. A store that does not know the last confirmed serial has lost state, whatever its generation is,
and the proxy that notices advances the generation. All other records are kept under a generation, so that
those of older ones become unreachable for all proxies at once. After each change of the generation a proxy
publishes its invalidations again, and trusts what it reads only once they are confirmed. No clock, no I/O.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from olivepost.shared_store.messages import InvalidationChunk, StoreReply
from olivepost.units import Duration, Instant

MAX_CONSECUTIVE_FAILURES = 5  # open the breaker
RECENT_REPLIES = 20  # of which the failure rate is taken, once there are as many
MAX_FAILURE_RATE = 0.5  # of the recent replies; above it the breaker opens
SUCCESSES_TO_CLOSE = 2  # in a row, while the breaker is half-open


class BreakerState(Enum):
    """State of the circuit breaker: closed = used, open = left alone, half-open = on trial."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class TrustLevel(Enum):
    """How far a store's records count: not at all, while invalidations are published again, or fully."""

    NONE = "none"
    RESTORING = "restoring"
    TRUSTED = "trusted"


class ReplyVerdict(Enum):
    """What a reply says about its store."""

    CURRENT = "current"  # the reply counts
    STALE = "stale"  # it was sent for a generation that is no longer ours
    EMPTY = "empty"  # the store has no generation
    ROLLED_BACK = "rolled_back"  # the store has lost state
    MOVED = "moved"  # the store has a later generation


@dataclass(slots=True)
class StoreHealth:
    """One store as this proxy sees it. Used by the coordinator's thread only."""

    name: str
    rng: random.Random  # shared by all stores of the proxy
    min_backoff: Duration
    max_backoff: Duration
    breaker: BreakerState = BreakerState.HALF_OPEN
    trust: TrustLevel = TrustLevel.NONE
    generation: int = 0
    confirmed_serial: int = 0  # the last serial that the store has confirmed in this generation
    serial: int = 0
    cursor: int = 0  # number of the last invalidation read
    unpublished: deque[InvalidationChunk] = field(default_factory=deque)  # still to be published again
    is_advancing: bool = False  # a new generation has been requested
    backoff: int = 0  # the last one; 0: the breaker has closed since
    retry_at: Instant = 0  # when an open breaker becomes half-open
    trial_successes: int = 0  # in a row, while the breaker is half-open
    _consecutive_failures: int = 0
    _recent_failures: deque[bool] = field(default_factory=lambda: deque(maxlen=RECENT_REPLIES))

    @property
    def is_available(self) -> bool:
        """Whether a request may wait for the store."""
        return self.breaker is BreakerState.CLOSED and self.trust is TrustLevel.TRUSTED

    @property
    def accepts_publications(self) -> bool:
        """Whether something may be published there that no request waits for."""
        return self.trust is TrustLevel.TRUSTED and self.breaker is not BreakerState.OPEN

    def record_reply(self, now: Instant, in_time: bool) -> None:
        """Counts one reply as a success, or as a failure where it was late or lost.

        Guards against stores that are slow, silent, full or reject commands, at the cost of a few requests'
        waits. Where every second reply is late for long, the replies in time are not used either.
        """
        self._recent_failures.append(not in_time)
        self._consecutive_failures = 0 if in_time else self._consecutive_failures + 1
        if self.breaker is BreakerState.HALF_OPEN:
            self._record_trial(now, in_time)
        elif self.breaker is BreakerState.CLOSED and self._fails_too_often():
            self._open(now)

    def _record_trial(self, now: Instant, in_time: bool) -> None:
        if not in_time:
            self._open(now)
            return
        self.trial_successes += 1
        if self.trial_successes >= SUCCESSES_TO_CLOSE:
            self._close()

    def _fails_too_often(self) -> bool:
        if self._consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            return True
        if len(self._recent_failures) < RECENT_REPLIES:
            return False
        return sum(self._recent_failures) > MAX_FAILURE_RATE * RECENT_REPLIES

    def _close(self) -> None:
        self.breaker = BreakerState.CLOSED
        self.backoff = 0
        self._consecutive_failures = 0
        self._recent_failures.clear()

    def _open(self, now: Instant) -> None:
        self.breaker = BreakerState.OPEN
        self.trial_successes = 0
        self.backoff = min(self.max_backoff, 2 * self.backoff) if self.backoff else self.min_backoff
        # Jitter: proxies that lost a store together must not all retry it in the same moment.
        self.retry_at = now + int(self.backoff * (0.5 + self.rng.random() / 2))

    def allows_sync(self, now: Instant) -> bool:
        """Whether a sync may be sent now; an open breaker whose backoff is over becomes half-open."""
        if self.breaker is BreakerState.OPEN and now >= self.retry_at:
            self.breaker = BreakerState.HALF_OPEN
            self.trial_successes = 0
        return self.breaker is not BreakerState.OPEN

    def next_serial(self) -> int:
        """Returns this process's next heartbeat."""
        self.serial += 1
        return self.serial

    def judge_reply(self, reply: StoreReply, generation: int, confirmed_serial: int) -> ReplyVerdict:
        """Returns what a reply means.

        `generation` and `confirmed_serial` are those of the moment when the command was sent.
        """
        if not reply.generation:
            return ReplyVerdict.EMPTY
        if reply.generation < self.generation:
            return ReplyVerdict.ROLLED_BACK if generation == self.generation else ReplyVerdict.STALE
        if reply.generation > self.generation:
            return ReplyVerdict.MOVED
        if generation != self.generation:
            return ReplyVerdict.STALE
        # Once a store has lost state, a serial that it got since proves nothing until a new generation.
        has_lost_state = reply.serial < confirmed_serial or self.trust is TrustLevel.NONE
        return ReplyVerdict.ROLLED_BACK if has_lost_state else ReplyVerdict.CURRENT

    def adopt(self, generation: int, chunks: Iterable[InvalidationChunk]) -> None:
        """Adopts another generation; the store is trusted once all chunks are published and confirmed."""
        self.generation = generation
        self.confirmed_serial = 0
        self.cursor = 0
        self.trust = TrustLevel.RESTORING
        self.unpublished = deque(chunks)

    def confirm_published(self, chunk: InvalidationChunk) -> bool:
        """Notes that a chunk of invalidations is confirmed; returns whether it was the last."""
        if self.trust is not TrustLevel.RESTORING:
            return False
        if self.unpublished and self.unpublished[0] is chunk:
            self.unpublished.popleft()
        if self.unpublished:
            return False
        self.trust = TrustLevel.TRUSTED
        return True
