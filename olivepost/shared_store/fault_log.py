"""The log of the reasons why stores could not be used. Its lines are written at a bounded rate."""

from __future__ import annotations

import threading

from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.units import SECOND, Duration, Instant

LOG_INTERVAL: Duration = 10 * SECOND  # shortest time between two lines about faults of one kind
MAX_REASON_LENGTH = 160  # characters of a reason in the log
KIND_LENGTH = 40  # leading characters of a reason that identify its kind; later ones may differ
# Number of kinds of faults that are remembered. If there are more, all are forgotten, and each kind may be
# logged again at once.
MAX_KINDS = 64


class FaultLog:
    """A log that counts every store fault, and writes one line about each kind of fault per interval.

    Any thread may call the log; `_lock` guards `_logged_at`.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._logged_at: dict[str, Instant] = {}  # time of the last line, by kind of fault

    def record(self, fault: Exception) -> None:
        """Counts a fault, and logs it unless its kind was logged less than `LOG_INTERVAL` ago."""
        self._log.increment("store_faults")
        reason = f"{type(fault).__name__}: {fault}"[:MAX_REASON_LENGTH]
        if self._begin_interval(reason[:KIND_LENGTH]):
            self._log.event("store_fault", why=reason)

    def _begin_interval(self, kind: str) -> bool:
        """Begins an interval in which a kind of fault is not logged again, and returns True.

        Returns False if such an interval is already running.
        """
        now = self._clock.now()
        with self._lock:
            logged_at = self._logged_at.get(kind)
            if logged_at is not None and now - logged_at < LOG_INTERVAL:
                return False
            if len(self._logged_at) > MAX_KINDS:
                self._logged_at.clear()
            self._logged_at[kind] = now
            return True
