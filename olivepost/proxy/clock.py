"""The proxy's clock: Unix time in nanoseconds that never goes back."""

from __future__ import annotations

import time

from olivepost.units import Duration, Instant

# Number of times that a new `Clock` reads both the system clock and the monotonic clock. Each pair of values
# has a difference, and the largest of these differences is used as the offset between the two clocks.
OFFSET_READINGS = 20


class Clock:
    """A clock that reads Unix time at its creation and then advances that time by the monotonic clock.

    Any thread may use the clock.

    All parts of a proxy share one clock, so that the times of the endpoint list, of invalidations and of the
    router can be compared. While the proxy runs, this clock ignores steps of the system clock. If the system
    clock was wrong at the start, durations are still correct. The error of this clock is the longest duration
    by which another machine's clock was observed to be ahead of this clock. `observe` records that error, and
    `from_unix` subtracts the error from the Unix times that other machines have sent.
    """

    def __init__(self) -> None:
        # The longest duration by which another machine's clock was observed to be ahead of this clock so far.
        self._known_error: Duration = 0
        # The system clock is read before the monotonic clock. A pause of this thread between the two reads
        # makes the difference between the two clocks too small, and invalidations and cached responses would
        # then seem younger than they are. The shortest pause leads to the largest difference, so the largest
        # of several differences is used.
        self._offset = max(time.time_ns() - time.monotonic_ns() for _ in range(OFFSET_READINGS))

    def observe(self, unix_ns: int) -> None:
        """Records how far this clock is behind `unix_ns`, a past Unix time that another machine has sent.

        `unix_ns` is in nanoseconds. If this clock is behind, another machine's clock is ahead by at least the
        difference. Only the longest such duration is kept.
        """
        error = unix_ns - self.now()
        if error > self._known_error:
            self._known_error = error

    def from_unix(self, unix_ns: int) -> Instant:
        """Converts a Unix time that another machine has sent into a time on this clock.

        The longest duration that `observe` has found is subtracted from the Unix time.
        """
        return unix_ns - self._known_error

    def now(self) -> Instant:
        """Returns the Unix time on this clock in nanoseconds."""
        return self._offset + time.monotonic_ns()
