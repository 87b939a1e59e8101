"""Coordinator of this proxy's use of the shared stores.

The coordinator decides what is sent to the stores, which replies are used, and which events the router gets.
`StoreCoordinator(terms, seed).handle(now, event)` returns actions. The coordinator has no clock, does no I/O
and starts no threads. This module only dispatches events; each kind of decision has its own module.
No decision extends a deadline, an age limit or a quota, even if a store misbehaves.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from olivepost import interface as api
from olivepost.shared_store.commands import CommandTracker
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.fill_leases import FillLeases
from olivepost.shared_store.generations import GenerationManager
from olivepost.shared_store.invalidations import InvalidationExchange, KnownInvalidations
from olivepost.shared_store.lease_table import LeaseTable
from olivepost.shared_store.lookups import Lookups
from olivepost.shared_store.malformed_records import MalformedRecords
from olivepost.shared_store.messages import (
    Action,
    Event,
    InvalidationReceived,
    LeaseReleased,
    LookupRequested,
    ReplyLost,
    StoreReply,
    Tick,
)
from olivepost.shared_store.operations import AdvanceGeneration
from olivepost.shared_store.outlier_reports import OutlierReports
from olivepost.shared_store.quota_exchange import QuotaExchange
from olivepost.shared_store.store_health import ReplyVerdict
from olivepost.shared_store.sync import Exchanges, Synchronizer
from olivepost.shared_store.terms import SharingTerms
from olivepost.units import Instant


class StoreCoordinator:
    """One proxy's coordinator for all shared stores.

    There is no lock, so only one thread may call `handle`. Other threads may only copy `counts` and read the
    stores' attributes, for metrics.
    """

    def __init__(self, terms: SharingTerms, seed: int) -> None:
        context = CoordinatorContext.create(terms, seed)
        self._context = context
        self.terms = terms
        self.stores = context.stores
        self.counts = context.counts  # totals since the coordinator was created, by metric name
        self.leases = LeaseTable()
        self.commands = CommandTracker(context)
        known_invalidations = KnownInvalidations()
        self._malformed = MalformedRecords(context)
        self._generations = GenerationManager(context, self.commands, known_invalidations)
        self._invalidations = InvalidationExchange(context, self.commands, known_invalidations)
        fill_leases = FillLeases(context, self.commands, self.leases)
        self._lookups = Lookups(context, self.commands, known_invalidations, self._malformed, fill_leases)
        self._quotas = QuotaExchange(context, self.commands, self._malformed)
        self._outliers = OutlierReports()
        exchanges = Exchanges(self._invalidations, self._quotas, self._outliers)
        self._sync = Synchronizer(context, self.commands, self._malformed, self._generations, exchanges)
        self._is_available = False
        self._handlers = self._event_handlers()

    def handle(self, now: Instant, event: Event) -> list[Action]:
        """Handles one event and returns the actions that the host must take, in order."""
        actions: list[Action] = []
        self._context.actions = actions
        self._handlers[type(event)](now, event)
        self._report_availability()
        return actions

    def _event_handlers(self) -> dict[type, Callable[[Instant, Any], None]]:
        """Returns the handler of each event type. A handler is called with the time and the event."""
        return {
            LookupRequested: self._lookups.look_up,
            LeaseReleased: self._lookups.end_request,
            StoreReply: self._handle_reply,
            ReplyLost: self._handle_lost_reply,
            InvalidationReceived: self._invalidations.publish,
            Tick: self._handle_tick,
            api.EndpointUpdate: self._update_endpoints,
            api.ReportStaleHint: self._lookups.hints.report_stale_hint,
            api.RequestQuota: self._quotas.record_shortage,
            api.DonateQuota: self._quotas.donate,
            api.ReportOutlier: self._report_outlier,
        }

    def _handle_reply(self, now: Instant, reply: StoreReply) -> None:
        command = self.commands.complete(now, reply.ticket)
        if command is None:
            return
        if isinstance(command.operation, AdvanceGeneration):
            command.on_reply(now, (reply.generation,))
            return
        verdict = command.store.judge_reply(reply, command.generation, command.confirmed_serial)
        if verdict is ReplyVerdict.CURRENT:
            command.on_reply(now, reply.values)
            return
        self._generations.handle_verdict(now, command.store, verdict, reply.generation)
        command.on_reply(now, None)

    def _handle_lost_reply(self, now: Instant, event: ReplyLost) -> None:
        self.commands.fail(now, event.ticket)

    def _handle_tick(self, now: Instant, _event: Tick) -> None:
        self.commands.record_overdue(now)
        self.counts["leases_expired"] += self.leases.drop_expired(now)
        self._sync.sync_if_due(now)
        self._malformed.report_if_due(now)

    def _update_endpoints(self, _now: Instant, update: api.EndpointUpdate) -> None:
        self._context.endpoints.update(update)
        self._outliers.retain(self._context.endpoints.ids())

    def _report_outlier(self, now: Instant, event: api.ReportOutlier) -> None:
        if self.terms.outlier_reports_enabled:
            self._outliers.add_own(now, event.endpoint_id)

    def _report_availability(self) -> None:
        """Notifies the router when the first store becomes available or the last one becomes unavailable."""
        is_available = any(store.is_available for store in self.stores.values())
        if is_available == self._is_available:
            return
        self._is_available = is_available
        self._context.notify_router(api.StoreAvailability(is_available))
        event_name = "store_available" if is_available else "store_unavailable"
        states = {name: [store.breaker.state.value, store.trust.value] for name, store in self.stores.items()}
        self._context.log(event_name, {"stores": states})
