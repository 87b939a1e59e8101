"""Periodic exchanges (syncs) with each store.

A sync sends a heartbeat with this proxy's quota requests and outlier reports. The reply contains the requests
and reports of other proxies, the quota grants for this proxy, and new invalidations.
"""

from __future__ import annotations

from functools import partial
from typing import NamedTuple

from olivepost import interface as api
from olivepost.shared_store.circuit_breaker import BreakerState
from olivepost.shared_store.commands import CommandTracker, ReplyValues
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.generations import GenerationManager
from olivepost.shared_store.invalidations import InvalidationExchange
from olivepost.shared_store.malformed_records import MalformedRecords
from olivepost.shared_store.operations import QuotaRequestRow, SyncOperation
from olivepost.shared_store.outlier_reports import OutlierReports, parse_outlier_report
from olivepost.shared_store.quota_exchange import QuotaExchange
from olivepost.shared_store.store_health import StoreHealth, TrustLevel
from olivepost.units import Instant

Rows = list[object] | tuple[object, ...]


class SyncReply(NamedTuple):
    """The reply to a sync, as lists of rows that other proxies left in a store. No row is validated yet."""

    invalidations: Rows = ()
    quota_requests: Rows = ()
    quota_grants: Rows = ()
    outlier_reports: Rows = ()

    @classmethod
    def read(cls, values: ReplyValues) -> SyncReply:
        """Returns the lists of rows in a reply; a list is empty if the value is missing or not a list."""
        parts = [part if isinstance(part, (list, tuple)) else () for part in values]
        return cls(*parts[: len(cls._fields)])


class Exchanges(NamedTuple):
    """The objects that supply the content of a sync and receive the content of its reply, by topic."""

    invalidations: InvalidationExchange
    quotas: QuotaExchange
    outliers: OutlierReports


class Synchronizer:
    """The sender of this proxy's syncs to each store, at the interval that the terms set.

    Only the coordinator's thread uses this class.
    """

    def __init__(
        self,
        context: CoordinatorContext,
        commands: CommandTracker,
        malformed: MalformedRecords,
        generations: GenerationManager,
        exchanges: Exchanges,
    ) -> None:
        self._context = context
        self._commands = commands
        self._malformed = malformed
        self._generations = generations
        self._invalidations = exchanges.invalidations
        self._quotas = exchanges.quotas
        self._outliers = exchanges.outliers
        self._in_flight: set[str] = set()  # names of stores whose sync waits for a reply
        # The time of the next sync, by store name. A store has no entry before its first sync.
        self._next_sync: dict[str, Instant] = {}

    def sync_if_due(self, now: Instant) -> None:
        """Sends a sync to each store that is due for one.

        If a store's circuit breaker is open, the store gets no sync until the breaker's backoff is over.
        """
        for store in self._context.stores.values():
            if not self._is_due(now, store):
                continue
            store.breaker.begin_trial_if_due(now)
            if store.breaker.state is not BreakerState.OPEN:
                self._sync(now, store)

    def _is_due(self, now: Instant, store: StoreHealth) -> bool:
        if store.name in self._in_flight:
            return False
        next_sync = self._next_sync.get(store.name)
        return next_sync is None or now >= next_sync

    def _sync(self, now: Instant, store: StoreHealth) -> None:
        terms = self._context.terms
        self._next_sync[store.name] = now + terms.sync_interval
        requests: tuple[QuotaRequestRow, ...] = ()
        outliers: tuple[str, ...] = ()
        if store.trust is TrustLevel.TRUSTED:
            requests = self._quotas.renew_requests(now, store)
            if terms.outlier_reports_enabled:
                outliers = self._outliers.active_own(now)
        serial = store.issue_serial()
        operation = SyncOperation(store.generation, serial, store.last_invalidation, requests, outliers)
        on_reply = partial(self._on_synced, store, serial)
        if self._commands.send(now, store, operation, on_reply):
            self._in_flight.add(store.name)

    def _on_synced(self, store: StoreHealth, serial: int, now: Instant, values: ReplyValues | None) -> None:
        self._in_flight.discard(store.name)
        if values is None:
            return
        store.confirmed_serial = max(store.confirmed_serial, serial)
        if store.trust is TrustLevel.RESTORING:
            self._generations.publish_next_chunk(now, store)
        if store.trust is TrustLevel.TRUSTED:
            self._read_parts(now, store, values)

    def _read_parts(self, now: Instant, store: StoreHealth, values: ReplyValues) -> None:
        """Reads a reply's rows one at a time, and skips malformed rows.

        A row is one invalidation, quota request, quota grant or outlier report.
        """
        reply = SyncReply.read(values)
        for row in reply.invalidations:
            self._malformed.skip_errors(self._invalidations.receive, now, store, row)
        self._quotas.receive_requests(now, store, reply.quota_requests)
        for row in reply.quota_grants:
            self._malformed.skip_errors(self._quotas.receive_grant, now, row)
        for row in reply.outlier_reports:
            self._malformed.skip_errors(self._receive_outlier_report, now, row)

    def _receive_outlier_report(self, now: Instant, row: object) -> None:
        terms = self._context.terms
        report = parse_outlier_report(row)
        is_listed = report.endpoint_id in self._context.endpoints
        if not is_listed or report.incarnation == terms.incarnation or not terms.outlier_reports_enabled:
            return
        self._outliers.add(now, report)
        if self._outliers.notify_if_due(now, report.endpoint_id):
            self._context.counts["outlier_reports_received"] += 1
            self._context.notify_router(api.OutlierReported(report.endpoint_id))
