"""The fill leases that this proxy owns: with which fencing number, and until when by its own clock.

The store grants one lease a name, with a fencing number that only grows. No clock, no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush

from olivepost.units import Instant

MAX_LEASES = 8_192  # owned at once


@dataclass(slots=True)
class OwnedLease:
    """One lease that this proxy owns."""

    request_id: str
    name: str
    store: str
    generation: int
    stored: bytes  # number and record, as the store has them
    fencing_number: int
    cache: str
    requested_at: Instant  # before the store grants it, so that it expires here first
    expires_at: Instant


@dataclass(slots=True)
class LeaseTable:
    """Owned leases by request, and by name the latest. Used by the coordinator's thread only."""

    _by_request: dict[str, OwnedLease] = field(default_factory=dict)
    _by_name: dict[str, OwnedLease] = field(default_factory=dict)
    _expiries: list[tuple[Instant, str]] = field(default_factory=list)  # heap: when, and of which request

    def __len__(self) -> int:
        return len(self._by_request)

    @property
    def is_full(self) -> bool:
        """Whether no further lease can be added."""
        return len(self._by_request) >= MAX_LEASES

    def add(self, lease: OwnedLease) -> bool:
        """Adds a lease; False where the name's fencing number did not grow, or the table is full."""
        latest = self._by_name.get(lease.name)
        if latest is not None and lease.fencing_number <= latest.fencing_number:
            return False
        if self.is_full:
            return False
        self._by_request[lease.request_id] = lease
        self._by_name[lease.name] = lease
        heappush(self._expiries, (lease.expires_at, lease.request_id))
        return True

    def find_active(self, now: Instant, name: str, generation: int) -> OwnedLease | None:
        """Returns the lease of a name that this proxy still owns."""
        lease = self._by_name.get(name)
        if lease is None or now >= lease.expires_at or lease.generation != generation:
            return None
        return lease

    def pop(self, request_id: str) -> OwnedLease | None:
        """Removes and returns the lease of a request that has ended."""
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
