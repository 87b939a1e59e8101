"""The server side: links to caches, parents and the origin.

A link is one connection with a thread that connects and writes and one that reads. The engine hands over
calls and aborts by the link's queue and learns what became of a call by a posted `Ended`.
"""

from __future__ import annotations

import queue
import re
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from olivepost import interface as api
from olivepost.config import MS, SECOND, Address, Bounds
from olivepost.net import invariants, sockets
from olivepost.net.buffers import Body, Pool
from olivepost.net.clock import Clock
from olivepost.net.exchange import Answer, Exchange, Verdict
from olivepost.net.frames import Answers, End, FrameError, Head, command
from olivepost.net.log import Log

NOTES = {
    "warm": api.Note.HIT,
    "fill": api.Note.FILLED,
    "piggy": api.Note.JOINED,
    "aged": api.Note.STALE_HIT,
}
UNSERVED = {
    "NONE": api.Status.NO_COPY,
    "SHED": api.Status.TURNED_AWAY,
    "FAULT": api.Status.ERROR,
    "LATE": api.Status.NEVER_SENT,
}
PLAIN = re.compile(r"[!#-*\-.-<>-~]{1,200}", re.ASCII)  # what a field's value may hold on this wire
MOST_ABORTED = 1_024  # ids a link remembers, whose answers may still be on the way
ROOM_WAIT = 1.0  # seconds that a link waits for buffers before a body is given up


class Stage(Enum):
    """How far a call has come."""

    QUEUED = "queued"
    WRITING = "writing"  # in the writer's hands: it may reach the member
    OVER = "over"


@dataclass(slots=True, eq=False)
class Call:
    """One attempt on its way to a member."""

    exchange: Exchange
    number: int
    cache: str
    source: str
    sent: int
    frame: bytes
    stage: Stage = Stage.QUEUED
    begun: bool = False  # its first byte has been written
    moved: bool = False  # it was on a link that broke before that
    link: Link | None = None
    body: Body | None = None


@dataclass(frozen=True, slots=True)
class Ended:
    """A call has ended; `at` is when its last byte was read."""

    call: Call
    status: api.Status
    at: int
    note: api.Note = api.Note.NOTHING
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class Unsent:
    """A call whose link broke before its first byte was written: to be sent on another."""

    call: Call


@dataclass(frozen=True, slots=True)
class Place:
    """Where a member of the list is."""

    id: str
    address: Address
    started: int
    state: api.State


def fetch_fields(exchange: Exchange, fetch: api.Fetch) -> dict[str, str]:
    """The fields of a request, as the router decided them.

    Spans are cut to whole milliseconds, so that no wait and no copy's age is longer than was decided;
    never to 0, which stands for the class's fresh time in `within` and for no wait in `ttl`.
    """
    fields = {"lane": exchange.class_name, "name": exchange.object, "piece": str(exchange.part)}
    fields["ttl"] = str(max(1, fetch.timeout // MS))
    if fetch.source != fetch.cache:
        fields["miss"] = fetch.source
    if fetch.rank:
        fields["prio"] = str(fetch.rank)
    if fetch.max_age:
        fields["within"] = str(max(1, fetch.max_age // MS))
    if hows := [word for word, set_ in (("join", fetch.join), ("renew", fetch.renew)) if set_]:
        fields["f"] = "+".join(hows)
    if exchange.tag:
        fields["mine"] = exchange.tag
    return fields


@dataclass(slots=True)
class Tools:
    """What every link uses."""

    bounds: Bounds
    pool: Pool
    clock: Clock
    log: Log
    post: Callable[[Ended | Unsent], None]


class Link:
    """One connection to a member."""

    def __init__(self, tools: Tools, place: Place) -> None:
        self._tools, self._place = tools, place
        self._orders: queue.SimpleQueue[Call | bytes | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._calls: dict[str, Call] = {}
        self._aborted: dict[str, None] = {}
        self._sock: socket.socket | None = None
        self.over = False
        threading.Thread(target=self._run, name=f"link-{place.id}", daemon=True).start()

    # What the engine calls; none of it blocks.

    @property
    def open(self) -> int:
        return len(self._calls)

    @property
    def up(self) -> bool:
        return self._sock is not None and not self.over

    def bears(self, call: Call) -> bool:
        """Whether the call can go here; an answer to an id given up here could be taken for its own."""
        id_ = call.exchange.id
        return self.open < self._tools.bounds.streams and id_ not in self._calls and id_ not in self._aborted

    def offer(self, call: Call) -> bool:
        """Takes a call; False where the link has ended."""
        with self._lock:
            if self.over:
                return False
            call.link, call.stage = self, Stage.QUEUED
            self._calls[call.exchange.id] = call
            invariants.check(len(self._calls) <= self._tools.bounds.streams, "streams_within_bound")
        self._orders.put(call)
        return True

    def abort(self, call: Call) -> None:
        """Gives a call up: one not begun is not written, one written is followed by an abort."""
        with self._lock:
            if self._calls.get(call.exchange.id) is not call:
                return
            del self._calls[call.exchange.id]
            written, call.stage = call.stage is Stage.WRITING, Stage.OVER
            if written and not self.over:
                self._aborted[call.exchange.id] = None
                if len(self._aborted) > MOST_ABORTED:
                    del self._aborted[next(iter(self._aborted))]
        if written:
            self._orders.put(command("abort", call.exchange.id))

    def withdraw(self, concerns: Callable[[Call], bool]) -> list[Call]:
        """Takes back calls that are still waiting to be written."""
        with self._lock:
            back = [call for call in self._calls.values() if call.stage is Stage.QUEUED and concerns(call)]
            for call in back:
                call.stage = Stage.OVER
                del self._calls[call.exchange.id]
        return back

    def retire(self) -> None:
        """Lets the link end once nothing is open on it."""
        self._orders.put(None)

    # The thread that connects and writes.

    def _run(self) -> None:
        bounds, log = self._tools.bounds, self._tools.log
        try:
            sock = sockets.connect(self._place.address, bounds.connect, 0, bounds.stall)
        except OSError as fault:
            log.count("connect_failed")
            log.event("connect_failed", member=self._place.id, why=fault.strerror or str(fault))
            self._end()
            return
        log.count("links_opened")
        self._sock = sock
        reader = threading.Thread(target=self._read, args=(sock,), name="link-reader", daemon=True)
        try:
            reader.start()
            self._write(sock)
        except OSError as fault:
            self._broke(fault.strerror or str(fault))
        except Exception:
            log.fault("link_fault", member=self._place.id)
        finally:
            self._end()
            sockets.hang_up(sock)
            if reader.ident is not None:
                reader.join()
            sock.close()

    def _write(self, sock: socket.socket) -> None:
        """Writes what is ordered, until the link ends or has been idle nearly as long as its peer allows."""
        idle = self._tools.bounds.idle
        patience = max(idle - SECOND, idle // 2) / SECOND
        retired = False
        while not self.over and not (retired and not self._calls):
            try:
                order = self._orders.get(timeout=0.1 if retired else patience)
            except queue.Empty:
                with self._lock:
                    self.over = self.over or not self._calls
                continue
            if order is None:
                retired = True
                continue
            if isinstance(order, Call):
                with self._lock:
                    if order.link is not self or order.stage is not Stage.QUEUED:
                        continue
                    order.stage = Stage.WRITING
                self._send(sock, order.frame, order)
            else:
                self._send(sock, order, None)

    def _send(self, sock: socket.socket, data: bytes, call: Call | None) -> None:
        """Writes one frame to its end; a peer that takes none of it for long is given up by an error."""
        view = memoryview(data)
        if call is not None:
            call.begun = True  # before the first byte: whoever ends the link meanwhile must take it as run
        while view:
            try:
                view = view[sock.send(view) :]
            except OSError:
                if call is not None and len(view) == len(data):
                    call.begun = False
                raise

    # The thread that reads.

    def _read(self, sock: socket.socket) -> None:
        pool, log = self._tools.pool, self._tools.log
        room = pool.take(1, ROOM_WAIT)
        try:
            if room is None:
                raise FrameError("no buffer to read into")
            view, answers = memoryview(room[0]), Answers(self._tools.bounds.body_size)
            head: Head | None = None
            while count := sock.recv_into(view):
                for item in answers.feed(view[:count]):
                    if isinstance(item, Head):
                        head = item
                        self._begin(head)
                    elif head is not None and isinstance(item, End):
                        self._finish(head)
                    elif head is not None and isinstance(item, memoryview):
                        self._add(head, item)
            if self._calls or not answers.between:
                self._broke("closed by the member")
        except FrameError as fault:
            self._broke(str(fault))
        except OSError as fault:
            self._broke(fault.strerror or str(fault))
        except Exception:
            log.fault("link_fault", member=self._place.id)
        finally:
            self._end()
            if room:
                pool.give_back(room)
            sockets.hang_up(sock)
            self._orders.put(None)

    def _begin(self, head: Head) -> None:
        """An answer's line: finds its call, and room for its body."""
        if head.word == "PONG":
            return
        with self._lock:
            call = self._calls.get(head.id)
            known = call is not None or head.id in self._aborted
        if not known:
            raise FrameError(f"an answer to an id that is not open here: {head.id[:40]!r}")
        if call is None or head.word != "HIT":
            return
        body = Body.reserve(self._tools.pool, head.length, ROOM_WAIT)
        if body is None:
            self._tools.log.count("pool_empty")
        with self._lock:
            if call.stage is not Stage.OVER:
                call.body, body = body, None
        if body is not None:
            body.release()

    def _add(self, head: Head, piece: memoryview) -> None:
        with self._lock:
            call = self._calls.get(head.id)
            if call is not None and call.body is not None:
                call.body.add(piece)

    def _finish(self, head: Head) -> None:
        """An answer is whole."""
        at = self._tools.clock.now()
        with self._lock:
            call = self._calls.pop(head.id, None)
            if call is None:
                self._aborted.pop(head.id, None)
                return
            call.stage = Stage.OVER
        note = NOTES.get(head.fields.get("why", ""), api.Note.NOTHING)
        tag = head.fields.get("entity", "")
        answer = None
        if head.word == "HIT" and call.body is not None:
            issued = head.fields.get("issued", "")
            known = issued.isascii() and issued.isdigit() and len(issued) < 16
            answer = Answer(Verdict.SERVED, tag, call.body, int(issued) * MS if known else 0)
        elif head.word == "VALID" and call.exchange.tag:
            answer = Answer(Verdict.CURRENT, tag or call.exchange.tag)
        if answer is not None:
            status = api.Status.OK
        elif head.word in UNSERVED:
            status = UNSERVED[head.word]
        else:
            status = api.Status.ERROR
            self._tools.log.count("odd_answer")
        self._tools.post(Ended(call, status, at, note, answer))

    # Both threads.

    def _broke(self, why: str) -> None:
        if not self.over:
            self._tools.log.count("links_broken")
            self._tools.log.event("link_broken", member=self._place.id, why=why, open=self.open)

    def _end(self) -> None:
        """Ends the link, once, and tells what became of the calls that were open on it."""
        with self._lock:
            self.over = True
            calls, self._calls = list(self._calls.values()), {}
            self._aborted.clear()
            for call in calls:
                call.stage = Stage.OVER
        now = self._tools.clock.now()
        for call in calls:
            if call.body is not None:
                call.body.release()
                call.body = None
            if call.begun:
                self._tools.post(Ended(call, api.Status.BROKEN_OFF, now))
            elif self._sock is not None and not call.moved:
                self._tools.post(Unsent(call))
            else:
                self._tools.post(Ended(call, api.Status.NOT_CONNECTED, now))


@dataclass(slots=True)
class Server:
    """A member of the list, with its links."""

    place: Place
    links: list[Link] = field(default_factory=list)


class Servers:
    """All members that the list names. Only the engine's thread calls this."""

    def __init__(self, tools: Tools) -> None:
        self._tools = tools
        self._servers: dict[str, Server] = {}

    def update(self, places: list[Place], whole: bool) -> None:
        """Takes the list: links belong to one process of one member, wherever its address was used before."""
        named = {place.id for place in places}
        for place in places:
            known = self._servers.get(place.id)
            if known and (known.place.address, known.place.started) == (place.address, place.started):
                known.place = place
            else:
                self._retire(place.id)
                self._servers[place.id] = Server(place)
            if place.state is api.State.GONE:
                self._retire(place.id)
        for id_ in [id_ for id_ in self._servers if whole and id_ not in named]:
            self._retire(id_)

    def _retire(self, id_: str) -> None:
        server = self._servers.pop(id_, None)
        for link in server.links if server else ():
            link.retire()

    def withdraw(self, concerns: Callable[[Call], bool]) -> list[Call]:
        """Takes back calls that no link has begun to write."""
        links = [link for server in self._servers.values() for link in server.links]
        return [call for link in links for call in link.withdraw(concerns)]

    def send(self, call: Call) -> None:
        """Puts a call on a link: the one with the fewest open calls, or a new one where all are full."""
        server = self._servers.get(call.cache)
        known = server is not None and server.place.state is api.State.READY
        if not invariants.check(known, "only_to_ready_members") or server is None:
            self._tools.post(Ended(call, api.Status.NOT_CONNECTED, call.sent))
            return
        server.links = [link for link in server.links if not link.over]
        able = [link for link in server.links if link.bears(call)]
        able.sort(key=lambda link: (not link.up, link.open))
        if any(link.offer(call) for link in able):
            return
        if len(server.links) >= self._tools.bounds.links:
            self._tools.log.count("links_full")
            self._tools.post(Ended(call, api.Status.NEVER_SENT, call.sent))
            return
        try:
            link = Link(self._tools, server.place)
        except RuntimeError:
            self._tools.log.count("threads_short")
            self._tools.post(Ended(call, api.Status.NOT_CONNECTED, call.sent))
            return
        server.links.append(link)
        link.offer(call)

    def close(self) -> None:
        """Retires every link."""
        for id_ in list(self._servers):
            self._retire(id_)
