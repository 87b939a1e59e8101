"""Outlier reports. An outlier is an endpoint that a proxy has ejected and reports to the other proxies.

Reports from several other proxies are weak evidence against the endpoint. This module has no clock and does
no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

from olivepost.shared_store.records import RecordError
from olivepost.units import SECOND, Duration, Instant

# Lifetime of a report that is not renewed. The store keeps a report for the same time.
REPORT_LIFETIME: Duration = 3 * SECOND
NOTIFY_INTERVAL: Duration = 1 * SECOND  # shortest time between two events for the router about one endpoint
MIN_REPORTERS = 2  # number of processes that must report an endpoint before the router gets an event
MAX_REPORTS = 1_024  # largest number of this proxy's reports, and of the processes that report one endpoint


class OutlierReport(NamedTuple):
    """A report that another proxy's process has ejected an endpoint."""

    incarnation: str
    endpoint_id: str


def parse_outlier_report(row: object) -> OutlierReport:
    """Returns the outlier report in `row`, an item of a list in a store's reply to a sync.

    A sync is the periodic exchange with a store. Raises `RecordError` if the row is malformed.
    """
    text = row.decode(errors="replace") if isinstance(row, bytes) else ""
    incarnation, _, endpoint_id = text.partition("|")
    if not endpoint_id:
        raise RecordError("a malformed outlier report", "INCARNATION|ENDPOINT")
    return OutlierReport(incarnation, endpoint_id)


class OutlierReports:
    """This proxy's outlier reports, and the reports of other proxies by endpoint.

    Only the coordinator's thread uses this class.
    """

    def __init__(self) -> None:
        self._own: dict[str, Instant] = {}  # expiry of each of this proxy's reports, by endpoint
        # The expiry of each report of another proxy, by endpoint and process.
        self._others: dict[str, dict[str, Instant]] = {}
        # The earliest time of the next event for the router, by endpoint.
        self._next_notification: dict[str, Instant] = {}

    def add_own(self, now: Instant, endpoint_id: str) -> None:
        """Records that this proxy has ejected an endpoint."""
        if len(self._own) < MAX_REPORTS or endpoint_id in self._own:
            self._own[endpoint_id] = now + REPORT_LIFETIME

    def active_own(self, now: Instant) -> tuple[str, ...]:
        """Drops this proxy's expired reports and returns the endpoints of the remaining ones."""
        self._own = {endpoint_id: expiry for endpoint_id, expiry in self._own.items() if expiry > now}
        return tuple(sorted(self._own))

    def add(self, now: Instant, report: OutlierReport) -> None:
        """Records the report of another proxy's process. Repeated reports of one process are counted once."""
        reporters = self._others.setdefault(report.endpoint_id, {})
        if len(reporters) < MAX_REPORTS:
            reporters[report.incarnation] = now + REPORT_LIFETIME
        expired = [reporter for reporter, expiry in reporters.items() if expiry <= now]
        for reporter in expired:
            del reporters[reporter]

    def notify_if_due(self, now: Instant, endpoint_id: str) -> bool:
        """Returns whether the router must be notified now about an endpoint.

        The router is notified if at least `MIN_REPORTERS` other processes report the endpoint, and
        if the last event about the endpoint is at least `NOTIFY_INTERVAL` old. If the result is True, a new
        interval starts.
        """
        next_notification = self._next_notification.get(endpoint_id)
        if next_notification is not None and now < next_notification:
            return False
        if len(self._others.get(endpoint_id, ())) < MIN_REPORTERS:
            return False
        self._next_notification[endpoint_id] = now + NOTIFY_INTERVAL
        return True

    def retain(self, listed: set[str]) -> None:
        """Drops the reports of endpoints that are no longer listed."""
        known = self._own.keys() | self._others.keys() | self._next_notification.keys()
        for endpoint_id in known - listed:
            self._own.pop(endpoint_id, None)
            self._others.pop(endpoint_id, None)
            self._next_notification.pop(endpoint_id, None)
