"""The coordinator's list: members and purges as numbered events, by long poll."""

from __future__ import annotations

import random
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from olivepost import interface as api
from olivepost.config import ENDPOINT_STATES, MILLISECOND, SECOND, Address, ConfigError, FieldReader
from olivepost.proxy import http1, sockets
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.http1 import HttpError
from olivepost.proxy.upstream.pool import FIELD_VALUE, EndpointAddress

WAIT = 1 * SECOND  # of one poll: short, so that a dead one is noticed well before an event counts as told
# An answer's last byte, beyond the poll's own wait, counted from when the poll was sent. Guards against a
# coordinator that stops, breaks off or trickles: what it has counts as told 2 s after the wait, so that there
# must be time left to ask again. Doubles with each try in a row, up to the most, for lists that take longer;
# hurts where every answer does, by those first tries.
ANSWER_FIRST, ANSWER_MOST = 600 * MILLISECOND, 4 * SECOND
CONNECT_WITHIN = 500 * MILLISECOND
RETRY_FIRST, RETRY_MOST = 0.03, 0.25  # seconds
# So many answers in a row with a lower number than is had: the coordinator counts anew. One that only lags
# behind says so too, and taking its old list for news would undo drains and purges.
LOWER_MOST = 3
HEAD_SIZE, BODY_SIZE = 8_192, 16_777_216


@dataclass(frozen=True, slots=True)
class DiscoveryEvent:
    """One event of the coordinator; `addresses` says where the members of a list are."""

    change: api.EndpointUpdate | api.Invalidation
    addresses: list[EndpointAddress]


class DiscoveryHeartbeat:
    """The coordinator has answered; what it had to tell was posted before."""


@dataclass(frozen=True, slots=True)
class NumberedEvent:
    """A numbered event."""

    index: int
    told: DiscoveryEvent | None  # None: it could not be read


def _read_member(item: object) -> tuple[api.EndpointMetadata, EndpointAddress]:
    row = FieldReader("server", item)
    id_, state = row.text("id"), row.one_of("state", ENDPOINT_STATES, "in_service")
    if not FIELD_VALUE.fullmatch(id_):
        raise ConfigError("server has a wrong 'id'")
    started = row.integer("started_ms", 0) * MILLISECOND
    address = (
        ("", 0) if state is api.EndpointState.REMOVED and "addr" not in row.data else row.address("addr")
    )
    listed = api.EndpointMetadata(
        id=id_,
        state=state,
        kind=row.text("kind", ""),
        zone=row.text("zone", ""),
        cell=row.integer("cell", 0),
        weight=row.number("weight", 1.0),
        started_at=started,
    )
    return listed, EndpointAddress(id_, address, started, state)


def parse_event(row: FieldReader, now: int) -> DiscoveryEvent:
    """One event as the coordinator words it."""
    if "evict" in row.data:
        evict = row.section("evict")
        name = evict.text("ref", "")
        group = evict.integer("shard") if "shard" in evict.data else None
        if not name and group is None:
            raise ConfigError("evict lacks 'ref' and 'shard'")
        age = max(0, now - evict.integer("unix_ms") * MILLISECOND)
        return DiscoveryEvent(api.Invalidation(name or None, group, age), [])
    row = row.section("endpoints")
    kind = api.EndpointUpdateKind.FULL if row.boolean("full") else api.EndpointUpdateKind.INCREMENTAL
    members = [_read_member(item) for item in row.items("servers")]
    return DiscoveryEvent(
        api.EndpointUpdate(kind, tuple(listed for listed, _ in members)), [place for _, place in members]
    )


class DiscoveryClient:
    """Follows the coordinator; what can't be read or reached leaves the last list in force."""

    def __init__(
        self,
        coordinator: Address,
        clock: Clock,
        log: EventLog,
        post: Callable[[DiscoveryEvent | DiscoveryHeartbeat], None],
        seed: int,
    ) -> None:
        self.clock, self.log = clock, log
        self._address, self._post, self._random = coordinator, post, random.Random(seed)
        self._last = 0
        self._whole = False  # whether a whole list has been seen
        self._resync = False
        self._lower = 0
        self._lock = threading.Lock()
        self._follower: LongPoll | None = None

    def start(self, known: object) -> None:
        """Applies the events of the configuration, then follows from there."""
        if known is not None:
            self._apply(known)
        self._follower = LongPoll(self, self._address, self._random.random())

    def stop(self) -> None:
        """Ends the poll that is out."""
        with self._lock:
            follower, self._follower = self._follower, None
        if follower is not None:
            follower.end()

    def switch_coordinator(self, coordinator: Address) -> bool:
        """Asks another coordinator at once, from the last number; False where it is the same.

        What the old poll still brings is dropped: its events come again from the new one, none twice.
        """
        with self._lock:
            old = self._follower
            if coordinator == self._address or old is None:
                return False
            self._address = coordinator
            self._follower = LongPoll(self, coordinator, self._random.random())
        old.end()
        return True

    def next_number(self, follower: LongPoll) -> int | None:
        """The last event that is had; None where somebody else follows now."""
        with self._lock:
            return (0 if self._resync else self._last) if follower is self._follower else None

    def take(self, follower: LongPoll, data: object) -> None:
        """An answer, whole."""
        with self._lock:
            if follower is not self._follower:
                return
            self._apply(data)
            if not (self._resync or self._lower):
                self._post(DiscoveryHeartbeat())

    def _apply(self, data: object) -> None:
        """Takes an answer of the coordinator: events in order, none twice."""
        row = FieldReader("list of events", data)
        index, updates = row.integer("index", 0), list[NumberedEvent]()
        for item in row.items("updates"):
            event = FieldReader("update", item)
            number, told = event.integer("index"), None
            try:
                told = parse_event(event, self.clock.now())
            except ConfigError as fault:  # one that can't be read must not stop those behind it
                self.log.increment("updates_odd")
                self.log.event("update_odd", index=number, why=str(fault))
            updates.append(NumberedEvent(number, told))
        updates = [update for update in sorted(updates, key=lambda it: it.index) if update.index > self._last]
        first = updates[0] if updates else None
        gap = first is not None and first.index != self._last + 1 and not self._is_whole(first)
        self._lower = self._lower + 1 if index < self._last else 0
        if (gap or self._lower >= LOWER_MOST) and not self._resync:
            # Events are missing, or the coordinator counts anew: all of them once more, from the first.
            self.log.event("list_gap", had=self._last, told=index)
            self._resync = True
            if self._lower:
                self._last = self._lower = 0
            return
        self._resync = False
        for update in updates:
            if update.told is not None:
                self._post(update.told if self._whole else self._as_first(update.told))
            self._last = update.index
        self._last = max(self._last, index)

    @staticmethod
    def _is_whole(update: NumberedEvent) -> bool:
        what = update.told.change if update.told else None
        return isinstance(what, api.EndpointUpdate) and what.kind is api.EndpointUpdateKind.FULL

    def _as_first(self, told: DiscoveryEvent) -> DiscoveryEvent:
        """The first list after a start is the one stored."""
        if isinstance(told.change, api.EndpointUpdate):
            self._whole = True
            return DiscoveryEvent(
                api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, told.change.endpoints), told.addresses
            )
        return told


class LongPoll:
    """A thread that polls one coordinator until somebody else is to follow."""

    def __init__(self, registry: DiscoveryClient, address: Address, jitter: float) -> None:
        self._registry, self._address, self._random = registry, address, random.Random(jitter)
        self._over = threading.Event()
        self._sock: socket.socket | None = None
        self._lock = threading.Lock()
        threading.Thread(target=self._run, name="registry", daemon=True).start()

    def end(self) -> None:
        """Ends the poll that is out; a connection that is being made is dropped when it is there."""
        self._over.set()
        with self._lock:
            if self._sock is not None:
                sockets.shutdown(self._sock)

    def _run(self) -> None:
        log, tries, lost = self._registry.log, 0, False
        while not self._over.is_set():
            try:
                within = min(ANSWER_MOST, ANSWER_FIRST << min(tries, 8))
                if self._sock is None:
                    self._connect()
                keep = self._poll(within)
                if lost:
                    log.event("coordinator_back")
                tries, lost = 0, False
                if keep:
                    continue
                self._drop()
            except (OSError, HttpError, ConfigError, ValueError) as fault:
                if not lost and not self._over.is_set():
                    log.event("coordinator_lost", why=str(fault) or type(fault).__name__)
                log.increment("polls_failed")
                tries, lost = tries + 1, True
            except Exception:
                tries += 1
                log.exception("registry_fault")
            self._drop()
            if tries:
                pause = min(RETRY_MOST, RETRY_FIRST * 2 ** min(tries - 1, 10))
                self._over.wait(pause * (0.5 + self._random.random() / 2))
        self._drop()

    def _connect(self) -> None:
        sock = sockets.connect(self._address, CONNECT_WITHIN, WAIT + ANSWER_FIRST, ANSWER_FIRST)
        with self._lock:
            self._sock, self._parser = sock, http1.ResponseParser(HEAD_SIZE, BODY_SIZE)

    def _drop(self) -> None:
        with self._lock:
            sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()

    def _poll(self, within: int) -> bool:
        """One poll; tells whether the connection can be used again."""
        sock, clock = self._sock, self._registry.clock
        follow = self._registry.next_number(self)
        if sock is None or follow is None:
            return False
        target = f"/v2/stream?follow={follow}&wait_ms={WAIT // MILLISECOND}"
        until = clock.now() + WAIT + within
        sockets.send_buffers(sock, [http1.request_head(target, f"{self._address[0]}:{self._address[1]}")])
        while (message := self._parser.take()) is None:
            left = until - clock.now()
            if left <= 0:
                raise TimeoutError("the answer takes too long")
            sockets.set_receive_timeout(sock, left)
            try:
                data = sock.recv(65_536)
            except BlockingIOError:
                continue
            if not data:
                raise ConnectionError("closed by the coordinator")
            self._parser.feed(data)
        if message.start_line.status != "200":
            raise ConnectionError(f"status {message.start_line.status}")
        self._registry.take(self, orjson.loads(message.body))
        return message.keeps_alive
