"""Lookups of names. A lookup asks a store which cache has or fills a name, and the reply becomes a hint.

The router gets at most one hint for each lookup. The hint names no cache if none is known. If the store may
not be asked, the router gets such a hint at once. If no hint has come when the lookup's timeout ends, the
router stops waiting, and a later reply leads to no hint.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from olivepost import interface as api
from olivepost.shared_store.commands import CommandTracker, ReplyValues
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.fill_leases import FillLeases, PendingLease
from olivepost.shared_store.invalidations import KnownInvalidations
from olivepost.shared_store.location_hints import LocationHint, LocationHints
from olivepost.shared_store.malformed_records import MalformedRecords
from olivepost.shared_store.messages import LeaseReleased, LookupRequested
from olivepost.shared_store.operations import LookUp, ReplyType
from olivepost.shared_store.records import (
    CacheLocation,
    FillLease,
    RecordError,
    decode_record,
    parse_integer,
)
from olivepost.shared_store.store_health import StoreHealth
from olivepost.units import MILLISECOND, Duration, Instant


@dataclass(slots=True)
class PendingLookup:
    """A lookup that waits until the store's reply comes or is lost."""

    request: api.LookUpHint
    object: str
    group: int | None
    store: StoreHealth
    generation: int
    sent_at: Instant
    lease: PendingLease | None = None  # the lease that the lookup requests, if any
    is_answered: bool = False  # whether the router has its hint or no longer waits for it


class Lookups:
    """Lookups that this proxy sends, and their replies.

    Only the coordinator's thread uses this class.
    """

    def __init__(
        self,
        context: CoordinatorContext,
        commands: CommandTracker,
        invalidations: KnownInvalidations,
        malformed: MalformedRecords,
        leases: FillLeases,
    ) -> None:
        self.hints = LocationHints(context, commands)
        self._context = context
        self._commands = commands
        self._invalidations = invalidations
        self._malformed = malformed
        self._leases = leases

    # Requests

    def look_up(self, now: Instant, event: LookupRequested) -> None:
        """Sends a lookup to the store, unless the reply would come too late or contain nothing useful.

        If nothing is sent, the router gets a hint at once. The hint names no cache, unless nothing is sent
        because this proxy already owns the fill lease on the name. In that case, the hint names the cache
        that is being filled under that lease.
        """
        request = event.lookup
        store = self._context.store_of(request.name)
        lookup = PendingLookup(request, event.object, event.group, store, store.generation, now)
        lease = self._leases.find_active(now, request.name, store.generation)
        if lease is not None and store.is_available:
            self._context.counts["leases_shared"] += 1
            self._hint_at_fill(lookup, lease.cache, max(0, lease.expires_at - now))
        elif self._may_ask(request) and store.is_available:
            self._send(now, lookup)
        else:
            self._give_no_hint(lookup)

    def end_request(self, now: Instant, event: LeaseReleased) -> None:
        """Forgets the hint and releases the fill lease, if any, of a client's request that has ended."""
        self.hints.forget(event.release.request_id)
        self._leases.release(now, event)

    def _may_ask(self, request: api.LookUpHint) -> bool:
        if request.timeout <= 0:
            return False
        terms = self._context.terms
        if request.source is not None:
            return terms.leases_enabled
        return terms.locations_enabled or terms.leases_enabled

    def _send(self, now: Instant, lookup: PendingLookup) -> None:
        request = lookup.request
        if request.source is not None:
            lease_request = self._leases.create_request(request, request.source)
            lookup.lease = PendingLease(request, lease_request, lookup.store, lookup.generation, now)
        operation = _operation(lookup)
        on_reply = partial(self._on_reply, lookup)
        if not self._commands.send(now, lookup.store, operation, on_reply, is_urgent=True):
            self._give_no_hint(lookup)
        elif lookup.lease is not None:
            self._leases.add_pending(lookup.lease)

    # Replies

    def _on_reply(self, lookup: PendingLookup, now: Instant, values: ReplyValues | None) -> None:
        """Handles a store's reply to a lookup; `values` is `None` if the reply is lost or not current.

        If there are no values, this proxy can't know whether the store granted the lease that the lookup may
        have requested, and doesn't use the lease.
        """
        if now - lookup.sent_at > lookup.request.timeout:
            lookup.is_answered = True  # the router no longer waits for a hint
        if lookup.lease is not None:
            self._leases.remove_pending(lookup.lease)
        try:
            if values:
                self._read_reply(now, lookup, values)
        except RecordError as error:
            self._malformed.record(error)
        self._give_no_hint(lookup)

    def _read_reply(self, now: Instant, lookup: PendingLookup, values: ReplyValues) -> None:
        """Acts on the values of a store's reply, and sends the router a hint if they lead to a usable cache.

        Raises `RecordError` if the reply is malformed.
        """
        match values[0]:
            case ReplyType.LEASE_GRANTED if lookup.lease is not None:
                self._acquire_lease(now, lookup.lease, fencing_number=parse_integer(_value(values, 1)))
            case ReplyType.LEASE_TAKEN:
                self._follow_lease(lookup, stored=_value(values, 1), remaining_ms=_value(values, 2))
            case ReplyType.LOCATED if self._context.terms.locations_enabled:
                self._use_location(now, lookup, stored=_value(values, 1))
            case ReplyType.LOCATED | ReplyType.UNKNOWN:
                pass
            case _:
                allowed = "mine, taken, held or none"
                raise RecordError(f"an unexpected reply to a lookup: {values[0]!r:.40}", allowed)

    def _acquire_lease(self, now: Instant, lease: PendingLease, fencing_number: int) -> None:
        """Adds the lease that the store granted to this proxy.

        This proxy is to fill the name itself, so the router gets a hint that names no cache. If the request
        for which the lease was requested has ended in the meantime, the lease is released immediately.
        """
        is_acquired = self._leases.acquire(lease, fencing_number)
        if is_acquired and lease.release is not None:
            self.end_request(now, lease.release)

    def _follow_lease(self, lookup: PendingLookup, stored: object, remaining_ms: object) -> None:
        """Sends the router a hint that names the cache which the owner of the lease, another proxy, fills.

        Sends no such hint if that cache is not usable. `remaining_ms` is the time until the lease expires.
        """
        _, _, record = (stored if isinstance(stored, bytes) else b"").partition(b" ")
        lease = decode_record(FillLease, record)
        if not self._context.endpoints.is_usable(lease.cache, lease.cache_started_at):
            return
        self._context.counts["leases_followed"] += 1
        max_ms = self._context.terms.max_lease_duration // MILLISECOND
        ready_in_ms = max(0, min(parse_integer(remaining_ms), max_ms))
        self._hint_at_fill(lookup, lease.cache, ready_in_ms * MILLISECOND)

    def _use_location(self, now: Instant, lookup: PendingLookup, stored: object) -> None:
        """Sends the router a hint that names the cache of a stored location, if the cache is usable.

        If the location is stale, sends no such hint, and reports the stale location to the store.
        """
        record = stored if isinstance(stored, bytes) else b""
        location = decode_record(CacheLocation, record)
        request = lookup.request
        if self._is_stale(location, lookup):
            self.hints.report_unusable(now, lookup.store, request.name, record)
            return
        if not self._context.endpoints.is_usable(location.cache, location.cache_started_at):
            return
        self._context.counts["hints_given"] += 1
        hint = LocationHint(lookup.store, lookup.generation, request.name, record)
        self.hints.add(request.request_id, hint)
        self._answer(lookup, api.CacheHint(request.request_id, location.cache))

    def _is_stale(self, location: CacheLocation, lookup: PendingLookup) -> bool:
        """Whether no proxy can use a location.

        Such a location was invalidated, or its cache has restarted or was removed.
        """
        if location.generated_at_ms <= self._invalidations.last_ms(lookup.object, lookup.group):
            return True
        return self._context.endpoints.is_removed(location.cache, location.cache_started_at)

    # Hints

    def _hint_at_fill(self, lookup: PendingLookup, cache: str, ready_in: Duration) -> None:
        hint = api.CacheHint(lookup.request.request_id, cache, is_filling=True, ready_in=ready_in)
        self._answer(lookup, hint)

    def _give_no_hint(self, lookup: PendingLookup) -> None:
        self._answer(lookup, api.CacheHint(lookup.request.request_id))

    def _answer(self, lookup: PendingLookup, hint: api.CacheHint) -> None:
        """Sends the router a hint, unless the lookup has already been answered."""
        if not lookup.is_answered:
            lookup.is_answered = True
            self._context.notify_router(hint)


def _operation(lookup: PendingLookup) -> LookUp:
    invalidation_keys = (f"o:{lookup.object}", f"g:{lookup.group}")
    lease_request = None if lookup.lease is None else lookup.lease.request
    return LookUp(lookup.generation, lookup.request.name, invalidation_keys, lease_request)


def _value(values: ReplyValues, index: int) -> object:
    """Returns one value of a reply; raises `RecordError` if the reply has too few values."""
    if index >= len(values):
        raise RecordError(f"too few values in a lookup's reply: {len(values)}", f"at least {index + 1}")
    return values[index]
