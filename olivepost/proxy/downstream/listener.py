"""The downstream listener: accepts connections, keeps their cap, and ends those past their deadline."""

from __future__ import annotations

import _thread
import errno
import socket
import threading
import time
from functools import partial

from olivepost.config import Address
from olivepost.proxy import sockets
from olivepost.proxy.downstream.connection import DownstreamConnection
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.response_writer import ResponseWriters
from olivepost.proxy.threads import START_TIMEOUT_S, start_thread
from olivepost.units import MILLISECOND, Duration

ACCEPT_STOP_TIMEOUT_S = 1.0  # seconds that the accept thread has to take what the kernel has accepted
DEADLINE_CHECK_INTERVAL_S = 0.1  # by which a connection may outlive its deadline
ACCEPT_TIMEOUT: Duration = 50 * MILLISECOND  # between two checks for the end of the listener
ACCEPT_RETRY_PAUSE_S = 0.05  # without descriptors: what is open must end first
SLOT_RETRY_INTERVAL_S = 0.02  # between two attempts to evict a connection at the cap
# A connection that was accepted, or became idle, less long ago is not evicted: its request may be on its way,
# and a reset could overtake its response.
MIN_IDLE_BEFORE_EVICTION: Duration = 50 * MILLISECOND
# For the address to come free, at a start right behind a kill; and between two attempts to bind.
BIND_TIMEOUT_S = 8.0
BIND_RETRY_PAUSE_S = 0.05
# Attempts to start a connection's thread, and the pause between two: a second in all.
READER_START_TRIES = 100
READER_START_PAUSE_S = 0.01
MAX_EVICTIONS_AT_ONCE = 8  # idle connections that one check under memory pressure closes
# From this part of the cap on (1/4), connections without any request yet are a flood, which is waited out:
# connections that have had requests are evicted only below it.
UNUSED_FLOOD_DIVISOR = 4


class DownstreamServer:
    """Owns the listener and all downstream connections.

    `_lock` guards `_connections` and `peak_count`. Three kinds of threads belong to it: the accept thread,
    the deadline thread, and a reader thread for each connection.
    """

    def __init__(self, context: DownstreamContext) -> None:
        self.context = context
        self.writers = ResponseWriters(context.limits.writer_threads, context.log)
        self.peak_count = 0  # of connections open at the same time
        self._slots = threading.Semaphore(context.limits.max_client_connections)
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._connections: set[DownstreamConnection] = set()
        self._acceptor: threading.Thread | None = None
        self._is_stopping = False
        self._connection_limit = context.limits.max_client_connections

    @property
    def open_count(self) -> int:
        """Connections that are open."""
        return len(self._connections)

    @property
    def is_draining(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self.context.is_draining

    @property
    def has_pending_responses(self) -> bool:
        """Whether a client waits for the rest of a response, or has sent a part of a request."""
        with self._lock:
            return any(connection.has_pending_response for connection in self._connections)

    def listen(self, address: Address) -> Address:
        """Binds and starts to accept; returns the bound address; raises OSError.

        Takes an address also where connections of a proxy that was killed still hold it.
        """
        listener = self._bind_in_time(address)
        bound: Address = listener.getsockname()
        self._acceptor = start_thread(partial(self._accept, listener), "accept", START_TIMEOUT_S)
        start_thread(self._enforce_deadlines, "deadlines", START_TIMEOUT_S)
        return bound

    def _bind_in_time(self, address: Address) -> socket.socket:
        """Binds, and tries again for a while: a process that was killed may hold the address still."""
        until = time.monotonic() + BIND_TIMEOUT_S
        while True:
            try:
                return self._bind(address)
            except OSError as error:
                if time.monotonic() >= until:
                    raise
                self.context.log.sampled_event("bind_failed", reason=error.strerror)
                time.sleep(BIND_RETRY_PAUSE_S)

    def _bind(self, address: Address) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            sockets.set_receive_timeout(listener, ACCEPT_TIMEOUT)
            listener.listen(self.context.limits.backlog)
        except OSError:
            listener.close()
            raise
        return listener

    def limit_connections(self, limit: int) -> None:
        """Lets no further connection in while so many are open, as memory pressure asks for."""
        self._connection_limit = limit

    def evict_idle(self, needed: DownstreamConnection | None = None) -> None:
        """Ends a few connections without a request in flight, the longest idle first, but not `needed`."""
        for connection in self._eviction_candidates()[:MAX_EVICTIONS_AT_ONCE]:
            is_unused = connection is not needed and not connection.has_pending_response
            if is_unused and connection.evict():
                self.context.log.increment("connections_evicted")

    def drain(self) -> None:
        """Begins the graceful shutdown: every response from now on ends its connection."""
        self.context.is_draining = True

    def close_idle(self) -> None:
        """Half-closes connections without a request in flight."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            connection.close_if_idle()

    def stop_accepting(self, timeout_s: float = ACCEPT_STOP_TIMEOUT_S) -> None:
        """Closes the listener once all that the kernel has accepted is taken; waits `timeout_s` seconds."""
        self._is_stopping = True
        if self._acceptor is not None:
            self._acceptor.join(timeout_s)

    def stop_watching(self) -> None:
        """Ends the deadline thread, last of all."""
        self._stopped.set()

    # The accept thread.

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                if self._is_stopping:  # the kernel's queue is empty
                    break
                continue
            except OSError as error:
                self._record_accept_failure(error)
                continue
            try:
                self._admit(sock)
            except Exception:  # the top of a thread: no connection's fault may end the listener
                self.context.log.exception("accept_error")
        listener.close()

    def _admit(self, sock: socket.socket) -> None:
        """Starts a connection once there is a slot for it."""
        if not (self._has_room() or self._wait_for_slot()):
            sock.close()
            return
        try:
            self._start_connection(sock)
        except BaseException:
            self._slots.release()
            sock.close()
            raise

    def _has_room(self) -> bool:
        """Takes a slot, if one is free and the present level of memory use allows one more connection."""
        return not self._is_at_memory_limit and self._slots.acquire(blocking=False)

    @property
    def _is_at_memory_limit(self) -> bool:
        """Whether memory pressure keeps free slots unused."""
        is_limited = self._connection_limit < self.context.limits.max_client_connections
        return is_limited and self.open_count >= self._connection_limit

    def _record_accept_failure(self, error: OSError) -> None:
        log = self.context.log
        log.increment("accept_failed")
        if error.errno not in (errno.ECONNABORTED, errno.EINTR):
            log.sampled_event("accept_failed", reason=error.strerror)
            time.sleep(ACCEPT_RETRY_PAUSE_S)

    def _wait_for_slot(self) -> bool:
        """Takes a slot at the cap: evicts a connection, or waits where all are busy; false at the end.

        Guards against clients that connect and send nothing, or keep a connection that they don't use.
        Hurts where more clients share a proxy than it has slots for.
        """
        log = self.context.log
        log.increment("connection_cap_reached")
        while not self._stopped.is_set():
            if any(connection.evict() for connection in self._eviction_candidates()):
                log.increment("connections_evicted")
            if self._is_at_memory_limit:
                self._stopped.wait(SLOT_RETRY_INTERVAL_S)
            elif self._slots.acquire(timeout=SLOT_RETRY_INTERVAL_S):
                return True
        return False

    def _eviction_candidates(self) -> list[DownstreamConnection]:
        """Connections to evict, the first first: those without any request yet, then the longest idle."""
        latest = self.context.clock.now() - MIN_IDLE_BEFORE_EVICTION
        with self._lock:
            unused = [connection for connection in self._connections if not connection.has_received_request]
            idle = [connection for connection in self._connections if connection.is_idle]
        candidates = [connection for connection in unused if connection.idle_since < latest]
        if (
            not candidates
            and len(unused) < self.context.limits.max_client_connections // UNUSED_FLOOD_DIVISOR
        ):
            candidates = [connection for connection in idle if connection.idle_since < latest]
        return sorted(
            candidates, key=lambda connection: (connection.has_pending_response, connection.idle_since)
        )

    def _start_connection(self, sock: socket.socket) -> None:
        connection = DownstreamConnection(self.context, sock, self.writers, self._forget)
        with self._lock:
            self._connections.add(connection)
            self.peak_count = max(self.peak_count, len(self._connections))
        if not self._start_reader(connection):
            sock.close()
            self._forget(connection)

    def _start_reader(self, connection: DownstreamConnection) -> bool:
        """Starts a connection's thread; where the system has none, idle connections give theirs up.

        Its client may have sent a request already, so it is not closed until no thread came free in time.
        """
        for _ in range(READER_START_TRIES):
            try:
                # threading.Thread.start waits until the new thread has run: on a busy core that is a
                # hand-over for each connection, in which the accept thread takes no other.
                _thread.start_new_thread(connection.run, ())
            except RuntimeError:
                self.context.log.increment("threads_short")
                self.evict_idle(needed=connection)
                time.sleep(READER_START_PAUSE_S)
            else:
                return True
        return False

    # The reader threads.

    def _forget(self, connection: DownstreamConnection) -> None:
        """Removes a connection that has ended, and frees its slot."""
        with self._lock:
            self._connections.discard(connection)
        self._slots.release()

    # The deadline thread.

    def _enforce_deadlines(self) -> None:
        log = self.context.log
        while not self._stopped.wait(DEADLINE_CHECK_INTERVAL_S):
            try:
                self._expire_connections()
            except Exception:  # the top of a thread: the deadlines of all depend on it
                log.exception("deadline_error")

    def _expire_connections(self) -> None:
        log = self.context.log
        now = self.context.clock.now()
        with self._lock:
            expired = [connection for connection in self._connections if 0 < connection.deadline < now]
        for connection in expired:
            log.increment("connection_deadlines_exceeded")
            try:
                connection.expire()
            except Exception:  # a fault in one connection must not end the deadlines of all
                log.exception("downstream_connection_error")
