"""Outlier reports of several proxies: weak evidence once enough others report an endpoint, never one's word.

No clock, no I/O.
"""

from __future__ import annotations

from olivepost.shared_store.records import RecordError
from olivepost.units import SECOND, Duration, Instant

REPORT_LIFETIME: Duration = 3 * SECOND  # of a report that is not renewed; as long as the store keeps it
NOTIFY_INTERVAL: Duration = 1 * SECOND  # between two events for the router about one endpoint
MIN_REPORTERS = 2  # other proxies that must agree
MAX_REPORTS = 1_024  # own ones, and reporters of one endpoint


def parse_outlier_report(row: object) -> tuple[str, str]:
    """Returns the reporting process's incarnation and the endpoint's id; raises `RecordError`."""
    text = row.decode(errors="replace") if isinstance(row, bytes) else ""
    incarnation, _, endpoint_id = text.partition("|")
    if not endpoint_id:
        raise RecordError("an outlier report of another form", "INCARNATION|ENDPOINT")
    return incarnation, endpoint_id


class OutlierReports:
    """This proxy's reports, and those of others by endpoint. Used by the coordinator's thread only."""

    def __init__(self) -> None:
        self._own: dict[str, int] = {}  # endpoint -> when the report expires
        self._others: dict[str, dict[str, int]] = {}  # endpoint -> incarnation -> when it expires
        self._next_notification: dict[str, int] = {}  # by endpoint

    def add_own(self, now: Instant, endpoint_id: str) -> None:
        """Notes that this proxy has ejected an endpoint."""
        if len(self._own) < MAX_REPORTS or endpoint_id in self._own:
            self._own[endpoint_id] = now + REPORT_LIFETIME

    def own(self, now: Instant) -> tuple[str, ...]:
        """Returns the endpoints that this proxy reports."""
        self._own = {endpoint_id: expiry for endpoint_id, expiry in self._own.items() if expiry > now}
        return tuple(sorted(self._own))

    def add(self, now: Instant, endpoint_id: str, incarnation: str) -> bool:
        """Notes another process's report; returns whether the router is to be notified now.

        A process counts once, however often it reports.
        """
        reporters = self._others.setdefault(endpoint_id, {})
        if len(reporters) < MAX_REPORTS:
            reporters[incarnation] = now + REPORT_LIFETIME
        expired = [reporter for reporter, expiry in reporters.items() if expiry <= now]
        for reporter in expired:
            del reporters[reporter]
        if len(reporters) < MIN_REPORTERS or now < self._next_notification.get(endpoint_id, 0):
            return False
        self._next_notification[endpoint_id] = now + NOTIFY_INTERVAL
        return True

    def retain(self, listed: set[str]) -> None:
        """Drops what is known of endpoints that are no longer listed."""
        known = self._own.keys() | self._others.keys() | self._next_notification.keys()
        for endpoint_id in known - listed:
            self._own.pop(endpoint_id, None)
            self._others.pop(endpoint_id, None)
            self._next_notification.pop(endpoint_id, None)
