"""Response timeout and backoff of the next poll, which depend on the number of consecutive failures."""

from __future__ import annotations

import random

from olivepost.units import MILLISECOND, SECOND, Duration

# Time allowed from the end of a poll's wait to the last byte of the poll's response. The wait is the time for
# which the coordinator may hold the poll open. Events are expected to be known everywhere 2 s after the end
# of the wait. The allowed time is short, so that another poll fits into those 2 s if the first poll fails.
FIRST_RESPONSE_TIMEOUT: Duration = 600 * MILLISECOND
MAX_RESPONSE_TIMEOUT: Duration = 4 * SECOND
MAX_RESPONSE_TIMEOUT_DOUBLINGS = 8  # limits the bit shift; fewer doublings already reach MAX_RESPONSE_TIMEOUT
FIRST_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.25
MAX_BACKOFF_DOUBLINGS = 10  # limits the bit shift; fewer doublings already reach MAX_BACKOFF_S
MIN_BACKOFF_SHARE = 0.5  # shortest backoff as a share of the longest; the backoff is drawn between the two


class PollBackoff:
    """Count of one long poll's consecutive failures, and the times that depend on it.

    Only the long poll's thread may call the methods.
    """

    def __init__(self, seed: float) -> None:
        self._random = random.Random(seed)
        self._consecutive_failures = 0

    @property
    def has_failed(self) -> bool:
        """Whether the last poll failed."""
        return self._consecutive_failures > 0

    @property
    def response_timeout(self) -> Duration:
        """Returns how long the next response may take after the end of the poll's wait.

        The wait is the time for which the coordinator may hold the poll open. Each consecutive failure
        doubles the time for the response, up to `MAX_RESPONSE_TIMEOUT`, because a long endpoint list may need
        more time to arrive.
        """
        doublings = min(self._consecutive_failures, MAX_RESPONSE_TIMEOUT_DOUBLINGS)
        return min(MAX_RESPONSE_TIMEOUT, FIRST_RESPONSE_TIMEOUT << doublings)

    def record_failure(self) -> None:
        """Records that a poll failed."""
        self._consecutive_failures += 1

    def record_success(self) -> None:
        """Records that a poll succeeded, which resets the count of failures."""
        self._consecutive_failures = 0

    def draw_backoff_s(self) -> float:
        """Returns a random time in seconds until the next poll; requires at least one recorded failure."""
        doublings = min(self._consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
        longest_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * (1 << doublings))
        return longest_s * (MIN_BACKOFF_SHARE + self._random.random() * (1 - MIN_BACKOFF_SHARE))
