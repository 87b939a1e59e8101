"""The server side: links to caches, parents and the origin.

Each connection has a thread that connects and writes and one that reads. The event loop hands over requests
and aborts by the connection's queue, and learns what became of a request by a posted `UpstreamCompleted`. A
connection that is spoilt, stops in a response, or does not even answer `alive` is left at once, with all that
is open on it.
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
from olivepost.config import Address, ResourceLimits
from olivepost.proxy import invariants, sockets
from olivepost.proxy.buffers import BufferPool, PooledBody
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.exchange import Exchange, Response, ResponseKind
from olivepost.proxy.upstream.line_protocol import (
    LineProtocolError,
    ResponseEnd,
    ResponseLine,
    ResponseParser,
    encode_command,
)
from olivepost.units import MILLISECOND, SECOND

CACHE_STATUSES = {
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
FAILURE_STATUSES = {
    "NONE": api.AttemptStatus.NOT_CACHED,
    "SHED": api.AttemptStatus.REJECTED,
    "FAULT": api.AttemptStatus.ERROR,
    "LATE": api.AttemptStatus.NOT_SENT,
}
FIELD_VALUE = re.compile(r"[!#-*\-.-<>-~]{1,200}", re.ASCII)  # what a field's value may hold on this wire
MAX_PAST_REQUESTS = 256  # ids a link remembers, of which more answers may still be on the way
BUFFER_TIMEOUT_S = (
    0.05  # seconds that a link, with all its answers, waits for buffers before a body is given up
)
LIVENESS_COMMAND = encode_command("alive", "link")
IDLE_CHECK_AFTER = (
    50 * MILLISECOND
)  # without a byte and with nothing open: the member may have ended it meanwhile


class RequestStage(Enum):
    """How far a call has come."""

    QUEUED = "queued"
    WRITING = "writing"  # in the writer's hands: it may reach the member
    DONE = "over"


@dataclass(slots=True, eq=False)
class UpstreamRequest:
    """One attempt on its way to a member."""

    exchange: Exchange
    number: int
    cache: str
    source: str
    forwarded_at: int
    fields: dict[str, str]
    start_before: int = 0  # not to be written later; 0: no bound
    stage: RequestStage = RequestStage.QUEUED
    is_started: bool = False  # its first byte has been written
    is_rerouted: bool = False  # it was on a link that broke before that
    connection: UpstreamConnection | None = None
    body: PooledBody | None = None
    lacks_buffers: bool = False  # there was no room for its body
    timer_id: int = 0  # the engine's, for its timeout

    def discard_body(self) -> None:
        """What has been read of its answer is of no use."""
        if self.body is not None:
            self.body.release()
            self.body = None


@dataclass(slots=True)
class UpstreamCompleted:
    """A call has ended; `completed_at` is when its last byte was read.

    `is_repeated_loss`: by the end of its link, which another call has told of already.
    """

    request: UpstreamRequest
    status: api.AttemptStatus
    completed_at: int
    cache_status: api.CacheStatus = api.CacheStatus.UNKNOWN
    response: Response | None = None
    is_repeated_loss: bool = False


@dataclass(slots=True)
class UpstreamAborted:
    """A call that was being given up is given up: its abort is written, or its link has ended."""

    request: UpstreamRequest


@dataclass(slots=True)
class UpstreamUnsent:
    """A call whose link broke before its first byte was written: to be sent on another."""

    request: UpstreamRequest


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """Where a member of the list is."""

    id: str
    socket_address: Address
    started_at: int
    state: api.EndpointState


def command_fields(exchange: Exchange, fetch: api.ForwardAttempt) -> dict[str, str]:
    """The fields of a request, as the router decided them.

    Spans are cut to whole milliseconds, so that no wait and no copy's age is longer than was decided;
    never to 0, which stands for the class's fresh time in `within` and for no wait in `ttl`.
    """
    fields = {"lane": exchange.class_name, "name": exchange.object, "piece": str(exchange.part)}
    fields["ttl"] = str(max(1, fetch.timeout // MILLISECOND))
    if fetch.source != fetch.cache:
        fields["miss"] = fetch.source
    if fetch.rank:
        fields["prio"] = str(fetch.rank)
    if fetch.max_age:
        fields["within"] = str(max(1, fetch.max_age // MILLISECOND))
    if hows := [word for word, set_ in (("join", fetch.collapse_fills), ("renew", fetch.refresh)) if set_]:
        fields["f"] = "+".join(hows)
    if exchange.etag:
        fields["mine"] = exchange.etag
    if exchange.idempotency_key:
        fields["dedupe"] = exchange.idempotency_key
    return fields


@dataclass(slots=True)
class UpstreamResources:
    """What every link uses."""

    limits: ResourceLimits
    body_buffers: BufferPool  # for bodies
    read_buffers: BufferPool  # to read into
    clock: Clock
    log: EventLog
    post: Callable[[UpstreamCompleted | UpstreamUnsent | UpstreamAborted], None]


class UpstreamConnection:
    """One connection to a member."""

    def __init__(self, tools: UpstreamResources, place: EndpointAddress) -> None:
        self._tools, self._place = tools, place
        self._orders: queue.SimpleQueue[UpstreamRequest | UpstreamAborted | bytes | None] = (
            queue.SimpleQueue()
        )
        self._aborts: list[UpstreamAborted] = []  # that are to be told of, and are not written yet
        self._lock = threading.Lock()
        self._calls: dict[str, UpstreamRequest] = {}
        self._past: dict[str, None] = {}  # ids that were open here
        self._reading: UpstreamRequest | None = None  # whose answer is being read
        self._heard = 0  # when something last came
        self._probed = 0  # when `alive` was asked since then; 0: not
        self._sock: socket.socket | None = None
        self.is_closing = False
        self.is_closed = False  # its descriptor is free
        threading.Thread(target=self._run, name=f"link-{place.id}", daemon=True).start()

    # What the engine calls; none of it blocks.

    @property
    def open_count(self) -> int:
        return len(self._calls)

    @property
    def is_connected(self) -> bool:
        return self._sock is not None and not self.is_closing

    def can_accept(self, call: UpstreamRequest) -> bool:
        """Whether the call can go here; a second answer to an id used here could be taken for its own."""
        id_ = call.exchange.id
        return (
            self.open_count < self._tools.limits.max_requests_per_connection
            and id_ not in self._calls
            and id_ not in self._past
        )

    def offer(self, call: UpstreamRequest) -> bool:
        """Takes a call; False where the link has ended."""
        with self._lock:
            if self.is_closing:
                return False
            call.connection, call.stage = self, RequestStage.QUEUED
            self._calls[call.exchange.id] = call
            invariants.check(
                len(self._calls) <= self._tools.limits.max_requests_per_connection, "streams_within_bound"
            )
        self._orders.put(call)
        return True

    def abort(self, call: UpstreamRequest, tells: bool = False) -> bool:
        """Gives a call up: one not begun is not written, one written is followed by an abort.

        With `tells`, whether an `UpstreamAborted` will follow; until then the member may still be at it.
        """
        with self._lock:
            if self._calls.get(call.exchange.id) is not call:
                return False
            written = call.stage is RequestStage.WRITING
            self._close(call)
            call.discard_body()
            if written:
                aborted = UpstreamAborted(call)
                self._aborts += [aborted] * tells
                self._orders.put(aborted)
        return written and tells

    def _given_up(self, aborted: UpstreamAborted) -> None:
        """Tells of an abort, once, if anybody waits for that."""
        with self._lock:
            told = aborted in self._aborts
            if told:
                self._aborts.remove(aborted)
        if told:
            self._tools.post(aborted)

    def _close(self, call: UpstreamRequest) -> None:
        """The call is over here; with the lock held."""
        del self._calls[call.exchange.id]
        if call.stage is RequestStage.WRITING:
            self._past[call.exchange.id] = None
            if len(self._past) > MAX_PAST_REQUESTS:
                del self._past[next(iter(self._past))]
        call.stage = RequestStage.DONE

    def withdraw(self, concerns: Callable[[UpstreamRequest], bool]) -> list[UpstreamRequest]:
        """Takes back calls that are still waiting to be written."""
        with self._lock:
            back = [
                call for call in self._calls.values() if call.stage is RequestStage.QUEUED and concerns(call)
            ]
            for call in back:
                self._close(call)
        return back

    def drain(self) -> None:
        """Lets the link end once nothing is open on it."""
        self._orders.put(None)

    # The thread that connects and writes.

    def _run(self) -> None:
        bounds, log = self._tools.limits, self._tools.log
        try:
            sock = sockets.connect(
                self._place.socket_address,
                bounds.connect_timeout,
                bounds.receive_poll_interval,
                bounds.write_stall_timeout,
            )
        except OSError as fault:
            log.increment("connect_failed")
            log.event("connect_failed", member=self._place.id, why=fault.strerror or str(fault))
            self._end()
            self.is_closed = True
            return
        log.increment("links_opened")
        self._sock = sock
        reader = threading.Thread(target=self._read, args=(sock,), name="link-reader", daemon=True)
        try:
            reader.start()
            self._write(sock)
        except OSError as fault:
            self._broke(fault.strerror or str(fault))
        except Exception:
            log.exception("link_fault", member=self._place.id)
        finally:
            self._end()
            sockets.shutdown(sock)
            if reader.ident is not None:
                reader.join()
            sock.close()
            self.is_closed = True

    def _write(self, sock: socket.socket) -> None:
        """Writes what is ordered, until the link ends or has been idle nearly as long as its peer allows."""
        idle, log = self._tools.limits.upstream_idle_timeout, self._tools.log
        patience = max(idle - SECOND, idle // 2) / SECOND
        retired = False
        while not self.is_closing and not (retired and not self._calls):
            try:
                order = self._orders.get(timeout=0.1 if retired else patience)
            except queue.Empty:
                with self._lock:
                    self.is_closing = self.is_closing or not self._calls
                continue
            if order is None:
                retired = True
                continue
            if isinstance(order, UpstreamRequest):
                # A member may end a link that rests; its reader may not have come to that yet. A call that
                # is written then may have run for all that is known, and one not begun goes elsewhere.
                rested = len(self._calls) <= 1 and self._tools.clock.now() - self._heard > IDLE_CHECK_AFTER
                if (
                    order.exchange.is_client_gone()
                ):  # the engine is about to hear of it, and takes the call back
                    log.increment("calls_of_gone_clients")
                    continue
                if rested and sockets.is_closed_by_peer(sock):
                    raise ConnectionError("closed by the member while idle")
                now = self._tools.clock.now()
                with self._lock:
                    if order.connection is not self or order.stage is not RequestStage.QUEUED:
                        continue
                    late = 0 < order.start_before < now
                    if late:
                        self._close(order)
                    else:
                        order.stage = RequestStage.WRITING
                if late:
                    self._tools.post(UpstreamCompleted(order, api.AttemptStatus.NOT_SENT, now))
                    continue
                exchange = order.exchange  # framed here, so that a body is not held once more while it waits
                self._send(sock, encode_command("fetch", exchange.id, order.fields, exchange.body), order)
            elif isinstance(order, UpstreamAborted):
                self._send(sock, encode_command("abort", order.request.exchange.id), None)
                self._given_up(order)
            else:
                self._send(sock, order, None)

    def _send(self, sock: socket.socket, data: bytes, call: UpstreamRequest | None) -> None:
        """Writes one frame to its end; a peer that takes none of it for long is given up by an error."""
        view = memoryview(data)
        if call is not None:
            call.is_started = (
                True  # before the first byte: whoever ends the link meanwhile must take it as run
            )
        while view:
            try:
                view = view[sock.send(view) :]
            except OSError:
                if call is not None and len(view) == len(data):
                    call.is_started = False
                raise

    # The thread that reads.

    def _read(self, sock: socket.socket) -> None:
        pool, log, clock = self._tools.read_buffers, self._tools.log, self._tools.clock
        room = pool.acquire(1, BUFFER_TIMEOUT_S)
        try:
            if room is None:
                raise LineProtocolError("no buffer to read into")
            view, answers = memoryview(room[0]), ResponseParser(self._tools.limits.max_response_body)
            head: ResponseLine | None = None
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
                    if isinstance(item, ResponseLine):
                        head = item
                        self._begin(head)
                    elif head is not None and isinstance(item, ResponseEnd):
                        self._finish(head)
                        began = 0
                    elif isinstance(item, memoryview) and self._reading is not None:
                        self._add(item)
                began = 0 if answers.between else began or self._heard
                if began:
                    self._look(self._heard, began)
            if self._calls or not answers.between:
                self._broke("closed by the member")
        except LineProtocolError as fault:
            self._broke(str(fault))
        except OSError as fault:
            self._broke(fault.strerror or str(fault))
        except Exception:
            log.exception("link_fault", member=self._place.id)
        finally:
            self._end()
            if room:
                pool.release(room)
            sockets.shutdown(sock)
            self._orders.put(None)

    def _look(self, now: int, began: int) -> None:
        """Leaves a link that stopped in an answer, trickles it, or is silent altogether.

        A silent one with calls that wait is asked whether it is alive: slow members answer that, dead ones,
        cut-off ones and links that lost an answer's end don't. Hurts where a machine stands still for longer.
        """
        bounds = self._tools.limits
        if began and (
            now - self._heard > bounds.response_pause_timeout or now - began > bounds.response_timeout
        ):
            raise LineProtocolError("silent in the middle of an answer")
        if self._probed and now - self._probed > bounds.liveness_check_timeout:
            raise LineProtocolError("no answer to 'alive'")
        if began or self._probed:
            return
        with self._lock:
            since = min((call.forwarded_at for call in self._calls.values() if call.is_started), default=now)
        if now - max(since, self._heard) > bounds.liveness_check_after:
            self._tools.log.increment("links_probed")
            self._probed = now
            self._orders.put(LIVENESS_COMMAND)

    def _begin(self, head: ResponseLine) -> None:
        """An answer's line: finds its call, and room for its body.

        One that is nobody's (given up, answered before, never written here) is read whole and dropped: the
        bytes behind it are good. What can't be framed ends the link.
        """
        self._reading = None
        if head.word == "PONG":
            return
        with self._lock:
            call = self._calls.get(head.id)
            if call is None or call.stage is not RequestStage.WRITING:
                self._tools.log.increment("answers_again" if head.id in self._past else "answers_of_nobody")
                return
            self._reading = call
        if head.word != "HIT":
            return
        body = PooledBody.reserve(self._tools.body_buffers, head.length, BUFFER_TIMEOUT_S)
        if body is None:
            self._tools.log.increment("pool_empty")
        with self._lock:
            call.lacks_buffers = body is None
            if call is self._calls.get(head.id):
                call.body, body = body, None
        if body is not None:
            body.release()

    def _add(self, piece: memoryview) -> None:
        with self._lock:
            call = self._reading
            if call is not None and call.stage is not RequestStage.DONE and call.body is not None:
                call.body.append(piece)

    def _finish(self, head: ResponseLine) -> None:
        """An answer is whole."""
        at = self._tools.clock.now()
        with self._lock:
            call, self._reading = self._reading, None
            if call is None or call.stage is RequestStage.DONE:
                return
            self._close(call)
        note = CACHE_STATUSES.get(head.fields.get("why", ""), api.CacheStatus.UNKNOWN)
        tag = head.fields.get("entity", "")
        answer = None
        if head.word == "HIT" and call.body is not None:
            issued = head.fields.get("issued", "")
            known = issued.isascii() and issued.isdigit() and len(issued) < 16
            answer = Response(ResponseKind.SERVED, tag, call.body, int(issued) * MILLISECOND if known else 0)
        elif head.word == "VALID" and tag and tag == call.exchange.etag:  # that very copy, by its name
            answer = Response(ResponseKind.NOT_MODIFIED, tag)
        if answer is not None:
            status = api.AttemptStatus.OK
        elif call.lacks_buffers:
            status = api.AttemptStatus.CANCELLED  # for want of room here: nothing to say of the member
        elif head.word in FAILURE_STATUSES:
            status = FAILURE_STATUSES[head.word]
        else:
            status = api.AttemptStatus.ERROR
            self._tools.log.increment("odd_answer")
        self._tools.post(UpstreamCompleted(call, status, at, note, answer))

    # Both threads.

    def _broke(self, why: str) -> None:
        if not self.is_closing:
            self._tools.log.increment("links_broken")
            self._tools.log.event("link_broken", member=self._place.id, why=why, open=self.open_count)

    def _end(self) -> None:
        """Ends the link, once, and tells what became of the calls that were open on it.

        The connection first: its end gives up all that is open there, and what is told here may be sent
        elsewhere at once, where two attempts of a request must not be out together.
        """
        with self._lock:
            self.is_closing = True
            aborts = list(self._aborts)
            calls, self._calls = list(self._calls.values()), {}
            self._past.clear()
            for call in calls:
                call.stage = RequestStage.DONE
        if self._sock is not None:
            sockets.shutdown(self._sock)
        for aborted in aborts:
            self._given_up(aborted)
        now, shared = self._tools.clock.now(), False
        for call in calls:
            call.discard_body()
            if not call.is_started and self._sock is not None and not call.is_rerouted:
                self._tools.post(UpstreamUnsent(call))
                continue
            status = (
                api.AttemptStatus.CONNECTION_LOST if call.is_started else api.AttemptStatus.CONNECT_FAILED
            )
            self._tools.post(UpstreamCompleted(call, status, now, is_repeated_loss=shared))
            shared = True


@dataclass(slots=True)
class EndpointConnections:
    """A member of the list, with its links."""

    place: EndpointAddress
    links: list[UpstreamConnection] = field(default_factory=list)


class UpstreamPool:
    """All members that the list names. Only the engine's thread calls this."""

    def __init__(self, tools: UpstreamResources) -> None:
        self._tools = tools
        self._servers: dict[str, EndpointConnections] = {}
        self._links: list[
            UpstreamConnection
        ] = []  # all that still hold a descriptor, also of members that have gone

    def update(self, places: list[EndpointAddress], whole: bool) -> None:
        """Takes the list: links belong to one process of one member, wherever its address was used before."""
        named = {place.id for place in places}
        for place in places:
            known = self._servers.get(place.id)
            if known and (known.place.socket_address, known.place.started_at) == (
                place.socket_address,
                place.started_at,
            ):
                known.place = place
            else:
                self._retire(place.id)
                self._servers[place.id] = EndpointConnections(place)
            if place.state is api.EndpointState.REMOVED:
                self._retire(place.id)
        for id_ in [id_ for id_ in self._servers if whole and id_ not in named]:
            self._retire(id_)

    def _retire(self, id_: str) -> None:
        server = self._servers.pop(id_, None)
        for link in server.links if server else ():
            link.drain()

    def withdraw(self, concerns: Callable[[UpstreamRequest], bool]) -> list[UpstreamRequest]:
        """Takes back calls that no link has begun to write."""
        links = [link for server in self._servers.values() for link in server.links]
        return [call for link in links for call in link.withdraw(concerns)]

    def forward(self, call: UpstreamRequest) -> None:
        """Puts a call on a link: the one with the fewest open calls, or a new one where all are full."""
        server = self._servers.get(call.cache)
        known = server is not None and server.place.state is api.EndpointState.READY
        # One whose link broke before its first byte may come back here after its member has begun to drain.
        if (
            not invariants.check(known or call.is_rerouted, "only_to_ready_members")
            or not known
            or server is None
        ):
            self._tools.post(UpstreamCompleted(call, api.AttemptStatus.CONNECT_FAILED, call.forwarded_at))
            return
        server.links = [link for link in server.links if not link.is_closing]
        able = [link for link in server.links if link.can_accept(call)]
        able.sort(key=lambda link: (not link.is_connected, link.open_count))
        if any(link.offer(call) for link in able):
            return
        self._links = [link for link in self._links if not link.is_closed]
        if (
            len(server.links) >= self._tools.limits.max_connections_per_endpoint
            or len(self._links) >= self._tools.limits.max_upstream_connections
        ):
            self._tools.log.increment("links_full")
            self._tools.post(UpstreamCompleted(call, api.AttemptStatus.NOT_SENT, call.forwarded_at))
            return
        try:
            link = UpstreamConnection(self._tools, server.place)
        except RuntimeError:
            self._tools.log.increment("threads_short")
            self._tools.post(UpstreamCompleted(call, api.AttemptStatus.CONNECT_FAILED, call.forwarded_at))
            return
        server.links.append(link)
        self._links.append(link)
        link.offer(call)

    def close(self) -> None:
        """Retires every link."""
        for id_ in list(self._servers):
            self._retire(id_)
