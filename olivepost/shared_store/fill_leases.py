"""The fill leases of this proxy. It requests them with lookups, and releases them when the fills end.

A release publishes the filled cache as the name's location. The release publishes nothing if the lease has
expired by the clock of the proxy that owns the lease, or if the lease's fencing number is not the one that
the store has for the name. This module has no clock and does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from olivepost import interface as api
from olivepost.shared_store.circuit_breaker import BreakerState
from olivepost.shared_store.commands import CommandTracker, ReplyValues
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.lease_table import LeaseTable, OwnedLease
from olivepost.shared_store.messages import LeaseReleased
from olivepost.shared_store.operations import LeaseRequest, LocationPublication, PublishLocation, ReplyType
from olivepost.shared_store.records import CacheLocation, FillLease, encode_record
from olivepost.shared_store.store_health import StoreHealth
from olivepost.units import MILLISECOND, Instant


@dataclass(slots=True)
class PendingLease:
    """A fill lease that a lookup has requested. The store's reply to the lookup is pending."""

    lookup: api.LookUpHint
    request: LeaseRequest
    store: StoreHealth
    generation: int
    requested_at: Instant
    # The event that the client's request has ended. It is `None` unless that request ends before the store
    # replies to the lease request.
    release: LeaseReleased | None = None


class FillLeases:
    """Fill leases that this proxy requests, acquires and releases.

    Only the coordinator's thread uses this class.
    """

    def __init__(self, context: CoordinatorContext, commands: CommandTracker, table: LeaseTable) -> None:
        self._context = context
        self._commands = commands
        self._table = table
        # The latest lease that was requested for each client's request, until the store's reply comes or is
        # lost. The key is the id of the client's request.
        self._pending: dict[str, PendingLease] = {}

    def find_active(self, now: Instant, name: str, generation: int) -> OwnedLease | None:
        """Returns this proxy's unexpired lease on a name in a generation, or `None` if there is none."""
        return self._table.find_active(now, name, generation)

    def create_request(self, lookup: api.LookUpHint, source: str) -> LeaseRequest:
        """Returns the lease request that a lookup sends to the store."""
        terms = self._context.terms
        lease = FillLease(
            proxy=terms.proxy,
            incarnation=terms.incarnation,
            cache=lookup.cache,
            source=source,
            cache_started_at=self._context.endpoints.started_at(lookup.cache),
        )
        duration_ms = max(1, min(lookup.lease_duration, terms.max_lease_duration) // MILLISECOND)
        self._context.counts["leases_requested"] += 1
        return LeaseRequest(encode_record(lease), duration_ms)

    def add_pending(self, pending: PendingLease) -> None:
        """Records that the reply to a lease request is pending."""
        self._pending[pending.lookup.request_id] = pending

    def remove_pending(self, pending: PendingLease) -> None:
        """Records that the reply to a lease request has come or is lost."""
        request_id = pending.lookup.request_id
        if self._pending.get(request_id) is pending:
            del self._pending[request_id]

    def acquire(self, pending: PendingLease, fencing_number: int) -> bool:
        """Adds a lease that the store granted, and returns True.

        Adds nothing and returns False if a lease on the name with the same or a later fencing number is
        known, or if this proxy owns too many leases.
        """
        lookup = pending.lookup
        lease = OwnedLease(
            request_id=lookup.request_id,
            name=lookup.name,
            store=pending.store.name,
            generation=pending.generation,
            stored=b"%d %b" % (fencing_number, pending.request.record),
            fencing_number=fencing_number,
            cache=lookup.cache,
            requested_at=pending.requested_at,
            expires_at=pending.requested_at + pending.request.duration_ms * MILLISECOND,
        )
        counts = self._context.counts
        if self._table.add(lease):
            counts["leases_granted"] += 1
            return True
        counts["leases_dropped" if self._table.is_full else "leases_fenced"] += 1
        return False

    def release(self, now: Instant, event: LeaseReleased) -> None:
        """Releases the lease of a client's request that has ended.

        If the store has not yet replied to the lease request, the lease is released when the reply comes.
        """
        request_id = event.release.request_id
        lease = self._table.pop(request_id)
        if lease is not None:
            self._release_owned(now, lease, event)
            return
        pending = self._pending.get(request_id)
        if pending is not None:
            pending.release = event

    def _release_owned(self, now: Instant, lease: OwnedLease, event: LeaseReleased) -> None:
        """Ends the lease in its store, and publishes the cache location if the release names a cache.

        Sends nothing if the lease has expired, if the store's generation has changed, or if the store's
        circuit breaker is open.
        """
        if now >= lease.expires_at:
            self._context.counts["leases_expired"] += 1
            return
        store = self._context.stores[lease.store]
        if store.generation == lease.generation and store.breaker.state is not BreakerState.OPEN:
            self._commands.send(now, store, self._publication(lease, event), self._on_released)

    def _publication(self, lease: OwnedLease, event: LeaseReleased) -> PublishLocation:
        return PublishLocation(
            generation=lease.generation,
            name=lease.name,
            lease=lease.stored,
            location=self._location(lease, event),
            lifetime_ms=self._context.terms.location_lifetime // MILLISECOND,
        )

    def _location(self, lease: OwnedLease, event: LeaseReleased) -> LocationPublication | None:
        cache = event.release.cache
        if cache is None or not self._context.terms.locations_enabled:
            return None
        generated_at_ms = event.generated_at_ms
        if generated_at_ms is None:
            generated_at_ms = lease.requested_at // MILLISECOND
        location = CacheLocation(
            cache=cache,
            cache_started_at=self._context.endpoints.started_at(cache),
            rank=event.release.rank,
            generated_at_ms=generated_at_ms,
            proxy=self._context.terms.proxy,
        )
        return LocationPublication(encode_record(location), generated_at_ms)

    def _on_released(self, _now: Instant, values: ReplyValues | None) -> None:
        if values and values[0] == ReplyType.RELEASED:
            self._context.counts["lease_releases_confirmed"] += 1
        else:
            self._context.counts["lease_releases_unconfirmed"] += 1
