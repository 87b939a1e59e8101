"""Stand-in caches, a parent, an origin and a coordinator in one process, controlled through standard input.

    python -m benchmarks.caches COUNT CAPACITY WEIGHT

There are COUNT caches, each for CAPACITY names and WEIGHT concurrent transfers. Caches evict the least
recently used name, derive the duration of a fill from the name, collapse requests into fills in flight and
respect the maximum age of an attempt. They count fills, double fills and hits that are older than an
invalidation that every proxy has received. A double fill is the fill of a name that another cache stores or
is filling.

Standard input has one command per line: `stats`, `restart CACHE` or `purge GROUP ...`. The response to each
command is one line of JSON with the counts.
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
INVALIDATION_LIFETIME_S = 6.0  # time after which caches remove invalidated names, as in the proxies' settings
INVALIDATION_GRACE_MS = 350  # time after an invalidation by which every proxy has received it
HIT_LATENCY_S = 0.004
MISS_LATENCY_S = 0.001
MIN_FILL_S = 0.08
FILL_RANGE_S = 0.25  # difference between the longest and the shortest fill
PARENT_WEIGHT = 40  # concurrent transfers that the parent can serve


@dataclass(slots=True)
class Counts:
    """Counters of all caches. The process writes them as JSON, with the field names as keys."""

    fills: int = 0
    double_fills: int = 0
    hits: int = 0
    misses: int = 0
    joined: int = 0
    older_than_purge: int = 0


class PendingFill(NamedTuple):
    """A fill in flight."""

    ends_at_s: float  # end of the fill, in seconds on the monotonic clock
    started_unix_ms: int


@dataclass(slots=True)
class CacheState:
    """The contents of one cache, and its fills in flight."""

    # Storage time in Unix ms by name, least recently used first.
    stored: dict[str, int] = field(default_factory=dict)
    fills: dict[str, PendingFill] = field(default_factory=dict)  # fills in flight by name

    def look_up(self, now_ms: int, name: str, max_age_ms: int | None) -> int | None:
        """Returns when the name's response was stored, or `None` if no stored response may be served.

        A name that is found becomes the most recently used one. If there is no maximum age, a response of any
        age may be served.
        """
        stored_ms = self.stored.get(name)
        if stored_ms is None or (max_age_ms is not None and now_ms - stored_ms > max_age_ms):
            return None
        self.stored[name] = self.stored.pop(name)
        return stored_ms


class Scheduler:
    """A thread that runs callbacks after a delay.

    `condition` guards the scheduler's queue, and callers may use it to guard their own state.
    """

    def __init__(self) -> None:
        self.condition = threading.Condition()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._last_number = 0
        threading.Thread(target=self._run, name="scheduler", daemon=True).start()

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Calls back on the scheduler's thread after a delay.

        The caller must hold `condition`. The scheduler's thread does not hold it while the callback runs.
        """
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
        """Returns the seconds until the first callback is due, or `None` if no callback is queued."""
        if not self._queue:
            return None
        return max(0.0, self._queue[0][0] - time.monotonic())


class CacheTier:
    """All caches with their parent, the origin and the coordinator.

    The scheduler's condition guards `counts`, the caches' states and the invalidations, since each connection
    of a cache has its own thread.
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
        self._invalidated_ms: dict[int, int] = {}  # for each group, the Unix ms of its last invalidation
        self._entries = [
            *(listed_endpoint(cache, weight=weight) for cache in self._caches),
            listed_endpoint(self._parent, "parent", "hub", weight=PARENT_WEIGHT),
            listed_endpoint(self._origin, "origin", "hub"),
        ]
        self.coordinator.add(endpoints={"version": 1, "full": True, "servers": self._entries})

    def read_counts(self) -> dict[str, int]:
        """Returns a consistent copy of the counts."""
        with self._scheduler.condition:
            return asdict(self.counts)

    def _reply(self, cache: ToyEndpoint, command: Command) -> None:
        if command.verb == "alive":
            command.sock.sendall(f"{command.id} PONG\r\n".encode())
        elif command.verb == "fetch":
            with self._scheduler.condition:
                self._fetch(cache, command)

    def _fetch(self, cache: ToyEndpoint, command: Command) -> None:
        """Schedules the response to a fetch: from the cache, from a fill in flight or from a new fill.

        If the command allows no new fill, the response is `NONE`. The caller must hold the condition.
        """
        fields = command.fields
        name = f"{fields['name']}.{fields['piece']}"
        now_ms = unix_ms()
        state = self._states[cache.id]
        max_age_ms = int(fields["within"]) if "within" in fields else None
        stored_ms = state.look_up(now_ms, name, max_age_ms)
        if stored_ms is not None:
            self.counts.hits += 1
            if self._is_older_than_invalidation(now_ms, fields["name"], stored_ms):
                self.counts.older_than_purge += 1
            self._scheduler.after(HIT_LATENCY_S, partial(send_response, command, name, stored_ms, "warm"))
        elif name in state.fills:
            fill = state.fills[name]
            self.counts.joined += 1
            remaining_s = fill.ends_at_s - time.monotonic()
            self._scheduler.after(
                remaining_s, partial(send_response, command, name, fill.started_unix_ms, "piggy")
            )
        elif "miss" not in fields:
            self.counts.misses += 1
            self._scheduler.after(MISS_LATENCY_S, partial(command.respond, "NONE"))
        else:
            self._start_fill(cache, command, name, now_ms)

    def _is_older_than_invalidation(self, now_ms: int, name: str, stored_ms: int) -> bool:
        """Whether a response is older than an invalidation of its object that every proxy has received."""
        invalidated_ms = self._invalidated_ms.get(group_of(name))
        if invalidated_ms is None or now_ms <= invalidated_ms + INVALIDATION_GRACE_MS:
            return False
        return stored_ms < invalidated_ms

    def _start_fill(self, cache: ToyEndpoint, command: Command, name: str, now_ms: int) -> None:
        self.counts.fills += 1
        if self._is_in_another_cache(cache, name, group_of(command.fields["name"])):
            self.counts.double_fills += 1
        duration_s = fill_duration_s(name)
        fill = PendingFill(time.monotonic() + duration_s, now_ms)
        self._states[cache.id].fills[name] = fill
        self._scheduler.after(duration_s, partial(self._complete_fill, cache, command, name, now_ms))

    def _is_in_another_cache(self, cache: ToyEndpoint, name: str, group: int) -> bool:
        """Whether a cache other than `cache` is filling the name or stores a valid response for it.

        A stored response is valid if it is newer than the last invalidation of `group`, the name's group, or
        if the group was never invalidated.
        """
        invalidated_ms = self._invalidated_ms.get(group)
        for endpoint_id, state in self._states.items():
            if endpoint_id == cache.id:
                continue
            stored_ms = state.stored.get(name)
            is_stored = stored_ms is not None and (invalidated_ms is None or stored_ms > invalidated_ms)
            if is_stored or name in state.fills:
                return True
        return False

    def _complete_fill(self, cache: ToyEndpoint, command: Command, name: str, started_ms: int) -> None:
        state = self._states[cache.id]
        with self._scheduler.condition:
            if state.fills.pop(name, None) is not None:
                state.stored[name] = started_ms
                while len(state.stored) > self._capacity:
                    del state.stored[next(iter(state.stored))]
        send_response(command, name, started_ms, "fill")

    def restart(self, cache_id: str) -> None:
        """Empties a cache, as a restart does, and publishes the current time as the start of its warm-up."""
        with self._scheduler.condition:
            self._states[cache_id].stored.clear()
            self._states[cache_id].fills.clear()
        row = next(row for row in self._entries if row["id"] == cache_id)
        row["started_ms"] = unix_ms()
        self.coordinator.add(endpoints={"version": 2, "full": False, "servers": [row]})

    def purge(self, groups: list[int]) -> None:
        """Publishes invalidations of groups at once. Caches drop the names INVALIDATION_LIFETIME_S later."""
        now_ms = unix_ms()
        with self._scheduler.condition:
            self._invalidated_ms |= dict.fromkeys(groups, now_ms)
            drop = partial(self._drop_groups, frozenset(groups), now_ms)
            self._scheduler.after(INVALIDATION_LIFETIME_S, drop)
        for group in groups:
            self.coordinator.add(evict={"shard": group, "unix_ms": now_ms})

    def _drop_groups(self, groups: frozenset[int], invalidated_ms: int) -> None:
        """Removes from all caches the groups' names that were stored before an invalidation."""
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
    """Returns the current Unix time in milliseconds."""
    return int(time.time() * 1000)


def group_of(name: str) -> int:
    """Returns the group of an object; all objects of a group are invalidated together."""
    return int(name, 16) % GROUPS


def fill_duration_s(name: str) -> float:
    """Returns the duration of a fill, which is derived from a hash of the name."""
    (byte,) = blake2b(name.encode(), digest_size=1).digest()
    return MIN_FILL_S + byte / 256 * FILL_RANGE_S


def send_response(command: Command, name: str, stored_ms: int, why: str) -> None:
    """Sends a body of 2 KB that is derived from the name; does nothing if the connection was closed."""
    body = blake2b(name.encode()).digest() * 32
    entity = blake2b(name.encode(), digest_size=8).hexdigest()
    try:
        command.respond("HIT", body, why=why, entity=entity, issued=str(stored_ms))
    except OSError:
        return


def main() -> None:
    """Serves fetches, and executes the commands on standard input until it ends."""
    count, capacity, weight = map(int, sys.argv[1:4])
    tier = CacheTier(count, capacity, weight)
    config: dict[str, Any] = {
        "coordinator": tier.coordinator.address,
        "known": tier.coordinator.listed(),
    }
    print(json.dumps(config), flush=True)
    for line in sys.stdin:
        verb, *arguments = line.split()
        match verb:
            case "restart":
                tier.restart(arguments[0])
            case "purge":
                tier.purge([int(group) for group in arguments])
        print(json.dumps(tier.read_counts()), flush=True)


if __name__ == "__main__":
    main()
