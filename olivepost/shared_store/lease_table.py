"""Fill leases that this proxy owns, with their fencing numbers and their expiry by this proxy's clock.

The store grants one lease at a time for each name, with a fencing number that only grows. This module has no
clock and does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush

from olivepost.units import Instant

MAX_LEASES = 8_192  # largest number of leases owned at once


@dataclass(slots=True)
class OwnedLease:
    """A fill lease that this proxy owns."""

    request_id: str
    name: str
    store: str
    generation: int
    stored: bytes  # fencing number and record, as the store keeps them
    fencing_number: int
    cache: str
    # The time from which this proxy measures the lease's duration. The store grants the lease later, so the
    # lease expires in this proxy before it expires in the store.
    requested_at: Instant
    expires_at: Instant


@dataclass(slots=True)
class LeaseTable:
    """Owned leases by request id, and the latest lease of each name.

    Only the coordinator's thread uses this class.
    """

    _by_request: dict[str, OwnedLease] = field(default_factory=dict)
    _by_name: dict[str, OwnedLease] = field(default_factory=dict)
    _expiries: list[tuple[Instant, str]] = field(default_factory=list)  # heap of expiry times and request ids

    def __len__(self) -> int:
        return len(self._by_request)

    @property
    def is_full(self) -> bool:
        """Whether no further lease can be added."""
        return len(self._by_request) >= MAX_LEASES

    def add(self, lease: OwnedLease) -> bool:
        """Adds a lease and returns True.

        Adds nothing and returns False if the table is full, or if the lease's fencing number is not above
        that of the name's latest lease.
        """
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
        """Returns the latest lease on a name.

        Returns `None` if there is none, or if the lease has expired or is of another generation.
        """
        lease = self._by_name.get(name)
        if lease is None or now >= lease.expires_at or lease.generation != generation:
            return None
        return lease

    def pop(self, request_id: str) -> OwnedLease | None:
        """Removes and returns the lease of a request that has ended, or returns `None` if there is none."""
        lease = self._by_request.pop(request_id, None)
        if lease is not None and self._by_name.get(lease.name) is lease:
            del self._by_name[lease.name]
        return lease

    def drop_expired(self, now: Instant) -> int:
        """Drops the leases that have expired and returns their number."""
        dropped = 0
        while self._expiries and self._expiries[0][0] <= now:
            _, request_id = heappop(self._expiries)
            if self.pop(request_id) is not None:
                dropped += 1
        return dropped
