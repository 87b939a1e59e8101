"""The server side: links to caches, parents and the origin.

A link is one connection with a thread that connects and writes and one that reads. The engine hands over
calls and aborts by the link's queue and learns what became of a call by a posted `Ended`. A link that is
spoilt, stops in an answer, or does not even answer `alive` is left at once, with all that is open on it.
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
from olivepost.proxy import invariants, sockets
from olivepost.proxy.buffers import Body, Pool
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import Log
from olivepost.proxy.exchange import Answer, Exchange, Verdict
from olivepost.proxy.upstream.line_protocol import Answers, End, FrameError, Head, command

NOTES = {
    "warm": api.CacheStatus.HIT,
    "fill": api.CacheStatus.FILLED,
    "deep_fill": api.CacheStatus.FILLED_FROM_ORIGIN,
    "piggy": api.CacheStatus.COLLAPSED,
    "aged": api.CacheStatus.STALE_HIT,
    "bounced": api.CacheStatus.SOURCE_REJECTED,
    "dropped": api.CacheStatus.SOURCE_DISCONNECTED,
    "lacking": api.CacheStatus.SOURCE_MISS,
    "jammed": api.CacheStatus.FILL_LIMIT_REACHED,
    "backfire": api.CacheStatus.ORIGIN_FAILED,
}
UNSERVED = {
    "NONE": api.AttemptStatus.NOT_CACHED,
    "SHED": api.AttemptStatus.REJECTED,
    "FAULT": api.AttemptStatus.ERROR,
    "LATE": api.AttemptStatus.NOT_SENT,
}
PLAIN = re.compile(r"[!#-*\-.-<>-~]{1,200}", re.ASCII)  # what a field's value may hold on this wire
MOST_PAST = 256  # ids a link remembers, of which more answers may still be on the way
ROOM_WAIT = 0.05  # seconds that a link, with all its answers, waits for buffers before a body is given up
PROBE = command("alive", "link")
RESTED = 50 * MS  # without a byte and with nothing open: the member may have ended it meanwhile


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
    fields: dict[str, str]
    begin_by: int = 0  # not to be written later; 0: no bound
    stage: Stage = Stage.QUEUED
    begun: bool = False  # its first byte has been written
    moved: bool = False  # it was on a link that broke before that
    link: Link | None = None
    body: Body | None = None
    short: bool = False  # there was no room for its body
    timer: int = 0  # the engine's, for its timeout

    def drop_body(self) -> None:
        """What has been read of its answer is of no use."""
        if self.body is not None:
            self.body.release()
            self.body = None


@dataclass(slots=True)
class Ended:
    """A call has ended; `at` is when its last byte was read.

    `shared`: by the end of its link, which another call has told of already.
    """

    call: Call
    status: api.AttemptStatus
    at: int
    note: api.CacheStatus = api.CacheStatus.UNKNOWN
    answer: Answer | None = None
    shared: bool = False


@dataclass(slots=True)
class Aborted:
    """A call that was being given up is given up: its abort is written, or its link has ended."""

    call: Call


@dataclass(slots=True)
class Unsent:
    """A call whose link broke before its first byte was written: to be sent on another."""

    call: Call


@dataclass(frozen=True, slots=True)
class Place:
    """Where a member of the list is."""

    id: str
    address: Address
    started: int
    state: api.EndpointState


def fetch_fields(exchange: Exchange, fetch: api.ForwardAttempt) -> dict[str, str]:
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
    if hows := [word for word, set_ in (("join", fetch.collapse_fills), ("renew", fetch.refresh)) if set_]:
        fields["f"] = "+".join(hows)
    if exchange.tag:
        fields["mine"] = exchange.tag
    if exchange.dedupe:
        fields["dedupe"] = exchange.dedupe
    return fields


@dataclass(slots=True)
class Tools:
    """What every link uses."""

    bounds: Bounds
    pool: Pool  # for bodies
    rooms: Pool  # to read into
    clock: Clock
    log: Log
    post: Callable[[Ended | Unsent | Aborted], None]


class Link:
    """One connection to a member."""

    def __init__(self, tools: Tools, place: Place) -> None:
        self._tools, self._place = tools, place
        self._orders: queue.SimpleQueue[Call | Aborted | bytes | None] = queue.SimpleQueue()
        self._aborts: list[Aborted] = []  # that are to be told of, and are not written yet
        self._lock = threading.Lock()
        self._calls: dict[str, Call] = {}
        self._past: dict[str, None] = {}  # ids that were open here
        self._reading: Call | None = None  # whose answer is being read
        self._heard = 0  # when something last came
        self._probed = 0  # when `alive` was asked since then; 0: not
        self._sock: socket.socket | None = None
        self.over = False
        self.closed = False  # its descriptor is free
        threading.Thread(target=self._run, name=f"link-{place.id}", daemon=True).start()

    # What the engine calls; none of it blocks.

    @property
    def open(self) -> int:
        return len(self._calls)

    @property
    def up(self) -> bool:
        return self._sock is not None and not self.over

    def bears(self, call: Call) -> bool:
        """Whether the call can go here; a second answer to an id used here could be taken for its own."""
        id_ = call.exchange.id
        return self.open < self._tools.bounds.streams and id_ not in self._calls and id_ not in self._past

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

    def abort(self, call: Call, tells: bool = False) -> bool:
        """Gives a call up: one not begun is not written, one written is followed by an abort.

        With `tells`, whether an `Aborted` will follow; until then the member may still be at it.
        """
        with self._lock:
            if self._calls.get(call.exchange.id) is not call:
                return False
            written = call.stage is Stage.WRITING
            self._close(call)
            call.drop_body()
            if written:
                aborted = Aborted(call)
                self._aborts += [aborted] * tells
                self._orders.put(aborted)
        return written and tells

    def _given_up(self, aborted: Aborted) -> None:
        """Tells of an abort, once, if anybody waits for that."""
        with self._lock:
            told = aborted in self._aborts
            if told:
                self._aborts.remove(aborted)
        if told:
            self._tools.post(aborted)

    def _close(self, call: Call) -> None:
        """The call is over here; with the lock held."""
        del self._calls[call.exchange.id]
        if call.stage is Stage.WRITING:
            self._past[call.exchange.id] = None
            if len(self._past) > MOST_PAST:
                del self._past[next(iter(self._past))]
        call.stage = Stage.OVER

    def withdraw(self, concerns: Callable[[Call], bool]) -> list[Call]:
        """Takes back calls that are still waiting to be written."""
        with self._lock:
            back = [call for call in self._calls.values() if call.stage is Stage.QUEUED and concerns(call)]
            for call in back:
                self._close(call)
        return back

    def retire(self) -> None:
        """Lets the link end once nothing is open on it."""
        self._orders.put(None)

    # The thread that connects and writes.

    def _run(self) -> None:
        bounds, log = self._tools.bounds, self._tools.log
        try:
            sock = sockets.connect(self._place.address, bounds.connect, bounds.link_look, bounds.stall)
        except OSError as fault:
            log.count("connect_failed")
            log.event("connect_failed", member=self._place.id, why=fault.strerror or str(fault))
            self._end()
            self.closed = True
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
            self.closed = True

    def _write(self, sock: socket.socket) -> None:
        """Writes what is ordered, until the link ends or has been idle nearly as long as its peer allows."""
        idle, log = self._tools.bounds.idle, self._tools.log
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
                # A member may end a link that rests; its reader may not have come to that yet. A call that
                # is written then may have run for all that is known, and one not begun goes elsewhere.
                rested = len(self._calls) <= 1 and self._tools.clock.now() - self._heard > RESTED
                if order.exchange.deserted():  # the engine is about to hear of it, and takes the call back
                    log.count("calls_of_gone_clients")
                    continue
                if rested and sockets.ended(sock):
                    raise ConnectionError("closed by the member while idle")
                now = self._tools.clock.now()
                with self._lock:
                    if order.link is not self or order.stage is not Stage.QUEUED:
                        continue
                    late = 0 < order.begin_by < now
                    if late:
                        self._close(order)
                    else:
                        order.stage = Stage.WRITING
                if late:
                    self._tools.post(Ended(order, api.AttemptStatus.NOT_SENT, now))
                    continue
                exchange = order.exchange  # framed here, so that a body is not held once more while it waits
                self._send(sock, command("fetch", exchange.id, order.fields, exchange.payload), order)
            elif isinstance(order, Aborted):
                self._send(sock, command("abort", order.call.exchange.id), None)
                self._given_up(order)
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
        pool, log, clock = self._tools.rooms, self._tools.log, self._tools.clock
        room = pool.take(1, ROOM_WAIT)
        try:
            if room is None:
                raise FrameError("no buffer to read into")
            view, answers = memoryview(room[0]), Answers(self._tools.bounds.body_size)
            head: Head | None = None
            self._heard, began = clock.now(), 0  # began: when the first byte of the answer in hand came
            while True:
                try:
                    count = sock.recv_into(view)
                except BlockingIOError:
                    self._look(clock.now(), began)
                    continue
                if not count:
                    break
                self._heard, self._probed = clock.now(), 0
                for item in answers.feed(view[:count]):
                    if isinstance(item, Head):
                        head = item
                        self._begin(head)
                    elif head is not None and isinstance(item, End):
                        self._finish(head)
                        began = 0
                    elif isinstance(item, memoryview) and self._reading is not None:
                        self._add(item)
                began = 0 if answers.between else began or self._heard
                if began:
                    self._look(self._heard, began)
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

    def _look(self, now: int, began: int) -> None:
        """Leaves a link that stopped in an answer, trickles it, or is silent altogether.

        A silent one with calls that wait is asked whether it is alive: slow members answer that, dead ones,
        cut-off ones and links that lost an answer's end don't. Hurts where a machine stands still for longer.
        """
        bounds = self._tools.bounds
        if began and (now - self._heard > bounds.answer_pause or now - began > bounds.answer_span):
            raise FrameError("silent in the middle of an answer")
        if self._probed and now - self._probed > bounds.alive_within:
            raise FrameError("no answer to 'alive'")
        if began or self._probed:
            return
        with self._lock:
            since = min((call.sent for call in self._calls.values() if call.begun), default=now)
        if now - max(since, self._heard) > bounds.link_quiet:
            self._tools.log.count("links_probed")
            self._probed = now
            self._orders.put(PROBE)

    def _begin(self, head: Head) -> None:
        """An answer's line: finds its call, and room for its body.

        One that is nobody's (given up, answered before, never written here) is read whole and dropped: the
        bytes behind it are good. What can't be framed ends the link.
        """
        self._reading = None
        if head.word == "PONG":
            return
        with self._lock:
            call = self._calls.get(head.id)
            if call is None or call.stage is not Stage.WRITING:
                self._tools.log.count("answers_again" if head.id in self._past else "answers_of_nobody")
                return
            self._reading = call
        if head.word != "HIT":
            return
        body = Body.reserve(self._tools.pool, head.length, ROOM_WAIT)
        if body is None:
            self._tools.log.count("pool_empty")
        with self._lock:
            call.short = body is None
            if call is self._calls.get(head.id):
                call.body, body = body, None
        if body is not None:
            body.release()

    def _add(self, piece: memoryview) -> None:
        with self._lock:
            call = self._reading
            if call is not None and call.stage is not Stage.OVER and call.body is not None:
                call.body.add(piece)

    def _finish(self, head: Head) -> None:
        """An answer is whole."""
        at = self._tools.clock.now()
        with self._lock:
            call, self._reading = self._reading, None
            if call is None or call.stage is Stage.OVER:
                return
            self._close(call)
        note = NOTES.get(head.fields.get("why", ""), api.CacheStatus.UNKNOWN)
        tag = head.fields.get("entity", "")
        answer = None
        if head.word == "HIT" and call.body is not None:
            issued = head.fields.get("issued", "")
            known = issued.isascii() and issued.isdigit() and len(issued) < 16
            answer = Answer(Verdict.SERVED, tag, call.body, int(issued) * MS if known else 0)
        elif head.word == "VALID" and tag and tag == call.exchange.tag:  # that very copy, by its name
            answer = Answer(Verdict.CURRENT, tag)
        if answer is not None:
            status = api.AttemptStatus.OK
        elif call.short:
            status = api.AttemptStatus.CANCELLED  # for want of room here: nothing to say of the member
        elif head.word in UNSERVED:
            status = UNSERVED[head.word]
        else:
            status = api.AttemptStatus.ERROR
            self._tools.log.count("odd_answer")
        self._tools.post(Ended(call, status, at, note, answer))

    # Both threads.

    def _broke(self, why: str) -> None:
        if not self.over:
            self._tools.log.count("links_broken")
            self._tools.log.event("link_broken", member=self._place.id, why=why, open=self.open)

    def _end(self) -> None:
        """Ends the link, once, and tells what became of the calls that were open on it.

        The connection first: its end gives up all that is open there, and what is told here may be sent
        elsewhere at once, where two attempts of a request must not be out together.
        """
        with self._lock:
            self.over = True
            aborts = list(self._aborts)
            calls, self._calls = list(self._calls.values()), {}
            self._past.clear()
            for call in calls:
                call.stage = Stage.OVER
        if self._sock is not None:
            sockets.hang_up(self._sock)
        for aborted in aborts:
            self._given_up(aborted)
        now, shared = self._tools.clock.now(), False
        for call in calls:
            call.drop_body()
            if not call.begun and self._sock is not None and not call.moved:
                self._tools.post(Unsent(call))
                continue
            status = api.AttemptStatus.CONNECTION_LOST if call.begun else api.AttemptStatus.CONNECT_FAILED
            self._tools.post(Ended(call, status, now, shared=shared))
            shared = True


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
        self._links: list[Link] = []  # all that still hold a descriptor, also of members that have gone

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
            if place.state is api.EndpointState.REMOVED:
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
        known = server is not None and server.place.state is api.EndpointState.READY
        # One whose link broke before its first byte may come back here after its member has begun to drain.
        if not invariants.check(known or call.moved, "only_to_ready_members") or not known or server is None:
            self._tools.post(Ended(call, api.AttemptStatus.CONNECT_FAILED, call.sent))
            return
        server.links = [link for link in server.links if not link.over]
        able = [link for link in server.links if link.bears(call)]
        able.sort(key=lambda link: (not link.up, link.open))
        if any(link.offer(call) for link in able):
            return
        self._links = [link for link in self._links if not link.closed]
        if len(server.links) >= self._tools.bounds.links or len(self._links) >= self._tools.bounds.all_links:
            self._tools.log.count("links_full")
            self._tools.post(Ended(call, api.AttemptStatus.NOT_SENT, call.sent))
            return
        try:
            link = Link(self._tools, server.place)
        except RuntimeError:
            self._tools.log.count("threads_short")
            self._tools.post(Ended(call, api.AttemptStatus.CONNECT_FAILED, call.sent))
            return
        server.links.append(link)
        self._links.append(link)
        link.offer(call)

    def close(self) -> None:
        """Retires every link."""
        for id_ in list(self._servers):
            self._retire(id_)
