"""Cache locations that requests were given as hints, and reports of the locations that are stale."""

from __future__ import annotations

from typing import NamedTuple

from olivepost import interface as api
from olivepost.shared_store.commands import MAX_PENDING_COMMANDS, CommandTracker, ReplyValues
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.operations import ReportStaleLocation
from olivepost.shared_store.store_health import StoreHealth
from olivepost.units import Instant

# Largest number of hints that are remembered. The oldest may be forgotten, because most hints are never
# reported as stale.
MAX_HINTS = MAX_PENDING_COMMANDS
# Number of reports that the store adds to a location's count if the hinted cache did not have the object.
STALE_HINT_REPORTS = 1
# Number of reports that the store adds to a location's count if no proxy can use the location. The store
# deletes a location at a count of two, so that one report deletes an unusable location at once.
UNUSABLE_LOCATION_REPORTS = 2


class LocationHint(NamedTuple):
    """The cache location that a request was given as a hint."""

    store: StoreHealth
    generation: int
    name: str
    record: bytes


class LocationHints:
    """The latest cache locations that requests were given as hints, by request id.

    Only the coordinator's thread uses this class.
    """

    def __init__(self, context: CoordinatorContext, commands: CommandTracker) -> None:
        self._context = context
        self._commands = commands
        self._hints: dict[str, LocationHint] = {}  # hints by request id, the oldest first

    def add(self, request_id: str, hint: LocationHint) -> None:
        """Remembers the hint of a request, and forgets the oldest hints beyond the limit."""
        while len(self._hints) >= MAX_HINTS:
            del self._hints[next(iter(self._hints))]
        self._hints[request_id] = hint

    def forget(self, request_id: str) -> None:
        """Forgets the hint of a request that has ended."""
        self._hints.pop(request_id, None)

    def report_stale_hint(self, now: Instant, event: api.ReportStaleHint) -> None:
        """Reports to the store that the cache in a request's hint does not have the object.

        Sends nothing if the hint is no longer remembered, if the store's generation has changed since the
        lookup, or if the store is not available.
        """
        hint = self._hints.pop(event.request_id, None)
        if hint is None:
            return
        self._context.counts["hints_stale"] += 1
        if hint.generation == hint.store.generation:
            self._report(now, hint.store, hint.name, hint.record, STALE_HINT_REPORTS)

    def report_unusable(self, now: Instant, store: StoreHealth, name: str, record: bytes) -> None:
        """Reports to the store that no proxy can use a location.

        The location was invalidated, or its cache has restarted or was removed.
        """
        self._report(now, store, name, record, UNUSABLE_LOCATION_REPORTS)

    def _report(self, now: Instant, store: StoreHealth, name: str, record: bytes, reports: int) -> None:
        if store.is_available:
            operation = ReportStaleLocation(store.generation, name, record, reports)
            self._commands.send(now, store, operation, _ignore_reply)


def _ignore_reply(_now: Instant, _values: ReplyValues | None) -> None:
    """Ignores the reply to a report, because no reply requires an action."""
