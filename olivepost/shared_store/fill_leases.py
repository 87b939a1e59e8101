"""This proxy's fill leases: which fills it owns, with which fencing number, until when by its own clock.

The store grants one lease a name, with a fencing number that only grows. What the owner finds out after its
lease has expired, by its own clock or by the store's current number, is never published. No clock, no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush

from olivepost.shared_store.circuit_breaker import BreakerState
from olivepost.shared_store.commands import CommandTracker, ReplyValues
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.messages import LeaseReleased, PublishLocation, ReplyWord
from olivepost.shared_store.records import CacheLocation, encode_record
from olivepost.units import MILLISECOND, Instant

MAX_LEASES = 8_192  # held at once; twice the commands that may be pending


@dataclass(slots=True)
class HeldLease:
    """One lease that this proxy holds."""

    request_id: str
    name: str
    store: str
    generation: int
    stored: bytes  # number and record, as the store has them
    fencing_number: int
    cache: str
    requested_at: Instant  # the store counts the duration from later
    expires_at: Instant


@dataclass(slots=True)
class LeaseTable:
    """Held leases by request, and by name the latest. Used by the coordinator's thread only."""

    _by_request: dict[str, HeldLease] = field(default_factory=dict)
    _by_name: dict[str, HeldLease] = field(default_factory=dict)
    _expiries: list[tuple[int, str]] = field(default_factory=list)  # heap: when, and whose request

    def __len__(self) -> int:
        return len(self._by_request)

    def add(self, lease: HeldLease) -> bool:
        """Adds a lease; False where the name's fencing number did not grow, or the table is full."""
        latest = self._by_name.get(lease.name)
        if latest is not None and lease.fencing_number <= latest.fencing_number:
            return False
        if len(self._by_request) >= MAX_LEASES:
            return False
        self._by_request[lease.request_id] = lease
        self._by_name[lease.name] = lease
        heappush(self._expiries, (lease.expires_at, lease.request_id))
        return True

    def find_active(self, now: Instant, name: str, generation: int) -> HeldLease | None:
        """Returns the lease of a name that this proxy still holds."""
        lease = self._by_name.get(name)
        if lease is None or now >= lease.expires_at or lease.generation != generation:
            return None
        return lease

    def pop(self, request_id: str) -> HeldLease | None:
        """Takes out the lease of a request that is over."""
        lease = self._by_request.pop(request_id, None)
        if lease is not None and self._by_name.get(lease.name) is lease:
            del self._by_name[lease.name]
        return lease

    def drop_expired(self, now: Instant) -> int:
        """Drops leases that have expired; returns their number."""
        dropped = 0
        while self._expiries and self._expiries[0][0] <= now:
            _, request_id = heappop(self._expiries)
            if self.pop(request_id) is not None:
                dropped += 1
        return dropped


class LeasePublisher:
    """Releases leases and publishes what came of their fills. Used by the coordinator's thread only."""

    def __init__(self, context: CoordinatorContext, commands: CommandTracker, leases: LeaseTable) -> None:
        self._context = context
        self._commands = commands
        self._leases = leases

    def release(self, now: Instant, event: LeaseReleased) -> bool:
        """Releases the lease of a request that is over; False where the request holds none.

        Publishes the cache location that came of the fill, or just frees the name for others.
        """
        lease = self._leases.pop(event.release.request_id)
        if lease is None:
            return False
        if now >= lease.expires_at:
            self._context.counts["leases_expired"] += 1
            return True
        store = self._context.stores[lease.store]
        if store.generation == lease.generation and store.breaker.state is not BreakerState.OPEN:
            operation = self._publication(lease, event)
            self._commands.send(now, store, operation, self._on_released)
        return True

    def _publication(self, lease: HeldLease, event: LeaseReleased) -> PublishLocation:
        terms = self._context.terms
        cache = event.release.cache
        record = b""
        generated_at_ms = 0
        if cache is not None and terms.locations_enabled:
            generated_at_ms = event.generated_at_ms or lease.requested_at // MILLISECOND
            location = CacheLocation(
                cache=cache,
                cache_started_at=self._context.endpoints.started_at(cache),
                rank=event.release.rank,
                generated_at_ms=generated_at_ms,
                proxy=terms.proxy,
            )
            record = encode_record(location)
        return PublishLocation(
            lease.generation,
            lease.name,
            lease.stored,
            record,
            generated_at_ms,
            terms.location_lifetime // MILLISECOND,
        )

    def _on_released(self, _now: Instant, values: ReplyValues | None) -> None:
        if values and values[0] == ReplyWord.RELEASED:
            self._context.counts["lease_releases_confirmed"] += 1
        else:
            self._context.counts["lease_releases_unconfirmed"] += 1
