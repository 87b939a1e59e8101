"""Reads the process's own memory as the platform counts it, and keeps the level of memory pressure.

The levels are decided in `routing.memory_pressure`.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable

from olivepost import interface as api
from olivepost.proxy.event_log import EventLog
from olivepost.routing import memory_pressure
from olivepost.units import MILLISECOND, Duration

STATM = "/proc/self/statm"  # sizes in pages
STATM_READ_BYTES = 128  # more than its one line has
RESIDENT_FIELD = 1  # index in that line of the resident set, which includes mapped files
CHECK_INTERVAL: Duration = 100 * MILLISECOND
PRESSURE_CHECK_INTERVAL: Duration = 25 * MILLISECOND  # at any level but `NONE`
BYTES_PER_KB = 1_024


def resident_bytes_reader() -> Callable[[], int]:
    """Makes a function that reads the resident set in bytes, or 0 where the system does not report it.

    Its descriptor stays open, so that reading needs none when descriptors are short.
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
    """The level of memory pressure.

    The main thread calls `check`, and `on_level` is called from there; any thread may read `level` and
    `used_bytes`, which only `check` writes.
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
        """The time until the next check is due."""
        if self.level is api.MemoryPressureLevel.NONE:
            return CHECK_INTERVAL
        return PRESSURE_CHECK_INTERVAL

    def check(self) -> None:
        """Reads the memory in use; reports each change of the level, and each check under pressure."""
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
