"""Lookups of names: asks a store which cache has or fills a name, and turns the reply into a hint.

Each lookup gets at most one hint, at once where no store may be asked. The router waits no longer than the
lookup's timeout, whether a hint comes or not.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from olivepost import interface as api
from olivepost.shared_store.commands import MAX_PENDING_COMMANDS, CommandTracker, ReplyValues
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.fill_leases import HeldLease, LeasePublisher, LeaseTable
from olivepost.shared_store.invalidations import KnownInvalidations
from olivepost.shared_store.malformed_records import MalformedRecords
from olivepost.shared_store.messages import (
    LeaseReleased,
    LookUp,
    LookupRequested,
    ReplyWord,
    ReportStaleLocation,
)
from olivepost.shared_store.records import (
    CacheLocation,
    FillLease,
    RecordError,
    decode_record,
    encode_record,
    parse_integer,
)
from olivepost.shared_store.store_health import StoreHealth
from olivepost.units import MILLISECOND, Instant

MAX_HINTS = MAX_PENDING_COMMANDS  # remembered; most are right, and no report of them ever comes
STALE_REPORT = 1  # reports that the stale hint of one request is worth
PROVEN_STALE = 2  # reports that drop a location at once: the proxy knows that nobody can use it


@dataclass(slots=True)
class PendingLookup:
    """A lookup, until its hint is given and the fate of its lease is known."""

    request: api.LookUpHint
    object: str
    group: int | None
    store: StoreHealth
    generation: int
    sent_at: Instant
    is_answered: bool = False
    release: LeaseReleased | None = None  # its request ended before the store's reply came


class LocationHint(NamedTuple):
    """A cache location that a hint named: what a report of a stale one is about."""

    store: StoreHealth
    generation: int
    name: str
    record: bytes


class Lookups:
    """Lookups, their hints and the leases they acquire. Used by the coordinator's thread only."""

    def __init__(
        self,
        context: CoordinatorContext,
        commands: CommandTracker,
        invalidations: KnownInvalidations,
        malformed: MalformedRecords,
        leases: LeaseTable,
    ) -> None:
        self._context = context
        self._commands = commands
        self._invalidations = invalidations
        self._malformed = malformed
        self._leases = leases
        self._publisher = LeasePublisher(context, commands, leases)
        self._awaiting_lease: dict[str, PendingLookup] = {}  # by request
        self._hints: dict[str, LocationHint] = {}  # by request, the oldest first

    # Requests

    def look_up(self, now: Instant, event: LookupRequested) -> None:
        """Sends one operation, or none where no reply can come in time or tell anything new."""
        request = event.lookup
        store = self._context.store_of(request.name)
        lookup = PendingLookup(request, event.object, event.group, store, store.generation, now)
        lease = self._leases.find_active(now, request.name, store.generation)
        if lease is not None and store.is_available:
            self._context.counts["leases_shared"] += 1
            remaining = max(0, lease.expires_at - now)
            self._answer(lookup, api.CacheHint(request.request_id, lease.cache, True, remaining))
        elif self._may_ask(request) and store.is_available:
            self._send(now, lookup)
        else:
            self._answer(lookup, api.CacheHint(request.request_id))

    def _may_ask(self, request: api.LookUpHint) -> bool:
        if request.timeout <= 0:
            return False
        terms = self._context.terms
        if request.source is not None:
            return terms.leases_enabled
        return terms.locations_enabled or terms.leases_enabled

    def _send(self, now: Instant, lookup: PendingLookup) -> None:
        request = lookup.request
        operation = self._operation(lookup)
        on_reply = partial(self._on_reply, lookup, operation)
        if not self._commands.send(now, lookup.store, operation, on_reply, is_urgent=True):
            self._answer(lookup, api.CacheHint(request.request_id))
        elif request.source is not None:
            self._awaiting_lease[request.request_id] = lookup

    def _operation(self, lookup: PendingLookup) -> LookUp:
        request = lookup.request
        keys = (f"o:{lookup.object}", f"g:{lookup.group}")
        if request.source is None:
            return LookUp(lookup.generation, request.name, keys)
        terms = self._context.terms
        lease = FillLease(
            proxy=terms.proxy,
            incarnation=terms.incarnation,
            cache=request.cache,
            source=request.source,
            cache_started_at=self._context.endpoints.started_at(request.cache),
        )
        duration_ms = max(1, min(request.lease_duration, terms.max_lease_duration) // MILLISECOND)
        self._context.counts["leases_requested"] += 1
        return LookUp(lookup.generation, request.name, keys, encode_record(lease), duration_ms)

    def _answer(self, lookup: PendingLookup, hint: api.CacheHint) -> None:
        if not lookup.is_answered:
            lookup.is_answered = True
            self._context.notify_router(hint)

    # Replies

    def _on_reply(
        self, lookup: PendingLookup, operation: LookUp, now: Instant, values: ReplyValues | None
    ) -> None:
        """Reads a store's reply. Without one, whether this proxy has the lease is unknown."""
        request = lookup.request
        if now - lookup.sent_at > request.timeout:
            lookup.is_answered = True  # the router has gone on: its next lookup is another
        if self._awaiting_lease.get(request.request_id) is lookup:
            del self._awaiting_lease[request.request_id]
        hint = None
        try:
            if values:
                hint = self._read_reply(now, lookup, operation, values)
        except RecordError as error:
            self._malformed.record(error)
        self._answer(lookup, hint or api.CacheHint(request.request_id))

    def _read_reply(
        self, now: Instant, lookup: PendingLookup, operation: LookUp, values: ReplyValues
    ) -> api.CacheHint | None:
        """Returns the hint that a reply gives, if any; raises `RecordError` where it can't be read."""
        match values[0]:
            case ReplyWord.LEASE_GRANTED if operation.record:
                self._acquire(now, lookup, operation, parse_integer(values[1]))
                return None
            case ReplyWord.LEASE_TAKEN:
                return self._follow_lease(lookup, values)
            case ReplyWord.LOCATED if self._context.terms.locations_enabled:
                return self._use_location(now, lookup, values[1])
            case ReplyWord.LOCATED | ReplyWord.UNKNOWN:
                return None
        allowed = "mine, taken, held or none"
        raise RecordError(f"a lookup's reply of another form: {values[0]!r:.40}", allowed)

    def _follow_lease(self, lookup: PendingLookup, values: ReplyValues) -> api.CacheHint | None:
        """Another proxy has the lease: hints at the cache that it fills."""
        stored = values[1] if isinstance(values[1], bytes) else b""
        _, _, record = stored.partition(b" ")
        lease = decode_record(FillLease, record)
        if not self._context.endpoints.is_usable(lease.cache, lease.cache_started_at):
            return None
        self._context.counts["leases_followed"] += 1
        max_ms = self._context.terms.max_lease_duration // MILLISECOND
        remaining_ms = max(0, min(parse_integer(values[2]), max_ms))
        return api.CacheHint(lookup.request.request_id, lease.cache, True, remaining_ms * MILLISECOND)

    def _use_location(self, now: Instant, lookup: PendingLookup, value: object) -> api.CacheHint | None:
        """The store knows a cache that has the name: hints at it, unless it is known to be stale."""
        record = value if isinstance(value, bytes) else b""
        location = decode_record(CacheLocation, record)
        request = lookup.request
        if self._is_stale(location, lookup):
            self._report_stale(now, lookup.store, request.name, record, PROVEN_STALE)
            return None
        if not self._context.endpoints.is_usable(location.cache, location.cache_started_at):
            return None
        self._context.counts["hints_given"] += 1
        while len(self._hints) >= MAX_HINTS:
            del self._hints[next(iter(self._hints))]
        self._hints[request.request_id] = LocationHint(lookup.store, lookup.generation, request.name, record)
        return api.CacheHint(request.request_id, location.cache)

    def _is_stale(self, location: CacheLocation, lookup: PendingLookup) -> bool:
        """Whether no proxy can use a location: invalidated, or of a cache that restarted or is gone."""
        if location.generated_at_ms <= self._invalidations.last_ms(lookup.object, lookup.group):
            return True
        return self._context.endpoints.is_removed(location.cache, location.cache_started_at)

    def _acquire(self, now: Instant, lookup: PendingLookup, operation: LookUp, fencing_number: int) -> None:
        """The lease is this proxy's, unless a later one of the name is known."""
        request = lookup.request
        lease = HeldLease(
            request.request_id,
            request.name,
            lookup.store.name,
            lookup.generation,
            b"%d %b" % (fencing_number, operation.record),
            fencing_number,
            request.cache,
            lookup.sent_at,
            lookup.sent_at + operation.lease_duration_ms * MILLISECOND,
        )
        if not self._leases.add(lease):
            self._context.counts["leases_fenced"] += 1
            return
        self._context.counts["leases_granted"] += 1
        if lookup.release is not None:
            self.release_lease(now, lookup.release)

    # Ends of requests

    def release_lease(self, now: Instant, event: LeaseReleased) -> None:
        """Ends a request: releases its lease, or has it released once the store's reply comes."""
        request_id = event.release.request_id
        self._hints.pop(request_id, None)
        if self._publisher.release(now, event):
            return
        lookup = self._awaiting_lease.get(request_id)
        if lookup is not None:
            lookup.release = event

    def report_stale_hint(self, now: Instant, event: api.ReportStaleHint) -> None:
        """The cache that a hint named does not have the object."""
        hint = self._hints.pop(event.request_id, None)
        if hint is None:
            return
        self._context.counts["hints_stale"] += 1
        if hint.generation == hint.store.generation:
            self._report_stale(now, hint.store, hint.name, hint.record, STALE_REPORT)

    def _report_stale(self, now: Instant, store: StoreHealth, name: str, record: bytes, times: int) -> None:
        if store.is_available:
            operation = ReportStaleLocation(store.generation, name, record, times)
            self._commands.send(now, store, operation, _ignore_reply)


def _ignore_reply(_now: Instant, _values: ReplyValues | None) -> None:
    """Nothing follows, whatever the store replies."""
