"""The client side: the listener, a reader thread a connection, and writers for the answers.

A reader goes on reading while its request is open, so that a client that leaves is seen. Answers are
written by a few threads that wait for no client; one that reads slowly gets a thread of its own. Each state
of a connection has an absolute limit, whatever bytes still come; one thread ends what is past it.
"""

from __future__ import annotations

import _thread
import errno
import queue
import re
import socket
import threading
from collections.abc import Callable, Mapping

from olivepost.config import MILLISECOND, SECOND, Address, ResourceLimits
from olivepost.interface import ClassSettings
from olivepost.proxy import http1, sockets
from olivepost.proxy.buffers import BufferPool
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.exchange import Exchange, RequestAbandoned, RequestReceived, Response, ResponseKind
from olivepost.proxy.http1 import HttpError, Message, RequestLine

HEALTH = "/-/healthy"
TARGET = re.compile(r"/api/v2/([^/]+)/([0-9a-f]{16})/slice-(0|[1-9][0-9]{0,8})", re.ASCII)
CALL_ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
PATIENCE = re.compile(r"[0-9]{1,9}", re.ASCII)
GROUP = re.compile(r"[0-9]{1,3}", re.ASCII)
DEDUPE = re.compile(r"[!#-*\-.0-9:;<>-~]{1,128}", re.ASCII)
STRONG_TAG = re.compile(r'"([!#-+\--<>-~]{1,128})"', re.ASCII)  # that a field on the members' wire can hold
LINGER = 1 * SECOND  # for the client's end after ours, so that a reset does not overtake the answer
STOP_WITHIN = 1.0  # seconds
LINGER_BYTES = 4_194_304  # that are read and dropped meanwhile
LIMITS_EVERY = 0.1  # seconds between two looks at the limits
ACCEPT_LOOK = 50 * MILLISECOND  # how long the listener is waited for before the front's end is looked for
GRACE = 200 * MILLISECOND  # for a request that has come in time and is not read yet
FRESH = 50 * MILLISECOND  # so long the request of a new connection may just be on its way
REFUSED, FAILED = 503, 502


class DownstreamServer:
    """Accepts connections and keeps count of them."""

    def __init__(
        self,
        bounds: ResourceLimits,
        classes: Mapping[str, ClassSettings],
        rooms: BufferPool,
        clock: Clock,
        log: EventLog,
        post: Callable[[RequestReceived | RequestAbandoned], None],
    ) -> None:
        self.limits, self.classes, self.read_buffers, self.clock, self.log, self.post = (
            bounds,
            classes,
            rooms,
            clock,
            log,
            post,
        )
        self.is_draining = False
        self.writers = ResponseWriters(bounds.writer_threads, log)
        self._room = threading.Semaphore(bounds.max_client_connections)
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self._open: set[DownstreamConnection] = set()
        self._acceptor: threading.Thread | None = None
        self._stopping = False
        self._large = 0  # bytes of large request bodies that are held
        self.peak_count = 0

    @property
    def open_count(self) -> int:
        """Connections that are open."""
        return len(self._open)

    def listen(self, address: Address) -> Address:
        """Binds at once, also where the address was in use by a front that has died, and accepts."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            sockets.set_receive_timeout(listener, ACCEPT_LOOK)
            listener.listen(self.limits.backlog)
        except OSError:
            listener.close()
            raise
        self._acceptor = threading.Thread(target=self._accept, args=(listener,), name="accept", daemon=True)
        self._acceptor.start()
        threading.Thread(target=self._watch, name="limits", daemon=True).start()
        bound: Address = listener.getsockname()
        return bound

    def _accept(self, listener: socket.socket) -> None:
        pause = threading.Event()
        while True:
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                if self._stopping:  # nothing waits any more: what the machine accepted has been taken
                    break
                continue
            except OSError as fault:
                self.log.increment("accept_failed")
                if fault.errno not in (errno.ECONNABORTED, errno.EINTR):
                    self.log.event("accept_failed", why=fault.strerror)
                    pause.wait(0.05)  # out of descriptors: what is open must end first
                continue
            if self._room.acquire(blocking=False) or self._make_room():
                self._start(sock)
            else:
                sock.close()
        listener.close()

    def _make_room(self) -> bool:
        """At the cap the connection goes that has been idle longest; where all are busy, one is waited for.

        Guards against clients that connect and say nothing, or ask once and stay; those that never asked go
        before those that did, and are waited for where they come in a flood. Who has just had an answer is
        left alone, since a reset could overtake it. Hurts where more clients share a front than it has places
        for.
        """
        self.log.increment("clients_full")
        while not self._ended.is_set():
            now = self.clock.now()
            with self._lock:
                mute = [connection for connection in self._open if not connection.asked]
                idle = [connection for connection in self._open if connection.idle]
            go = [connection for connection in mute if now - connection.since > FRESH]
            go = go or (idle if len(mute) < self.limits.max_client_connections // 4 else [])
            go = sorted((it for it in go if now - it.since > FRESH), key=lambda it: (it.owed, it.since))
            if any(connection.evict() for connection in go):
                self.log.increment("clients_evicted")
            if self._room.acquire(timeout=0.02):
                return True
        return False

    def _watch(self) -> None:
        """Ends what is past its limit."""
        while not self._ended.wait(LIMITS_EVERY):
            now = self.clock.now()
            with self._lock:
                past = [connection for connection in self._open if 0 < connection.limit < now]
            for connection in past:
                self.log.increment("clients_past_limit")
                try:
                    connection.expire()
                except Exception:  # one connection's fault must not leave the others without limits
                    self.log.exception("connection_fault")

    def _start(self, sock: socket.socket) -> None:
        connection = DownstreamConnection(self, sock)
        with self._lock:
            self._open.add(connection)
            self.peak_count = max(self.peak_count, len(self._open))
        try:
            # Not by threading.Thread, whose start waits until the new thread has run: with a full core that
            # is a hand-over for each connection, and the accept thread takes no other meanwhile.
            _thread.start_new_thread(connection.run, ())
        except RuntimeError:
            self.log.increment("threads_short")
            sock.close()
            self.forget(connection)

    def forget(self, connection: DownstreamConnection) -> None:
        """A connection has ended."""
        with self._lock:
            self._open.discard(connection)
        self._room.release()

    def hold(self, size: int) -> bool:
        """Whether there is room for a large request body; if so it is taken until `let_go`."""
        with self._lock:
            fits = self._large + size <= self.limits.large_body_bytes
            self._large += size * fits
        return fits

    def let_go(self, size: int) -> None:
        """A large request body is held no more."""
        with self._lock:
            self._large -= size

    def drain(self) -> None:
        """From now on every answer ends its connection."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Half-closes connections on which nothing is open."""
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            connection.close_if_idle()

    @property
    def has_pending_responses(self) -> bool:
        """Whether a client waits for an answer that is not written whole, or has begun a request."""
        with self._lock:
            return any(connection.owed for connection in self._open)

    def stop_accepting(self, within: float = STOP_WITHIN) -> None:
        """Ends the listener once all that the machine has accepted for it is taken; waits so many seconds."""
        self._stopping = True
        if self._acceptor is not None:
            self._acceptor.join(within)

    def stop_watching(self) -> None:
        """Ends the watch over limits, last of all."""
        self._ended.set()


class ResponseWriters:
    """A few threads that write answers as far as the machine takes them at once.

    What a client does not take at once is finished by a thread of its own: who reads slowly holds up
    nobody, and the engine never starts a thread.
    """

    def __init__(self, count: int, log: EventLog) -> None:
        self._log = log
        self._jobs: queue.SimpleQueue[tuple[DownstreamConnection, Exchange, Response]] = queue.SimpleQueue()
        for _ in range(count):
            threading.Thread(target=self._run, name="writer", daemon=True).start()

    def submit(self, connection: DownstreamConnection, exchange: Exchange, answer: Response) -> None:
        self._jobs.put((connection, exchange, answer))

    def _run(self) -> None:
        while True:
            connection, exchange, answer = self._jobs.get()
            try:
                left = connection.write(exchange, answer)
                if left:
                    self._log.increment("slow_clients")
                    rest = (connection, exchange, answer, left)
                    threading.Thread(target=self._rest, args=rest, name="slow-writer", daemon=True).start()
            except RuntimeError:  # no thread to be had: the client can tell that its answer is not whole
                self._log.increment("threads_short")
                connection.give_up(exchange, answer)
            except Exception:
                self._log.exception("writer_fault")
                connection.cut()

    def _rest(
        self, connection: DownstreamConnection, exchange: Exchange, answer: Response, left: list[memoryview]
    ) -> None:
        try:
            connection.finish(exchange, answer, left)
        except Exception:
            self._log.exception("writer_fault")


class DownstreamConnection:
    """One client's connection; one request is open on it at most."""

    def __init__(self, side: DownstreamServer, sock: socket.socket) -> None:
        self._side, self._sock = side, sock
        self._lock = threading.Lock()
        self._parser = http1.RequestParser(side.limits.max_head_size, side.limits.max_request_body)
        self._exchange: Exchange | None = None
        self._large = 0  # bytes of its request's body for which it has taken room
        self._keeps = True  # what the request in hand says of the connection
        self._closes = False  # what the answer in hand says of it
        self._ending = False  # our last answer has gone out, or none will
        self._slow = False  # a writer waits, with the lock, for the client to take an answer
        self._gone = False
        self._dropped = 0  # bytes that came after our end
        self.asked = False  # a request has come whole
        self.since = side.clock.now()  # when it last had nothing open
        # By then it must have got on, however its bytes trickle; 0: the engine's own deadline holds.
        self.limit = self.since + side.limits.first_request_timeout

    @property
    def idle(self) -> bool:
        """Whether it has asked before, and nothing is open."""
        return self.asked and self._exchange is None

    @property
    def owed(self) -> bool:
        """Whether the client waits for an answer, or has begun a request."""
        return self._exchange is not None or not (self._ending or self._parser.idle)

    @property
    def quiet(self) -> bool:
        """Whether nothing has come that waits to be read: on a busy front a request may."""
        return sockets.has_nothing_unread(self._sock)

    def deserted(self) -> bool:
        """Whether the client has closed, reset or half-closed, also where its reader is late to see it."""
        return self._gone or sockets.is_closed_by_peer(self._sock)

    def evict(self) -> bool:
        """Ends it at once, unless something is open or waits to be read; what comes later is not taken up."""
        if not self._lock.acquire(blocking=False):
            return False  # its reader or a writer has it in hand
        try:
            if self._exchange is not None or not self.quiet:
                return False
            self._shut()
            return True
        finally:
            self._lock.release()

    def expire(self) -> None:
        """Past its limit: half a request gets an answer, who does not read or end gets none."""
        if not self._lock.acquire(blocking=False):
            if self._slow:  # else its reader has just got on with it
                self.limit = 0
                self.cut()
            return
        try:
            now = self._side.clock.now()
            if not 0 < self.limit < now:
                return  # a request has come since the limit was looked at
            if self._ending or self._exchange is not None:
                self._shut()
            elif self._parser.idle and not self.quiet:
                self.limit = now + GRACE  # its reader is late, not the client
            elif self._parser.idle:
                self._finish_sending()
            else:
                self._keeps = False
                self._send(408, {})
        finally:
            self._lock.release()

    def _shut(self) -> None:
        """Ends both directions; with the lock held. What its reader still finds is not taken up."""
        self.limit, self._ending = 0, True
        sockets.shutdown(self._sock)

    # The reader's thread.

    def run(self) -> None:
        side = self._side
        room = side.read_buffers.acquire(1, 1.0)
        try:
            if room is None:
                side.log.increment("pool_empty")
            else:
                sockets.configure(self._sock, 0, side.limits.write_stall_timeout)
                sockets.set_send_buffer(self._sock, side.limits.max_response_body)
                self._read(memoryview(room[0]))
        except OSError:
            side.log.increment("client_reset")
        except Exception:
            side.log.exception("connection_fault")
        finally:
            self._end()
            if room:
                side.read_buffers.release(room)
            side.forget(self)

    def _read(self, view: memoryview) -> None:
        """Takes bytes only with the lock, as whoever ends the connection does.

        So a request that is read before our end is answered, and one read after it is not taken up: between
        a plain read and the lock another thread could end the connection under a request that nobody sees.
        """
        while sockets.wait_readable(self._sock):
            at = self._side.clock.now()
            with self._lock:
                try:
                    count = self._sock.recv_into(view, 0, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    continue
                if not count:
                    return
                if self._ending:  # bytes after our end are of no use; the client's own end is waited for
                    self._dropped += count
                    if self._dropped > LINGER_BYTES:
                        return
                elif self._exchange is not None:
                    self._ahead()
                else:
                    if self.asked and self._parser.idle:  # who rests may begin late, and then has its time
                        self.limit = at + self._side.limits.first_request_timeout
                    self._parser.feed(view[:count])
                    self._advance(at)

    def _end(self) -> None:
        """The client has gone, or we have."""
        self._gone = True  # before the engine hears of it: no attempt is begun from here on
        sockets.shutdown(self._sock)  # wakes a writer that waits for this client
        with self._lock:
            exchange, self._exchange = self._exchange, None
            self._let_go()
            self._sock.close()
        if exchange is not None:
            self._side.post(RequestAbandoned(exchange))

    # Either thread, with the lock held.

    def _advance(self, at: int) -> None:
        """Takes the next request out of what has been read, once none is open."""
        while self._exchange is None and not self._ending:
            try:
                message = self._parser.take()
                if message is None:
                    self._make_room_for(self._parser.expects)
                    return
                self._keeps = message.keeps_alive
                self._route(message, at)
                if self._exchange is not None and self._parser.held:
                    self._ahead()
            except HttpError as fault:
                self._side.log.increment(f"bad_request_{fault.status}")
                self._keeps = False
                self._send(fault.status, {"Allow": "GET, PUT"} if fault.status == 405 else {})

    def _make_room_for(self, size: int) -> None:
        """A large body is read only where there is room for it; else its client may come again."""
        if size > self._side.limits.small_body_size and not self._large:
            if not self._side.hold(size):
                raise HttpError(REFUSED, "no room for a body")
            self._large = size

    def _let_go(self) -> None:
        """The request in hand is over, and its body with it."""
        if self._large:
            self._side.let_go(self._large)
            self._large = 0

    def _ahead(self) -> None:
        """Bytes before the answer: a client has one request at a time, so these are not taken up."""
        self._side.log.increment("sent_ahead")
        self._keeps = False

    def _route(self, message: Message[RequestLine], at: int) -> None:
        method, target, _ = message.start_line
        if method not in ("GET", "PUT"):
            raise HttpError(405, "only GET and PUT")
        if target == HEALTH:
            self._send(REFUSED if self._side.is_draining else 200, {})
            return
        match = TARGET.fullmatch(target)
        if match is None or match[1] not in self._side.classes:
            raise HttpError(404, "unknown target")
        writes = method == "PUT"
        if writes and not self._side.classes[match[1]].is_uncacheable:
            raise HttpError(405, "a class that nobody writes")
        self._exchange = exchange = Exchange(
            id=_value(message, "x-call-id", CALL_ID),
            class_name=match[1],
            object=match[2],
            part=int(match[3]),
            group=_group(message),
            etag="" if writes else _own_tag(message),
            body=message.body,
            timeout=int(_value(message, "x-patience-ms", PATIENCE)) * MILLISECOND,
            received_at=at,
            deliver=self._deliver,
            is_client_gone=self.deserted,
            is_write=writes,
            idempotency_key=_value(message, "x-dedupe-key", DEDUPE) if message.header("x-dedupe-key") else "",
        )
        self.asked, self.limit = True, 0
        self._side.post(RequestReceived(exchange))

    def _send(self, status: int, headers: dict[str, str]) -> None:
        """Writes an answer of the front's own, which has no body; who does not even take that is cut."""
        closes = not self._stays  # once: a drain that begins meanwhile must not end what was told to stay
        try:
            head = http1.response_head(status, 0, headers, closes)
            left = sockets.send_buffers(self._sock, [head], socket.MSG_DONTWAIT)
        except OSError:
            left = [memoryview(b"")]
        if left:
            self.cut()
        if left or closes:
            self._finish_sending()
        else:
            self._rest()

    @property
    def _stays(self) -> bool:
        return self._keeps and not self._side.is_draining

    def cut(self) -> None:
        """Ends the connection at once; the client can tell that its answer is not whole."""
        self._side.log.increment("answers_cut")
        self._keeps = False
        sockets.shutdown(self._sock)

    def _finish_sending(self) -> None:
        """Our end; the client has a while for its own."""
        self._ending, self.limit = True, self._side.clock.now() + LINGER
        self._parser.clear()
        self._let_go()
        sockets.shutdown(self._sock, socket.SHUT_WR)

    def _rest(self) -> None:
        """Nothing is open: the next request must be whole in time."""
        self._let_go()
        self.since = self._side.clock.now()
        self.limit = self.since + self._side.limits.keepalive_timeout

    # The engine's thread, then a writer's.

    def _deliver(self, exchange: Exchange, answer: Response) -> None:
        self._side.writers.submit(self, exchange, answer)

    def write(self, exchange: Exchange, answer: Response) -> list[memoryview]:
        """Writes the final answer; returns what the machine would not take without waiting."""
        with self._lock:
            if self._exchange is not exchange or self._gone:
                answer.release()
                return []
            self._closes = not self._stays
            parts = _parts(answer, self._closes)
            try:
                left = sockets.send_buffers(self._sock, parts, socket.MSG_DONTWAIT)
            except OSError:
                self.cut()
                left = []
            if left:
                now, bounds = self._side.clock.now(), self._side.limits
                until = max(exchange.received_at + exchange.timeout, now + bounds.write_stall_timeout)
                self.limit = min(until, now + bounds.slow_client_timeout)
            else:
                self._written(answer)
            return left

    def finish(self, exchange: Exchange, answer: Response, left: list[memoryview]) -> None:
        """Writes the rest, waiting for the client, until it takes nothing for as long as a stall may last."""
        with self._lock:
            if self._exchange is not exchange or self._gone:
                answer.release()
                return
            self._slow = True
            try:
                sockets.send_buffers(self._sock, left)
            except OSError:
                self.cut()
            self._slow = False
            self._written(answer)

    def give_up(self, exchange: Exchange, answer: Response) -> None:
        """Leaves an answer that nobody can finish."""
        with self._lock:
            if self._exchange is exchange and not self._gone:
                self.cut()
                self._written(answer)
            else:
                answer.release()

    def _written(self, answer: Response) -> None:
        """After an answer: the connection is free, or ends."""
        answer.release()
        self._side.log.increment(answer.kind.value)
        self._exchange = None
        if self._closes or not self._keeps:
            self._finish_sending()
        else:
            self._rest()

    # The thread that ends the front.

    def close_if_idle(self) -> None:
        with self._lock:
            idle = self._exchange is None and self._parser.idle and not self._ending and not self._gone
            if idle and self.quiet:  # a request that waits to be read gets its answer, which ends it
                self._finish_sending()


def _parts(answer: Response, close: bool) -> list[bytes | memoryview]:
    """The final answer as HTTP has it."""
    headers = {"ETag": f'"{answer.etag}"'} if answer.etag else {}
    if answer.kind is ResponseKind.SERVED and answer.body is not None:
        return [http1.response_head(200, answer.body.length, headers, close), *answer.body.parts()]
    if answer.kind is ResponseKind.NOT_MODIFIED:
        return [http1.response_head(304, None, headers, close)]
    if answer.kind is ResponseKind.REJECTED:
        if answer.retry_after > 0:
            headers["X-Come-Back-Ms"] = str(max(1, answer.retry_after // MILLISECOND))
        return [http1.response_head(REFUSED, 0, headers, close)]
    return [http1.response_head(FAILED, 0, headers, close)]


def _value(message: Message[RequestLine], name: str, form: re.Pattern[str]) -> str:
    value = message.header(name)
    if value is None or not form.fullmatch(value):
        raise HttpError(400, f"missing or bad '{name}'")
    return value


def _group(message: Message[RequestLine]) -> int:
    group = int(_value(message, "x-set", GROUP))
    if group > 255:
        raise HttpError(400, "bad 'x-set'")
    return group


def _own_tag(message: Message[RequestLine]) -> str:
    """The client's one strong tag, bare; lists, weak tags and what the members' wire can't hold give none."""
    values = message.headers.get("if-none-match", ())
    match = STRONG_TAG.fullmatch(values[0]) if len(values) == 1 else None
    return match[1] if match else ""
