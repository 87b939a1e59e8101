"""Counts stored records that can't be used, and writes a summary to the log."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.records import RecordError
from olivepost.units import SECOND, Duration, Instant

REPORT_INTERVAL: Duration = 60 * SECOND  # between two lines of the log
MAX_REASONS = 16  # in one line of the log
MAX_REASON_LENGTH = 120  # characters


class MalformedRecords:
    """Malformed records by reason, since the last report. Used by the coordinator's thread only."""

    def __init__(self, context: CoordinatorContext) -> None:
        self._context = context
        self._reasons: Counter[str] = Counter()
        self._reported_at: Instant | None = None

    def skip_errors(self, read: Callable[..., None], *arguments: object) -> None:
        """Calls `read`, which reads one row of a reply; a `RecordError` is counted, its row skipped."""
        try:
            read(*arguments)
        except RecordError as error:
            self.record(error)

    def record(self, error: RecordError) -> None:
        """Counts one malformed record."""
        self._context.counts["records_malformed"] += 1
        reason = str(error)[:MAX_REASON_LENGTH]
        if reason in self._reasons or len(self._reasons) < MAX_REASONS:
            self._reasons[reason] += 1

    def report_if_due(self, now: Instant) -> None:
        """Writes the reasons since the last report to the log, once an interval."""
        if not self._reasons:
            return
        if self._reported_at is not None and now - self._reported_at < REPORT_INTERVAL:
            return
        self._context.log("store_records_malformed", dict(self._reasons))
        self._reasons.clear()
        self._reported_at = now
