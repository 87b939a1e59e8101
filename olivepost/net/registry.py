"""The coordinator's list: members and purges as numbered events, by long poll."""

from __future__ import annotations

import random
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from olivepost import interface as api
from olivepost.config import MS, SECOND, STATES, Address, FieldError, Fields
from olivepost.net import http1, sockets
from olivepost.net.clock import Clock
from olivepost.net.http1 import HttpError
from olivepost.net.log import Log
from olivepost.net.servers import PLAIN, Place

WAIT = 1 * SECOND  # of one poll: short, so that a dead one is noticed well before an event counts as told
ANSWER_WITHIN = 2 * SECOND  # beyond the poll's own wait
CONNECT_WITHIN = 1 * SECOND
RETRY_FIRST, RETRY_MOST = 0.05, 1.0  # seconds
HEAD_SIZE, BODY_SIZE = 8_192, 16_777_216


@dataclass(frozen=True, slots=True)
class Told:
    """One event of the coordinator; `places` says where the members of a list are."""

    what: api.Membership | api.Purge
    places: list[Place]


class Heard:
    """The coordinator has answered; what it had to tell was posted before."""


@dataclass(frozen=True, slots=True)
class Update:
    """A numbered event."""

    index: int
    told: Told | None  # None: it could not be read


def _read_member(item: object) -> tuple[api.Listed, Place]:
    row = Fields("server", item)
    id_, state = row.text("id"), row.word("state", STATES, "in_service")
    if not PLAIN.fullmatch(id_):
        raise FieldError("server has a wrong 'id'")
    started = row.whole("started_ms", 0) * MS
    address = ("", 0) if state is api.State.GONE and "addr" not in row.data else row.address("addr")
    listed = api.Listed(
        address=id_, state=state, kind=row.text("kind", ""), zone=row.text("zone", ""),
        cell=row.whole("cell", 0), weight=row.number("weight", 1.0), started=started,
    )
    return listed, Place(id_, address, started, state)


def read_told(row: Fields, now: int) -> Told:
    """One event as the coordinator words it."""
    if "evict" in row.data:
        evict = row.inner("evict")
        name = evict.text("ref", "")
        group = evict.whole("shard") if "shard" in evict.data else None
        if not name and group is None:
            raise FieldError("evict lacks 'ref' and 'shard'")
        age = max(0, now - evict.whole("unix_ms") * MS)
        return Told(api.Purge(name or None, group, age), [])
    row = row.inner("endpoints")
    kind = api.ListKind.FULL if row.flag("full") else api.ListKind.CHANGES
    members = [_read_member(item) for item in row.items("servers")]
    return Told(api.Membership(kind, tuple(listed for listed, _ in members)), [place for _, place in members])


class Registry:
    """Follows the coordinator; what can't be read or reached leaves the last list in force."""

    def __init__(
        self, coordinator: Address, clock: Clock, log: Log, post: Callable[[Told | Heard], None], seed: int
    ) -> None:
        self._address, self._clock, self._log, self._post = coordinator, clock, log, post
        self._random = random.Random(seed)
        self._last = 0
        self._whole = False  # whether a whole list has been seen
        self._resync = False
        self._stop = threading.Event()

    def start(self, known: object) -> None:
        """Applies the events of the configuration, then follows from there."""
        if known is not None:
            self._apply(known)
        threading.Thread(target=self._run, name="registry", daemon=True).start()

    def stop(self) -> None:
        self._stop.set()

    def _apply(self, data: object) -> None:
        """Takes an answer of the coordinator: events in order, none twice."""
        row = Fields("list of events", data)
        index, updates = row.whole("index", 0), list[Update]()
        for item in row.items("updates"):
            event = Fields("update", item)
            number, told = event.whole("index"), None
            try:
                told = read_told(event, self._clock.now())
            except FieldError as fault:  # one that can't be read must not stop those behind it
                self._log.count("updates_odd")
                self._log.event("update_odd", index=number, why=str(fault))
            updates.append(Update(number, told))
        updates = [update for update in sorted(updates, key=lambda it: it.index) if update.index > self._last]
        first = updates[0] if updates else None
        gap = first is not None and first.index != self._last + 1 and not self._is_whole(first)
        if (gap or index < self._last) and not self._resync:
            # Events are missing, or the coordinator counts anew: all of them once more, from the first.
            self._log.event("list_gap", had=self._last, told=index)
            self._resync = True
            if index < self._last:
                self._last = 0
            return
        self._resync = False
        for update in updates:
            if update.told is not None:
                self._post(update.told if self._whole else self._as_first(update.told))
            self._last = update.index
        self._last = max(self._last, index)

    @staticmethod
    def _is_whole(update: Update) -> bool:
        what = update.told.what if update.told else None
        return isinstance(what, api.Membership) and what.kind is api.ListKind.FULL

    def _as_first(self, told: Told) -> Told:
        """The first list after a start is the one stored."""
        if isinstance(told.what, api.Membership):
            self._whole = True
            return Told(api.Membership(api.ListKind.STORED, told.what.members), told.places)
        return told

    def _run(self) -> None:
        sock: socket.socket | None = None
        tries, lost = 0, False
        while not self._stop.is_set():
            try:
                if sock is None:
                    sock = sockets.connect(self._address, CONNECT_WITHIN, WAIT + ANSWER_WITHIN, ANSWER_WITHIN)
                    parser = http1.Parser(HEAD_SIZE, BODY_SIZE, answers=True)
                keep = self._poll(sock, parser)
                if lost:
                    self._log.event("coordinator_back", index=self._last)
                tries, lost = 0, False
                if not keep:
                    sock.close()
                    sock = None
            except (OSError, HttpError, FieldError, ValueError) as fault:
                tries += 1
                self._log.count("polls_failed")
                if not lost:
                    self._log.event("coordinator_lost", why=str(fault) or type(fault).__name__)
                lost = True
            except Exception:
                tries += 1
                self._log.fault("registry_fault")
            else:
                continue
            if sock is not None:
                sock.close()
                sock = None
            pause = min(RETRY_MOST, RETRY_FIRST * 2 ** min(tries, 10))
            self._stop.wait(pause * (0.5 + self._random.random() / 2))

    def _poll(self, sock: socket.socket, parser: http1.Parser) -> bool:
        """One poll; tells whether the connection can be used again."""
        follow = 0 if self._resync else self._last
        target = f"/v2/stream?follow={follow}&wait_ms={WAIT // MS}"
        host = f"{self._address[0]}:{self._address[1]}"
        sockets.send_parts(sock, [http1.request_head(target, host)])
        until = self._clock.now() + WAIT + ANSWER_WITHIN
        while (message := parser.take()) is None:
            data = sock.recv(65_536)
            if not data:
                raise ConnectionError("closed by the coordinator")
            if self._clock.now() > until:
                raise TimeoutError("the answer takes too long")
            parser.feed(data)
        if message.first[0] != "200":
            raise ConnectionError(f"status {message.first[0]}")
        self._apply(orjson.loads(message.body))
        if not self._resync:
            self._post(Heard())
        return message.keeps_alive
