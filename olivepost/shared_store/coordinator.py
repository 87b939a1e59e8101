"""Decides what this front tells shared stores, what of their word it believes, and what its router hears.

`Sharing(terms, seed).handle(now, event) -> actions`: no clock, no I/O, no threads. Whatever the stores do,
each consultation gets at most one `Advice`, at once where no store may be asked. The router waits no longer
than it said, whether advice comes or not; nothing here extends a deadline, an age or a budget by itself.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from olivepost import interface as api
from olivepost.config import MILLISECOND, SECOND
from olivepost.routing.selection import rendezvous_order
from olivepost.shared_store import messages as ev
from olivepost.shared_store.fill_leases import OwnLease, OwnLeases
from olivepost.shared_store.invalidations import KnownInvalidations
from olivepost.shared_store.outlier_reports import OutlierReports
from olivepost.shared_store.quota_transfers import Donation, QuotaTransfers
from olivepost.shared_store.records import (
    CacheLocation,
    FillLease,
    InvalidationKey,
    QuotaGrant,
    QuotaRequest,
    RecordError,
    decode_record,
    encode_record,
    parse_integer,
)
from olivepost.shared_store.store_health import BreakerState, ReplyVerdict, StoreHealth, TrustLevel

MOST_ASKED = 4_096  # questions that are out, all stores together; beyond, advice is dropped, not requests
ODD_EVERY = 60 * SECOND  # a line of the log on records that can't be used, at most
AHEAD_MOST_MS = 10_000  # that another front's clock may be ahead


@dataclass(slots=True)
class PendingCommand:
    """A question that is out."""

    store: StoreHealth
    op: ev.StoreOperation
    sent: int
    generation: int
    confirmed: int
    then: Callable[
        [int, PendingCommand, tuple[object, ...] | None], None
    ]  # None: nothing that counts came of it
    late: bool = False  # and said so


@dataclass(slots=True)
class PendingLookup:
    """A consultation, until its advice is given and its claim's fate known."""

    ask: api.LookUpHint
    object: str
    group: int | None
    told: bool = False
    over: ev.LeaseReleased | None = None  # its request ended before the store's word came


class StoreCoordinator:
    """One front's side of all shared stores."""

    def __init__(self, terms: ev.SharingTerms, seed: int) -> None:
        self.terms, self.counts = terms, Counter[str]()  # counts: since the start
        draw = random.Random(seed)
        self.stores = {
            name: StoreHealth(name, draw, terms.min_trial_delay, terms.max_trial_delay)
            for name in terms.stores
        }
        self._asked: dict[int, PendingCommand] = {}
        self._syncing: set[str] = set()  # stores with a sync that is out
        self._next_sync = dict.fromkeys(self.stores, 0)
        self._tickets = 0
        self._waiting: dict[str, PendingLookup] = {}
        self._hints: dict[str, tuple[StoreHealth, int, str, bytes]] = {}  # followed, by request
        self._members: dict[str, api.EndpointMetadata] = {}
        self.claims, self.purges = OwnLeases(), KnownInvalidations()
        self.loans, self.suspicions = (
            QuotaTransfers(terms.incarnation, terms.quota_duration),
            OutlierReports(),
        )
        self._lending: dict[int, StoreHealth] = {}
        self._up = False
        self._odd, self._odd_said = dict[str, int](), 0
        self._actions: list[ev.Action] = []

    def handle(self, now: int, event: ev.Event) -> list[ev.Action]:
        """Takes one event and returns what to do, in order."""
        self._actions = []
        match event:
            case ev.LookupRequested():
                self._consult(now, event)
            case ev.StoreReply():
                self._replied(now, event)
            case ev.ReplyLost():
                self._lost(now, event)
            case ev.LeaseReleased():
                self._ended(now, event)
            case ev.Tick():
                self._tick(now)
            case ev.InvalidationReceived():
                self._purged(now, event)
            case api.EndpointUpdate():
                self._list(event)
            case api.ReportStaleHint():
                self._misled(now, event)
            case api.RequestQuota() if self.terms.quota_transfers_enabled:
                self.loans.short(now, event.key, event.amount)
            case api.DonateQuota():
                self._lent(now, event)
            case api.ReportOutlier() if self.terms.outlier_reports_enabled:
                self.suspicions.suspect(now, event.endpoint_id)
        self._tell_state()
        return self._actions

    # Stores

    def store_of(self, name: str) -> StoreHealth:
        """The store that a name, or a budget, belongs to: by rendezvous, so a lost one costs its share."""
        return self.stores[rendezvous_order(name, self.terms.stores)[0]]

    def _ask(
        self,
        now: int,
        store: StoreHealth,
        op: ev.StoreOperation,
        urgent: bool,
        then: Callable[[int, PendingCommand, tuple[object, ...] | None], None],
    ) -> bool:
        if len(self._asked) >= MOST_ASKED:
            self.counts["asks_dropped"] += 1
            return False
        self._tickets += 1
        self._asked[self._tickets] = PendingCommand(
            store, op, now, store.generation, store.confirmed_serial, then
        )
        self._actions.append(ev.StoreCommand(self._tickets, store.name, op, urgent))
        return True

    def _replied(self, now: int, reply: ev.StoreReply) -> None:
        asked = self._asked.pop(reply.ticket, None)
        if asked is None:  # twice, or nobody's
            self.counts["replies_of_nobody"] += 1
            return
        store, in_time = asked.store, now - asked.sent <= self.terms.reply_timeout
        if not asked.late:  # else it has been counted
            store.record_reply(now, in_time)
        if isinstance(asked.op, ev.AdvanceGeneration):
            asked.then(now, asked, (reply.generation,))
            return
        verdict = store.judge(reply, asked.generation, asked.confirmed)
        if verdict is ReplyVerdict.CURRENT:
            asked.then(now, asked, reply.values)
            return
        self.counts[f"replies_{verdict.name.lower()}"] += 1
        if verdict is ReplyVerdict.MOVED:
            self._adopt(now, store, reply.generation)
        elif verdict in (ReplyVerdict.EMPTY, ReplyVerdict.ROLLED_BACK):
            self._raise(now, store, reply.generation)
        asked.then(now, asked, None)

    def _lost(self, now: int, lost: ev.ReplyLost) -> None:
        asked = self._asked.pop(lost.ticket, None)
        if asked is None:
            return
        self.counts["asks_lost"] += 1
        if not asked.late:
            asked.store.record_reply(now, False)
        asked.then(now, asked, None)

    def _raise(self, now: int, store: StoreHealth, found: int) -> None:
        """The store has forgotten, or is new: what it holds is to count for nobody."""
        store.trust = TrustLevel.NONE
        if store.is_advancing:
            return
        self._actions.append(
            ev.LogEvent("store_forgot", {"store": store.name, "found": found, "known": store.generation})
        )
        store.is_advancing = self._ask(
            now, store, ev.AdvanceGeneration(found, store.generation), False, self._raised
        )

    def _raised(self, now: int, asked: PendingCommand, values: tuple[object, ...] | None) -> None:
        asked.store.is_advancing, generation = False, values[0] if values else 0
        if isinstance(generation, int) and generation > asked.store.generation:
            self._adopt(now, asked.store, generation)

    def _adopt(self, now: int, store: StoreHealth, generation: int) -> None:
        self._actions.append(
            ev.LogEvent(
                "store_generation",
                {"store": store.name, "from": store.generation, "to": generation, "purges": len(self.purges)},
            )
        )
        store.adopt(generation, self.purges.chunks() if self.terms.invalidations_enabled else [])
        self._put_back(now, store)

    def _put_back(self, now: int, store: StoreHealth) -> None:
        """The next chunk of purges; an empty one where there are none, so that the store's word is had."""
        chunk = store.unpublished[0] if store.unpublished else ()
        self._ask(now, store, ev.PublishInvalidations(store.generation, chunk), False, self._was_put)

    def _was_put(self, now: int, asked: PendingCommand, values: tuple[object, ...] | None) -> None:
        if values is None or not isinstance(asked.op, ev.PublishInvalidations):
            return  # the next sync tries again
        store = asked.store
        if store.trust is TrustLevel.RESTORING and not store.confirm_published(asked.op.purges):
            self._put_back(now, store)

    def _tell_state(self) -> None:
        up = any(store.is_available for store in self.stores.values())
        if up != self._up:
            self._up = up
            self._actions.append(ev.NotifyRouter(api.StoreAvailability(up)))
            self._actions.append(
                ev.LogEvent(
                    "sharing_up" if up else "sharing_down",
                    {
                        "stores": {
                            name: [store.breaker.value, store.trust.value]
                            for name, store in self.stores.items()
                        }
                    },
                )
            )

    # Time

    def _tick(self, now: int) -> None:
        for asked in self._asked.values():
            # A wait that is over helps nobody; waiting for its end would keep a silent store in use.
            if not asked.late and now - asked.sent > self.terms.reply_timeout:
                asked.late = True
                asked.store.record_reply(now, False)
        self.counts["claims_outlived"] += self.claims.sweep(now)
        for name, store in self.stores.items():
            if now >= self._next_sync[name] and name not in self._syncing and store.allows_sync(now):
                self._sync(now, store)
        if self._odd and now - self._odd_said >= ODD_EVERY:
            self._actions.append(ev.LogEvent("store_records_odd", dict(self._odd)))
            self._odd, self._odd_said = {}, now

    def _sync(self, now: int, store: StoreHealth) -> None:
        self._next_sync[store.name] = now + self.terms.sync_interval
        sure = store.trust is TrustLevel.TRUSTED
        needs = (
            {
                key: record
                for key, record in (
                    self.loans.needs(now) if self.terms.quota_transfers_enabled else {}
                ).items()
                if self.store_of(key) is store
            }
            if sure
            else {}
        )
        op = ev.SyncOperation(
            store.generation,
            store.next_serial(),
            store.cursor,
            tuple((self.loans.field(key), record) for key, record in needs.items()),
            self.suspicions.own(now) if sure and self.terms.outlier_reports_enabled else (),
        )
        if self._ask(now, store, op, False, self._synced):
            self._syncing.add(store.name)

    def _synced(self, now: int, asked: PendingCommand, values: tuple[object, ...] | None) -> None:
        """Purges, needs, pieces and suspicions of others; each is read by itself, what is odd is skipped."""
        store = asked.store
        self._syncing.discard(store.name)
        if values is None or not isinstance(asked.op, ev.SyncOperation):
            return
        store.confirmed_serial = max(store.confirmed_serial, asked.op.serial)
        if store.trust is TrustLevel.RESTORING:
            self._put_back(now, store)
        if store.trust is not TrustLevel.TRUSTED:
            return
        parts = [part if isinstance(part, (list, tuple)) else () for part in (*values, (), (), (), ())]
        purges, needs, pieces, suspects = parts[:4]
        for row in purges:
            self._read(self._hear_purge, now, store, row)
        self._hear_needs(now, store, needs)
        for row in pieces:
            self._read(self._hear_piece, now, row)
        for row in suspects:
            self._read(self._hear_suspect, now, row)

    def _read(self, how: Callable[..., None], *args: object) -> None:
        """Reads one thing that somebody left in a store; what can't be used is counted, and nothing lost."""
        try:
            how(*args)
        except RecordError as fault:
            self._note_odd(fault)

    def _note_odd(self, fault: RecordError) -> None:
        self.counts["records_odd"] += 1
        why = str(fault)[:120]
        if why in self._odd or len(self._odd) < 16:
            self._odd[why] = self._odd.get(why, 0) + 1

    # Members and purges

    def _list(self, event: api.EndpointUpdate) -> None:
        if event.kind in (api.EndpointUpdateKind.FULL, api.EndpointUpdateKind.RESTORED):
            self._members = {}
        for listed in event.endpoints:
            self._members.pop(listed.id, None)
            if listed.state is not api.EndpointState.REMOVED:
                self._members[listed.id] = listed
        self.suspicions.forget(set(self._members))

    def _purged(self, now: int, event: ev.InvalidationReceived) -> None:
        key = InvalidationKey(
            event.invalidation.object, None if event.invalidation.object else event.invalidation.group
        )
        if not self.purges.note(key, event.at_ms) or not self.terms.invalidations_enabled:
            return
        for store in self.stores.values():
            if store.trust is TrustLevel.TRUSTED and store.breaker is not BreakerState.OPEN:
                op = ev.PublishInvalidations(store.generation, ((key.text(), event.at_ms),))
                self._ask(now, store, op, False, self._published)
            elif store.trust is TrustLevel.RESTORING:
                store.unpublished.append(((key.text(), event.at_ms),))

    def _published(self, now: int, asked: PendingCommand, values: tuple[object, ...] | None) -> None:
        """A purge whose publication was not confirmed must not be forgotten: all are put back."""
        store = asked.store
        if values is None and store.trust is TrustLevel.TRUSTED and asked.generation == store.generation:
            self.counts["purges_unconfirmed"] += 1
            store.trust = TrustLevel.RESTORING
            store.unpublished.extend(self.purges.chunks())

    def _hear_purge(self, now: int, store: StoreHealth, row: object) -> None:
        if not isinstance(row, (list, tuple)) or len(row) != 3 or not isinstance(row[1], bytes):
            raise RecordError("a purge of another form")
        # A purge of the far future would make every hint on its key useless for good.
        number, at_ms = parse_integer(row[0]), min(parse_integer(row[2]), now // MILLISECOND + AHEAD_MOST_MS)
        store.cursor = max(store.cursor, number)
        key = InvalidationKey.read(row[1])
        if self.purges.note(key, at_ms) and self.terms.invalidations_enabled:
            self.counts["purges_heard"] += 1
            # Ahead of this clock counts as now: nothing that is out is younger.
            purge = api.Invalidation(key.object, key.group, max(0, now - at_ms * MILLISECOND))
            self._actions.append(ev.NotifyRouter(purge))

    # Names

    def _consult(self, now: int, event: ev.LookupRequested) -> None:
        """One question a consultation, or none where no answer can come in time or would be news."""
        ask, store = event.lookup, self.store_of(event.lookup.name)
        claims = bool(ask.source)
        waiting = PendingLookup(ask, event.object, event.group)
        wanted = (
            self.terms.leases_enabled if claims else self.terms.locations_enabled or self.terms.leases_enabled
        )
        own = self.claims.running(now, ask.name, store.generation)
        if own is not None and store.is_available:  # another request of this front's fills it: no need to ask
            self.counts["claims_shared"] += 1
            self._advise(waiting, api.CacheHint(ask.request_id, own.cache, True, max(0, own.until - now)))
            return
        if not (wanted and store.is_available and ask.timeout > 0):
            self._advise(waiting, api.CacheHint(ask.request_id))
            return
        purges = (f"o:{event.object}", f"g:{event.group}")
        record, span = b"", 0
        if claims:
            record = encode_record(
                FillLease(
                    proxy=self.terms.proxy,
                    incarnation=self.terms.incarnation,
                    cache=ask.cache,
                    source=ask.source,
                    cache_started_at=self._started(ask.cache),
                )
            )
            span = max(1, min(ask.lease_duration, self.terms.max_lease_duration) // MILLISECOND)
            self.counts["claims_tried"] += 1
        op = ev.LookUp(store.generation, ask.name, purges, record, span)

        def known(then: int, asked: PendingCommand, values: tuple[object, ...] | None) -> None:
            self._known(then, asked, values, waiting)

        if not self._ask(now, store, op, True, known):
            self._advise(waiting, api.CacheHint(ask.request_id))
        elif claims:
            self._waiting[ask.request_id] = waiting

    def _advise(self, waiting: PendingLookup, advice: api.CacheHint) -> None:
        if not waiting.told:
            waiting.told = True
            self._actions.append(ev.NotifyRouter(advice))

    def _known(
        self, now: int, asked: PendingCommand, values: tuple[object, ...] | None, waiting: PendingLookup
    ) -> None:
        """The store's word on a name. Without one, whether the claim is this front's is not known."""
        ask = waiting.ask
        waiting.told |= now - asked.sent > ask.timeout  # the router has gone on: its next question is another
        if self._waiting.get(ask.request_id) is waiting:
            del self._waiting[ask.request_id]
        advice = api.CacheHint(ask.request_id)
        try:
            if values:
                advice = self._read_known(now, asked, values, waiting)
        except RecordError as fault:
            self._note_odd(fault)
        self._advise(waiting, advice)

    def _read_known(
        self, now: int, asked: PendingCommand, values: tuple[object, ...], waiting: PendingLookup
    ) -> api.CacheHint:
        ask, word = waiting.ask, values[0]
        none = api.CacheHint(ask.request_id)
        if word == b"mine" and isinstance(asked.op, ev.LookUp) and asked.op.record:
            self._granted(now, asked, parse_integer(values[1]), waiting)
        elif word == b"taken":
            claim = decode_record(
                FillLease, values[1].partition(b" ")[2] if isinstance(values[1], bytes) else b""
            )
            if self._usable(claim.cache, claim.cache_started_at):
                self.counts["claims_followed"] += 1
                left = (
                    max(0, min(parse_integer(values[2]), self.terms.max_lease_duration // MILLISECOND))
                    * MILLISECOND
                )
                return api.CacheHint(ask.request_id, claim.cache, True, left)
        elif word == b"held" and self.terms.locations_enabled:
            record = values[1] if isinstance(values[1], bytes) else b""
            holder = decode_record(CacheLocation, record)
            if self._stale(holder, waiting):
                self._drop(now, asked.store, ask.name, record, 2)
            elif self._usable(holder.cache, holder.cache_started_at):
                self.counts["hints_given"] += 1
                while len(self._hints) >= MOST_ASKED:  # most are right, and no word of them comes back
                    del self._hints[next(iter(self._hints))]
                self._hints[ask.request_id] = asked.store, asked.generation, ask.name, record
                return api.CacheHint(ask.request_id, holder.cache)
        elif word not in (b"none", b"held"):
            raise RecordError(f"a word on a name that is none: {word!r:.40}")
        return none

    def _usable(self, cache: str, started: int) -> bool:
        listed = self._members.get(cache)
        return listed is not None and listed.state is api.EndpointState.READY and listed.started_at == started

    def _stale(self, holder: CacheLocation, waiting: PendingLookup) -> bool:
        """Older than a purge, or of a cache that has restarted or is gone: of no use to anybody."""
        listed = self._members.get(holder.cache)
        purged = holder.generated_at_ms <= self.purges.last_ms(waiting.object, waiting.group)
        return purged or listed is None or listed.started_at > holder.cache_started_at

    def _started(self, cache: str) -> int:
        return self._members[cache].started_at if cache in self._members else 0

    def _granted(self, now: int, asked: PendingCommand, number: int, waiting: PendingLookup) -> None:
        """The claim is this front's, unless the word comes past its end by this clock."""
        op, ask = asked.op, waiting.ask
        assert isinstance(op, ev.LookUp)
        own = OwnLease(
            ask.request_id,
            ask.name,
            asked.store.name,
            asked.generation,
            b"%d %b" % (number, op.record),
            number,
            ask.cache,
            asked.sent,
            asked.sent + op.span_ms * MILLISECOND,
        )
        if not self.claims.add(own):
            self.counts["claims_fenced"] += 1
            return
        self.counts["claims_owned"] += 1
        if waiting.over is not None:
            self._ended(now, waiting.over)

    def _ended(self, now: int, event: ev.LeaseReleased) -> None:
        """Publishes what came of an own claim, or frees the name for others at once."""
        settled = event.release
        self._hints.pop(settled.request_id, None)
        own = self.claims.pop(settled.request_id)
        if own is None:
            if waiting := self._waiting.get(settled.request_id):
                waiting.over = event
            return
        store = self.stores[own.store]
        if now >= own.until:
            self.counts["claims_outlived"] += 1
            return
        if store.generation != own.generation or store.breaker is BreakerState.OPEN:
            return
        record, at_ms = b"", 0
        if settled.cache and self.terms.locations_enabled:
            at_ms = event.generated_at_ms or own.sent // MILLISECOND
            record = encode_record(
                CacheLocation(
                    cache=settled.cache,
                    cache_started_at=self._started(settled.cache),
                    rank=settled.rank,
                    generated_at_ms=at_ms,
                    proxy=self.terms.proxy,
                )
            )
        op = ev.PublishLocation(
            own.generation, own.name, own.claim, record, at_ms, self.terms.location_lifetime // MILLISECOND
        )
        self._ask(now, store, op, False, self._settled)

    def _settled(self, now: int, asked: PendingCommand, values: tuple[object, ...] | None) -> None:
        done = bool(values) and values is not None and values[0] == b"done"
        self.counts["claims_settled" if done else "claims_not_published"] += 1

    def _misled(self, now: int, event: api.ReportStaleHint) -> None:
        hint = self._hints.pop(event.request_id, None)
        if hint is not None:
            store, generation, name, record = hint
            self.counts["hints_wrong"] += 1
            if generation == store.generation:
                self._drop(now, store, name, record, 1)

    def _drop(self, now: int, store: StoreHealth, name: str, record: bytes, times: int) -> None:
        if store.is_available:
            self._ask(
                now, store, ev.ReportStaleLocation(store.generation, name, record, times), False, _nothing
            )

    # Budgets

    def _hear_needs(self, now: int, store: StoreHealth, rows: Sequence[object]) -> None:
        """Answers, of each budget, the need that stands longest in the store, so that all lend to one."""
        oldest: dict[str, tuple[int, str, QuotaRequest]] = {}

        def note(row: object) -> None:
            if not isinstance(row, (list, tuple)) or len(row) != 3 or not isinstance(row[0], bytes):
                raise RecordError("a need of another form")
            field_name, at, need = (
                row[0].decode(errors="replace"),
                parse_integer(row[1]),
                decode_record(QuotaRequest, row[2]),
            )
            if field_name != f"{need.incarnation}|{need.key}":
                raise RecordError("a need under another's name")
            oldest[need.key] = min(
                (at, field_name, need),
                oldest.get(need.key, (at, field_name, need)),
                key=lambda entry: entry[:2],
            )

        for row in rows:
            self._read(note, row)
        for _, field_name, need in oldest.values():
            self._tickets += 1
            if offer := self.loans.answer(now, self._tickets, field_name, need):
                self._lending[self._tickets] = store
                self._actions.append(
                    ev.NotifyRouter(api.QuotaRequested(self._tickets, need.key, need.amount, offer.until))
                )

    def _lent(self, now: int, event: api.DonateQuota) -> None:
        """The router has taken a piece off its part: it is the other's now, whatever the store does."""
        store = self._lending.pop(event.transfer_id, None)
        made = self.loans.lent(event.transfer_id, event.amount, event.expires_at)
        if made is None or store is None:
            return
        offer, piece = made
        self.counts["pieces_lent"] += 1
        need = offer.need
        op = ev.GrantQuota(
            store.generation, offer.field, need.nonce, need.incarnation, piece.amount, encode_record(piece)
        )
        if store.trust is not TrustLevel.TRUSTED or store.breaker is BreakerState.OPEN:
            return
        self._ask(now, store, op, False, lambda then, asked, values: self._handed(then, values, offer))

    def _handed(self, now: int, values: tuple[object, ...] | None, offer: Donation) -> None:
        """What the store has surely not handed on comes back; what is unknown stays lent until its end."""
        if not values:
            self.counts["pieces_unknown"] += 1
            return
        self.loans.done(offer.need.nonce)
        if values[0] == b"not wanted" and now < offer.until:
            self.counts["pieces_back"] += 1
            self._actions.append(
                ev.NotifyRouter(api.QuotaReceived(offer.need.key, offer.amount, offer.until))
            )

    def _hear_piece(self, now: int, row: object) -> None:
        piece = decode_record(QuotaGrant, row)
        amount, until = self.loans.take(now, piece)
        self.counts["pieces_borrowed"] += 1
        self._actions.append(ev.NotifyRouter(api.QuotaReceived(piece.key, amount, until)))

    def _hear_suspect(self, now: int, row: object) -> None:
        text = row.decode(errors="replace") if isinstance(row, bytes) else ""
        process, _, address = text.partition("|")
        if not address:
            raise RecordError("a suspicion of another form")
        listed = address in self._members and process != self.terms.incarnation
        if self.terms.outlier_reports_enabled and self.suspicions.hear(now, address, process, listed):
            self.counts["suspicions_heard"] += 1
            self._actions.append(ev.NotifyRouter(api.OutlierReported(address)))


def _nothing(now: int, asked: PendingCommand, values: tuple[object, ...] | None) -> None:
    """Nothing follows."""
