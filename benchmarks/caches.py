"""Stand-in caches, a parent, an origin and a coordinator in one process, told what to do on standard input.

    python -m benchmarks.caches COUNT ROOM LINK

Caches keep names by least recent use, fill in a time that follows from the name, join fills under way, honour
the age that a front allows, and count: fills, fills of what another cache had or was filling, hits served
from a copy older than a purge that was told more than 350 ms ago. Commands, a line each: `stats`,
`restart CACHE`, `purge GROUP ...`.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from hashlib import blake2b
from heapq import heappop, heappush
from typing import Any

from examples.toy_server import Command, Coordinator, Member, entry

GROUPS = 16
GONE_S = 6.0
TOLD_MS = 350  # a purge binds so long after it was told, with 50 ms for the way


class World:
    """All caches and what they know of each other, which fronts don't."""

    def __init__(self, count: int, room: int, link: int) -> None:
        self.lock, self.room = threading.Condition(), room
        self.kept: dict[str, dict[str, int]] = {}  # cache -> name -> Unix ms of the copy
        self.filling: dict[str, dict[str, tuple[float, int]]] = {}  # cache -> name -> end, Unix ms
        self.purged: dict[int, int] = {}
        names = ("fills", "double_fills", "hits", "misses", "joined", "older_than_purge")
        self.counts = dict.fromkeys(names, 0)
        self._due: list[tuple[float, int, Any]] = []
        self._serial = 0
        self.coordinator = Coordinator()
        self.caches = [Member(f"c{number}", reply=self.reply) for number in range(count)]
        self.parent, self.origin = Member("p"), Member("o")
        for cache in self.caches:
            self.kept[cache.id], self.filling[cache.id] = {}, {}
        self.entries = [entry(cache, weight=link) for cache in self.caches]
        self.entries += [entry(self.parent, "parent", "hub", weight=40), entry(self.origin, "origin", "hub")]
        self.coordinator.add(endpoints={"version": 1, "full": True, "servers": self.entries})
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            with self.lock:
                while not self._due or self._due[0][0] > time.monotonic():
                    self.lock.wait(max(0.0, self._due[0][0] - time.monotonic()) if self._due else None)
                _, _, what = heappop(self._due)
            what()

    def after(self, span: float, what: Any) -> None:
        self._serial += 1
        heappush(self._due, (time.monotonic() + span, self._serial, what))
        self.lock.notify()

    def reply(self, member: Member, command: Command) -> None:
        if command.verb == "alive":
            command.sock.sendall(f"{command.id} PONG\r\n".encode())
        if command.verb != "fetch":
            return
        fields, now = command.fields, int(time.time() * 1000)
        name, within = f"{fields['name']}.{fields['piece']}", int(fields.get("within", 0))
        with self.lock:
            kept, filling = self.kept[member.id], self.filling[member.id]
            born = kept.get(name)
            if born is not None and within and now - born > within:
                born = None
            if born is not None:
                kept[name] = kept.pop(name)
                self.counts["hits"] += 1
                purged = self.purged.get(group_of(fields["name"]), 0)
                self.counts["older_than_purge"] += born < purged and now > purged + TOLD_MS
                self.after(0.004, lambda: answer(command, name, born, "warm"))
            elif name in filling:
                end, born = filling[name]
                self.counts["joined"] += 1
                self.after(end - time.monotonic(), lambda: answer(command, name, born, "piggy"))
            elif "miss" not in fields:
                self.counts["misses"] += 1
                self.after(0.001, lambda: command.answer("NONE"))
            else:
                self._fill(member, command, name, now)

    def _fill(self, member: Member, command: Command, name: str, now: int) -> None:
        kept, filling = self.kept[member.id], self.filling[member.id]
        purged = self.purged.get(group_of(command.fields["name"]), 0)
        others = [id_ for id_ in self.kept if id_ != member.id]
        had = any(self.kept[id_].get(name, 0) > purged or name in self.filling[id_] for id_ in others)
        self.counts["fills"] += 1
        self.counts["double_fills"] += had
        span = 0.08 + blake2b(name.encode(), digest_size=1).digest()[0] / 256 * 0.25
        filling[name] = time.monotonic() + span, now

        def filled() -> None:
            with self.lock:
                if filling.pop(name, None) is not None:
                    kept[name] = now
                    while len(kept) > self.room:
                        del kept[next(iter(kept))]
            answer(command, name, now, "fill")

        self.after(span, filled)

    def restart(self, id_: str) -> None:
        """A cache comes back cold and empty; the list says so at once."""
        with self.lock:
            self.kept[id_].clear()
            self.filling[id_].clear()
        row = next(row for row in self.entries if row["id"] == id_)
        row["started_ms"] = int(time.time() * 1000)
        self.coordinator.add(endpoints={"version": 2, "full": False, "servers": [row]})

    def purge(self, groups: list[int]) -> None:
        now = int(time.time() * 1000)
        with self.lock:
            self.purged |= dict.fromkeys(groups, now)
            self.after(GONE_S, lambda: self._gone(set(groups), now))
        for group in groups:
            self.coordinator.add(evict={"shard": group, "unix_ms": now})

    def _gone(self, groups: set[int], purged: int) -> None:
        """No cache has such copies from here on, as the fronts' settings say."""
        with self.lock:
            for kept in self.kept.values():
                for name in [
                    name
                    for name, born in kept.items()
                    if born < purged and group_of(name.partition(".")[0]) in groups
                ]:
                    del kept[name]


def group_of(name: str) -> int:
    return int(name, 16) % GROUPS


def answer(command: Command, name: str, born: int, why: str) -> None:
    """A body of 2 KB that follows from the name; a connection that has gone is left alone."""
    body, tag = blake2b(name.encode()).digest() * 32, blake2b(name.encode(), digest_size=8).hexdigest()
    try:
        command.answer("HIT", body, why=why, entity=tag, issued=str(born))
    except OSError:
        return


def main() -> None:
    world = World(*map(int, sys.argv[1:4]))
    told = {"coordinator": world.coordinator.address, "known": world.coordinator.listed()}
    print(json.dumps(told), flush=True)
    for line in sys.stdin:
        verb, *words = line.split()
        match verb:
            case "restart":
                world.restart(words[0])
            case "purge":
                world.purge([int(word) for word in words])
        with world.lock:
            print(json.dumps(world.counts), flush=True)


if __name__ == "__main__":
    main()
