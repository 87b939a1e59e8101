"""The proxy's clock: Unix time in nanoseconds that never goes back."""

from __future__ import annotations

import time

from olivepost.units import Duration, Instant

# Number of times that both clocks are read at the start; the offset is the largest difference.
OFFSET_READINGS = 20


class Clock:
    """Unix time that is read at the start and then advanced by the monotonic clock. Any thread may use it.

    The endpoint list, the invalidations and the router share one clock. It ignores steps of the system clock
    while the proxy runs. If the system clock was wrong at the start, durations are still correct. `observe`
    and `from_unix` convert times of other machines.
    """

    def __init__(self) -> None:
        # The largest lead of another machine's clock over this one that was observed so far.
        self._known_error: Duration = 0
        # A pause between the two readings makes their difference too small. Invalidations and cached
        # responses would then seem younger than they are. The largest difference has the shortest pause.
        self._offset = max(time.time_ns() - time.monotonic_ns() for _ in range(OFFSET_READINGS))

    def observe(self, unix_ns: int) -> None:
        """Records how far this clock is behind another machine's Unix time, which must be in the past."""
        error = unix_ns - self.now()
        if error > self._known_error:
            self._known_error = error

    def from_unix(self, unix_ns: int) -> Instant:
        """Converts another machine's Unix time to this clock."""
        return unix_ns - self._known_error

    def now(self) -> Instant:
        """Returns the Unix time in nanoseconds."""
        return self._offset + time.monotonic_ns()
