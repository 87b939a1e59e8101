"""The proxy's clock: Unix nanoseconds that never go back."""

from __future__ import annotations

import time

from olivepost.units import Duration, Instant

OFFSET_READINGS = 20  # of both clocks; the offset is the largest difference


class Clock:
    """Unix time read once at the start, then advanced by the monotonic clock. Any thread may call it.

    Endpoint list, invalidations and router share it; a step of the system's clock while the proxy runs does
    not change it. Where that clock was wrong at the start, spans are still right. `observe` and `from_unix`
    convert times of other machines.
    """

    def __init__(self) -> None:
        self._known_error: Duration = 0  # by which other machines' clocks were seen to be ahead
        # A pause between the two readings makes their difference too small, and invalidations and cached
        # responses would seem younger than they are: the largest difference has the shortest pause.
        self._offset = max(time.time_ns() - time.monotonic_ns() for _ in range(OFFSET_READINGS))

    def observe(self, unix_ns: int) -> None:
        """Records how far this clock is behind another machine's Unix time, which is a time in the past."""
        error = unix_ns - self.now()
        if error > self._known_error:
            self._known_error = error

    def from_unix(self, unix_ns: int) -> Instant:
        """Another machine's Unix time on this clock."""
        return unix_ns - self._known_error

    def now(self) -> Instant:
        """The time in Unix nanoseconds."""
        return self._offset + time.monotonic_ns()
