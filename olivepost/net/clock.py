"""The front's clock: Unix nanoseconds that never go back."""

from __future__ import annotations

import time


class Clock:
    """Unix time read once, then carried on by the monotonic clock.

    List, purges and router share it; a step of the system's clock while the front runs does not reach them.
    """

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return self._offset + time.monotonic_ns()
