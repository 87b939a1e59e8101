"""The front's clock: Unix nanoseconds that never go back."""

from __future__ import annotations

import time


class Clock:
    """Unix time read once, then carried on by the monotonic clock.

    List, purges and router share it; a step of the system's clock while the front runs does not reach them.
    """

    def __init__(self) -> None:
        # A thread that waits between the two readings makes the offset too small: purges and copies would
        # seem younger than they are. The largest of a few is the one that did not wait.
        self._offset = max(time.time_ns() - time.monotonic_ns() for _ in range(20))

    def now(self) -> int:
        return self._offset + time.monotonic_ns()
