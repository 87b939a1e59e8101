"""Every decision of a front; its settings, events and actions stand in olivepost/interface.

No clock, no I/O. Parts: levels (f-TTL), pressure, names, placement, health, purges; `Router` has the rest.
"""

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b
from heapq import heappop, heappush
from zlib import crc32

from olivepost import interface as api

SECOND = 1_000_000_000
# f-TTL (design page; paper, III and V): longest lifetime, steps, targets, width of the threshold.
LONGEST, STEP, SIZE_STEP, EPSILON = 60 * SECOND, 0.01, 0.0001, 0.1
HIT_TARGET, SIZE_TARGET, FIRST_LEVEL, FIRST_SHALLOW = 0.8, 5 * SECOND, 0.5, 0.0
LOW, MIDDLE, TOP, SOURCE_FAILED = 1, 2, 3, (api.Note.SOURCE_REFUSED, api.Note.SOURCE_LOST)
TOP_SHARE = 0.1  # of the live names' bytes, which span more time than caches do
MOST_NAMES, MOST_PLACES, MOST_PURGES = 40_000, 16_384, 4_096
# Own open fills that make placement skip: links' worth, a link where not told; deviations for chance.
CROWD, CHANCE = {"cache": (1.5, 6.5), "parent": (3.0, 32.0)}, 3.0
# Health: what an answer leaves of doubt, odds against a dead member, a suspended one's wait for its trial.
EASED, DEAD_ODDS, FIRST_PAUSE, LONGEST_PAUSE = 0.6, 200.0, 1 * SECOND, 4 * SECOND
PATIENCE, STRETCH = 0.5, 1.5  # times the aim and the sending time: an attempt out for longer is looked at
RETRY_EARN, RETRY_SAVED = 0.2, 10.0  # further attempts earned by each request, and the most saved up
LEAST_LINK, PACE_MEMORY, PACE_STEP = 2.0, 10 * SECOND, 0.05  # transfers that a member surely carries
# Pressure: step and share it leaves alone, of arrivals that find all full and of late fills; ceiling, cut.
PRESS, INLET, PRESS_MOST, PRESS_CUT = (0.04, 0.1), (0.2, 0.1), 0.9, 4.0
# How the open-fill bound follows late answers, and what lateness beyond its peers' sheds a member's names.
LATE_STEP, LATE_FIRST, SHED_FROM, SHED_OVER, SHED_MOST = 0.1, 0.2, 0.2, 0.4, 0.9
# Shared store: of a request's time, the most that waits for it; of a part, the most lent; the longest loan;
# what the word of several other fronts against a member makes of its doubt, at most.
STORE_SHARE, LEND_SHARE, LOAN_MOST, HEARSAY = 0.02, 0.75, 2 * SECOND, 0.4
EASE_LEAST, EASE_MOST, EASE_LATE, ADVICE = 0.5, 1.5, 2.5, SECOND // 2  # when refused clients come back


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
    """Overload: a level that full caches raise (as ϑ, by step·(full − target)), and the cost borne under it.

    Guards against more work than caches, or ways in, can serve. Hurts where silence holds caches full."""

    def __init__(self, draw: random.Random, step: float, spared: float) -> None:
        self.level, self._mean, self._draw, self._step, self._spared = 0.0, 0.0, draw, step, spared

    def learn(self, full: bool) -> None:
        """Moves the level by one arrival that finds every cache at its bound, or one fill that is slow."""
        self.level = min(PRESS_MOST, max(0.0, self.level + self._step * (full - self._spared)))

    def refuses(self, cost: float, known: bool) -> bool:
        """Whether a request of such work for its worth, size known or guessed, is too dear now."""
        self._mean += (cost - self._mean) * (PACE_STEP if self._mean else 1.0)
        cost *= 1.0 if known else self._draw.expovariate(1.0)
        return cost * self.level > PRESS_CUT * (1 - self.level) * self._mean


class NameTable:
    """Names with a running timer; the one that ends first makes room."""

    def __init__(self) -> None:
        self._names: dict[str, tuple[int, int, float]] = {}  # end, rank, size
        self._ends, self._bytes = list[tuple[int, str]](), [0.0] * (TOP + 1)

    def left(self, now: int, name: str) -> int | None:
        """The time left of a name's timer; None where it has none."""
        while self._ends and (self._ends[0][0] <= now or len(self._names) > MOST_NAMES):
            end, old = heappop(self._ends)
            if old in self._names and self._names[old][0] == end:
                self._drop(old)
        return self._names[name][0] - now if name in self._names else None

    def top_has_room(self, name: str) -> bool:
        """Whether the top rank, this name apart, holds under its share of bytes."""
        (_, rank, size), total = self._names.get(name, (0, LOW, 0.0)), sum(self._bytes)
        return total <= 0 or self._bytes[TOP] - size * (rank == TOP) < TOP_SHARE * total

    def put(self, name: str, end: int, rank: int, size: float) -> None:
        """Sets a name's timer and rank."""
        self._drop(name)
        self._names[name] = end, rank, size
        self._bytes[rank] += size
        heappush(self._ends, (end, name))
        if len(self._ends) > 4 * MOST_NAMES:
            self._ends = sorted((entry[0], kept) for kept, entry in self._names.items())

    def _drop(self, name: str) -> None:
        _, rank, size = self._names.pop(name, (0, LOW, 0.0))
        self._bytes[rank] -= size


@lru_cache(MOST_PLACES)
def place(name: str, members: tuple[str, ...]) -> tuple[str, ...]:
    """Rendezvous order of a list's members for a name, its own place first; remembered."""
    return tuple(sorted(members, key=lambda m: blake2b(f"{m} {name}".encode(), digest_size=8).digest()))


@dataclass(slots=True)
class Member:
    """A cache, parent or origin: what the list says, its health, and what was sent to it lately."""

    listed: api.Listed
    role: str
    heard: int = -1  # when it last showed that it works
    doubt: float = 0.0  # what its failures and silences lately say
    pause: int = 0
    until: int = 0  # suspended until then; 0: not
    on_trial: bool = False
    open: int = 0
    late: float = LATE_FIRST  # share of late answers lately: hits at a cache, fills at a source
    sent: deque[tuple[int, float]] = field(default_factory=deque)  # [time, work] in rule 4's window, and its
    spent: float = 0.0  # running sum: a new one for each pick takes most of a busy front's time

    def charge(self, now: int, window: int, work: float = 0.0) -> float:
        """Adds work sent to it now; returns what was sent within the window."""
        self.sent.extend([(now, work)] if work else [])
        self.spent += work
        while self.sent and self.sent[0][0] <= now - window:
            self.spent -= self.sent.popleft()[1]
        return self.spent

    def works(self, now: int) -> None:
        """It has answered: any suspension is over."""
        self.heard, self.on_trial, self.doubt = now, False, 0.0 if self.until else self.doubt * EASED
        self.until = self.pause = 0

    def fails(self, now: int, weight: float) -> None:
        """It has failed or stayed silent; enough of it, or a lost trial, suspends it, longer each time.

        Guards against members gone, silent or failing, cut links, full disks. Hurts where chance fails."""
        self.doubt += weight
        if self.on_trial or (self.doubt >= 1 and now >= self.until):  # what was out before says nothing new
            self.pause = min(LONGEST_PAUSE, 2 * self.pause) if self.until else FIRST_PAUSE
            self.until, self.on_trial = now + self.pause, False

    def fit(self, now: int) -> bool:
        """Not suspended, or due for its one trial request."""
        return not self.until or (now >= self.until and not self.on_trial)


class Purges:
    """Purges in force: how old a copy may be at most."""

    def __init__(self, gone_everywhere: int) -> None:
        self._gone, self._times = gone_everywhere, dict[tuple[str, object], int]()
        self._dropped = -1  # a purge forgotten for want of room counts for every object

    def add(self, now: int, purge: api.Purge) -> None:
        """Notes a purge."""
        key = ("object", purge.object) if purge.object else ("group", purge.group)
        self._times[key] = max(now - purge.age, self._times.pop(key, 0))
        while len(self._times) > MOST_PURGES:
            self._dropped = max(self._dropped, self._times.pop(next(iter(self._times))))

    def last(self, request: api.Request) -> int:
        """When the object was last purged, or its group (any group where that is not told); -1: never."""
        named = [("object", request.object), ("group", request.group), ("group", None)]
        every = [key for key in self._times if key[0] == "group"] if request.group is None else []
        return max(self._dropped, *(self._times.get(key, -1) for key in (*named, *every)))

    def oldest(self, now: int, request: api.Request) -> int | None:
        """The most that a copy's age may be, None for no bound; rule 5, on whatever path a copy comes."""
        age = now - self.last(request)
        return max(1, age) if age <= min(now, self._gone + SECOND) else None


@dataclass(slots=True)
class Attempt:
    """One attempt that is out."""

    number: int
    cache: str
    source: str
    sent: int


@dataclass(slots=True)
class Held:
    """A request that this front owes an answer."""

    request: api.Request
    spec: api.ClassSettings
    name: str
    deadline: int
    rank: int
    left: int | None
    out: dict[int, Attempt] = field(default_factory=dict)
    sends: int = 0
    begun: bool = False
    missed: str = ""  # the cache that was found to lack the object
    accused: tuple[str, float] | None = None  # whom its one error so far would blame, and how much
    timers: list[int] = field(default_factory=list)
    avoid: set[str] = field(default_factory=set)
    ran: list[tuple[int, str]] = field(default_factory=list)  # attempts that may have run
    waited: int = 0  # for the shared store
    asked: int = 0  # whether for its name (1), for its fill (2)
    waits: tuple[int, int] | None = None  # since when, and the price of the attempt that does
    hint: api.Advice | None = None
    hinted: str = ""  # the cache of the hint that was followed
    keeper: str = ""  # who keeps the name by an answer


class Router:
    """One front."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self._random = settings, random.Random(seed)
        self._members, self._warm = dict[str, Member](), dict[str, int]()  # warm: by role, those long up
        self._caches, self._parents, self._origin = tuple[str, ...](), tuple[str, ...](), ""
        self._tiers = {"cache": settings.caches, "parent": settings.parents, "origin": settings.caches}
        self._levels, self._names = {name: Levels() for name in settings.classes}, NameTable()
        self._purges, self._sending = Purges(settings.purge_done), list[int]()  # ends of own transfers
        self._times, self._done, self._slow = dict[str, float](), dict[str, tuple[int, float]](), 0.1
        self._pressure, self._inlet = Pressure(self._random, *PRESS), Pressure(self._random, *INLET)
        self._held, self._timers = dict[str, Held](), dict[int, Callable[[int], None]]()
        self._tokens, self._retries, self._up, self._began = 0, RETRY_SAVED, False, 0  # up: the shared store
        self._loans = list[tuple[int, str, float]]()  # end, key, amount: lent (below 0) and borrowed
        self._faulty = 0.0  # share of errors lately that a second member gave to the same request

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Takes one event and returns what to do, in order."""
        self._actions, self._now = list[api.Action](), now
        match event:
            case api.Request():
                self._arrive(now, event)
            case api.Outcome():
                self._ended(now, event)
            case api.TimerFired() if event.token in self._timers:
                self._timers.pop(event.token)(now)
            case api.Membership():
                self._list(event)
            case api.Purge():
                self._purges.add(now, event)
            case api.Begun() if event.id in self._held:
                self._held[event.id].begun = True
            case api.ClientLeft():
                self._forget(event.id)
            case api.Ending():
                for held in list(self._held.values()):
                    self._give_up(held)
            case api.Advice() if event.id in self._held:
                self._advised(now, self._held[event.id], event)
            case api.StoreState():
                self._up = event.up
            case api.Lend():
                self._lend(now, event)
            case api.Borrow():
                self._retries += event.amount * (event.key == "retry")
                self._loan(now, event.until, event.key, event.amount)  # or one's own, come back
            case api.Doubt() if member := self._members.get(event.address):
                member.doubt = max(member.doubt, HEARSAY)
        return self._actions

    def _list(self, event: api.Membership) -> None:
        """Rule 3: what drains or is gone is neither a cache nor a source from here on."""
        s, before, self._began = self.settings, self._members, self._began or self._now
        whole = event.kind in (api.ListKind.FULL, api.ListKind.STORED)
        members = self._members = {} if whole else dict(before)
        for row in event.members:
            known, role = before.get(row.address), self._role(row)
            members.pop(row.address, None)
            if known and known.listed.started == row.started:
                known.listed = row
            else:  # another process: health and warmth start anew
                known = Member(row, role, sent=known.sent, spent=known.spent) if known else Member(row, role)
            if row.state is not api.State.GONE and role in self._tiers:
                members[row.address] = known
        ready = sorted(a for a, m in members.items() if m.listed.state is api.State.READY)
        by_role = {role: tuple(a for a in ready if members[a].role == role) for role in self._tiers}
        self._caches, self._parents = by_role["cache"], by_role["parent"]
        self._origin = next(iter(by_role["origin"]), "")
        self._warm = {role: sum(not members[a].listed.started for a in by_role[role]) for role in by_role}
        waits = {api.ListKind.STORED: 0, api.ListKind.FAILED: s.ask_within // 4}
        if s.ask_for_list and event.kind in waits:
            self._after(waits[event.kind], lambda now: self._actions.append(api.Subscribe()))

    def _role(self, listed: api.Listed) -> str:
        kinds = {self.settings.parent_kind: "parent", self.settings.origin_kind: "origin", "": ""}
        return kinds.get(listed.kind) or ("cache" if listed.zone == self.settings.zone else "elsewhere")

    def _arrive(self, now: int, request: api.Request) -> None:
        """Ranks by f-TTL and sends; every request resets its name's timer."""
        spec, levels = self.settings.classes[request.class_name], self._levels[request.class_name]
        name, left, rank = f"{request.object}.{request.part}", None, 0
        if not (spec.uncacheable or request.write):
            left = self._names.left(now, name)
            lifted = self._random.random() * levels.lifetime() < levels.shallow_lifetime()
            top = left is not None and self._names.top_has_room(name)
            rank = TOP if top else MIDDLE if left is not None or lifted else LOW
            self._names.put(name, now + int(levels.lifetime()), rank, request.size_kb or 1.0)
        if self._serves(now, request, spec):
            return
        if request.size_kb:
            self._seen(spec, self._sized(request))
        self._retries = min(RETRY_SAVED, self._retries + RETRY_EARN * (1 - self._pressure.level))
        ttl = min(request.ttl, spec.deadline)  # longer than any client of the class waits proves nothing
        held = self._held[request.id] = Held(request, spec, name, now + ttl, rank, left)
        # Rule 1: whatever else happens, the answer goes out before the client's time is up.
        self._after(max(0, ttl - self.settings.tick), lambda then: self._give_up(held), held)
        caches = (self._members[address] for address in place(name, self._caches))
        self._pressure.learn(all(m.open + 1 > self._crowd(now, m) for m in caches if m.fit(now)))
        self._send(now, held, pressure=self._pressure)

    def _serves(self, now: int, request: api.Request, spec: api.ClassSettings) -> bool:
        """Departure: an own copy, fresh and younger than any purge, answers while the own link has room.

        Guards caches' links and clients' connections. Purges count for good: an answer may cross one."""
        self._sending = [end for end in self._sending if end > now]
        copy, full = request.copy, len(self._sending) + 1 > self.settings.own_transfers
        if not copy or full or copy.age > min(now - self._purges.last(request), spec.fresh or now):
            return False
        self._sending.append(now + copy.span)
        self._actions.append(api.Serve(request.id))
        return True

    def _sized(self, request: api.Request) -> float:  # its own sending time; 0 where its size is not told
        return request.size_kb * SECOND / (self.settings.pace_kb_per_s or math.inf)

    def _after(self, delay: int, due: Callable[[int], None], held: Held | None = None) -> None:
        self._tokens += 1
        self._timers[self._tokens] = due
        if held:  # its end drops them: what is over keeps no memory until they fire
            held.timers.append(self._tokens)
        self._actions.append(api.SetTimer(delay, self._tokens))

    def _work(self, spec: api.ClassSettings) -> float:  # the class's mean sending time, at first its aim
        return self._times.get(spec.name, float(spec.aim))

    def _seen(self, spec: api.ClassSettings, span: float) -> None:
        self._times[spec.name] = (mean := self._times.get(spec.name, span)) + PACE_STEP * (span - mean)

    def _bear(self, now: int, role: str, work: float = 0.0) -> float:  # a mean warm member's work: its rate
        then, total = self._done.get(role, (now, 0.0))
        self._done[role] = now, total * max(0.0, 1 - (now - then) / PACE_MEMORY) + work
        return self._done[role][1] / PACE_MEMORY

    def _own(self, held: Held) -> float:  # its own sending time, its class's where that is not told
        return self._sized(held.request) or self._work(held.spec)

    def _room(self, now: int, member: Member, work: float) -> bool:
        """Rule 4: whether a cold member's budget, this front's part of it, bears one more attempt.

        Guards every window: capacity as at its start, the link a weight's or warm members' work; a front that
        starts again counts all as spent. Hurts where members are much larger than they have shown."""
        tier, window = self._tiers[member.role], self.settings.fall_window
        if (share := self._share(now - window, member)) >= 1 or not tier.fall_multiple:
            return True
        known = self._began <= max(member.listed.started, now - window)
        sure, rate = self._sure(member), tier.fall_multiple * share * window * known
        moved = self._moved(now, self._key("cold", member), rate * sure) if self.settings.store_wait else 0.0
        return member.charge(now, window) + work <= rate * max(sure, self._bear(now, member.role)) + moved

    def _key(self, kind: str, member: Member) -> str:  # a budget of one process
        return f"{kind}:{member.listed.address}@{member.listed.started}"

    def _sure(self, member: Member) -> float:  # this front's part of a link by word alone, which never falls
        told = member.listed.weight * self.settings.weights_told
        return max(LEAST_LINK, told) / self._tiers[member.role].fronts

    def _moved(self, now: int, key: str, part: float, most: float = math.inf) -> float:
        """What loans make of a part; with `most` 0, those lent. A front that starts keeps back the most that
        the one before it, of whose loans it knows nothing, may have lent: guards the whole at restarts."""
        kept_back = LEND_SHARE * part * (now < self._began + LOAN_MOST + self.settings.fall_window)
        return sum(min(loan[2], most) for loan in self._loans if loan[1] == key and loan[0] > now) - kept_back

    def _loan(self, now: int, until: int, key: str, amount: float) -> None:
        back = (until, key, -amount) in self._loans
        self._loans = [loan for loan in self._loans if loan[0] > now and loan != (until, key, -amount)]
        self._loans += [] if back else [(until, key, amount)]

    def _lend(self, now: int, event: api.Lend) -> None:
        """Gives up what can be spared of a part that rests on the list's word: what was seen may shrink.

        A cold member's comes back a window after the loan's end: the borrower's last sends count as long."""
        member, window = self._members.get(event.key[5:].rpartition("@")[0]), self.settings.fall_window
        part, until = RETRY_SAVED * (event.key == "retry"), event.until
        used = 1.5 * RETRY_SAVED - self._retries
        if member and event.key == self._key("cold", member):
            rate = self._tiers[member.role].fall_multiple * self._share(now - window, member)
            part, used, until = rate * window * self._sure(member), member.charge(now, window), until + window
        elif member and event.key == self._key("open", member):
            part, used = self._part(now, member), float(member.open)
        most = LEND_SHARE * part + self._moved(now, event.key, 0.0, 0.0)
        amount = max(0.0, min(event.most, most, part + self._moved(now, event.key, 0.0) - used))
        if amount := amount * (self._began + LOAN_MOST + window <= now < event.until <= now + LOAN_MOST):
            self._retries -= amount * (event.key == "retry")
            self._loan(now, until, event.key, -amount)
        self._actions.append(api.Lent(event.ticket, amount, until))

    def _share(self, now: int, member: Member) -> float:  # the part of its link that it surely has by now
        tier, started = self._tiers[member.role], member.listed.started
        age = now - started if started and member.role != "origin" else tier.warm_within
        return min(1.0, tier.cold_from + (1 - tier.cold_from) * max(0, age) / tier.warm_within)

    def _crowd(self, now: int, member: Member) -> float:
        """The open-fill bound: of the link it has by now, as far as its answers have lately come in time.

        One of many fronts has its share and room for chance, since it sees few, in clumps."""
        fronts, part = self._tiers[member.role].fronts, self._part(now, member)
        share = max(EASE_LEAST, EASE_MOST - EASE_LATE * member.late) * part
        room = share + CHANCE * math.sqrt(share * (1 - 1 / fronts))
        if self.settings.store_wait:
            room += self._moved(now, self._key("open", member), part)
        return max(1.0, room)

    def _part(self, now: int, member: Member) -> float:  # of the open fills that a member's link bears
        (most, usual), fronts = CROWD[member.role], self._tiers[member.role].fronts
        link = self._share(now, member) * (member.listed.weight if self.settings.weights_told else usual)
        return most * link / fronts

    def _pick(self, now: int, order: tuple[str, ...], held: Held) -> str | None:
        """The first fit member below its bound; all skipped, the first that may be used at all.

        One late more often than its best peer sheds names by degrees (a hash's share). Guards against members
        that grow slow but answer; all slow together shed nothing. Hurts where one's names are heavy."""
        work, first = self._work(held.spec), self._members[order[0]] if order else None
        if first and first.late <= SHED_FROM and first.fit(now) and order[0] not in held.avoid and (
            first.open + 1 <= self._crowd(now, first) and self._room(now, first, work)):
            return order[0]  # as the lists below would have it, in a fraction of their time
        usable = [a for a in order if self._room(now, self._members[a], work)]
        rest = [a for a in usable if a not in held.avoid]
        fit = [a for a in rest if self._members[a].fit(now)]
        free = [a for a in fit if self._members[a].open + 1 <= self._crowd(now, self._members[a])]
        if self._up and first and order[0] not in free and (order[0] in fit or order[0] not in usable):
            kind, lacking = ("open", 1.0) if order[0] in fit else ("cold", work)
            self._actions.append(api.Short(self._key(kind, first), lacking))
        usual = min((self._members[a].late for a in free), default=0.0) + SHED_FROM
        part = crc32(held.name.encode()) / 2**32
        quick = [a for a in free if min(SHED_MOST, (self._members[a].late - usual) / SHED_OVER) <= part]
        return next(iter(quick or free or fit or rest or usable), None)

    def _may_repeat(self, now: int, held: Held, target: str) -> bool:
        """Rule 2: whether one more attempt, at this target, can do no effect twice."""
        if not held.ran or held.spec.effect is api.Effect.SAFE:
            return True
        (first, where), spec, there = held.ran[0], held.spec, self._members[target].listed
        at = self._members[where].listed if where in self._members else api.Listed(where, api.State.GONE)
        same = {api.Scope.ALL: True, api.Scope.ZONE: there.zone == at.zone}
        near = same.get(spec.scope, (there.zone, there.cell) == (at.zone, at.cell))
        return spec.effect is api.Effect.KEYED and near and now < first + spec.window - self.settings.tick

    def _send(self, now: int, held: Held, price: int = 0, pressure: Pressure | None = None) -> None:
        """Sends the next attempt, or gives up at once where none can be sent or it is too dear."""
        s, spec, request, left = self.settings, held.spec, held.request, held.deadline - now
        order, hint, held.hint = place(held.name, self._caches), held.hint, None
        # Who keeps or fills a name is asked past its open-fill bound: a hit or a join is no further fill.
        member = self._members[hint.cache] if hint and hint.cache in order else None
        able = member and member.fit(now) and self._room(now, member, self._work(spec))
        cache = hint.cache if hint and able and hint.cache not in held.avoid else self._pick(now, order, held)
        # Departure: a cache is first asked for what it has. Many fronts share a location, so a name new here
        # may well be kept there; a miss is known before a source is named, and silence is the cache's own.
        new = held.rank and not spec.fresh and held.missed != cache and held.sends + 1 < s.max_attempts
        filling = hint and hint.filling and hint.cache == cache  # to be joined, or asked once it is over
        looks = cache and (not s.can_join if filling else new and self._share(now, self._members[cache]) >= 1)
        source = cache if looks else self._pick(now, place(held.name, self._parents), held) or self._origin
        if cache is None and s.direct and source:
            cache, source = source, self._origin or source
        self._actions += [api.Short("retry", 1.0)] * (self._up and self._retries < price)
        spent = held.sends >= s.max_attempts or left <= s.tick or self._retries < price
        dear = pressure and pressure.refuses(self._own(held) / (spec.worth or 1.0), bool(request.size_kb))
        if cache is None or spent or dear or not self._may_repeat(now, held, cache):
            return self._give_up(held)
        # Departure: what others keep or fill is not filled again; asked for a new name, and before its fill.
        asks = 2 if (source := source or cache) != cache else 1
        if self._up and held.rank and not hint and not held.asked & asks and (
            (held.left is None and not held.sends) or (asks == 2 and (held.missed or not spec.fresh))):
            wait = max(0, min(s.store_wait, int(STORE_SHARE * left)) - held.waited)
            fill, waits, nothing = source if asks == 2 else "", (now, price), api.Advice(request.id)
            held.asked, held.waits = held.asked | asks, waits
            self._actions.append(api.Consult(request.id, held.name, cache, fill, wait, left))
            return self._after(wait, lambda then: self._advised(then, held, nothing, waits), held)
        held.hinted = cache if hint and hint.cache == cache else ""
        self._retries -= price
        renew, troubled = spec.fresh > 0 and source != cache, held.sends or self._members[source].until
        join = s.can_join and held.rank > 0  # what is never kept has a fill of its own, and writes theirs
        age = spec.fresh + spec.grace * bool(troubled) if spec.fresh else 0
        age = min(age or bound, bound) if (bound := self._purges.oldest(now, request)) else age
        for sent_to in (self._members[address] for address in {cache: 0, source: 0}):
            sent_to.open += 1
            sent_to.charge(now, s.fall_window, self._work(spec))
            sent_to.on_trial = sent_to.until > 0
        attempt = held.out[held.sends] = Attempt(held.sends, cache, source, now)
        held.sends += 1
        by = held.ran[0][0] + spec.window - s.tick if held.ran and spec.effect is api.Effect.KEYED else 0
        self._actions += [api.Fetch(request.id, cache, source, held.rank, left, age, join, renew, by)]
        patience = self._patience(held)
        self._after(patience, lambda then: self._look(then, held, attempt, patience), held)

    def _advised(self, now: int, held: Held, advice: api.Advice, due: tuple[int, int] | None = None) -> None:
        """The store has spoken, or its time is over: the attempt that waited goes out.

        What can't be joined is asked for once the fill should be over, in half the time left at most."""
        if not held.waits or (due and held.waits is not due):
            return
        (since, price), held.waits = held.waits, None
        held.waited, held.hint = held.waited + now - since, advice if advice.cache else None
        later = min(advice.ready_in, (held.deadline - now) // 2)
        if not (later and advice.filling) or self.settings.can_join:
            return self._send(now, held, price)
        waits = held.waits = now, price
        over = api.Advice(held.request.id, advice.cache, True)
        self._after(later, lambda then: self._advised(then, held, over, waits), held)

    def _patience(self, held: Held) -> int:
        return max(SECOND // 100, int(PATIENCE * held.spec.aim + STRETCH * self._own(held)))

    def _look(self, now: int, held: Held, attempt: Attempt, patience: int) -> None:
        """An attempt is out for long: its cache, if silent all the while, is blamed, and left once suspended.

        Guards against members that say nothing (dead machines, cut links). One silence proves little, and
        less the more good answers take as long. Hurts where long answers come in a row."""
        if held.begun or attempt.number not in held.out:
            return
        if 2 * patience <= now - attempt.sent < 3 * patience:
            self._paced(attempt.source, True)
        cache = self._members.get(attempt.cache)
        if silent := cache is not None and cache.heard < attempt.sent:
            self._blame(now, held, attempt.cache, -math.log(max(0.02, self._slow)) / math.log(DEAD_ODDS))
        may = self.settings.may_cancel and held.spec.effect is api.Effect.SAFE and self._retries >= 1
        if silent and cache and cache.until and may and held.sends < self.settings.max_attempts:
            self._actions.append(api.Cancel(held.request.id, attempt.number))
            self._close(held, attempt)
            held.ran.append((attempt.sent, attempt.cache))
            self._send(now, held, price=1)
        else:
            self._after(patience, lambda then: self._look(then, held, attempt, patience), held)

    def _blame(self, now: int, held: Held, address: str, weight: float) -> None:
        held.avoid.add(address)
        if weight and address in self._members:
            self._members[address].fails(now, weight)
            self._actions += [api.Suspect(address)] * (self._up and self._members[address].until > now)

    def _close(self, held: Held, attempt: Attempt) -> None:
        held.out.pop(attempt.number, None)
        for member in filter(None, map(self._members.get, dict.fromkeys((attempt.cache, attempt.source)))):
            member.open, member.on_trial = max(0, member.open - 1), False

    def _ended(self, now: int, event: api.Outcome) -> None:
        """Learns from an outcome; what is still owed is sent again or given up at once."""
        if not (held := self._held.get(event.id)) or not (attempt := held.out.get(event.attempt)):
            return
        self._close(held, attempt)
        (self._answered if event.status is api.Status.OK else self._failed)(now, held, attempt, event)
        if event.final:
            self._forget(event.id)
        elif event.status is api.Status.NO_COPY and attempt.source == attempt.cache != held.missed:
            held.missed = attempt.cache
            self._actions += [api.Misled(event.id, held.name, held.missed)] * (held.missed == held.hinted)
            self._send(now, held, pressure=self._inlet)
        elif event.status is not api.Status.OK and not held.out:
            held.ran += [] if event.status in api.NEVER_RAN else [(attempt.sent, attempt.cache)]
            # Trouble must not feed itself: a budget. A link's end pays once, a second word on an error not.
            self._send(now, held, price=not (event.shared or held.accused))

    def _answered(self, now: int, held: Held, attempt: Attempt, event: api.Outcome) -> None:
        """Learns from an answer: health, sending times, work done, and the class's levels."""
        hit = event.note in (api.Note.HIT, api.Note.STALE_HIT)
        filled = event.note in (api.Note.FILLED, api.Note.FILLED_BY_ORIGIN, api.Note.JOINED)
        work, spec, size, s = self._work(held.spec), held.spec, held.request.size_kb, self.settings
        for address, shown, role in ((attempt.cache, True, "cache"), (attempt.source, filled, "parent")):
            if shown and (member := self._members.get(address)):
                member.works(now)
                if not member.listed.started and member.role == role:
                    self._bear(now, role, work / max(1, self._warm[role]))
        if hit and not (size or event.bare):
            self._seen(spec, float(event.took))
        self._slow += PACE_STEP * ((event.took > self._patience(held)) - self._slow)
        late = event.took > spec.aim + spec.aim_stretch * (self._sized(held.request) or spec.aim)
        if (hit or filled) and event.took < 2 * self._patience(held):  # else it has been counted
            self._paced(attempt.cache if hit else attempt.source, late)
        held.keeper = attempt.cache if hit or filled else ""
        if held.rank and (hit or filled):
            levels = self._levels[spec.name]
            missed = levels.shallow_lifetime() if held.left is None else levels.lifetime()
            sample = levels.lifetime() - (held.left or 0) if hit else missed
            levels.learn(hit, max(0.0, sample), size or 1.0)
            self._actions += [api.Keep(event.id)] * (held.left is not None and s.own_transfers > 0)

    def _paced(self, address: str, late: bool) -> None:
        """Late hits speak of the cache, late fills of the source and of the ways to it."""
        if member := self._members.get(address):
            member.late += LATE_STEP * (late - member.late)
            if member.role != "cache":
                self._inlet.learn(late)

    def _failed(self, now: int, held: Held, attempt: Attempt, event: api.Outcome) -> None:
        """Blames the cache, its source, or nobody; a cache heard from since is not the silent one."""
        cache, source, note = attempt.cache, attempt.source, event.note
        known, told = self._members.get(cache), self.settings.tells_causes
        heard = cache == held.missed or (known is not None and known.heard >= attempt.sent)
        match event.status:
            case api.Status.NO_COPY if source == cache and known:
                known.works(now)
            case api.Status.NO_COPY:
                held.avoid.add(source)
            case api.Status.TURNED_AWAY if note in SOURCE_FAILED or (heard and not told):
                self._blame(now, held, source, 0.35)
                self._paced(source, True)  # a refused fill is no better than a late one
            case api.Status.TURNED_AWAY if note is not api.Note.ORIGIN_FAILED:
                self._blame(now, held, cache, 0.2)
            case api.Status.TIMED_OUT | api.Status.ERROR | api.Status.NOT_CONNECTED | api.Status.BROKEN_OFF:
                fill = heard and event.status in (api.Status.TIMED_OUT, api.Status.ERROR)  # it broke off late
                at, weight = (source, 0.25) if fill else (cache, 0.5)
                if event.status is api.Status.ERROR:
                    self._accuse(held, at, weight, cache)
                else:  # one link's end is one piece of evidence, however many attempts were on it
                    self._blame(now, held, at, 0.0 if event.shared else weight)

    def _accuse(self, held: Held, at: str, weight: float, cache: str) -> None:
        """An error may be the request's own fault: the word of a second member decides, and ends it.

        Guards good members, and the budget, against requests nobody can serve (unknown objects, parts out of
        range); while most errors are such, a new name's is not asked about. Hurts where two bad ones meet."""
        held.avoid |= {at} if cache == held.missed else {at, cache}
        if held.accused or (held.left is None and self._random.random() < self._faulty):
            self._faulty += PACE_STEP * (1 - self._faulty) * bool(held.accused)
            held.accused, held.sends = None, self.settings.max_attempts
        else:
            held.accused = at, weight

    def _give_up(self, held: Held) -> None:
        """The final answer, at once; a refusal where trying again is harmless."""
        if self._held.get(held.request.id) is not held or held.begun:
            return
        anywhere = held.spec.effect is api.Effect.KEYED and held.spec.scope is api.Scope.ALL
        harmless = held.spec.effect is api.Effect.SAFE or anywhere or not (held.ran or held.out)
        advice = int(ADVICE * (0.5 + self._random.random())) if self.settings.retry_after else 0
        refusal = api.Refuse(held.request.id, min(self.settings.max_retry_after, advice))
        self._actions.append(refusal if harmless else api.Fail(held.request.id))
        self._forget(held.request.id)

    def _forget(self, request_id: str) -> None:
        if held := self._held.pop(request_id, None):
            if held.asked & 2:
                self._actions.append(api.Settled(request_id, held.keeper, held.rank))
            if held.accused:  # no second member failed it too
                self._blame(self._now, held, held.accused[0], held.accused[1] * (1 - self._faulty))
                self._faulty -= PACE_STEP * self._faulty
            for token in held.timers:
                self._timers.pop(token, None)
            for attempt in list(held.out.values()):
                self._actions += [api.Cancel(request_id, attempt.number)] * self.settings.may_cancel
                self._close(held, attempt)
