"""Case 2: a mass purge whose answer is sent in chunks never reaches the front, which serves purged copies."""

from __future__ import annotations

import random
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import rig

GROUPS = 256
GROUP = 17  # the group of the objects that clients ask for
PURGED_SHARE = 0.5  # "22 to 65% of the groups of objects are purged at once"
BUFFER_BYTES = 2_048  # the coordinator sends a longer answer in chunks
OBJECTS = 8
REQUESTS_PER_S = 40.0
QUIET_S = 4.0  # before the purge
AFTER_S = 11.0  # after it
DRAIN_AFTER_S = 1.0  # from the purge to the drain of one cache, which is looked at beside the purge
DRAIN_BOUND_S = 7.55  # told "7 s later at the latest", a grace of 500 ms, and 50 ms more on sockets
DROPPED_AFTER_S = 5.0  # "all older copies are dropped within 6 s"
# The front asks for polls of 1 s; what it was not told counts as told 2 s after the end of that wait. The
# grace of a purge is 300 ms, and each time limit is 50 ms longer on sockets.
TOLD_AFTER_S = 3.0
GRACE_S = 0.35
SEED = 20261204


def settings() -> dict[str, Any]:
    """Returns settings with the figures of `bengal-service.toml`, for one branch with one front."""
    common = {"group": "all", "streaming": False, "window": 5 * rig.NS, "effect": "read_like"}
    large = {"name": "large", "aim": rig.NS // 2, "aim-stretch": 1.6, "deadline": 6 * rig.NS, "gain": 2.0}
    small = {"name": "small", "aim": 300 * rig.MS, "aim-stretch": 2.0, "deadline": 5 * rig.NS // 2}
    return {
        "classes": [{**common, **large, "late-worth": 0.15}, {**common, **small, "late-worth": 0.2}],
        "contract": {
            "ask-within": 10 * rig.NS,
            "cold-from": 0.19,
            "drain-grace": 500 * rig.MS,
            "fall": 2 * rig.NS,
            "fall-multiple": 3.0,
            "grace-to-answer": 8 * rig.MS,
            "warm-within": 12 * rig.NS,
        },
        "failure-domains": ["north", "edge-1"],
        "family-info": {
            "can-join": True,
            "class-stale-worth": [0.7, 0.7],
            "direct": False,
            "gone-everywhere": 6 * rig.NS,
            "lateral": "off",
            "max-age": [0, 8 * rig.NS],
            "notice-time": 300 * rig.MS,
            "pace-kb-per-s": 6000.0,
            "parent-breaks-at": 2.0,
            "parent-cold": 22 * rig.NS,
            "parent-floor": 0.078,
            "parent-kind": 1,
            "pass-on": [False, False],
            "store-kind": 2,
            "tells": "hit",
            "usable-after": [0, 30 * rig.NS],
            "zone-balancers": [0, 1],
        },
        "kinds": ["standard", "parent", "origin"],
        "limits": {
            "attempts-cap": 6,
            "cancel": True,
            "conn-idle": 30 * rig.NS,
            "connect-timeout": 400 * rig.MS,
            "max-retry-after": rig.NS,
            "max-streams": 32,
            "retry-after": True,
            "second-copies": True,
        },
        "registry-mode": "push",
        "siblings": 1,
        "tick": 2 * rig.MS,
        "weights": "rough",
        "zone": "edge-1",
    }


@dataclass(frozen=True)
class Copy:
    """A copy of an object: its version and the Unix millisecond at which the origin gave it out."""

    version: int
    issued_ms: int


@dataclass
class Origin:
    """The origin's present version of all objects, and when it was purged."""

    version: int = 1
    purged_at: float | None = None

    def is_dropped(self, copy: Copy) -> bool:
        """Whether all caches have dropped a copy by now, since it is older than the purge."""
        if copy.version == self.version or self.purged_at is None:
            return False
        return time.time() >= self.purged_at + DROPPED_AFTER_S


@dataclass
class Cache:
    """A cache, parent or origin that keeps the rules of the protocol page on `within` and `miss`."""

    name: str
    origin: Origin
    record: rig.Record
    copies: dict[str, Copy] = field(default_factory=dict)
    asked_at: list[float] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def handle(self, command: rig.Command) -> None:
        """Answers from a copy that will do, or fills from the named source, or says that it has none."""
        fields = command.fields
        name = f"{fields['name']}.{fields['piece']}"
        with self.lock:
            self.asked_at.append(time.time())
            copy = self.usable_copy(name, int(fields.get("within", "0")))
        why = "warm"
        if copy is None:
            if "miss" not in fields:
                self.note(command, "NONE")
                command.answer("NONE")
                return
            time.sleep(0.04)
            why = "fill"
            copy = Copy(self.origin.version, rig.unix_ms())
            if fields.get("prio", "0") != "0":
                with self.lock:
                    self.copies[name] = copy
        self.note(command, f"HIT version {copy.version} {why}")
        body = f"{name} version {copy.version} ".encode() * 50
        tag = f"v{copy.version}-{fields['name']}"
        command.answer("HIT", body, entity=tag, issued=copy.issued_ms, why=why)

    def usable_copy(self, name: str, within_ms: int) -> Copy | None:
        """Returns the copy of a name, unless it was dropped or is older than the request allows."""
        copy = self.copies.get(name)
        if copy is None or self.origin.is_dropped(copy):
            return None
        if within_ms and rig.unix_ms() - copy.issued_ms > within_ms:
            return None
        return copy

    def note(self, command: rig.Command, what: str) -> None:
        """Records a request and its answer."""
        fields = command.fields
        asked = f"within {fields.get('within', '-')}, miss {fields.get('miss', '-')}"
        self.record.line(f"{self.name}: call {command.id}, {fields['name']}, {asked}: {what}")


@dataclass
class Load:
    """Clients that ask for objects of one group, and what they were served."""

    address: str
    record: rig.Record
    origin: Origin
    draw: random.Random
    served: int = 0
    stale: list[float] = field(default_factory=list)  # seconds from the purge to a request served stale
    lock: threading.Lock = field(default_factory=threading.Lock)

    def play(self, length_s: float) -> None:
        """Sends requests for some time and waits for their answers."""
        threads = []
        until = time.monotonic() + length_s
        while time.monotonic() < until:
            call = (f"{self.draw.getrandbits(64):016x}", f"{0xA000 + self.draw.randrange(OBJECTS):016x}")
            threads.append(threading.Thread(target=self.ask, args=call, daemon=True))
            threads[-1].start()
            time.sleep(self.draw.expovariate(REQUESTS_PER_S))
        for thread in threads:
            thread.join(8)

    def ask(self, call_id: str, name: str) -> None:
        """Sends one request and records its answer."""
        sent_at = time.time()
        target = f"/api/v2/large/{name}/slice-0"
        answer = rig.call(self.address, target, 4000, **{"X-Call-Id": call_id, "X-Set": str(GROUP)})
        version = 2 if b"version 2" in answer.body else 1
        purged_at = self.origin.purged_at
        since_s = None if purged_at is None else sent_at - purged_at
        when = "before the purge" if since_s is None else f"{since_s:.3f} s after the purge"
        what = f"version {version}" if answer.status == 200 else "no copy"
        self.record.line(f"client: call {call_id}, {name}, sent {when}: status {answer.status}, {what}")
        with self.lock:
            self.served += answer.status == 200
            if answer.status == 200 and version == 1 and since_s is not None and since_s > 0:
                self.stale.append(since_s)


def case(folder: Path, record: rig.Record) -> int:
    """Plays the case and returns the exit code."""
    draw = random.Random(SEED)
    origin = Origin()
    coordinator = rig.Coordinator()
    coordinator.chunked_above = BUFFER_BYTES
    issued_ms = rig.unix_ms()
    names = [f"{0xA000 + number:016x}.0" for number in range(OBJECTS)]
    caches = [Cache(f"cache-{number}", origin, record) for number in range(3)]
    for cache in caches:
        cache.copies = {name: Copy(1, issued_ms) for name in names}
    listeners = [rig.LineServer(cache.name, cache.handle) for cache in caches]
    servers = [listener.entry("standard", "edge-1") for listener in listeners]
    servers.append(rig.LineServer("hub-0", Cache("hub-0", origin, record).handle).entry("parent", "north"))
    servers.append(
        rig.LineServer("library", Cache("library", origin, record).handle).entry("origin", "north")
    )
    coordinator.add(endpoints={"version": 1, "full": True, "servers": servers})
    known = coordinator.known()
    front = rig.Front("n0", rig.configuration(coordinator.address, known, settings()), folder)
    try:
        front.start()
        load = Load(front.address, record, origin, draw)
        load.play(QUIET_S)
        if load.served == 0:
            raise rig.CannotRunError("nothing was served before the purge")
        purge(coordinator, origin, record)
        load.play(DRAIN_AFTER_S)
        drained = listeners[2].entry("standard", "edge-1", state="terminating")
        drained_at = time.time()
        coordinator.add(endpoints={"version": 2, "full": False, "servers": [drained]})
        record.line("coordinator: cache-2 drains")
        load.play(AFTER_S - DRAIN_AFTER_S)
        note_drain(caches[2], drained_at, record)
        polls = [line for line in front.log_text().splitlines() if "discovery" in line]
        record.line(f"the front's log lines on discovery: {polls[:3]}")
    finally:
        front.stop()
    return judge(load, record)


def purge(coordinator: rig.Coordinator, origin: Origin, record: rig.Record) -> None:
    """Purges the groups: with the disruption `PURGED_SHARE` of all, without it only the one asked for."""
    count = int(PURGED_SHARE * GROUPS) if rig.has_trouble() else 1
    groups = [GROUP, *(group for group in range(GROUPS) if group != GROUP)][:count]
    origin.purged_at = time.time()
    origin.version = 2
    at_ms = rig.unix_ms()
    with coordinator.changed:  # all of them at once, so that one answer tells them
        first = len(coordinator.events) + 1
        coordinator.events += [
            {"index": first + number, "evict": {"shard": group, "unix_ms": at_ms}}
            for number, group in enumerate(groups)
        ]
        coordinator.changed.notify_all()
    record.line(f"coordinator: {count} of {GROUPS} groups purged, among them {GROUP}; version 2 is out")


def note_drain(cache: Cache, drained_at: float, record: rig.Record) -> None:
    """Records what came to the draining cache; the exit code goes by the purge alone."""
    since = [at - drained_at for at in cache.asked_at if at > drained_at]
    late = [at for at in since if at > DRAIN_BOUND_S]
    record.line(
        f"{cache.name}: {len(since)} requests since its drain was in the coordinator, the last"
        f" {max(since, default=0.0):.3f} s after it; {len(late)} of them over {DRAIN_BOUND_S} s after it"
    )


def judge(load: Load, record: rig.Record) -> int:
    """Returns the exit code: broken if a request sent after the bound was answered from a purged copy."""
    bound_s = TOLD_AFTER_S + GRACE_S
    strict = [since_s for since_s in load.stale if since_s > GRACE_S]
    late = [since_s for since_s in load.stale if since_s > bound_s]
    record.line(f"served: {load.served}; answered from a purged copy: {len(load.stale)} in all")
    record.line(f"of these {len(strict)} sent over {GRACE_S} s after the purge was in the coordinator")
    record.line(f"and {len(late)} over {bound_s} s after it, the last {max(load.stale, default=0.0):.3f} s")
    return rig.BROKEN if late else rig.HELD


if __name__ == "__main__":
    sys.exit(rig.run_case(case, Path(__file__).resolve().parent))
