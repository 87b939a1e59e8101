"""The client side: the listener, a reader thread a connection, and writers for the answers.

A reader goes on reading while its request is open, so that a client that leaves is seen. Answers are
written by a few threads that wait for no client; one that reads slowly gets a thread of its own.
"""

from __future__ import annotations

import queue
import re
import socket
import threading
from collections.abc import Callable, Collection

from olivepost.config import MS, SECOND, Address, Bounds
from olivepost.net import http1, sockets
from olivepost.net.buffers import Pool
from olivepost.net.clock import Clock
from olivepost.net.exchange import Answer, Arrived, Exchange, Left, Verdict
from olivepost.net.http1 import HttpError, Message
from olivepost.net.log import Log

HEALTH = "/-/healthy"
TARGET = re.compile(r"/api/v2/([^/]+)/([0-9a-f]{16})/slice-(0|[1-9][0-9]{0,8})", re.ASCII)
CALL_ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
PATIENCE = re.compile(r"[0-9]{1,9}", re.ASCII)
GROUP = re.compile(r"[0-9]{1,3}", re.ASCII)
STRONG_TAG = re.compile(r'"([!#-+\--<>-~]{1,128})"', re.ASCII)  # that a field on the members' wire can hold
LINGER = 1 * SECOND  # for the client's end after ours, so that a reset does not overtake the answer
REFUSED, FAILED = 503, 502


class Clients:
    """Accepts connections and keeps count of them."""

    def __init__(
        self, bounds: Bounds, classes: Collection[str], pool: Pool, clock: Clock, log: Log,
        post: Callable[[Arrived | Left], None],
    ) -> None:
        self.bounds, self.classes, self.pool, self.clock, self.log, self.post = (
            bounds, classes, pool, clock, log, post,
        )
        self.draining = False
        self.writers = Writers(bounds.writers, log)
        self._room = threading.Semaphore(bounds.clients)
        self._lock = threading.Lock()
        self._open: set[Connection] = set()
        self._listener: socket.socket | None = None
        self.peak = 0

    @property
    def open(self) -> int:
        """Connections that are open."""
        return len(self._open)

    def listen(self, address: Address) -> Address:
        """Binds at once, also where the address was in use by a front that has died, and accepts."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(self.bounds.backlog)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), name="accept", daemon=True).start()
        bound: Address = listener.getsockname()
        return bound

    def _accept(self, listener: socket.socket) -> None:
        pause = threading.Event()
        while True:
            if not self._room.acquire(blocking=False):
                self.log.count("clients_full")
                self._room.acquire()  # further ones wait in the backlog
            try:
                sock, _ = listener.accept()
            except OSError as fault:
                self._room.release()
                if self._listener is None:
                    return
                self.log.count("accept_failed")
                self.log.event("accept_failed", why=fault.strerror)
                pause.wait(0.05)  # out of descriptors: what is open must end first
                continue
            self._start(sock)

    def _start(self, sock: socket.socket) -> None:
        connection = Connection(self, sock)
        with self._lock:
            self._open.add(connection)
            self.peak = max(self.peak, len(self._open))
        try:
            threading.Thread(target=connection.run, name="client", daemon=True).start()
        except RuntimeError:
            self.log.count("threads_short")
            sock.close()
            self.gone(connection)

    def gone(self, connection: Connection) -> None:
        """A connection has ended."""
        with self._lock:
            self._open.discard(connection)
        self._room.release()

    def drain(self) -> None:
        """From now on every answer ends its connection."""
        self.draining = True

    def close_idle(self) -> None:
        """Half-closes connections on which nothing is open."""
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            connection.close_if_idle()

    def stop(self) -> None:
        """Ends the listener."""
        listener, self._listener = self._listener, None
        if listener is not None:
            sockets.hang_up(listener)
            listener.close()


class Writers:
    """A few threads that write answers as far as the machine takes them at once.

    What a client does not take at once is finished by a thread of its own: who reads slowly holds up
    nobody, and the engine never starts a thread.
    """

    def __init__(self, count: int, log: Log) -> None:
        self._log = log
        self._jobs: queue.SimpleQueue[tuple[Connection, Exchange, Answer]] = queue.SimpleQueue()
        for _ in range(count):
            threading.Thread(target=self._run, name="writer", daemon=True).start()

    def submit(self, connection: Connection, exchange: Exchange, answer: Answer) -> None:
        self._jobs.put((connection, exchange, answer))

    def _run(self) -> None:
        while True:
            connection, exchange, answer = self._jobs.get()
            try:
                left = connection.write(exchange, answer)
                if left:
                    self._log.count("slow_clients")
                    rest = (connection, exchange, answer, left)
                    threading.Thread(target=self._rest, args=rest, name="slow-writer", daemon=True).start()
            except Exception:
                self._log.fault("writer_fault")
                connection.cut()

    def _rest(
        self, connection: Connection, exchange: Exchange, answer: Answer, left: list[memoryview]
    ) -> None:
        try:
            connection.finish(exchange, answer, left)
        except Exception:
            self._log.fault("writer_fault")


class Connection:
    """One client's connection; one request is open on it at most."""

    def __init__(self, side: Clients, sock: socket.socket) -> None:
        self._side, self._sock = side, sock
        self._lock = threading.Lock()
        self._parser = http1.Parser(side.bounds.head_size, side.bounds.buffer_size)
        self._exchange: Exchange | None = None
        self._keeps = True  # what the request in hand says of the connection
        self._closes = False  # what the answer in hand says of it
        self._ending = False  # our last answer has gone out
        self._gone = False
        self._room = threading.Condition(self._lock)

    # The reader's thread.

    def run(self) -> None:
        side = self._side
        room = side.pool.take(1, 1.0)
        try:
            if room is None:
                side.log.count("pool_empty")
            else:
                sockets.tune(self._sock, side.bounds.client_idle, side.bounds.stall)
                sockets.widen(self._sock, side.bounds.body_size)
                self._read(memoryview(room[0]))
        except OSError:
            side.log.count("client_reset")
        except Exception:
            side.log.fault("connection_fault")
        finally:
            self._end()
            if room:
                side.pool.give_back(room)
            side.gone(self)

    def _read(self, view: memoryview) -> None:
        while True:
            try:
                count = self._sock.recv_into(view)
            except BlockingIOError:  # nothing for as long as the receive limit says
                if self._exchange is not None:
                    continue
                return
            if not count:
                return
            at = self._side.clock.now()
            with self._lock:
                if self._ending:
                    continue  # bytes after our end are of no use; the client's own end is waited for
                self._parser.feed(view[:count])
                self._advance(at)
                # A client that sends on while its request is open is read no further than one more request.
                full = self._side.bounds.head_size + self._side.bounds.buffer_size
                while self._exchange is not None and self._parser.held > full and not self._gone:
                    self._room.wait()

    def _end(self) -> None:
        """The client has gone, or we have."""
        sockets.hang_up(self._sock)  # wakes a writer that waits for this client
        with self._lock:
            self._gone = True
            exchange, self._exchange = self._exchange, None
            self._sock.close()
        if exchange is not None:
            self._side.post(Left(exchange))

    # Either thread, with the lock held.

    def _advance(self, at: int) -> None:
        """Takes the next request out of what has been read, once none is open."""
        while self._exchange is None and not self._ending:
            try:
                message = self._parser.take()
                if message is None:
                    return
                self._keeps = message.keeps_alive
                self._route(message, at)
            except HttpError as fault:
                self._side.log.count(f"bad_request_{fault.status}")
                self._keeps = False
                self._send(fault.status, {"Allow": "GET"} if fault.status == 405 else {})

    def _route(self, message: Message, at: int) -> None:
        method, target = message.first
        if method != "GET":
            raise HttpError(405, "only GET")
        if target == HEALTH:
            self._send(REFUSED if self._side.draining else 200, {})
            return
        match = TARGET.fullmatch(target)
        if match is None or match[1] not in self._side.classes:
            raise HttpError(404, "unknown target")
        self._exchange = exchange = Exchange(
            id=_value(message, "x-call-id", CALL_ID),
            class_name=match[1],
            object=match[2],
            part=int(match[3]),
            group=_group(message),
            tag=_own_tag(message),
            payload=message.body,
            patience=int(_value(message, "x-patience-ms", PATIENCE)) * MS,
            arrived=at,
            deliver=self._deliver,
        )
        self._side.post(Arrived(exchange))

    def _send(self, status: int, headers: dict[str, str]) -> None:
        """Writes an answer of the front's own, which has no body."""
        closes = not self._stays  # once: a drain that begins meanwhile must not end what was told to stay
        try:
            sockets.send_parts(self._sock, [http1.answer_head(status, 0, headers, closes)])
        except OSError:
            self.cut()
            closes = True
        if closes:
            self._finish_sending()

    @property
    def _stays(self) -> bool:
        return self._keeps and not self._side.draining

    def cut(self) -> None:
        """Ends the connection at once; the client can tell that its answer is not whole."""
        self._side.log.count("answers_cut")
        self._keeps = False
        sockets.hang_up(self._sock)

    def _finish_sending(self) -> None:
        self._ending = True
        try:
            sockets.tune(self._sock, LINGER, LINGER)
        except OSError:
            return
        sockets.hang_up(self._sock, socket.SHUT_WR)

    # The engine's thread, then a writer's.

    def _deliver(self, exchange: Exchange, answer: Answer) -> None:
        self._side.writers.submit(self, exchange, answer)

    def write(self, exchange: Exchange, answer: Answer) -> list[memoryview]:
        """Writes the final answer; returns what the machine would not take without waiting."""
        with self._lock:
            if self._exchange is not exchange or self._gone:
                answer.release()
                return []
            self._closes = not self._stays
            parts = _parts(answer, self._closes)
            try:
                left = sockets.send_parts(self._sock, parts, socket.MSG_DONTWAIT)
            except OSError:
                self.cut()
                left = []
            if not left:
                self._written(answer)
            return left

    def finish(self, exchange: Exchange, answer: Answer, left: list[memoryview]) -> None:
        """Writes the rest, waiting for the client, until it takes nothing for as long as a stall may last."""
        with self._lock:
            if self._exchange is not exchange or self._gone:
                answer.release()
                return
            try:
                sockets.send_parts(self._sock, left)
            except OSError:
                self.cut()
            self._written(answer)

    def _written(self, answer: Answer) -> None:
        """After an answer: the connection is free, and what has been read meanwhile is next."""
        answer.release()
        self._side.log.count(answer.verdict.value)
        self._exchange = None
        if self._closes or not self._keeps:
            self._finish_sending()
        self._advance(self._side.clock.now())
        self._room.notify_all()

    # The thread that ends the front.

    def close_if_idle(self) -> None:
        with self._lock:
            if self._exchange is None and self._parser.idle and not self._ending and not self._gone:
                self._finish_sending()


def _parts(answer: Answer, close: bool) -> list[bytes | memoryview]:
    """The final answer as HTTP has it."""
    headers = {"ETag": f'"{answer.tag}"'} if answer.tag else {}
    if answer.verdict is Verdict.SERVED and answer.body is not None:
        return [http1.answer_head(200, answer.body.length, headers, close), *answer.body.parts()]
    if answer.verdict is Verdict.CURRENT:
        return [http1.answer_head(304, None, headers, close)]
    if answer.verdict is Verdict.REFUSED:
        if answer.retry_after > 0:
            headers["X-Come-Back-Ms"] = str(max(1, answer.retry_after // MS))
        return [http1.answer_head(REFUSED, 0, headers, close)]
    return [http1.answer_head(FAILED, 0, headers, close)]


def _value(message: Message, name: str, form: re.Pattern[str]) -> str:
    value = message.header(name)
    if value is None or not form.fullmatch(value):
        raise HttpError(400, f"missing or bad '{name}'")
    return value


def _group(message: Message) -> int:
    group = int(_value(message, "x-set", GROUP))
    if group > 255:
        raise HttpError(400, "bad 'x-set'")
    return group


def _own_tag(message: Message) -> str:
    """The client's one strong tag, bare; lists, weak tags and what the members' wire can't hold give none."""
    values = message.headers.get("if-none-match", ())
    match = STRONG_TAG.fullmatch(values[0]) if len(values) == 1 else None
    return match[1] if match else ""
