"""Every decision of a front. Its settings, events and actions stand in olivepost/interface.py.

A `Router` is one front: events in, actions out, no clock and no I/O. The parts, each with one job:
levels (f-TTL), name table, placement, health, warm-up budgets, purges, and the life of a request.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from heapq import heappop, heappush

from olivepost.interface import (
    NEVER_RAN, Action, Begun, Cancel, ClassSettings, ClientLeft, Effect, Event, Fail, Fetch, Listed, ListKind,
    Membership, Note, Outcome, Purge, Refuse, Request, Scope, SetTimer, Settings, State, Status, Subscribe,
    TimerFired,
)

MS, SECOND = 1_000_000, 1_000_000_000
# f-TTL (design page and paper, III and V): longest lifetime, steps, targets, width of the threshold.
LONGEST, STEP, SIZE_STEP, EPSILON = 60 * SECOND, 0.01, 0.0001, 0.1
HIT_TARGET, SIZE_TARGET, FIRST_LEVEL = 0.8, 5 * SECOND, 0.5
LOW, MIDDLE, TOP = 1, 2, 3
TOP_SHARE = 0.05  # of the live names' bytes: what the top rank may hold
MOST_NAMES, MOST_PLACES, MOST_PURGES = 40_000, 20_000, 4_096
# Own open fills that make placement skip a cache: so many times its link, shared among the location's
# fronts; a link not told is taken for so many transfers. At a source a plain number.
CROWD, USUAL_LINK, OPEN_AT_SOURCE = 2.0, 8.0, 64
# Health: failures in a row or failing share that suspend a member, and how long until its trial request.
STREAK, BAD_SHARE, BAD_STEP = 2, 0.5, 0.2
FIRST_PAUSE, LONGEST_PAUSE = 1 * SECOND, 4 * SECOND
# Patience: an attempt longer out than so many times its expected time, plus a little, is looked at.
STRETCH, LEAST_PATIENCE = 2.0, 250 * MS
RETRY_EARN, RETRY_SAVED = 0.2, 10.0  # further attempts earned by each request, and the most saved up
LEAST_LINK, TRUST = 2.0, 0.7  # transfers a member surely carries; how far a told weight is believed
PACE_MEMORY = 10 * SECOND
ADVICE = 500 * MS  # when a refused client is asked to come back


class Levels:
    """f-TTL: the two levels of one class and the lifetimes that follow from them."""

    def __init__(self) -> None:
        self.deep, self.shallow, self.mean_size = FIRST_LEVEL, 1.0, 0.0

    def lifetime(self) -> float:
        """θ, the lifetime of a name that has come back."""
        return LONGEST * self.deep

    def shallow_lifetime(self) -> float:
        """θs = L·ϑ·Γ, the lifetime of a name seen once (paper, equation 5)."""
        above = max(0.0, self.deep - 1 + 1.5 * EPSILON) ** 4
        below = max(0.0, 1 - EPSILON / 2 - self.deep) ** 4
        return self.lifetime() * (self.shallow + (1 - self.shallow) * above / (above + below))

    def learn(self, hit: bool, sample: float, size: float) -> None:
        """Moves both levels by one answer."""
        self.mean_size += (size - self.mean_size) * (STEP if self.mean_size else 1.0)
        weight = size / self.mean_size if self.mean_size else 1.0
        self.deep = min(1.0, max(0.0, self.deep + STEP * (HIT_TARGET - hit)))
        step = SIZE_STEP * weight * (SIZE_TARGET - sample) / SIZE_TARGET
        self.shallow = min(1.0, max(0.0, self.shallow + step))


class NameTable:
    """Names with a running timer; the one that ends first makes room."""

    def __init__(self) -> None:
        self._names: dict[tuple[str, int], tuple[int, int, float]] = {}  # end, rank, size
        self._ends: list[tuple[int, tuple[str, int]]] = []
        self._bytes = {LOW: 0.0, MIDDLE: 0.0, TOP: 0.0}

    def left(self, now: int, name: tuple[str, int]) -> int | None:
        """The time left of a name's timer; None where it has none."""
        while self._ends and (self._ends[0][0] <= now or len(self._names) > MOST_NAMES):
            end, old = heappop(self._ends)
            if old in self._names and self._names[old][0] == end:
                self._drop(old)
        entry = self._names.get(name)
        return entry[0] - now if entry else None

    def top_has_room(self, name: tuple[str, int], size: float) -> bool:
        """Whether the top rank, this name apart, holds under its share of bytes."""
        entry = self._names.get(name)
        own, total = (entry[2] if entry and entry[1] == TOP else 0.0), sum(self._bytes.values())
        return total <= 0 or self._bytes[TOP] - own < TOP_SHARE * total

    def put(self, name: tuple[str, int], end: int, rank: int, size: float) -> None:
        """Sets a name's timer and rank."""
        self._drop(name)
        self._names[name] = end, rank, size
        self._bytes[rank] += size
        heappush(self._ends, (end, name))
        if len(self._ends) > 4 * MOST_NAMES:
            self._ends = sorted((entry[0], kept) for kept, entry in self._names.items())

    def _drop(self, name: tuple[str, int]) -> None:
        entry = self._names.pop(name, None)
        if entry:
            self._bytes[entry[1]] -= entry[2]


class Placement:
    """Rendezvous order of members for an object, remembered while the list stays the same."""

    def __init__(self) -> None:
        self._members: tuple[str, ...] = ()
        self._orders: dict[str, tuple[str, ...]] = {}

    def settle(self, members: Iterable[str]) -> None:
        """Takes the members that an object may be placed on."""
        self._members = tuple(sorted(members))
        self._orders.clear()

    def order(self, name: str) -> tuple[str, ...]:
        """All members, the object's own place first."""
        found = self._orders.get(name)
        if found is None:
            if len(self._orders) >= MOST_PLACES:
                self._orders.clear()
            found = tuple(sorted(self._members, key=lambda m: blake2b(f"{m} {name}".encode(), digest_size=8).digest()))
            self._orders[name] = found
        return found


@dataclass(slots=True)
class Member:
    """A cache, parent or origin: what the list says, its health, and what was sent to it lately."""

    listed: Listed
    heard: int = -1  # when it last showed that it works
    streak: int = 0
    bad: float = 0.0
    pause: int = 0
    until: int = 0
    on_trial: bool = False
    open: int = 0
    sent: deque[list[float]] = field(default_factory=deque)  # [time, work] over the fall window

    def works(self, now: int) -> None:
        """It has answered: any suspension is over."""
        self.heard, self.streak, self.on_trial = now, 0, False
        self.bad -= BAD_STEP * self.bad
        if self.until:
            self.until, self.pause, self.bad = 0, 0, 0.0

    def fails(self, now: int, weight: float) -> bool:
        """It has failed; True where that suspends it.

        Guards against members that are gone, silent, or answer with errors, whatever the cause. Also meets
        a cut link and a member that lost its disk. Hurts where a few chance failures send a good cache's
        objects elsewhere for a second.
        """
        self.streak += 1
        self.bad += BAD_STEP * (weight - self.bad)
        if not (self.on_trial or self.streak * weight >= STREAK or self.bad >= BAD_SHARE):
            return False
        self.pause = min(LONGEST_PAUSE, 2 * self.pause) if self.until else FIRST_PAUSE
        self.until, self.on_trial = now + self.pause, False
        return True

    def fit(self, now: int) -> bool:
        """Not suspended, or due for its one trial request."""
        return not self.until or (now >= self.until and not self.on_trial)


class Purges:
    """Purges in force: how old a copy of an object may be at most."""

    def __init__(self, gone_everywhere: int) -> None:
        self._gone, self._keep = gone_everywhere, max(gone_everywhere, LONGEST)
        self._times: dict[tuple[str, object], int] = {}
        self._dropped = -1  # a purge forgotten for want of room counts for every object

    def add(self, now: int, purge: Purge) -> None:
        """Notes a purge."""
        key = ("object", purge.object) if purge.object else ("group", purge.group)
        when = max(now - purge.age, self._times.pop(key, now - purge.age))
        self._times[key] = when
        if len(self._times) > MOST_PURGES:
            self._times = {k: t for k, t in self._times.items() if now - t <= self._keep}
        while len(self._times) > MOST_PURGES:
            self._dropped = max(self._dropped, self._times.pop(next(iter(self._times))))

    def last(self, request: Request) -> int:
        """When the object was last purged, by itself or by its group; -1 for never.

        Where the group of a request is not told, a purge of any group counts.
        """
        times = [self._dropped, self._times.get(("object", request.object), -1)]
        if request.group is None:
            times += [t for (kind, _), t in self._times.items() if kind == "group"]
        else:
            times += [self._times.get(("group", request.group), -1), self._times.get(("group", None), -1)]
        return max(times)

    def oldest(self, now: int, request: Request) -> int | None:
        """The most that a copy's age may be, None for no bound; rule 5, on whatever path a copy comes."""
        last = self.last(request)
        return max(1, now - last) if 0 <= last and now - last <= self._gone + SECOND else None

    def recent(self, now: int, request: Request) -> bool:
        """Purged so lately that a miss says nothing of the levels."""
        return 0 <= self.last(request) and now - self.last(request) <= LONGEST


class Pace:
    """What this front has seen: sending times, waits, and the work that members get done."""

    def __init__(self) -> None:
        self.work: dict[str, float] = {}  # by class: mean sending time
        self.took: dict[str, float] = {}  # by class: mean time of an answer
        self._done: dict[str, tuple[int, float]] = {}  # by role: work done lately, fading

    def seen(self, kind: dict[str, float], name: str, value: float) -> None:
        """Adds one sample to a running mean."""
        kind[name] = kind[name] + 0.05 * (value - kind[name]) if name in kind else value

    def done(self, now: int, role: str, work: float = 0.0) -> float:
        """Adds work done by members of a role; returns its rate in transfers."""
        then, total = self._done.get(role, (now, 0.0))
        total = total * max(0.0, 1 - (now - then) / PACE_MEMORY) + work
        self._done[role] = now, total
        return total / PACE_MEMORY


@dataclass(slots=True)
class Attempt:
    """One attempt that is out."""

    number: int
    cache: str
    source: str
    sent: int
    patience: int
    charges: list[list[float]]
    renew: bool


@dataclass(slots=True)
class Held:
    """A request that this front owes an answer."""

    request: Request
    spec: ClassSettings
    arrived: int
    rank: int
    left: int | None
    out: dict[int, Attempt] = field(default_factory=dict)
    sends: int = 0
    begun: bool = False
    avoid: set[str] = field(default_factory=set)
    ran: list[tuple[int, Listed]] = field(default_factory=list)  # attempts that may have run

    @property
    def deadline(self) -> int:
        return self.arrived + self.request.ttl


class Router:
    """One front."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self._random = random.Random(seed)
        self._members: dict[str, Member] = {}
        self._caches, self._parents = Placement(), Placement()
        self._origin = ""
        self._levels = {name: Levels() for name in settings.classes}
        self._names = NameTable()
        self._purges = Purges(settings.purge_done)
        self._pace = Pace()
        self._held: dict[str, Held] = {}
        self._timers: dict[int, Callable[[int], None]] = {}
        self._tokens = 0
        self._retries = RETRY_SAVED
        self._subscribed = not settings.ask_for_list
        self._actions: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        """Takes one event and returns what to do, in order."""
        self._actions = []
        match event:
            case Request():
                self._arrive(now, event)
            case Outcome():
                self._ended(now, event)
            case TimerFired():
                due = self._timers.pop(event.token, None)
                if due:
                    due(now)
            case Membership():
                self._list(now, event)
            case Purge():
                self._purges.add(now, event)
            case Begun():
                if event.id in self._held:
                    self._held[event.id].begun = True
            case ClientLeft():
                self._forget(event.id)
        return self._actions

    # Membership.

    def _list(self, now: int, event: Membership) -> None:
        if event.kind in (ListKind.FULL, ListKind.STORED):
            told = {item.address for item in event.members}
            for address in [a for a in self._members if a not in told]:
                self._part(now, address)
        for item in event.members:
            member = self._members.get(item.address)
            if item.state is State.GONE:
                self._part(now, item.address)
            elif member is None or member.listed.started != item.started:
                fresh = Member(item)  # another process: its health and warmth start anew
                if member:
                    fresh.sent, fresh.open = member.sent, member.open
                self._members[item.address] = fresh
            else:
                member.listed = item
        ready = [m.listed for m in self._members.values() if m.listed.state is State.READY]
        parent, origin = self.settings.parent_kind, self.settings.origin_kind
        outer = {kind for kind in (parent, origin) if kind}
        self._caches.settle(m.address for m in ready if m.kind not in outer and m.zone == self.settings.zone)
        self._parents.settle(m.address for m in ready if parent and m.kind == parent)
        self._origin = min((m.address for m in ready if origin and m.kind == origin), default="")
        if event.kind is ListKind.FAILED:
            self._subscribed = not self.settings.ask_for_list
        if not self._subscribed:
            self._subscribed = True
            wait = self.settings.ask_within // 4 if event.kind is ListKind.FAILED else 0
            self._after(wait, lambda then: self._actions.append(Subscribe()))

    def _part(self, now: int, address: str) -> None:
        self._members.pop(address, None)

    # A request arrives.

    def _arrive(self, now: int, request: Request) -> None:
        spec, levels = self.settings.classes[request.class_name], self._levels[request.class_name]
        name, size = (request.object, request.part), request.size_kb or 1.0
        left = self._names.left(now, name)
        rank = 0
        if not (spec.uncacheable or request.write):
            if left is not None:
                rank = TOP if self._names.top_has_room(name, size) else MIDDLE
            else:
                rank = MIDDLE if self._random.random() * levels.lifetime() < levels.shallow_lifetime() else LOW
            self._names.put(name, now + int(levels.lifetime()), rank, size)
        if request.size_kb and self.settings.pace_kb_per_s:
            self._pace.seen(self._pace.work, spec.name, request.size_kb / self.settings.pace_kb_per_s * SECOND)
        self._retries = min(RETRY_SAVED, self._retries + RETRY_EARN)
        held = self._held[request.id] = Held(request, spec, now, rank, left)
        # Rule 1: whatever else happens, the answer goes out before the client's time is up.
        self._after(max(0, request.ttl - self.settings.tick), lambda then: self._backstop(request.id))
        self._send(now, held)

    def _backstop(self, request_id: str) -> None:
        held = self._held.get(request_id)
        if held and not held.begun:
            self._give_up(held)

    def _after(self, delay: int, due: Callable[[int], None]) -> None:
        self._tokens += 1
        self._timers[self._tokens] = due
        self._actions.append(SetTimer(delay, self._tokens))

    # Sending.

    def _work(self, spec: ClassSettings) -> float:
        """The class's mean sending time; until something is known, its aim."""
        return self._pace.work.get(spec.name, float(spec.aim))

    def _room(self, now: int, member: Member, work: float, as_source: bool) -> bool:
        """Rule 4: whether a cold member's budget, this front's part of it, bears one more attempt.

        Guards every window of the stated length: the capacity taken is that of the window's start. The link
        is guessed from a told weight or from the work that warm members get done, never above either.
        Hurts by sending too little where the members are much larger than they have shown.
        """
        s, listed = self.settings, member.listed
        is_parent = listed.kind == s.parent_kind
        if not listed.started or listed.kind == s.origin_kind:
            return True
        floor, warm = (s.parent_cold_from, s.parent_warm_within) if is_parent else (s.cold_from, s.warm_within)
        age = now - listed.started
        if age >= warm + s.fall_window:
            return True
        while member.sent and member.sent[0][0] <= now - s.fall_window:
            member.sent.popleft()
        share = floor + (1 - floor) * max(0, age - s.fall_window) / max(1, warm)
        fronts = s.fronts if is_parent else max(1, s.zone_fronts)
        warm_members = [m for m in self._members.values() if self._same_role(m, member) and not m.listed.started]
        role = "parent" if is_parent else "cache"
        link = max(LEAST_LINK / fronts, self._pace.done(now, role) / max(1, len(warm_members)))
        if s.weights_told:
            link = max(link, TRUST * listed.weight / fronts)
        multiple = s.parent_fall_multiple if is_parent else s.fall_multiple
        budget = multiple * min(1.0, share) * link * s.fall_window
        return sum(cell[1] for cell in member.sent) + work <= budget

    def _same_role(self, one: Member, other: Member) -> bool:
        return one.listed.kind == other.listed.kind or (
            self.settings.parent_kind not in (one.listed.kind, other.listed.kind)
            and self.settings.origin_kind not in (one.listed.kind, other.listed.kind)
            and one.listed.zone == other.listed.zone
        )

    def _pick(self, now: int, order: tuple[str, ...], held: Held, bound: Callable[[Member], float], as_source: bool) -> str | None:
        """The first fit member below its bound; all skipped, the first that may be used at all."""
        work = self._work(held.spec)
        usable = [a for a in order if self._room(now, self._members[a], work, as_source)]
        fit = [a for a in usable if self._members[a].fit(now) and a not in held.avoid]
        free = [a for a in fit if self._members[a].open < bound(self._members[a])]
        rest = [a for a in usable if a not in held.avoid]
        return next(iter(free or fit or rest or usable), None)

    def _crowd(self, member: Member) -> float:
        """The open-fill bound at a cache."""
        link = member.listed.weight if self.settings.weights_told else USUAL_LINK
        return max(2.0, CROWD * link / max(1, self.settings.zone_fronts))

    def _may_repeat(self, now: int, held: Held, target: str) -> bool:
        """Rule 2: whether one more attempt, at this target, can do no effect twice."""
        if not held.ran or held.spec.effect is Effect.SAFE:
            return True
        if held.spec.effect is Effect.UNSAFE:
            return False
        first, at = held.ran[0]
        there, scope = self._members[target].listed, held.spec.scope
        same = scope is Scope.ALL or (there.zone == at.zone and (scope is Scope.ZONE or there.cell == at.cell))
        return same and now - first < held.spec.window

    def _send(self, now: int, held: Held) -> None:
        """Sends the next attempt, or gives up at once where none can be sent."""
        s, spec, request = self.settings, held.spec, held.request
        left = held.deadline - now
        name = f"{request.object}.{request.part}"
        cache = self._pick(now, self._caches.order(name), held, self._crowd, False)
        source = self._pick(now, self._parents.order(name), held, lambda m: OPEN_AT_SOURCE, True) or self._origin
        if cache is None and s.direct and source:
            cache, source = source, self._origin or source
        if cache is None or held.sends >= s.max_attempts or left <= s.tick or not self._may_repeat(now, held, cache):
            self._give_up(held)
            return
        bound = self._purges.oldest(now, request)
        age, renew = spec.fresh, False
        if spec.fresh:
            troubled = held.sends > 0 or (source in self._members and self._members[source].until > 0)
            age = spec.fresh + spec.grace * troubled
            renew = source != cache
        if bound is not None:
            age = min(age or bound, bound)
        charges = []
        for address in {cache: 0, source or cache: 0}:
            member = self._members[address]
            member.open += 1
            cell = [float(now), self._work(spec)]
            member.sent.append(cell)
            while member.sent and member.sent[0][0] <= now - s.fall_window:
                member.sent.popleft()
            if address != cache:
                charges.append(cell)
            if member.until and now >= member.until:
                member.on_trial = True
        patience = self._patience(held)
        attempt = Attempt(held.sends, cache, source or cache, now, patience, charges, renew)
        held.out[held.sends] = attempt
        held.sends += 1
        self._actions.append(
            Fetch(request.id, cache, source or cache, held.rank, left, age, join=s.can_join, renew=renew)
        )
        if patience < left:
            self._after(patience, lambda then: self._look(then, request.id, attempt))

    def _patience(self, held: Held) -> int:
        """How long an attempt may stay out before it is looked at: by its size where told, else its class."""
        mean = self._pace.took.get(held.spec.name, 0.0) or 2 * held.spec.aim
        mean_work = self._pace.work.get(held.spec.name, 0.0)
        if held.request.size_kb and mean_work:
            mean = max(0.0, mean - mean_work) + held.request.size_kb / self.settings.pace_kb_per_s * SECOND
        return int(STRETCH * mean) + LEAST_PATIENCE

    def _look(self, now: int, request_id: str, attempt: Attempt) -> None:
        """An attempt is out for long: leave it where its cache, or its source, has been silent all the while.

        Guards against members that say nothing (dead machines, cut links). A member that has answered others
        since is alive, so a slow answer from it is waited for. Hurts where a front has so little traffic
        that silence means nothing: a good attempt is then given up and sent again.
        """
        held = self._held.get(request_id)
        if held is None or held.begun or attempt.number not in held.out:
            return
        silent = [a for a in (attempt.cache, attempt.source)
                  if a not in self._members or self._members[a].heard < attempt.sent]
        if not silent or not self.settings.may_cancel:
            if now + attempt.patience < held.deadline:
                self._after(attempt.patience, lambda then: self._look(then, request_id, attempt))
            return
        self._blame(now, silent[0], 1.0)
        held.avoid.add(silent[0])
        if self._retries >= 1 and held.sends < self.settings.max_attempts:
            self._actions.append(Cancel(request_id, attempt.number))
            self._close(held, attempt)
            held.ran.append((attempt.sent, self._listed(attempt.cache)))
            self._retries -= 1
            self._send(now, held)

    def _listed(self, address: str) -> Listed:
        member = self._members.get(address)
        return member.listed if member else Listed(address, State.GONE)

    # An attempt ends.

    def _blame(self, now: int, address: str, weight: float) -> None:
        member = self._members.get(address)
        if member:
            member.fails(now, weight)

    def _close(self, held: Held, attempt: Attempt) -> None:
        held.out.pop(attempt.number, None)
        for address in {attempt.cache: 0, attempt.source: 0}:
            if address in self._members:
                self._members[address].open = max(0, self._members[address].open - 1)

    def _ended(self, now: int, event: Outcome) -> None:
        held = self._held.get(event.id)
        attempt = held.out.get(event.attempt) if held else None
        if held is None or attempt is None:
            return
        self._close(held, attempt)
        if event.status is Status.OK:
            self._answered(now, held, attempt, event)
        else:
            self._learn_failure(now, held, attempt, event)
        if event.final:
            self._forget(event.id)
        elif event.status is not Status.OK and not held.out:
            if event.status not in NEVER_RAN:
                held.ran.append((attempt.sent, self._listed(attempt.cache)))
            free = event.status in (Status.NEVER_SENT,)
            if free or self._retries < 1:
                self._give_up(held)
            else:
                self._retries -= 1
                self._send(now, held)

    def _answered(self, now: int, held: Held, attempt: Attempt, event: Outcome) -> None:
        """Learns from an answer: health, sending times, work done, and the class's levels."""
        hit = event.note in (Note.HIT, Note.STALE_HIT)
        filled = event.note in (Note.FILLED, Note.FILLED_BY_ORIGIN, Note.JOINED)
        work = self._work(held.spec)
        for address, shown in ((attempt.cache, True), (attempt.source, filled)):
            member = self._members.get(address)
            if member and shown:
                member.works(now)
        if hit and not attempt.renew:
            for cell in attempt.charges:
                cell[1] = 0.0  # no fill came to the source
        if hit and not held.request.size_kb:
            self._pace.seen(self._pace.work, held.spec.name, float(event.took))
        self._pace.seen(self._pace.took, held.spec.name, float(event.took))
        cache = self._members.get(attempt.cache)
        if cache and not cache.listed.started:
            self._pace.done(now, "cache", work)
        if filled and attempt.source in self._members and not self._members[attempt.source].listed.started:
            self._pace.done(now, "parent", work)
        if held.rank and (hit or filled) and cache and self._counts(now, held, attempt, cache):
            levels = self._levels[held.spec.name]
            if hit:
                sample = levels.lifetime() - max(0, held.left or 0)
            else:
                sample = levels.shallow_lifetime() if held.left is None else levels.lifetime()
            levels.learn(hit, max(0.0, sample), held.request.size_kb or 1.0)

    def _counts(self, now: int, held: Held, attempt: Attempt, cache: Member) -> bool:
        """Whether an answer says something of the levels.

        Departure: misses that no ranking could have spared (after a purge, at a cache that started lately,
        or away from the object's own place) would drive the level to its ceiling, where every new name is lifted.
        """
        home = self._caches.order(f"{held.request.object}.{held.request.part}")
        young = cache.listed.started > 0 and now - cache.listed.started < LONGEST
        return not (young or self._purges.recent(now, held.request)) and home[:1] == (attempt.cache,)

    def _learn_failure(self, now: int, held: Held, attempt: Attempt, event: Outcome) -> None:
        """Blames the cache, its source, or nobody; a cache heard since is not the silent one."""
        cache, source, note = attempt.cache, attempt.source, event.note
        heard = cache in self._members and self._members[cache].heard >= attempt.sent
        blamed, weight = cache, 1.0
        if event.status in (Status.CANCELLED, Status.NEVER_SENT):
            return
        if event.status is Status.NO_COPY:
            if note is Note.SOURCE_LACKS or source != cache:
                held.avoid.add(source)
            return
        if event.status is Status.TURNED_AWAY:
            if note in (Note.SOURCE_REFUSED, Note.SOURCE_LOST) or (not self.settings.tells_causes and heard):
                blamed, weight = source, 0.6 if note is Note.SOURCE_REFUSED else 1.0
            elif note is Note.ORIGIN_FAILED:
                blamed = self._origin
                held.avoid.add(source)
            else:
                weight = 0.4
        elif event.status is Status.TIMED_OUT:
            blamed, weight = (source, 0.5) if heard else (cache, 1.0)
        elif event.status is Status.NOT_CONNECTED:
            weight = 1.0
        held.avoid.add(blamed)
        self._blame(now, blamed, weight)

    # The end of a request.

    def _give_up(self, held: Held) -> None:
        """The final answer, at once; a refusal where trying again is harmless."""
        s, spec, request = self.settings, held.spec, held.request
        may_have_run = bool(held.ran or held.out)
        harmless = spec.effect is Effect.SAFE or not may_have_run
        if harmless or (spec.effect is Effect.KEYED and spec.scope is Scope.ALL):
            advice = min(s.max_retry_after, int(ADVICE * (0.5 + self._random.random()))) if s.retry_after else 0
            self._actions.append(Refuse(request.id, advice))
        else:
            self._actions.append(Fail(request.id))
        self._forget(request.id)

    def _forget(self, request_id: str) -> None:
        held = self._held.pop(request_id, None)
        if held is None:
            return
        for attempt in list(held.out.values()):
            if self.settings.may_cancel and not held.begun:
                self._actions.append(Cancel(request_id, attempt.number))
            self._close(held, attempt)
