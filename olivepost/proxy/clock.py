"""The proxy's clock: Unix nanoseconds that never go back."""

from __future__ import annotations

import time

from olivepost.units import Instant

OFFSET_READINGS = 20  # of which one at least is not cut in two by another thread


class Clock:
    """Unix time read once, then carried on by the monotonic clock. Any thread may read it.

    Endpoint list, invalidations and router share it; a step of the system's clock while the proxy runs does
    not reach them. Where that clock was wrong at the start, spans are still right; `observe` and `from_unix`
    tell times of other machines apart from it.
    """

    def __init__(self) -> None:
        # A thread that waits between the two readings makes the offset too small: invalidations and cached
        # responses would seem younger than they are. The largest of a few is the one that did not wait.
        self._known_error = 0  # nanoseconds that other machines' clocks were seen to be ahead
        self._offset = max(time.time_ns() - time.monotonic_ns() for _ in range(OFFSET_READINGS))

    def observe(self, unix_ns: int) -> None:
        """Learns from another machine's Unix time, which has passed by now, how far this clock is behind."""
        error = unix_ns - self.now()
        if error > self._known_error:
            self._known_error = error

    def from_unix(self, unix_ns: int) -> Instant:
        """Another machine's Unix time on this clock, which may be known to be behind."""
        return unix_ns - self._known_error

    def now(self) -> Instant:
        """The time in Unix nanoseconds."""
        return self._offset + time.monotonic_ns()
