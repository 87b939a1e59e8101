"""Backoff of the next poll, which depends on the number of consecutive failures."""

from __future__ import annotations

import random

FIRST_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.25
MAX_BACKOFF_DOUBLINGS = 10  # limits the bit shift; fewer doublings already reach MAX_BACKOFF_S
MIN_BACKOFF_SHARE = 0.5  # shortest backoff as a share of the longest; the backoff is drawn between the two


class PollBackoff:
    """Count of one long poll's consecutive failures, and the pause that depends on it.

    The long poll holds a lock during each call.
    """

    def __init__(self, seed: float) -> None:
        self._random = random.Random(seed)
        self._consecutive_failures = 0

    def record_failure(self) -> None:
        """Records that a poll failed."""
        self._consecutive_failures += 1

    def record_success(self) -> None:
        """Records that a poll succeeded, which resets the count of failures."""
        self._consecutive_failures = 0

    def draw_backoff_s(self) -> float:
        """Returns a random time in seconds until the next poll.

        If a response has arrived since the failure, the time is that after a first failure.
        """
        doublings = min(max(0, self._consecutive_failures - 1), MAX_BACKOFF_DOUBLINGS)
        longest_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * (1 << doublings))
        return longest_s * (MIN_BACKOFF_SHARE + self._random.random() * (1 - MIN_BACKOFF_SHARE))
