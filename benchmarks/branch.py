"""A branch by its decision parts alone: routers and sharing cores before modelled caches and stores.

One process, no sockets, time by an event queue. Every front has a clock of its own (offset and rate); stores
run the real scripts. Faults of the way to a store: replies lost, cut after the work was done, doubled, late;
of a store: silent, empty, back from a snapshot; of a front: paused, killed and started anew.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any, cast

from olivepost import interface as api
from olivepost.config import MILLISECOND, SECOND
from olivepost.router import Router
from olivepost.routing import capacity
from olivepost.shared_store import messages as ev
from olivepost.shared_store import scripts
from olivepost.shared_store.coordinator import StoreCoordinator
from standins.redis.errors import CommandError
from standins.redis.keyspace import Keyspace

START = 1_800_000_000 * SECOND
RATE_MOST = 0.004  # by which a front's clock runs fast or slow


@dataclass
class Way:
    """The way to one store: chances of each fault for each command, spans in nanoseconds."""

    lost: float = 0.0
    cut: float = 0.0  # done, but its answer never comes
    doubled: float = 0.0
    span: tuple[int, int] = (int(0.1 * MILLISECOND), int(0.6 * MILLISECOND))
    slow: float = 0.0  # chance of a span a hundred times as long
    silent_until: int = 0


@dataclass
class Cache:
    """Names it keeps since when, and fills under way until when."""

    room: int
    link: float  # transfers that it carries at once
    started: int = 0
    kept: dict[str, int] = field(default_factory=dict)
    filling: dict[str, int] = field(default_factory=dict)
    work: list[tuple[int, float]] = field(default_factory=list)  # sent to it: when, how much


@dataclass
class Counts:
    """What happened."""

    requests: int = 0
    steps: int = 0  # events handed to routers and sharing cores
    served: int = 0
    fills: int = 0
    double_fills: int = 0  # of a name that another cache of the branch had or was filling
    consults: int = 0
    older_than_purge: int = 0
    numbers: int = 0  # claims granted
    owned_twice: int = 0  # the sum of the next three
    numbers_shrunk: int = 0  # a claim's number that did not grow
    overlaps: int = 0  # a second owner while the first still held, in one life of the store
    old_published: int = 0  # what an owner other than the last published, and the store took
    over_whole: int = 0  # looks at all parts and loans together that found more than the whole
    looks: int = 0


class Front:
    """One front: a router and a sharing core, on its own clock."""

    def __init__(self, branch: Branch, number: int) -> None:
        self.branch, self.number = branch, number
        self.life = 0
        self.offset = branch.draw.randrange(-2 * SECOND, 2 * SECOND)
        self.rate = 1 + branch.draw.uniform(-RATE_MOST, RATE_MOST)
        self.paused_until = 0
        self.begin()

    def clock(self, at: int) -> int:
        return START + self.offset + int((at - START) * self.rate)

    def begin(self) -> None:
        """A new process under the name: nothing of the one before is known."""
        self.life += 1
        branch = self.branch
        self.requests: dict[str, api.Request] = {}
        self.router = Router(branch.settings, branch.draw.randrange(2**32))
        self.sharing: StoreCoordinator | None = None
        self.do_router(api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, branch.members()))
        for group, at in branch.purges.items():  # the coordinator tells of them at a start
            self.do_router(api.Invalidation(None, group, branch.now - at))
        if branch.sharing:
            process = f"{branch.draw.getrandbits(64):016x}"
            terms = ev.SharingTerms(
                f"n{self.number}", process, tuple(branch.stores), branch.late, branch.sync, **branch.terms
            )
            self.sharing = StoreCoordinator(terms, branch.draw.randrange(2**32))
            self.do_sharing(api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, branch.members()))
            self.tick(self.life)

    def tick(self, life: int) -> None:
        if life == self.life:
            self.do_sharing(ev.Tick())
            self.branch.after(5 * MILLISECOND, self, lambda: self.tick(life))

    def do_router(self, event: api.Event) -> None:
        now = self.clock(self.branch.now)
        self.branch.counts.steps += 1
        for action in self.router.handle(now, event):
            self.act(action)

    def do_sharing(self, event: ev.Event) -> None:
        if self.sharing is None:
            return
        self.branch.counts.steps += 1
        for action in self.sharing.handle(self.clock(self.branch.now), event):
            match action:
                case ev.StoreCommand():
                    self.branch.ask(self, self.life, action)
                case ev.NotifyRouter():
                    self.do_router(action.event)
                case ev.LogEvent():
                    self.branch.notes[action.name] += 1

    def act(self, action: api.Action) -> None:
        branch, life = self.branch, self.life
        match action:
            case api.SetTimer():
                token = action.timer_id
                branch.after(int(action.delay / self.rate) + 1, self, lambda: self.fire(life, token))
            case api.ForwardAttempt():
                branch.fetch(self, action)
            case api.LookUpHint():
                branch.counts.consults += 1
                request = self.requests[action.request_id]
                self.do_sharing(ev.LookupRequested(action, request.object, request.group))
            case api.ReleaseLease():
                self.do_sharing(ev.LeaseReleased(action))
            case api.ReportStaleHint() | api.RequestQuota() | api.DonateQuota() | api.ReportOutlier():
                self.do_sharing(action)

    def fire(self, life: int, token: int) -> None:
        if life == self.life:
            self.do_router(api.TimerFired(token))


class Branch:
    """Fronts, caches, one parent and an origin; requests of Zipf names."""

    def __init__(
        self,
        settings: api.Settings,
        fronts: int,
        seed: int,
        sharing: bool = True,
        stores: int = 1,
        caches: int = 8,
        names: int = 2_000,
        room: int = 150,
        skew: float = 0.9,
        groups: int = 16,
        link: float = 4.0,
        late: int = 10 * MILLISECOND,
        sync: int = 50 * MILLISECOND,
        fill: tuple[int, int] = (60 * MILLISECOND, 400 * MILLISECOND),
        size: float = 50.0,
        **terms: Any,
    ) -> None:
        self.draw, self.settings, self.sharing, self.terms = random.Random(seed), settings, sharing, terms
        self.now, self.late, self.sync, self.fill = START, late, sync, fill
        self.counts, self.notes = Counts(), Counter[str]()  # notes: lines of the log by name
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._serial = 0
        self.caches = {f"c{i}": Cache(room, link) for i in range(caches)}
        self.stores = {f"s{i}": Keyspace(self.now_ms) for i in range(stores)}
        self.ways = {name: Way() for name in self.stores}
        self.names = [f"{i:06x}" for i in range(names)]
        weights = [1 / (i + 1) ** skew for i in range(names)]
        self.weights = [sum(weights[: i + 1]) for i in range(names)]
        self.groups = groups
        self.purges: dict[int, int] = {}  # by group, as the origin tells it
        self.claims: dict[tuple[str, str], tuple[int, int, int]] = {}  # the last of each name, for the audit
        self.size = size
        self.fronts = [Front(self, number) for number in range(fronts)]

    def now_ms(self) -> int:
        return self.now // MILLISECOND

    def members(self) -> tuple[api.EndpointMetadata, ...]:
        rows = [
            api.EndpointMetadata(
                name, api.EndpointState.READY, "standard", "west", 0, cache.link, cache.started
            )
            for name, cache in self.caches.items()
        ]
        return (
            *rows,
            api.EndpointMetadata("p", api.EndpointState.READY, "parent", "hub", 0, 40.0),
            api.EndpointMetadata("o", api.EndpointState.READY, "origin", "hub", 0, 40.0),
        )

    # Time

    def after(self, span: int, front: Front | None, what: Callable[[], None]) -> None:
        """Does something later; a front that is paused then does it when it goes on."""
        self._serial += 1
        heappush(self._queue, (self.now + max(0, span), self._serial, lambda: self._do(front, what)))

    def _do(self, front: Front | None, what: Callable[[], None]) -> None:
        if front is not None and front.paused_until > self.now:
            self.after(front.paused_until - self.now, front, what)
        else:
            what()

    def run(self, span: int) -> None:
        """Lets time pass."""
        until = self.now + span
        while self._queue and self._queue[0][0] <= until:
            self.now, _, what = heappop(self._queue)
            what()
        self.now = until

    # Requests and caches

    def request(self, front: Front, name: str | None = None) -> None:
        """A client asks a front."""
        if front.paused_until > self.now:
            return
        name = name or self.draw.choices(self.names, cum_weights=self.weights)[0]
        self.counts.requests += 1
        spec = next(iter(self.settings.classes.values()))
        request = api.Request(
            f"r{self.counts.requests}", spec.name, name, spec.deadline, self.size, int(name, 16) % self.groups
        )
        front.requests[request.id] = request
        front.do_router(request)

    def load(self, rate: float, span: int, share: Callable[[], int] | None = None) -> None:
        """Requests at so many a second for a span, to fronts by `share` or evenly."""
        until = self.now + span

        def come() -> None:
            number = share() if share else self.draw.randrange(len(self.fronts))
            self.request(self.fronts[number])
            if self.now < until:
                self.after(int(self.draw.expovariate(rate) * SECOND), None, come)

        come()

    def fetch(self, front: Front, fetch: api.ForwardAttempt) -> None:
        """An attempt at a modelled cache: what it has, joins, or fills."""
        request, life, now = front.requests[fetch.request_id], front.life, self.now
        number = front.router.pending[fetch.request_id].attempt_count - 1
        name, cache = f"{request.object}.{request.part}", self.caches.get(fetch.cache)
        if cache is None:  # straight to a parent
            self._end(
                front,
                life,
                fetch,
                number,
                api.AttemptStatus.OK,
                api.CacheStatus.FILLED,
                80 * MILLISECOND,
                now,
            )
            return
        work = request.size_kb / self.settings.transfer_rate_kb_per_s * SECOND
        cache.work.append((now, work))
        born = cache.kept.get(name)
        bound = fetch.max_age or self.settings.classes[request.class_name].freshness_lifetime
        if born is not None and bound and now - born > bound:
            born = None
        if born is not None:
            cache.kept[name] = cache.kept.pop(name)  # used last
            self._check_age(request, born)
            self._end(front, life, fetch, number, api.AttemptStatus.OK, api.CacheStatus.HIT, int(work), now)
        elif (end := cache.filling.get(name, 0)) > now:
            self._end(
                front,
                life,
                fetch,
                number,
                api.AttemptStatus.OK,
                api.CacheStatus.COLLAPSED,
                end - now + 5 * MILLISECOND,
                now,
            )
        elif fetch.source == fetch.cache:
            self._end(
                front,
                life,
                fetch,
                number,
                api.AttemptStatus.NOT_CACHED,
                api.CacheStatus.UNKNOWN,
                2 * MILLISECOND,
                now,
            )
        else:
            self.counts.fills += 1
            others = [other for other in self.caches.values() if other is not cache]
            fresh = self.purges.get(request.group or 0, 0)
            had = any(other.kept.get(name, 0) > fresh or other.filling.get(name, 0) > now for other in others)
            self.counts.double_fills += had
            span = self.draw.randrange(*self.fill)
            cache.filling[name] = now + span
            self.after(span, None, lambda: self._filled(cache, name, now))
            self._end(
                front,
                life,
                fetch,
                number,
                api.AttemptStatus.OK,
                api.CacheStatus.FILLED,
                span + 5 * MILLISECOND,
                now,
            )

    def _filled(self, cache: Cache, name: str, born: int) -> None:
        if cache.filling.pop(name, 0) and cache.started <= born:
            cache.kept[name] = born
            while len(cache.kept) > cache.room:
                del cache.kept[next(iter(cache.kept))]

    def _check_age(self, request: api.Request, born: int) -> None:
        """Rule 5, by as much as the front's clock may run wrong: it bounds the age by its own."""
        told = self.purges.get(request.group or 0, 0)
        old = told and self.now - born > (self.now - told) * (1 + RATE_MOST)
        self.counts.older_than_purge += bool(old and self.now > told + 300 * MILLISECOND)

    def _end(
        self,
        front: Front,
        life: int,
        fetch: api.ForwardAttempt,
        number: int,
        status: api.AttemptStatus,
        note: api.CacheStatus,
        took: int,
        sent: int,
    ) -> None:
        def end() -> None:
            if life != front.life or fetch.request_id not in front.router.pending:
                return
            final = status is api.AttemptStatus.OK
            if final and number in front.router.pending[fetch.request_id].in_flight:
                self.counts.served += 1
            front.do_router(
                api.AttemptOutcome(fetch.request_id, number, status, self.now - sent, final, note)
            )

        self.after(took, front, end)

    # The list, purges, lives

    def list_anew(self) -> None:
        """Tells all fronts the list as it is."""
        told = api.EndpointUpdate(api.EndpointUpdateKind.FULL, self.members())
        for front in self.fronts:
            front.do_router(told)
            front.do_sharing(told)

    def restart_cache(self, name: str) -> None:
        """A cache comes back empty and cold."""
        cache = self.caches[name]
        cache.kept, cache.filling, cache.started, cache.work = {}, {}, self.now, []
        self.list_anew()

    def purge(self, groups: list[int]) -> None:
        """The coordinator tells all fronts of purges."""
        now = self.now

        def gone() -> None:  # from here on no cache has such copies: fronts forget the purge
            for cache in self.caches.values():
                for name in [
                    name
                    for name, born in cache.kept.items()
                    if born < now and int(name.partition(".")[0], 16) % self.groups in groups
                ]:
                    del cache.kept[name]

        self.after(self.settings.invalidation_lifetime, None, gone)
        for group in groups:
            self.purges[group] = self.now
            for front in self.fronts:
                event = api.Invalidation(None, group, 0)
                front.do_router(event)
                front.do_sharing(ev.InvalidationReceived(event, self.now // MILLISECOND))

    # Stores

    def ask(self, front: Front, life: int, command: ev.StoreCommand) -> None:
        """A command on its way."""
        way, ticket = self.ways[command.store], command.ticket

        def span() -> int:
            long = 100 if self.draw.random() < way.slow else 1
            return int(self.draw.uniform(*way.span) * long)

        def lost() -> None:
            if life == front.life:
                front.do_sharing(ev.ReplyLost(ticket, "no answer"))

        def arrive() -> None:
            reply = self.run_script(front, command) if self.now >= way.silent_until else None
            if reply is None or self.draw.random() < way.cut:
                self.after(250 * MILLISECOND, front, lost)
                return

            def answer() -> None:
                if life == front.life:
                    front.do_sharing(reply)

            self.after(span(), front, answer)
            if self.draw.random() < way.doubled:
                self.after(span() + span(), front, answer)

        if self.draw.random() < way.lost:
            self.after(250 * MILLISECOND, front, lost)
        else:
            self.after(span(), None, arrive)

    def run_script(self, front: Front, command: ev.StoreCommand) -> ev.StoreReply | ev.ReplyLost:
        """Runs a question's script in the store, and audits what it grants."""
        assert front.sharing is not None
        store = self.stores[command.store]
        script = scripts.script_of(command.operation, "t", front.sharing.terms.incarnation)
        words = [word if isinstance(word, bytes) else str(word).encode() for word in script.arguments]
        try:
            digest = scripts.DIGESTS[script.name].encode()
            if digest.decode() not in store.scripts:
                store.call([b"SCRIPT", b"LOAD", scripts.NAMES[script.name].encode()])
            reply = scripts.read_reply(
                command.ticket, store.call([b"EVALSHA", digest, b"1", script.key.encode(), *words])
            )
        except CommandError as fault:
            return ev.ReplyLost(command.ticket, str(fault))
        word = reply.values[0] if isinstance(reply, ev.StoreReply) and reply.values else b""
        if word == b"mine" and isinstance(command.operation, ev.LookUp) and isinstance(reply, ev.StoreReply):
            self._audit_claim(front, command.store, command.operation, reply)
        elif word == b"done" and isinstance(command.operation, ev.PublishLocation):
            number, _, _ = command.operation.claim.partition(b" ")
            last = self.claims.get((command.store, command.operation.name))
            wrong = last is None or last[0] != int(number)
            self.counts.old_published += wrong
            self.counts.owned_twice += wrong
        return reply

    def _audit_claim(self, front: Front, store: str, op: ev.LookUp, reply: ev.StoreReply) -> None:
        """A claim's number grows, and no two of one generation overlap by the owners' own clocks."""
        number, key = int(cast("bytes", reply.values[1])), (store, op.name)
        self.counts.numbers += 1
        last = self.claims.get(key)
        if last is not None and number <= last[0]:
            self.counts.numbers_shrunk += 1
            self.counts.owned_twice += 1
        life = self.stores[store].incarnation  # a store that forgot can't keep owners apart: their numbers do
        if last is not None and last[2] == life and last[1] > self.now:
            # Ended early by its own owner, else it would still run: only then may another have it.
            gone = not any(
                f.sharing and f.sharing.claims.running(f.clock(self.now), op.name, op.generation)
                for f in self.fronts
                if f is not front
            )
            self.counts.overlaps += not gone
            self.counts.owned_twice += not gone
        self.claims[key] = number, self.now + op.span_ms * MILLISECOND, life

    # Budgets

    def look_at_budgets(self) -> None:
        """All fronts' parts of each cold cache's budget, with loans, against the whole."""
        s = self.settings
        for name, cache in self.caches.items():
            if not cache.started:
                continue
            key, total, most = f"cold:{name}@{cache.started}", 0.0, 0.0
            slots = bound = 0.0
            for front in self.fronts:
                router, at = front.router, front.clock(self.now)
                member = router.state.endpoints.by_id.get(name)
                if member is None or member.metadata.started_at != cache.started:
                    continue
                share = capacity.slow_start_share(router.state, at - s.overload_window, member)
                part = (
                    s.caches.overload_multiple
                    * share
                    * s.overload_window
                    * capacity.certain_link(router.state, member)
                )
                total += max(0.0, part + capacity.transferred(router.state, at, key, part))
                most += part
                held = capacity.concurrency_part(router.state, at, member)
                slots += max(
                    0.0, held + capacity.transferred(router.state, at, f"open:{name}@{cache.started}", held)
                )
                bound += held
            self.counts.looks += 1
            self.counts.over_whole += total > most * (1 + 1e-9) + 1e-6
            self.counts.over_whole += slots > bound * (1 + 1e-9) + 1e-6

    def cold_use(self, name: str) -> tuple[float, float]:
        """What a cold cache was sent in the windows so far, and what its whole budget was."""
        s, cache = self.settings, self.caches[name]
        sent = whole = 0.0
        at = cache.started
        while at + s.overload_window <= min(self.now, cache.started + s.caches.slow_start_duration):
            part = self._whole(cache, at - cache.started)
            inside = sum(work for when, work in cache.work if at <= when < at + s.overload_window)
            sent, whole = sent + inside, whole + part
            at += s.overload_window // 4
        return sent, whole

    def _whole(self, cache: Cache, age: int) -> float:
        tier, window = self.settings.caches, self.settings.overload_window
        share = (
            tier.slow_start_initial_share
            + (1 - tier.slow_start_initial_share) * age / tier.slow_start_duration
        )
        return tier.overload_multiple * share * window * cache.link
