"""Whether fill leases exclude each other: their numbers grow, no two overlap, no old one is published."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol, cast

from benchmarks.branch.counts import Counts
from benchmarks.branch.simulation import Simulation
from olivepost.shared_store import messages, operations
from olivepost.shared_store.coordinator import StoreCoordinator
from olivepost.units import MILLISECOND
from standins.redis.keyspace import Keyspace

GRANTED = b"mine"  # first word of the scripts' replies
PUBLISHED = b"done"


class LeaseHolder(Protocol):
    """A proxy that may hold leases."""

    coordinator: StoreCoordinator | None


class ClockedHolder(LeaseHolder, Protocol):
    """A holder on a clock of its own."""

    def clock(self, at: int) -> int:
        """What its clock shows at a time of the simulation."""


class Grant(NamedTuple):
    """The last lease of a name."""

    number: int
    expires_at: int
    store_incarnation: int


class LeaseAudit:
    """The last grant of each name in each store, and counts of what must not be."""

    def __init__(
        self,
        simulation: Simulation,
        counts: Counts,
        stores: dict[str, Keyspace],
        holders: Callable[[], Sequence[ClockedHolder]],
    ) -> None:
        self._simulation = simulation
        self._counts = counts
        self._stores = stores
        self._holders = holders
        self._grants: dict[tuple[str, str], Grant] = {}

    def record(self, holder: LeaseHolder, command: messages.StoreCommand, reply: messages.StoreReply) -> None:
        """Takes a script's reply."""
        word = reply.values[0] if reply.values else b""
        operation = command.operation
        if word == GRANTED and isinstance(operation, operations.LookUp):
            self._record_grant(holder, command.store, operation, int(cast("bytes", reply.values[1])))
        elif word == PUBLISHED and isinstance(operation, operations.PublishLocation):
            self._record_publication(command.store, operation)

    def _record_publication(self, store: str, publication: operations.PublishLocation) -> None:
        number, _, _ = publication.lease.partition(b" ")
        last = self._grants.get((store, publication.name))
        if last is None or last.number != int(number):
            self._counts.stale_publications += 1
            self._counts.lease_conflicts += 1

    def _record_grant(self, holder: LeaseHolder, store: str, lookup: operations.LookUp, number: int) -> None:
        """A lease's number grows, and no two of one generation overlap by the holders' own clocks."""
        key = (store, lookup.name)
        last = self._grants.get(key)
        # A store that lost its data can't keep holders apart: their numbers do.
        incarnation = self._stores[store].incarnation
        self._counts.leases += 1
        if last is not None and number <= last.number:
            self._counts.lease_numbers_shrunk += 1
            self._counts.lease_conflicts += 1
        if last is not None and last.store_incarnation == incarnation:
            is_running = last.expires_at > self._simulation.now
            if is_running and self._is_held_by_another(holder, lookup):
                self._counts.lease_overlaps += 1
                self._counts.lease_conflicts += 1
        assert lookup.lease is not None
        expires_at = self._simulation.now + lookup.lease.duration_ms * MILLISECOND
        self._grants[key] = Grant(number, expires_at, incarnation)

    def _is_held_by_another(self, holder: LeaseHolder, lookup: operations.LookUp) -> bool:
        """Whether a holder other than this one has not released the lease."""
        return any(
            other.coordinator is not None
            and other.coordinator.leases.find_active(
                other.clock(self._simulation.now), lookup.name, lookup.generation
            )
            for other in self._holders()
            if other is not holder
        )
