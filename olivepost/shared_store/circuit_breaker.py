"""The circuit breaker of a store, which stops the use of the store while its replies are late or lost.

This module has no clock and does no I/O.
"""

from __future__ import annotations

import random
from collections import deque
from enum import Enum

from olivepost.units import Duration, Instant

MAX_CONSECUTIVE_FAILURES = 5  # number of consecutive failures that opens the breaker
RECENT_REPLIES = 20  # number of latest replies from which the failure rate is computed
MAX_FAILURE_RATE = 0.5  # share of failures among the recent replies; a higher share opens the breaker
SUCCESSES_TO_CLOSE = 2  # number of consecutive successes that closes a half-open breaker
MIN_JITTER_SHARE = 0.5  # a trial waits for this share of the backoff, and for a random part of the rest


class BreakerState(Enum):
    """The state of a circuit breaker.

    The store is used while its breaker is closed, and not used while the breaker is open. While the breaker
    is half-open, the periodic syncs try the store, and requests don't wait for the store.
    """

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """A counter of one store's timely replies and failures. It decides whether the store is used.

    Only the coordinator's thread uses this class. `random_source` is shared by all stores of the proxy. A new
    breaker is half-open.
    """

    def __init__(self, random_source: random.Random, min_backoff: Duration, max_backoff: Duration) -> None:
        self.state = BreakerState.HALF_OPEN
        self.retry_at: Instant | None = None  # when an open breaker becomes half-open; `None` in other states
        self._random = random_source
        self._min_backoff = min_backoff
        self._max_backoff = max_backoff
        # The latest backoff, or `None` if the breaker has not opened since it was created or last closed.
        self._backoff: Duration | None = None
        self._trial_successes = 0  # consecutive successes while the breaker is half-open
        self._consecutive_failures = 0
        self._recent_failures: deque[bool] = deque(maxlen=RECENT_REPLIES)

    def record_success(self, now: Instant) -> None:
        """Records that a reply came in time."""
        self._recent_failures.append(False)
        self._consecutive_failures = 0
        if self.state is BreakerState.HALF_OPEN:
            self._record_trial_success()
        else:
            # The failure rate is not computed until `RECENT_REPLIES` replies are known. This success may
            # complete that number, so a success can open the breaker, too.
            self._open_if_failing(now)

    def record_failure(self, now: Instant) -> None:
        """Records that a reply was late or lost.

        The cause makes no difference: the store may be slow, silent or full, or may reject commands.
        """
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
        # The jitter prevents proxies that lost a store at the same time from all retrying the store at once.
        share = MIN_JITTER_SHARE + self._random.random() * (1 - MIN_JITTER_SHARE)
        self.retry_at = now + int(self._backoff * share)

    def _next_backoff(self) -> Duration:
        if self._backoff is None:
            return self._min_backoff
        return min(self._max_backoff, 2 * self._backoff)
