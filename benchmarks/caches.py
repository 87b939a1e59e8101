"""Stand-in caches, a parent, an origin and a coordinator in one process, controlled by standard input.

    python -m benchmarks.caches COUNT CAPACITY WEIGHT

Caches store names by least recent use, fill in a time that follows from the name, join fills under way,
honour the age that a proxy allows, and count: fills, fills of what another cache had or was filling, hits
served from a response older than an invalidation that was announced more than 350 ms ago. Commands, a line
each: `stats`, `restart CACHE`, `purge GROUP ...`; each is answered by a line of the counts.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from functools import partial
from hashlib import blake2b
from heapq import heappop, heappush
from typing import Any, NamedTuple

from examples.toy_server import Command, Coordinator, ToyEndpoint, listed_endpoint

GROUPS = 16
INVALIDATION_LIFETIME_S = 6.0  # until caches have carried an invalidation out, as in the proxies' settings
INVALIDATION_GRACE_MS = 350  # a proxy is bound by an invalidation after 300 ms; 50 ms for the way
HIT_LATENCY_S = 0.004
MISS_LATENCY_S = 0.001
MIN_FILL_S = 0.08
FILL_RANGE_S = 0.25  # over which fills vary beyond that
PARENT_WEIGHT = 40


@dataclass
class Counts:
    """What the caches did; the names are those of the process's output."""

    fills: int = 0
    double_fills: int = 0
    hits: int = 0
    misses: int = 0
    joined: int = 0
    older_than_purge: int = 0


class PendingFill(NamedTuple):
    """A fill under way."""

    ends_at: float  # monotonic
    started_ms: int  # Unix


@dataclass
class CacheState:
    """What one cache stores since which Unix millisecond, least recently used first, and what it fills."""

    stored: dict[str, int] = field(default_factory=dict)
    fills: dict[str, PendingFill] = field(default_factory=dict)

    def look_up(self, now_ms: int, name: str, max_age_ms: int) -> int | None:
        """When the response that may be served was stored; it is then the most recently used. 0: any age."""
        stored_ms = self.stored.get(name)
        if stored_ms is None or (max_age_ms and now_ms - stored_ms > max_age_ms):
            return None
        self.stored[name] = self.stored.pop(name)
        return stored_ms


class Scheduler:
    """A thread that calls back later; `condition` guards its queue and may guard its user's state."""

    def __init__(self) -> None:
        self.condition = threading.Condition()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._last_number = 0
        threading.Thread(target=self._run, name="scheduler", daemon=True).start()

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Calls back on the scheduler's thread; the caller holds the condition."""
        self._last_number += 1
        heappush(self._queue, (time.monotonic() + delay_s, self._last_number, callback))
        self.condition.notify()

    def _run(self) -> None:
        while True:
            with self.condition:
                while (delay_s := self._delay_s()) is None or delay_s > 0:
                    self.condition.wait(delay_s)
                _, _, callback = heappop(self._queue)
            callback()

    def _delay_s(self) -> float | None:
        """The time until something is due; None: nothing is."""
        if not self._queue:
            return None
        return max(0.0, self._queue[0][0] - time.monotonic())


class Origins:
    """All caches with the parent and the origin, and what they know of each other, which proxies don't.

    The scheduler's condition guards `states`, `invalidated_ms` and `counts`: each cache's connections have
    threads of their own.
    """

    def __init__(self, count: int, capacity: int, weight: int) -> None:
        self.counts = Counts()
        self.coordinator = Coordinator()
        self._capacity = capacity
        self._scheduler = Scheduler()
        self._caches = [ToyEndpoint(f"c{number}", reply=self._reply) for number in range(count)]
        self._parent = ToyEndpoint("p")
        self._origin = ToyEndpoint("o")
        self._states = {cache.id: CacheState() for cache in self._caches}
        self._invalidated_ms: dict[int, int] = {}  # the last invalidation of each group
        self._entries = [
            *(listed_endpoint(cache, weight=weight) for cache in self._caches),
            listed_endpoint(self._parent, "parent", "hub", weight=PARENT_WEIGHT),
            listed_endpoint(self._origin, "origin", "hub"),
        ]
        self.coordinator.add(endpoints={"version": 1, "full": True, "servers": self._entries})

    def read_counts(self) -> dict[str, int]:
        """The counts at one moment."""
        with self._scheduler.condition:
            return asdict(self.counts)

    def _reply(self, cache: ToyEndpoint, command: Command) -> None:
        if command.verb == "alive":
            command.sock.sendall(f"{command.id} PONG\r\n".encode())
        elif command.verb == "fetch":
            with self._scheduler.condition:
                self._fetch(cache, command)

    def _fetch(self, cache: ToyEndpoint, command: Command) -> None:
        """Answers later: from the store, by a fill under way, or by one of its own."""
        fields = command.fields
        name = f"{fields['name']}.{fields['piece']}"
        now_ms = unix_ms()
        state = self._states[cache.id]
        stored_ms = state.look_up(now_ms, name, int(fields.get("within", 0)))
        if stored_ms is not None:
            self.counts.hits += 1
            invalidated_ms = self._invalidated_ms.get(group_of(fields["name"]), 0)
            if stored_ms < invalidated_ms and now_ms > invalidated_ms + INVALIDATION_GRACE_MS:
                self.counts.older_than_purge += 1
            self._scheduler.after(HIT_LATENCY_S, partial(send_answer, command, name, stored_ms, "warm"))
        elif name in state.fills:
            fill = state.fills[name]
            self.counts.joined += 1
            remaining_s = fill.ends_at - time.monotonic()
            self._scheduler.after(remaining_s, partial(send_answer, command, name, fill.started_ms, "piggy"))
        elif "miss" not in fields:
            self.counts.misses += 1
            self._scheduler.after(MISS_LATENCY_S, partial(command.respond, "NONE"))
        else:
            self._start_fill(cache, command, name, now_ms)

    def _start_fill(self, cache: ToyEndpoint, command: Command, name: str, now_ms: int) -> None:
        self.counts.fills += 1
        if self._has_other_copy(cache, name, group_of(command.fields["name"])):
            self.counts.double_fills += 1
        duration_s = fill_duration_s(name)
        fill = PendingFill(time.monotonic() + duration_s, now_ms)
        self._states[cache.id].fills[name] = fill
        self._scheduler.after(duration_s, partial(self._complete_fill, cache, command, name, now_ms))

    def _has_other_copy(self, cache: ToyEndpoint, name: str, group: int) -> bool:
        invalidated_ms = self._invalidated_ms.get(group, 0)
        others = [state for id_, state in self._states.items() if id_ != cache.id]
        return any(state.stored.get(name, 0) > invalidated_ms or name in state.fills for state in others)

    def _complete_fill(self, cache: ToyEndpoint, command: Command, name: str, started_ms: int) -> None:
        state = self._states[cache.id]
        with self._scheduler.condition:
            if state.fills.pop(name, None) is not None:
                state.stored[name] = started_ms
                while len(state.stored) > self._capacity:
                    del state.stored[next(iter(state.stored))]
        send_answer(command, name, started_ms, "fill")

    def restart(self, id_: str) -> None:
        """A cache comes back cold and empty; the endpoint list says so at once."""
        with self._scheduler.condition:
            self._states[id_].stored.clear()
            self._states[id_].fills.clear()
        row = next(row for row in self._entries if row["id"] == id_)
        row["started_ms"] = unix_ms()
        self.coordinator.add(endpoints={"version": 2, "full": False, "servers": [row]})

    def purge(self, groups: list[int]) -> None:
        """Invalidates groups: announced at once, carried out within the invalidation's lifetime."""
        now_ms = unix_ms()
        with self._scheduler.condition:
            self._invalidated_ms |= dict.fromkeys(groups, now_ms)
            drop = partial(self._drop_groups, frozenset(groups), now_ms)
            self._scheduler.after(INVALIDATION_LIFETIME_S, drop)
        for group in groups:
            self.coordinator.add(evict={"shard": group, "unix_ms": now_ms})

    def _drop_groups(self, groups: frozenset[int], invalidated_ms: int) -> None:
        """No cache has such responses from here on, as the proxies' settings say."""
        with self._scheduler.condition:
            for state in self._states.values():
                stale = [
                    name
                    for name, stored_ms in state.stored.items()
                    if stored_ms < invalidated_ms and group_of(name.partition(".")[0]) in groups
                ]
                for name in stale:
                    del state.stored[name]


def unix_ms() -> int:
    """The present time."""
    return int(time.time() * 1000)


def group_of(name: str) -> int:
    """The group that an object belongs to."""
    return int(name, 16) % GROUPS


def fill_duration_s(name: str) -> float:
    """How long a fill takes, by a hash of its name."""
    (byte,) = blake2b(name.encode(), digest_size=1).digest()
    return MIN_FILL_S + byte / 256 * FILL_RANGE_S


def send_answer(command: Command, name: str, stored_ms: int, why: str) -> None:
    """Sends a body of 2 KB that follows from the name, unless the connection has closed."""
    body = blake2b(name.encode()).digest() * 32
    entity = blake2b(name.encode(), digest_size=8).hexdigest()
    try:
        command.respond("HIT", body, why=why, entity=entity, issued=str(stored_ms))
    except OSError:
        return


def main() -> None:
    """Runs until standard input ends."""
    count, capacity, weight = map(int, sys.argv[1:4])
    origins = Origins(count, capacity, weight)
    config: dict[str, Any] = {
        "coordinator": origins.coordinator.address,
        "known": origins.coordinator.listed(),
    }
    print(json.dumps(config), flush=True)
    for line in sys.stdin:
        verb, *words = line.split()
        match verb:
            case "restart":
                origins.restart(words[0])
            case "purge":
                origins.purge([int(word) for word in words])
        print(json.dumps(origins.read_counts()), flush=True)


if __name__ == "__main__":
    main()
