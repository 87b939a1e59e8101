"""How long the next poll may take and how soon it is sent, by the failures before it."""

from __future__ import annotations

import random

from olivepost.units import MILLISECOND, SECOND, Duration

# From a poll's own wait to its response's last byte. Short enough for another poll before events count as
# known everywhere, 2 s after the wait.
FIRST_RESPONSE_TIMEOUT: Duration = 600 * MILLISECOND
MAX_RESPONSE_TIMEOUT: Duration = 4 * SECOND
MAX_RESPONSE_TIMEOUT_DOUBLINGS = 8  # keeps the shift small; the maximum is reached long before
FIRST_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.25
MAX_BACKOFF_DOUBLINGS = 10  # keeps the shift small; the maximum is reached long before
MIN_BACKOFF_SHARE = 0.5  # of a backoff; the rest is random


class PollBackoff:
    """Consecutive failures of one long poll. Its thread alone may call this."""

    def __init__(self, seed: float) -> None:
        self._random = random.Random(seed)
        self._consecutive_failures = 0

    @property
    def has_failed(self) -> bool:
        """Whether the last poll failed."""
        return self._consecutive_failures > 0

    @property
    def response_timeout(self) -> Duration:
        """For the next response, beyond the poll's own wait; doubled by each failure for long lists."""
        doublings = min(self._consecutive_failures, MAX_RESPONSE_TIMEOUT_DOUBLINGS)
        return min(MAX_RESPONSE_TIMEOUT, FIRST_RESPONSE_TIMEOUT << doublings)

    def record_failure(self) -> None:
        """A poll failed."""
        self._consecutive_failures += 1

    def record_success(self) -> None:
        """A poll succeeded."""
        self._consecutive_failures = 0

    def draw_backoff_s(self) -> float:
        """Draws the seconds until the next attempt; call it after one failure or more."""
        doublings = min(self._consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
        longest_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * (1 << doublings))
        return longest_s * (MIN_BACKOFF_SHARE + self._random.random() * (1 - MIN_BACKOFF_SHARE))
