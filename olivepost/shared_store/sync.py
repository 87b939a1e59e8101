"""The periodic sync with each store: sends heartbeat, requests and reports, reads those of other proxies."""

from __future__ import annotations

from functools import partial
from typing import NamedTuple

from olivepost import interface as api
from olivepost.shared_store.commands import CommandTracker, ReplyValues
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.generations import GenerationManager
from olivepost.shared_store.invalidations import InvalidationExchange
from olivepost.shared_store.malformed_records import MalformedRecords
from olivepost.shared_store.messages import SyncOperation
from olivepost.shared_store.outlier_reports import OutlierReports, parse_outlier_report
from olivepost.shared_store.quota_exchange import QuotaExchange
from olivepost.shared_store.store_health import StoreHealth, TrustLevel
from olivepost.units import Instant

REPLY_PARTS = 4  # invalidations, quota requests, quota grants, outlier reports


class Exchanges(NamedTuple):
    """What a sync carries, by topic."""

    invalidations: InvalidationExchange
    quotas: QuotaExchange
    outliers: OutlierReports


class Synchronizer:
    """Syncs with each store at the interval of the terms. Used by the coordinator's thread only."""

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
        self._in_flight: set[str] = set()  # names of stores whose sync waits for its reply
        self._next_sync = dict.fromkeys(context.stores, 0)

    def sync_if_due(self, now: Instant) -> None:
        """Sends a sync to each store whose interval is over, and whose breaker allows it."""
        for name, store in self._context.stores.items():
            if now >= self._next_sync[name] and name not in self._in_flight and store.allows_sync(now):
                self._sync(now, store)

    def _sync(self, now: Instant, store: StoreHealth) -> None:
        terms = self._context.terms
        self._next_sync[store.name] = now + terms.sync_interval
        requests: tuple[tuple[str, bytes], ...] = ()
        suspects: tuple[str, ...] = ()
        if store.trust is TrustLevel.TRUSTED:
            requests = self._quotas.open_requests(now, store)
            suspects = self._outliers.own(now) if terms.outlier_reports_enabled else ()
        operation = SyncOperation(store.generation, store.next_serial(), store.cursor, requests, suspects)
        on_reply = partial(self._on_synced, store, operation.serial)
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
        """Reads what others left in the store, each row by itself; malformed ones are skipped."""
        missing = ((),) * max(0, REPLY_PARTS - len(values))
        parts = [part if isinstance(part, (list, tuple)) else () for part in (*values, *missing)]
        invalidations, requests, grants, reports = parts[:REPLY_PARTS]
        for row in invalidations:
            self._malformed.skip_errors(self._invalidations.receive, now, store, row)
        self._quotas.receive_requests(now, store, requests)
        for row in grants:
            self._malformed.skip_errors(self._quotas.receive_grant, now, row)
        for row in reports:
            self._malformed.skip_errors(self._receive_outlier_report, now, row)

    def _receive_outlier_report(self, now: Instant, row: object) -> None:
        terms = self._context.terms
        incarnation, endpoint_id = parse_outlier_report(row)
        if endpoint_id not in self._context.endpoints or incarnation == terms.incarnation:
            return
        if terms.outlier_reports_enabled and self._outliers.add(now, endpoint_id, incarnation):
            self._context.counts["outlier_reports_received"] += 1
            self._context.notify_router(api.OutlierReported(endpoint_id))
