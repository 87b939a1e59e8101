"""A check of the rules for the fill leases of a name.

The name's fencing numbers must increase, no two leases may overlap, and only the holder of the last lease may
publish. `LeaseAudit` reads the proxies' leases and the stores' incarnations, and changes only its counts.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol, cast

from benchmarks.branch.counts import Counts
from benchmarks.branch.simulation import Simulation
from olivepost.shared_store import messages, operations
from olivepost.shared_store.coordinator import StoreCoordinator
from olivepost.units import MILLISECOND, Instant
from standins.redis.keyspace import Keyspace

GRANTED = b"mine"  # first value of a script's reply if the lookup was granted a lease
PUBLISHED = b"done"  # first value of a script's reply if the store accepted the publication


class LeaseHolder(Protocol):
    """A proxy that requests leases."""

    coordinator: StoreCoordinator | None


class ClockedHolder(LeaseHolder, Protocol):
    """A lease holder with its own clock."""

    def clock(self, at: Instant) -> Instant:
        """Returns the time of the holder's clock at an instant of the simulation."""


class Grant(NamedTuple):
    """The last lease that was granted for a name."""

    number: int  # fencing number
    expires_at: Instant
    store_incarnation: int


class LeaseAudit:
    """A checker that remembers the last lease of each name in each store, and counts violations of the rules.

    `holders` is the branch's list of proxies. The branch adds its proxies to the list after it has created
    the checker.
    """

    def __init__(
        self,
        simulation: Simulation,
        counts: Counts,
        stores: dict[str, Keyspace],
        holders: Sequence[ClockedHolder],
    ) -> None:
        self._simulation = simulation
        self._counts = counts
        self._stores = stores
        self._holders = holders
        self._grants: dict[tuple[str, str], Grant] = {}

    def record(self, holder: LeaseHolder, command: messages.StoreCommand, reply: messages.StoreReply) -> None:
        """Checks a script's reply if it grants a lease or accepts a publication; records a granted lease."""
        outcome = reply.values[0] if reply.values else b""
        operation = command.operation
        if outcome == GRANTED and isinstance(operation, operations.LookUp):
            self._record_grant(holder, command.store, operation, int(cast("bytes", reply.values[1])))
        elif outcome == PUBLISHED and isinstance(operation, operations.PublishLocation):
            self._record_publication(command.store, operation)

    def _record_publication(self, store: str, publication: operations.PublishLocation) -> None:
        number, _, _ = publication.lease.partition(b" ")
        last = self._grants.get((store, publication.name))
        if last is None or last.number != int(number):
            self._counts.stale_publications += 1
            self._counts.lease_conflicts += 1

    def _record_grant(self, holder: LeaseHolder, store: str, lookup: operations.LookUp, number: int) -> None:
        """Checks that a name's fencing numbers increase and that no two leases of one generation overlap."""
        key = (store, lookup.name)
        last = self._grants.get(key)
        # If the store restarted after the last grant, the store may have forgotten that lease. Leases may
        # then overlap, and only their fencing numbers are compared.
        incarnation = self._stores[store].incarnation
        self._counts.leases += 1
        if last is not None and number <= last.number:
            self._counts.lease_numbers_shrunk += 1
            self._counts.lease_conflicts += 1
        if last is not None and last.store_incarnation == incarnation:
            is_active = last.expires_at > self._simulation.now
            if is_active and self._has_another_holder(holder, lookup):
                self._counts.lease_overlaps += 1
                self._counts.lease_conflicts += 1
        assert lookup.lease is not None
        expires_at = self._simulation.now + lookup.lease.duration_ms * MILLISECOND
        self._grants[key] = Grant(number, expires_at, incarnation)

    def _has_another_holder(self, holder: LeaseHolder, lookup: operations.LookUp) -> bool:
        """Whether another holder has a lease of the name that is active by that holder's own clock."""
        return any(
            other.coordinator is not None
            and other.coordinator.leases.find_active(
                other.clock(self._simulation.now), lookup.name, lookup.generation
            )
            for other in self._holders
            if other is not holder
        )
