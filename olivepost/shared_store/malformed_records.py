"""The count of stored records that can't be used, and its summary in the log."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.records import RecordError
from olivepost.units import SECOND, Duration, Instant

REPORT_INTERVAL: Duration = 60 * SECOND  # shortest time between two summaries in the log
# Largest number of different reasons (texts of errors) in one summary. A record with a further reason is
# not in the summary, but the metric `records_malformed` still counts the record.
MAX_REASONS = 16
MAX_REASON_LENGTH = 120  # characters of a reason in the log


class MalformedRecords:
    """Counts of the malformed records since the last summary in the log, by reason.

    Only the coordinator's thread uses this class.
    """

    def __init__(self, context: CoordinatorContext) -> None:
        self._context = context
        self._reasons: Counter[str] = Counter()
        self._reported_at: Instant | None = None

    def skip_errors(self, read: Callable[..., None], *arguments: object) -> None:
        """Calls `read` with `arguments`, and counts a malformed record if `read` raises `RecordError`."""
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
        """Writes the counts since the last summary to the log, at most once per `REPORT_INTERVAL`."""
        if not self._reasons:
            return
        if self._reported_at is not None and now - self._reported_at < REPORT_INTERVAL:
            return
        self._context.log("store_records_malformed", dict(self._reasons))
        self._reasons.clear()
        self._reported_at = now
