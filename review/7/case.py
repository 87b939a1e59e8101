"""Case: the shared store dies and comes back empty during fills; a second front claims the same fills."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import redis
from stand_ins_2 import (
    LOOPBACK,
    MS,
    ROOT,
    Answer,
    Cache,
    Client,
    Coordinator,
    Fetch,
    Front,
    Question,
    Record,
    configuration,
    free_port,
    is_troubled,
    play,
    settings,
)

FOLDER = Path(__file__).resolve().parent
FILL_S = 2.5  # how long a fill takes; a client of the class waits for 6 s
KILLED_AFTER_S = 0.3  # from the first front's requests
SECOND_AFTER_S = 1.8
NAMES = [f"{number:016x}" for number in range(6)]
KEPT = "c" * 8  # objects whose names begin so are kept by all caches


class Filling:
    """Caches that fill each object in `FILL_S` and keep it; a fill can't be joined."""

    def __init__(self) -> None:
        self.kept: set[tuple[str, str]] = set()
        self.fills: list[Fetch] = []

    async def serve(self, fetch: Fetch) -> None:
        """Serves what is kept, and fills what is not if a source is named."""
        key = (fetch.cache, fetch.fields["name"])
        why = "warm"
        if key not in self.kept and not key[1].startswith(KEPT):
            if "miss" not in fetch.fields:
                fetch.answer("NONE")
                return
            self.fills.append(fetch)
            await asyncio.sleep(FILL_S)
            self.kept.add(key)
            why = "fill"
        fetch.answer("HIT", fetch.fields["name"].encode(), entity="1", issued=int(time.time() * MS), why=why)


class Store:
    """The project's stand-in of a store, in a process of its own."""

    def __init__(self, record: Record) -> None:
        self.port = free_port()
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the store, empty, and waits for its address."""
        self._process = subprocess.Popen(
            [".venv/bin/python", "-m", "standins", "redis", "--listen", f"{LOOPBACK}:{self.port}"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert self._process.stdout is not None
        self._process.stdout.readline()
        self._record.add("the store runs")

    def kill(self) -> None:
        """Kills the store, which keeps nothing on a disk."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._record.add("the store was killed")


def read_claims(port: int, record: Record) -> dict[str, str]:
    """Returns the claim that the store has on the fill of each name, with the name of its owner."""
    claims = {}
    with redis.Redis(LOOPBACK, port) as store:
        for key in store.scan_iter("olivepost:edge-1:*:c:*"):
            value = (store.get(key) or b"").decode()
            claims[key.decode().rpartition(":")[2].partition(".")[0]] = value
            record.add(f"claim {key.decode()}, {store.pttl(key)} ms left: {value}")
    return claims


async def case(record: Record, folder: Path) -> list[str]:
    """Lets two fronts ask for the same new objects; returns each fill that both claimed at once."""
    caches = [Cache(f"s-{number}", "standard", "edge-1", record) for number in range(4)]
    upper = [Cache("hub-0", "parent", "north", record), Cache("library", "origin", "north", record)]
    filling = Filling()
    coordinator = Coordinator(record)
    for server in (*caches, *upper):
        server.serve = filling.serve
        await server.start()
    await coordinator.start()
    listed = [server.listed() for server in (*caches, *upper)]
    await coordinator.add(endpoints={"version": 1, "full": True, "servers": listed})
    store = Store(record)
    own = settings(fronts=2)
    own["family-info"]["can-join"] = False
    operator = {
        "sharing": {
            "branch": "edge-1",
            "stores": [{"name": "store-a", "address": f"{LOOPBACK}:{store.port}"}],
            "wait": "50ms",
        }
    }
    fronts = [Front(f"n{number}", folder, configuration(coordinator, own), operator) for number in range(2)]
    asked: dict[str, str] = {}  # the front that each request was sent to
    try:
        store.start()
        for front in fronts:
            await front.start()
        others = [asyncio.create_task(ask_for_ever(front, record)) for front in fronts for _ in range(4)]
        await asyncio.sleep(2.5)
        first = [asyncio.create_task(ask(fronts[0], record, name, asked)) for name in NAMES]
        await asyncio.sleep(KILLED_AFTER_S)
        before = read_claims(store.port, record)
        if is_troubled():
            store.kill()
            store.start()
        await asyncio.sleep(SECOND_AFTER_S - KILLED_AFTER_S)
        second = [asyncio.create_task(ask(fronts[1], record, name, asked)) for name in NAMES]
        await asyncio.sleep(0.3)
        after = read_claims(store.port, record)
        answers = await asyncio.gather(*first, *second)
        for task in others:
            task.cancel()
    finally:
        for front in fronts:
            front.kill()
        store.kill()
    record.add(f"statuses: {sorted({answer.status for answer in answers})}")
    return [line for name in NAMES if (line := describe_double(name, filling, asked, before, after))]


def describe_double(
    name: str, filling: Filling, asked: dict[str, str], before: dict[str, str], after: dict[str, str]
) -> str | None:
    """Describes a fill that both fronts claimed and had under way at once; returns None if there is none."""
    if "n0" not in before.get(name, "") or "n1" not in after.get(name, ""):
        return None
    of_front = {
        front: [fill for fill in filling.fills if fill.fields["name"] == name and asked[fill.id] == front]
        for front in ("n0", "n1")
    }
    for fill in of_front["n0"]:
        for other in of_front["n1"]:
            if fill.at < other.at < (fill.ended_at or other.at + 1):
                return (
                    f"{name}: n0 claimed its fill and began it at {fill.cache}; {other.at - fill.at:.2f} s"
                    f" later, before it ended, n1 claimed it and began to fill it at {other.cache}"
                )
    return None


async def ask(front: Front, record: Record, name: str, asked: dict[str, str]) -> Answer:
    """Asks a front for an object."""
    client = Client(front, record)
    answer = await client.ask(Question("large", name, 6_000, group=3))
    client.close()
    asked[answer.id] = front.name
    return answer


async def ask_for_ever(front: Front, record: Record) -> None:
    """Asks for objects that all caches keep, so that each cache is seen to work."""
    client = Client(front, record)
    for count in range(10_000):
        await client.ask(Question("large", f"{KEPT}{count % 50:08x}", 3_000, group=4))
        await asyncio.sleep(0.04)


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
