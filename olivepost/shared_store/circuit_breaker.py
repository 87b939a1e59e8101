"""The circuit breaker of one store: stops its use while replies are late or lost. No clock, no I/O."""

from __future__ import annotations

import random
from collections import deque
from enum import Enum

from olivepost.units import Duration, Instant

MAX_CONSECUTIVE_FAILURES = 5  # as many open the breaker
RECENT_REPLIES = 20  # over which the failure rate is taken
MAX_FAILURE_RATE = 0.5  # share of the recent replies; above it the breaker opens
SUCCESSES_TO_CLOSE = 2  # consecutive, while the breaker is half-open
MIN_JITTER_SHARE = 0.5  # of a backoff; the rest is random


class BreakerState(Enum):
    """Closed: the store is used. Open: it is not. Half-open: syncs try it, requests don't wait for it."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Counts one store's replies in time and its failures. Used by the coordinator's thread only.

    `random_source` is shared by all stores of the proxy. A new breaker is half-open.
    """

    def __init__(self, random_source: random.Random, min_backoff: Duration, max_backoff: Duration) -> None:
        self.state = BreakerState.HALF_OPEN
        self.retry_at: Instant | None = None  # when an open breaker becomes half-open; None: it is not open
        self._random = random_source
        self._min_backoff = min_backoff
        self._max_backoff = max_backoff
        self._backoff: Duration | None = None  # the last one; None: the breaker has closed since
        self._trial_successes = 0  # consecutive, while the breaker is half-open
        self._consecutive_failures = 0
        self._recent_failures: deque[bool] = deque(maxlen=RECENT_REPLIES)

    def record_success(self, now: Instant) -> None:
        """A reply came in time."""
        self._recent_failures.append(False)
        self._consecutive_failures = 0
        if self.state is BreakerState.HALF_OPEN:
            self._record_trial_success()
        else:
            self._open_if_failing(now)  # this reply may complete the recent ones

    def record_failure(self, now: Instant) -> None:
        """A reply was late or lost, whether the store is slow, silent, full or rejects commands."""
        self._recent_failures.append(True)
        self._consecutive_failures += 1
        if self.state is BreakerState.HALF_OPEN:
            self._open(now)
        else:
            self._open_if_failing(now)

    def begin_trial_if_due(self, now: Instant) -> None:
        """Makes an open breaker half-open once its backoff is over."""
        if self.retry_at is not None and now >= self.retry_at:
            self.state = BreakerState.HALF_OPEN
            self.retry_at = None
            self._trial_successes = 0

    def _record_trial_success(self) -> None:
        self._trial_successes += 1
        if self._trial_successes >= SUCCESSES_TO_CLOSE:
            self._close()

    def _open_if_failing(self, now: Instant) -> None:
        if self.state is BreakerState.CLOSED and self._fails_too_often():
            self._open(now)

    def _fails_too_often(self) -> bool:
        if self._consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            return True
        if len(self._recent_failures) < RECENT_REPLIES:
            return False
        return sum(self._recent_failures) > MAX_FAILURE_RATE * RECENT_REPLIES

    def _close(self) -> None:
        self.state = BreakerState.CLOSED
        self._backoff = None
        self._consecutive_failures = 0
        self._recent_failures.clear()

    def _open(self, now: Instant) -> None:
        self.state = BreakerState.OPEN
        self._trial_successes = 0
        self._backoff = self._next_backoff()
        # Jitter: proxies that lost a store together must not all retry it in the same moment.
        share = MIN_JITTER_SHARE + self._random.random() * (1 - MIN_JITTER_SHARE)
        self.retry_at = now + int(self._backoff * share)

    def _next_backoff(self) -> Duration:
        if self._backoff is None:
            return self._min_backoff
        return min(self._max_backoff, 2 * self._backoff)
