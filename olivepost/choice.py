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
# f-TTL (design page; paper, III and V): longest lifetime, steps, targets, width of the threshold.
LONGEST, STEP, SIZE_STEP, EPSILON = 60 * SECOND, 0.01, 0.0001, 0.1
HIT_TARGET, SIZE_TARGET, FIRST_LEVEL, FIRST_SHALLOW = 0.8, 5 * SECOND, 0.5, 1.0
LOW, MIDDLE, TOP = 1, 2, 3
TOP_SHARE = 0.05  # of the live names' bytes, which span more time than caches do
MOST_NAMES, MOST_PLACES, MOST_PURGES = 40_000, 20_000, 4_096
# Own open fills that make placement skip a cache: so many times its link, shared among the location's
# fronts; a link not told is taken for so many transfers. At a source a plain number.
CROWD, USUAL_LINK, OPEN_AT_SOURCE = 1.5, 8.0, 64
# Health: failures in a row or failing share that suspend a member, and how long until its trial request.
STREAK, BAD_SHARE, BAD_STEP, FIRST_PAUSE, LONGEST_PAUSE = 2, 0.5, 0.2, 1 * SECOND, 4 * SECOND
STRETCH, LEAST_PATIENCE = 2.0, 250 * MS  # an attempt out so many times as long as expected is looked at
RETRY_EARN, RETRY_SAVED = 0.2, 10.0  # further attempts earned by each request, and the most saved up
LEAST_LINK, TRUST = 2.0, 0.7  # transfers a member surely carries; how far other links are believed
PACE_MEMORY, PACE_STEP = 10 * SECOND, 0.05
# Pressure: its step, the late share it leaves alone, its ceiling, and the size cut that goes with it.
PRESS_STEP, LATE_SHARE, PRESS_MOST, PRESS_CUT = 0.04, 0.1, 0.9, 4.0
EASE_STEP, EASE_LEAST, EASE_MOST = 0.05, 0.3, 1.5
ADVICE = 500 * MS  # about when a refused client is asked to come back


class Levels:
    """f-TTL: the two levels of one class and the lifetimes that follow from them."""

    def __init__(self) -> None:
        self.deep, self.shallow, self.mean_size = FIRST_LEVEL, FIRST_SHALLOW, 0.0

    def lifetime(self) -> float:
        """θ = L·ϑ, the lifetime of a name."""
        return LONGEST * self.deep

    def shallow_lifetime(self) -> float:
        """θs = L·ϑ·Γ, that of a name seen once (paper, equation 5)."""
        above = max(0.0, self.deep - 1 + 1.5 * EPSILON) ** 4
        below = max(0.0, 1 - EPSILON / 2 - self.deep) ** 4
        return self.lifetime() * (self.shallow + (1 - self.shallow) * above / (above + below))

    def learn(self, hit: bool, sample: float, size: float) -> None:
        """Moves both levels by one answer."""
        self.mean_size += (size - self.mean_size) * (STEP if self.mean_size else 1.0)
        step = SIZE_STEP * (size / self.mean_size) * (SIZE_TARGET - sample) / SIZE_TARGET
        self.deep = min(1.0, max(0.0, self.deep + STEP * (HIT_TARGET - hit)))
        self.shallow = min(1.0, max(0.0, self.shallow + step))


class Pressure:
    """Overload: a level that late answers raise, and the cost a request may have under it.

    Guards against more work than the location can serve in time, whatever took the capacity away: lost
    caches, floods, big objects, slow fills. Works as ϑ does: level += step·(late − target), clamped. Hurts
    where lateness has another cause, for then the dearest requests are refused to no avail.
    """

    def __init__(self, draw: random.Random) -> None:
        self.level, self._mean, self._draw = 0.0, 0.0, draw

    def learn(self, late: bool) -> None:
        """Moves the level by one answer."""
        self.level = min(PRESS_MOST, max(0.0, self.level + PRESS_STEP * (late - LATE_SHARE)))

    def refuses(self, cost: float, known: bool) -> bool:
        """Whether a request of such work for its worth, size known or guessed, is too dear now."""
        self._mean += (cost - self._mean) * (PACE_STEP if self._mean else 1.0)
        if not known:
            cost *= self._draw.expovariate(1.0)
        return cost * self.level > PRESS_CUT * (1 - self.level) * self._mean


class NameTable:
    """Names with a running timer; the one that ends first makes room."""

    def __init__(self) -> None:
        self._names: dict[str, tuple[int, int, float]] = {}  # end, rank, size
        self._ends: list[tuple[int, str]] = []
        self._bytes = [0.0] * (TOP + 1)

    def left(self, now: int, name: str) -> int | None:
        """The time left of a name's timer; None where it has none."""
        while self._ends and (self._ends[0][0] <= now or len(self._names) > MOST_NAMES):
            end, old = heappop(self._ends)
            if old in self._names and self._names[old][0] == end:
                self._drop(old)
        return self._names[name][0] - now if name in self._names else None

    def top_has_room(self, name: str) -> bool:
        """Whether the top rank, this name apart, holds under its share of bytes."""
        entry, total = self._names.get(name), sum(self._bytes)
        own = entry[2] if entry and entry[1] == TOP else 0.0
        return total <= 0 or self._bytes[TOP] - own < TOP_SHARE * total

    def put(self, name: str, end: int, rank: int, size: float) -> None:
        """Sets a name's timer and rank."""
        self._drop(name)
        self._names[name] = end, rank, size
        self._bytes[rank] += size
        heappush(self._ends, (end, name))
        if len(self._ends) > 4 * MOST_NAMES:
            self._ends = sorted((entry[0], kept) for kept, entry in self._names.items())

    def _drop(self, name: str) -> None:
        entry = self._names.pop(name, None)
        if entry:
            self._bytes[entry[1]] -= entry[2]


class Placement:
    """Rendezvous order of members for a name, remembered while the list stays the same."""

    def __init__(self) -> None:
        self._members: tuple[str, ...] = ()
        self._orders: dict[str, tuple[str, ...]] = {}

    def settle(self, members: Iterable[str]) -> None:
        """Takes the members that a name may be placed on."""
        self._members = tuple(sorted(members))
        self._orders.clear()

    def order(self, name: str) -> tuple[str, ...]:
        """All members, the name's own place first."""
        if name not in self._orders:
            if len(self._orders) >= MOST_PLACES:
                self._orders.clear()
            marks = ((blake2b(f"{m} {name}".encode(), digest_size=8).digest(), m) for m in self._members)
            self._orders[name] = tuple(m for _, m in sorted(marks))
        return self._orders[name]


@dataclass(slots=True)
class Member:
    """A cache, parent or origin: what the list says, its health, and what was sent to it lately."""

    listed: Listed
    heard: int = -1  # when it last showed that it works
    streak: float = 0.0
    bad: float = 0.0
    pause: int = 0
    until: int = 0  # suspended until then; 0: not
    on_trial: bool = False
    open: int = 0
    ease: float = 1.0  # of the open-fill bound: down with late hits, up with timely ones
    sent: deque[list[float]] = field(default_factory=deque)  # [time, work] over the fall window

    def works(self, now: int) -> None:
        """It has answered: any suspension is over."""
        self.heard, self.streak, self.on_trial = now, 0.0, False
        self.bad = 0.0 if self.until else self.bad * (1 - BAD_STEP)
        self.until = self.pause = 0

    def fails(self, now: int, weight: float) -> None:
        """It has failed; a streak, a bad share or a lost trial suspends it, longer each time.

        Guards against members that are gone, silent, or answer with errors, whatever the cause; also meets
        cut links and full disks. Hurts where chance failures send a good member's names elsewhere for a while.
        """
        self.streak += weight
        self.bad += BAD_STEP * (weight - self.bad)
        if self.on_trial or self.streak >= STREAK or self.bad >= BAD_SHARE:
            self.pause = min(LONGEST_PAUSE, 2 * self.pause) if self.until else FIRST_PAUSE
            self.until, self.on_trial = now + self.pause, False

    def eases(self, late: bool) -> None:
        """Follows what the member bears: its hits come late where too many share its link."""
        self.ease = min(EASE_MOST, max(EASE_LEAST, self.ease + EASE_STEP * (LATE_SHARE - late)))

    def fit(self, now: int) -> bool:
        """Not suspended, or due for its one trial request."""
        return not self.until or (now >= self.until and not self.on_trial)


class Purges:
    """Purges in force: how old a copy may be at most."""

    def __init__(self, gone_everywhere: int) -> None:
        self._gone = gone_everywhere
        self._times: dict[tuple[str, object], int] = {}
        self._dropped = -1  # a purge forgotten for want of room counts for every object

    def add(self, now: int, purge: Purge) -> None:
        """Notes a purge; the table keeps those of the last L, for `recent`."""
        key = ("object", purge.object) if purge.object else ("group", purge.group)
        self._times[key] = max(now - purge.age, self._times.pop(key, 0))
        while len(self._times) > MOST_PURGES:
            self._dropped = max(self._dropped, self._times.pop(next(iter(self._times))))

    def last(self, request: Request) -> int:
        """When the object was last purged, by itself or by its group; -1 for never.

        Where the group of a request is not told, a purge of any group counts.
        """
        if request.group is None:
            groups = [when for (kind, _), when in self._times.items() if kind == "group"]
        else:
            groups = [self._times.get(("group", group), -1) for group in (request.group, None)]
        return max(self._dropped, self._times.get(("object", request.object), -1), *groups, -1)

    def oldest(self, now: int, request: Request) -> int | None:
        """The most that a copy's age may be, None for no bound; rule 5, on whatever path a copy comes."""
        last = self.last(request)
        return max(1, now - last) if 0 <= last and now - last <= self._gone + SECOND else None

    def recent(self, now: int, request: Request) -> bool:
        """Purged so lately that a miss says nothing of the levels."""
        return 0 <= self.last(request) and now - self.last(request) <= LONGEST


class Pace:
    """What this front has seen: sending times, times of answers, and the work that members get done."""

    def __init__(self) -> None:
        self.work: dict[str, float] = {}  # by class: mean sending time
        self.took: dict[str, float] = {}  # by class: mean time of an answer
        self._done: dict[str, tuple[int, float]] = {}  # by role: work done lately, fading

    def seen(self, kind: dict[str, float], name: str, value: float) -> None:
        """Adds one sample to a running mean."""
        kind[name] = kind[name] + PACE_STEP * (value - kind[name]) if name in kind else value

    def done(self, now: int, role: str, work: float = 0.0) -> float:
        """Adds work that a mean warm member of a role got done; returns its rate in transfers."""
        then, total = self._done.get(role, (now, 0.0))
        self._done[role] = now, total * max(0.0, 1 - (now - then) / PACE_MEMORY) + work
        return self._done[role][1] / PACE_MEMORY


@dataclass(slots=True)
class Attempt:
    """One attempt that is out."""

    number: int
    cache: str
    source: str
    sent: int
    patience: int
    fill: list[float] | None  # its place in the source's budget
    renew: bool


@dataclass(slots=True)
class Held:
    """A request that this front owes an answer."""

    request: Request
    spec: ClassSettings
    name: str
    arrived: int
    deadline: int
    rank: int
    left: int | None
    out: dict[int, Attempt] = field(default_factory=dict)
    sends: int = 0
    begun: bool = False
    avoid: set[str] = field(default_factory=set)
    ran: list[tuple[int, Listed]] = field(default_factory=list)  # attempts that may have run


class Router:
    """One front."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self._random = random.Random(seed)
        self._members: dict[str, Member] = {}
        self._caches, self._parents, self._origin = Placement(), Placement(), ""
        self._warm: dict[str, str] = {}  # the role of each member that has long run
        self._levels = {name: Levels() for name in settings.classes}
        self._names, self._purges, self._pace = NameTable(), Purges(settings.purge_done), Pace()
        self._pressure = Pressure(self._random)
        self._held: dict[str, Held] = {}
        self._timers: dict[int, Callable[[int], None]] = {}
        self._tokens, self._retries, self._subscribed = 0, RETRY_SAVED, not settings.ask_for_list
        self._actions: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        """Takes one event and returns what to do, in order."""
        self._actions = []
        match event:
            case Request():
                self._arrive(now, event)
            case Outcome():
                self._ended(now, event)
            case TimerFired() if event.token in self._timers:
                self._timers.pop(event.token)(now)
            case Membership():
                self._list(event)
            case Purge():
                self._purges.add(now, event)
            case Begun() if event.id in self._held:
                self._held[event.id].begun = True
            case ClientLeft():
                self._forget(event.id)
        return self._actions

    # The list of members.

    def _list(self, event: Membership) -> None:
        """Rule 3: what drains or is gone is neither a cache nor a source from here on."""
        s, members = self.settings, self._members
        told = {item.address for item in event.members if item.state is not State.GONE}
        whole = event.kind in (ListKind.FULL, ListKind.STORED)
        for address in [a for a in members if whole and a not in told]:
            del members[address]
        for item in event.members:
            known = members.get(item.address)
            if item.state is State.GONE:
                members.pop(item.address, None)
            elif known and known.listed.started == item.started:
                known.listed = item
            else:  # another process: its health and warmth start anew
                members[item.address] = Member(item, sent=known.sent if known else deque())
        ready = [m.listed for m in members.values() if m.listed.state is State.READY]
        roles = {m.address: self._role(m) for m in ready}
        self._caches.settle(a for a, role in roles.items() if role == "cache")
        self._parents.settle(a for a, role in roles.items() if role == "parent")
        self._origin = min((a for a, role in roles.items() if role == "origin"), default="")
        self._warm = {m.address: roles[m.address] for m in ready if not m.started}
        if event.kind is ListKind.FAILED:
            self._subscribed = not s.ask_for_list
        if not self._subscribed:
            self._subscribed = True
            wait = s.ask_within // 4 if event.kind is ListKind.FAILED else 0
            self._after(wait, lambda now: self._actions.append(Subscribe()))

    def _role(self, listed: Listed) -> str:
        if listed.kind and listed.kind in (self.settings.parent_kind, self.settings.origin_kind):
            return "parent" if listed.kind == self.settings.parent_kind else "origin"
        return "cache" if listed.zone == self.settings.zone else "elsewhere"

    # A request arrives.

    def _arrive(self, now: int, request: Request) -> None:
        """Ranks by f-TTL and sends; every request resets its name's timer."""
        spec, levels = self.settings.classes[request.class_name], self._levels[request.class_name]
        name, left, rank = f"{request.object}.{request.part}", None, 0
        if not (spec.uncacheable or request.write):
            left = self._names.left(now, name)
            if left is not None:
                rank = TOP if self._names.top_has_room(name) else MIDDLE
            else:
                rank = MIDDLE if self._random.random() * levels.lifetime() < levels.shallow_lifetime() else LOW
            self._names.put(name, now + int(levels.lifetime()), rank, request.size_kb or 1.0)
        if self._sized(request):
            self._pace.seen(self._pace.work, spec.name, self._sized(request))
        self._retries = min(RETRY_SAVED, self._retries + RETRY_EARN * (1 - self._pressure.level))
        held = self._held[request.id] = Held(request, spec, name, now, now + request.ttl, rank, left)
        # Rule 1: whatever else happens, the answer goes out before the client's time is up.
        self._after(max(0, request.ttl - self.settings.tick), lambda then: self._backstop(request.id))
        caches = [m for m in map(self._members.__getitem__, self._caches.order(name)) if m.fit(now)]
        self._pressure.learn(all(m.open >= self._crowd(m) for m in caches))
        if self._pressure.refuses((self._sized(request) or self._work(spec)) / spec.worth, bool(request.size_kb)):
            self._give_up(held)
        else:
            self._send(now, held)

    def _sized(self, request: Request) -> float:
        """The request's own sending time; 0 where its size is not told."""
        pace = self.settings.pace_kb_per_s
        return request.size_kb / pace * SECOND if pace else 0.0

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

    def _room(self, now: int, member: Member, work: float) -> bool:
        """Rule 4: whether a cold member's budget, this front's part of it, bears one more attempt.

        Guards every window of the stated length: the capacity taken is that of the window's start. The link
        is guessed from a told weight or from the work that warm members get done, never above either.
        Hurts by sending too little where the members are much larger than they have shown.
        """
        s, listed, role = self.settings, member.listed, self._role(member.listed)
        while member.sent and member.sent[0][0] <= now - s.fall_window:
            member.sent.popleft()
        floor, warm, multiple, fronts = s.cold_from, s.warm_within, s.fall_multiple, max(1, s.zone_fronts)
        if role == "parent":
            floor, warm, multiple = s.parent_cold_from, s.parent_warm_within, s.parent_fall_multiple
            fronts = max(1, s.fronts)
        age = now - listed.started - s.fall_window
        if not listed.started or role == "origin" or age >= warm:
            return True
        told = listed.weight / fronts if s.weights_told else 0.0
        link = max(LEAST_LINK / fronts, TRUST * max(told, self._pace.done(now, role)))
        share = floor + (1 - floor) * max(0, age) / max(1, warm)
        return sum(cell[1] for cell in member.sent) + work <= multiple * share * link * s.fall_window

    def _crowd(self, member: Member) -> float:
        """The open-fill bound at a cache, as far as its answers have lately come in time."""
        link = member.listed.weight if self.settings.weights_told else USUAL_LINK
        return max(2.0, member.ease * CROWD * link / max(1, self.settings.zone_fronts))

    def _pick(self, now: int, order: tuple[str, ...], held: Held, bound: Callable[[Member], float]) -> str | None:
        """The first fit member below its bound; all skipped, the first that may be used at all."""
        work = self._work(held.spec)
        usable = [a for a in order if self._room(now, self._members[a], work)]
        rest = [a for a in usable if a not in held.avoid]
        fit = [a for a in rest if self._members[a].fit(now)]
        free = [a for a in fit if self._members[a].open < bound(self._members[a])]
        return next(iter(free or fit or rest or usable), None)

    def _may_repeat(self, now: int, held: Held, target: str) -> bool:
        """Rule 2: whether one more attempt, at this target, can do no effect twice."""
        if not held.ran or held.spec.effect is Effect.SAFE:
            return True
        (first, at), there, scope = held.ran[0], self._members[target].listed, held.spec.scope
        same = scope is Scope.ALL or (there.zone == at.zone and (scope is Scope.ZONE or there.cell == at.cell))
        return held.spec.effect is Effect.KEYED and same and now - first < held.spec.window

    def _send(self, now: int, held: Held) -> None:
        """Sends the next attempt, or gives up at once where none can be sent."""
        s, spec, request, left = self.settings, held.spec, held.request, held.deadline - now
        cache = self._pick(now, self._caches.order(held.name), held, self._crowd)
        source = self._pick(now, self._parents.order(held.name), held, lambda m: OPEN_AT_SOURCE) or self._origin
        if cache is None and s.direct and source:
            cache, source = source, self._origin or source
        if cache is None or held.sends >= s.max_attempts or left <= s.tick or not self._may_repeat(now, held, cache):
            self._give_up(held)
            return
        source = source or cache
        renew = spec.fresh > 0 and source != cache
        troubled = held.sends > 0 or self._members[source].until > 0
        age = spec.fresh + spec.grace * troubled if spec.fresh else 0
        bound = self._purges.oldest(now, request)
        if bound is not None:
            age = min(age or bound, bound)
        fill = None
        for address in dict.fromkeys((cache, source)):
            member, cell = self._members[address], [float(now), self._work(spec)]
            member.open += 1
            member.sent.append(cell)
            member.on_trial = member.until > 0
            fill = cell if address != cache else None
        attempt = Attempt(held.sends, cache, source, now, self._patience(held), fill, renew)
        held.out[held.sends] = attempt
        held.sends += 1
        self._actions.append(Fetch(request.id, cache, source, held.rank, left, age, s.can_join, renew))
        if attempt.patience < left:
            self._after(attempt.patience, lambda then: self._look(then, held, attempt))

    def _patience(self, held: Held) -> int:
        """How long an attempt may stay out before it is looked at: by its size where told, else its class."""
        mean = self._pace.took.get(held.spec.name, 2.0 * held.spec.aim)
        if self._sized(held.request):
            mean = max(0.0, mean - self._work(held.spec)) + self._sized(held.request)
        return int(STRETCH * mean) + LEAST_PATIENCE

    def _look(self, now: int, held: Held, attempt: Attempt) -> None:
        """An attempt is out for long: leave it where its cache, or its source, has been silent all the while.

        Guards against members that say nothing (dead machines, cut links). A member that has answered others
        since is alive, so a slow answer from it is waited for. Hurts where a front has so little traffic
        that silence means nothing: a good attempt is then given up and sent again.
        """
        request_id = held.request.id
        if self._held.get(request_id) is not held or held.begun or attempt.number not in held.out:
            return
        silent = [a for a in (attempt.cache, attempt.source)
                  if a not in self._members or self._members[a].heard < attempt.sent]
        if silent and self.settings.may_cancel:
            self._blame(now, held, silent[0], 1.0)
            if self._retries >= 1 and held.sends < self.settings.max_attempts:
                self._actions.append(Cancel(request_id, attempt.number))
                self._close(held, attempt)
                self._again(now, held, attempt, False)
        elif now + attempt.patience < held.deadline:
            self._after(attempt.patience, lambda then: self._look(then, held, attempt))

    def _again(self, now: int, held: Held, attempt: Attempt, never_ran: bool) -> None:
        """One more attempt out of the retry budget, so that trouble does not feed itself; else the end."""
        if not never_ran:
            at = self._members[attempt.cache].listed if attempt.cache in self._members else None
            held.ran.append((attempt.sent, at or Listed(attempt.cache, State.GONE)))
        if self._retries < 1:
            self._give_up(held)
            return
        self._retries -= 1
        self._send(now, held)

    # An attempt ends.

    def _blame(self, now: int, held: Held, address: str, weight: float) -> None:
        held.avoid.add(address)
        if address in self._members:
            self._members[address].fails(now, weight)

    def _close(self, held: Held, attempt: Attempt) -> None:
        held.out.pop(attempt.number, None)
        for address in dict.fromkeys((attempt.cache, attempt.source)):
            if address in self._members:
                self._members[address].open = max(0, self._members[address].open - 1)

    def _ended(self, now: int, event: Outcome) -> None:
        """Learns from an outcome; what is still owed is sent again or given up at once."""
        held = self._held.get(event.id)
        attempt = held.out.get(event.attempt) if held else None
        if held is None or attempt is None:
            return
        self._close(held, attempt)
        if event.status is Status.OK:
            self._answered(now, held, attempt, event)
        else:
            self._failed(now, held, attempt, event)
        if event.final:
            self._forget(event.id)
        elif event.status is Status.NEVER_SENT:
            self._give_up(held)
        elif event.status is not Status.OK and not held.out:
            self._again(now, held, attempt, event.status in NEVER_RAN)

    def _answered(self, now: int, held: Held, attempt: Attempt, event: Outcome) -> None:
        """Learns from an answer: health, sending times, work done, and the class's levels."""
        hit = event.note in (Note.HIT, Note.STALE_HIT)
        filled = event.note in (Note.FILLED, Note.FILLED_BY_ORIGIN, Note.JOINED)
        work, spec, size = self._work(held.spec), held.spec, held.request.size_kb
        for address, shown, role in ((attempt.cache, True, "cache"), (attempt.source, filled, "parent")):
            member = self._members.get(address)
            if member and shown:
                member.works(now)
                if self._warm.get(address) == role:
                    self._pace.done(now, role, work / list(self._warm.values()).count(role))
        if hit and attempt.fill and not attempt.renew:
            attempt.fill[1] = 0.0  # no fill came to the source
        if hit and not size:
            self._pace.seen(self._pace.work, spec.name, float(event.took))
        self._pace.seen(self._pace.took, spec.name, float(event.took))
        own = self._sized(held.request) or spec.aim  # the mean would grow with the load itself
        if hit:
            late = event.took > spec.aim + spec.aim_stretch * own
            if attempt.cache in self._members:
                self._members[attempt.cache].eases(late)
        if held.rank and (hit or filled) and self._counts(now, held, attempt):
            levels = self._levels[spec.name]
            sample = levels.shallow_lifetime() if held.left is None else levels.lifetime()
            if hit:
                sample = levels.lifetime() - (held.left or 0)
            levels.learn(hit, max(0.0, sample), size or 1.0)

    def _counts(self, now: int, held: Held, attempt: Attempt) -> bool:
        """Whether an answer says something of the levels.

        Departure: misses that no ranking could have spared (after a purge, at a cache that started lately,
        or away from the name's own place) would drive ϑ to its ceiling, where Γ lifts every new name.
        """
        cache, home = self._members.get(attempt.cache), self._caches.order(held.name)[:1]
        young = cache is None or (cache.listed.started > 0 and now - cache.listed.started < LONGEST)
        return not young and home == (attempt.cache,) and not self._purges.recent(now, held.request)

    def _failed(self, now: int, held: Held, attempt: Attempt, event: Outcome) -> None:
        """Blames the cache, its source, or nobody; a cache heard from since is not the silent one."""
        cache, source, note, told = attempt.cache, attempt.source, event.note, self.settings.tells_causes
        heard = cache in self._members and self._members[cache].heard >= attempt.sent
        match event.status:
            case Status.NO_COPY:
                held.avoid.add(source)
            case Status.TURNED_AWAY if note is Note.ORIGIN_FAILED:
                held.avoid.add(source)
                self._blame(now, held, self._origin, 1.0)
            case Status.TURNED_AWAY if note in (Note.SOURCE_REFUSED, Note.SOURCE_LOST) or (heard and not told):
                self._blame(now, held, source, 0.6 if note is Note.SOURCE_REFUSED else 1.0)
            case Status.TURNED_AWAY:
                self._blame(now, held, cache, 0.4)
            case Status.TIMED_OUT:
                self._blame(now, held, *((source, 0.5) if heard else (cache, 1.0)))
            case Status.ERROR | Status.NOT_CONNECTED | Status.BROKEN_OFF:
                self._blame(now, held, cache, 1.0)

    # The end of a request.

    def _give_up(self, held: Held) -> None:
        """The final answer, at once; a refusal where trying again is harmless."""
        s, effect = self.settings, held.spec.effect
        unrun = not (held.ran or held.out)
        if effect is Effect.SAFE or unrun or (effect is Effect.KEYED and held.spec.scope is Scope.ALL):
            advice = int(ADVICE * (0.5 + self._random.random())) if s.retry_after else 0
            self._actions.append(Refuse(held.request.id, min(s.max_retry_after, advice)))
        else:
            self._actions.append(Fail(held.request.id))
        self._forget(held.request.id)

    def _forget(self, request_id: str) -> None:
        held = self._held.pop(request_id, None)
        for attempt in list(held.out.values()) if held else ():
            if held and self.settings.may_cancel and not held.begun:
                self._actions.append(Cancel(request_id, attempt.number))
            if held:
                self._close(held, attempt)
