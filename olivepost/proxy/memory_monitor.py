"""Monitor of the process's memory, measured as the platform measures it, and of the memory pressure.

`routing.memory_pressure` decides which level of memory pressure results from the memory in use.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable

from olivepost import interface as api
from olivepost.proxy.event_log import EventLog
from olivepost.routing import memory_pressure
from olivepost.units import MILLISECOND, Duration

STATM = "/proc/self/statm"  # file with the sizes of the process's memory, in pages
STATM_READ_BYTES = 128  # number of bytes to read from `STATM`, whose only line is shorter
RESIDENT_FIELD = 1  # index of the resident set size in the line of `STATM`; the size includes mapped files
CHECK_INTERVAL: Duration = 100 * MILLISECOND
PRESSURE_CHECK_INTERVAL: Duration = 25 * MILLISECOND  # time between checks under memory pressure
BYTES_PER_KB = 1_024


def resident_bytes_reader() -> Callable[[], int]:
    """Returns a function that reads the resident set size in bytes, or 0 if the system does not report it.

    The function keeps its file descriptor open, so that it still works if no further descriptors are free.
    """
    page_size = os.sysconf("SC_PAGE_SIZE")
    try:
        descriptor = os.open(STATM, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return lambda: 0

    def read() -> int:
        with contextlib.suppress(OSError, ValueError, IndexError):
            return int(os.pread(descriptor, STATM_READ_BYTES, 0).split()[RESIDENT_FIELD]) * page_size
        return 0

    return read


class MemoryMonitor:
    """Monitor that derives the memory pressure level from the memory in use.

    A higher level requires that more memory is freed. The level is `NONE` if there is no memory pressure.

    The main thread calls `check`, which calls the callback `on_level` on the same thread. Any thread may read
    `level` and `used_bytes`, which only `check` writes.
    """

    def __init__(
        self,
        limit_bytes: int,
        log: EventLog,
        on_level: Callable[[api.MemoryPressureLevel], None],
        read_resident_bytes: Callable[[], int] | None = None,
    ) -> None:
        self.level = api.MemoryPressureLevel.NONE
        self.used_bytes = 0
        self._limit_bytes = limit_bytes
        self._log = log
        self._on_level = on_level
        self.read_resident_bytes = read_resident_bytes or resident_bytes_reader()

    @property
    def interval(self) -> Duration:
        """Time between one check and the next at the current memory pressure level."""
        if self.level is api.MemoryPressureLevel.NONE:
            return CHECK_INTERVAL
        return PRESSURE_CHECK_INTERVAL

    def check(self) -> None:
        """Reads the memory in use and updates the memory pressure level.

        Logs each change of the level. Calls the callback `on_level` at each change, and at each check at
        which the level is not `NONE`.
        """
        self.used_bytes = self.read_resident_bytes()
        previous = self.level
        self.level = memory_pressure.level_for(self.used_bytes, self._limit_bytes, previous)
        if self.level is not previous:
            self._log.increment(f"memory_pressure_{self.level.name.lower()}")
            self._log.sampled_event(
                "memory_pressure",
                level=self.level.name.lower(),
                previous=previous.name.lower(),
                used_kb=self.used_bytes // BYTES_PER_KB,
                limit_kb=self._limit_bytes // BYTES_PER_KB,
            )
        if self.level is not api.MemoryPressureLevel.NONE or self.level is not previous:
            self._on_level(self.level)
