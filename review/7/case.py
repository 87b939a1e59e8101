"""Case: discovery is slow after a new configuration; a purge is not heeded when it counts as told."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from stand_ins_2 import (
    MS,
    Cache,
    Client,
    Coordinator,
    Fetch,
    Front,
    Poll,
    Question,
    Record,
    configuration,
    is_troubled,
    settings,
)

DELAY_S = 2.5  # discovery is slow: each answer of the new coordinator leaves so long after it was composed
PURGE_AFTER_S = 0.2  # from SIGHUP
TOLD_AFTER_HUP_S = 4.0  # "what the coordinator has to tell counts as told 4 s after SIGHUP"
DROPPED_AFTER_S = 5.5  # a cache drops a purged copy so long after the purge; the pages allow 6 s
GRACE_S = 0.3
SLACK_S = 0.05
OBJECTS = [f"{number:016x}" for number in range(40)]
GROUP = 17
LEAST_REQUESTS = 50


class Copies:
    """The copies that the caches keep of the objects: the purge makes all older ones out of date."""

    def __init__(self) -> None:
        self.made_at = time.time() - 60
        self.purged_at = float("inf")
        self.fresh: dict[str, float] = {}
        self.served: list[tuple[float, float]] = []  # when each fetch came, and when its copy was made

    async def serve(self, fetch: Fetch) -> None:
        """Serves the copy that is kept if it will do, and else fills a new one from the origin."""
        await asyncio.sleep(0.02)
        name, now = fetch.fields["name"], time.time()
        made_at = self.fresh.get(name, self.made_at)
        within_s = int(fetch.fields.get("within", "0")) / MS
        is_too_old = within_s and now - made_at > within_s
        is_dropped = made_at < self.purged_at and now > self.purged_at + DROPPED_AFTER_S
        why = "warm"
        if is_too_old or is_dropped:
            if "miss" not in fetch.fields:
                fetch.answer("NONE")
                return
            await asyncio.sleep(0.1)
            made_at = self.fresh[name] = time.time()
            why = "fill"
        self.served.append((fetch.at, made_at))
        fetch.answer("HIT", name.encode() * 20, entity=f"{int(made_at)}", issued=int(made_at * MS), why=why)


async def case(record: Record, folder: Path) -> list[str]:
    """Moves discovery and purges a group; returns what was answered from an older copy too late."""
    caches = [Cache(f"s-{number}", "standard", "edge-1", record) for number in range(4)]
    upper = [Cache("hub-0", "parent", "north", record), Cache("library", "origin", "north", record)]
    copies = Copies()
    old, new = Coordinator(record, "old coordinator"), Coordinator(record, "new coordinator")
    for server in (*caches, *upper):
        server.serve = copies.serve
        await server.start()
    listed = [server.listed() for server in (*caches, *upper)]
    for coordinator in (old, new):
        await coordinator.start()
        await coordinator.add(endpoints={"version": 1, "full": True, "servers": listed})

    async def answer_late(_poll: Poll) -> bool:
        await asyncio.sleep(DELAY_S)
        return True

    if is_troubled():
        new.hold = answer_late
    front = Front("n0", folder, configuration(old, settings()))
    try:
        await front.start()
        clients = [asyncio.create_task(ask_for_ever(front, record, number)) for number in range(3)]
        await asyncio.sleep(4)
        front.write_config(configuration(new, settings()))
        old.stop()
        front.signal(signal.SIGHUP)
        moved_at = time.time()
        record.add("SIGHUP: discovery moves to the new coordinator", moved_at)
        await asyncio.sleep(PURGE_AFTER_S)
        copies.purged_at = time.time()
        await new.add(evict={"shard": GROUP, "unix_ms": int(copies.purged_at * MS)})
        await asyncio.sleep(9)
        front.check_running()
        for task in clients:
            task.cancel()
    finally:
        front.kill()
    before = [sent_at for sent_at, _ in copies.served if sent_at < copies.purged_at]
    if len(before) < LEAST_REQUESTS or not new.polls:
        raise RuntimeError(f"too little was played: {len(before)} requests, {new.polls} calls after SIGHUP")
    told_at = moved_at + TOLD_AFTER_HUP_S
    limit = told_at + GRACE_S + SLACK_S
    record.add("from here on the purge counts as told", told_at)
    record.add("from here on no request may be answered from an older copy", limit)
    late = [sent_at for sent_at, made_at in copies.served if sent_at > limit and made_at < copies.purged_at]
    if not late:
        return []
    return [
        f"{len(late)} requests, sent {late[0] - limit:.2f} to {late[-1] - limit:.2f} s after the limit, were"
        f" answered from copies made before the purge"
    ]


async def ask_for_ever(front: Front, record: Record, number: int) -> None:
    """Asks for the objects of the purged group, some ten times a second."""
    client = Client(front, record)
    for count in range(10_000):
        name = OBJECTS[(7 * count + number) % len(OBJECTS)]
        await client.ask(Question("large", name, 3_000, group=GROUP))
        await asyncio.sleep(0.08)
