"""Admission of accepted connections: each gets a slot, up to the connection cap, and a reader thread."""

from __future__ import annotations

import _thread
import contextlib
import socket
import threading
import time
from collections.abc import Callable

from olivepost.proxy import sockets
from olivepost.proxy.downstream.connection import DownstreamConnection
from olivepost.proxy.downstream.connection_lifecycle import ConnectionLifecycle
from olivepost.proxy.downstream.connection_set import ConnectionSet
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.eviction import ConnectionEvictor
from olivepost.proxy.downstream.response_writer import ResponseWriters
from olivepost.proxy.http1.encoding import response_head
from olivepost.units import SECOND

SLOT_RETRY_INTERVAL_S = 0.02  # pause between two attempts to evict a connection at the connection cap
# Longest time until a client and all clients that wait behind it have each received a slot or a rejection.
MAX_SLOT_WAIT_S = 0.7
# Shortest timeout of a client that waits for a slot, if slots become free often enough for all waiting
# clients. A connection may be evicted only after it was idle for `MIN_IDLE_BEFORE_EVICTION`. With a shorter
# timeout, the client could be rejected before the connections that became idle last may be evicted.
PATIENT_SLOT_WAIT_S = 0.1
SLOT_WAIT_STEP = 0.25  # weight of a new sample in the moving average of waits for a slot
# Attempts to start a connection's reader thread, and the pause between two attempts: one second in total.
READER_START_ATTEMPTS = 100
READER_START_PAUSE_S = 0.01


class ConnectionAdmission:
    """Admission control, which turns accepted sockets into connections.

    The accept thread calls `admit`, and the main thread sets `connection_limit`. Each connection's reader
    thread releases the connection's slot when the connection ends. A slot permits one open connection, and
    the semaphore `_slots` counts the free slots. When `stopped` is set, a wait for a slot ends.
    """

    def __init__(
        self,
        context: DownstreamContext,
        connections: ConnectionSet,
        evictor: ConnectionEvictor,
        stopped: threading.Event,
    ) -> None:
        # Number of connections that may be open at the current memory pressure level; at most one per slot.
        self.connection_limit = context.limits.max_client_connections
        self._context = context
        self._connections = connections
        self._evictor = evictor
        self._stopped = stopped
        self._writers = ResponseWriters(context.limits.writer_threads, context.log)
        self._slots = threading.Semaphore(context.limits.max_client_connections)
        # Moving average of the waits for a slot at the connection cap, and the queue delay of the client that
        # is being admitted. The queue delay is the estimated time that this client has waited so far. Only
        # the accept thread uses these two fields.
        self._mean_slot_wait_s = 0.0
        self._queue_delay_s = 0.0

    def admit(self, sock: socket.socket, count_waiting: Callable[[], int]) -> None:
        """Starts a connection after it gets a slot; rejects it if no slot becomes free in time.

        `count_waiting` returns the number of connections that wait to be accepted behind this one. `admit`
        calls this function only at the connection cap.
        """
        self._queue_delay_s = 0.0
        try:
            has_slot = self._take_free_slot() or self._wait_for_slot(count_waiting())
        except BaseException:
            self._reject(sock)
            raise
        if not has_slot:
            self._reject(sock)
            return
        try:
            self._start_connection(sock)
        except BaseException:
            self._slots.release()
            sock.close()
            raise

    def _take_free_slot(self) -> bool:
        """Takes a slot if one is free and memory pressure allows it; returns whether a slot was taken."""
        return not self._is_at_memory_limit and self._slots.acquire(blocking=False)

    @property
    def _is_at_memory_limit(self) -> bool:
        """Whether memory pressure allows no further connection, even if slots are free."""
        is_limited = self.connection_limit < self._context.limits.max_client_connections
        return is_limited and len(self._connections) >= self.connection_limit

    def _slot_timeout_s(self, client_count: int) -> float:
        """Returns how long the first of `client_count` waiting clients may wait for a slot, in seconds.

        All of these clients are to get a slot or a rejection within `MAX_SLOT_WAIT_S`, so the timeout is an
        equal share of that time. If the mean wait so far shows that slots become free fast enough for all of
        them, the timeout is at least `PATIENT_SLOT_WAIT_S`.
        """
        timeout_s = MAX_SLOT_WAIT_S / client_count
        if self._mean_slot_wait_s * client_count <= MAX_SLOT_WAIT_S:
            return max(timeout_s, PATIENT_SLOT_WAIT_S)
        return timeout_s

    def _wait_for_slot(self, waiting_count: int) -> bool:
        """Waits for a slot at the connection cap; returns False if none becomes free or `stopped` is set.

        `waiting_count` is the number of clients that wait to be accepted behind this one. Evicts an idle
        connection. If all connections are in use, each response ends its connection during the wait, so that
        clients take turns. During a flood (at least a quarter of the cap is taken by connections without any
        request), responses don't end their connections, because the connections of the flood are evicted
        soon.
        """
        context = self._context
        context.log.increment("connection_cap_reached")
        timeout_s = self._slot_timeout_s(1 + waiting_count)
        began_at = time.monotonic()
        remaining_s = timeout_s
        try:
            while remaining_s > 0 and not self._stopped.is_set():
                is_evicted = self._evictor.evict_one()
                context.is_slot_wanted = not is_evicted and not self._evictor.has_unused_flood
                pause_s = min(SLOT_RETRY_INTERVAL_S, remaining_s)
                if self._is_at_memory_limit:
                    self._stopped.wait(pause_s)
                elif self._slots.acquire(timeout=pause_s):
                    return True
                remaining_s = began_at + timeout_s - time.monotonic()
        finally:
            context.is_slot_wanted = False
            waited_s = time.monotonic() - began_at
            self._mean_slot_wait_s += SLOT_WAIT_STEP * (waited_s - self._mean_slot_wait_s)
            # The queue delay includes the time that this client has waited to be accepted, behind other
            # clients. Their number is estimated by the number of the clients that now wait behind this one.
            self._queue_delay_s = waited_s + min(MAX_SLOT_WAIT_S, waiting_count * self._mean_slot_wait_s)
        return False

    def _reject(self, sock: socket.socket) -> None:
        """Sends status 503 to a client that gets no slot, then closes its connection; never waits.

        The bytes that the client has sent already are received before the close, because a close with unread
        bytes would reset the connection, and the reset could overtake the response.
        """
        self._context.log.increment("connections_rejected")
        with sock, contextlib.suppress(OSError):
            sockets.send_buffers(sock, [response_head(503, 0, {}, closes=True)], socket.MSG_DONTWAIT)
            sock.shutdown(socket.SHUT_WR)
            sock.recv(self._context.limits.max_head_bytes, socket.MSG_DONTWAIT)

    def _start_connection(self, sock: socket.socket) -> None:
        queue_delay = int(self._queue_delay_s * SECOND)
        connection = DownstreamConnection(self._context, sock, self._writers, self._remove, queue_delay)
        self._connections.add(connection.lifecycle)
        if not self._start_reader(connection):
            sock.close()
            self._remove(connection.lifecycle)

    def _start_reader(self, connection: DownstreamConnection) -> bool:
        """Starts a connection's reader thread; returns whether the system could start one.

        If the system can't, idle connections are evicted to free their threads, and the start is retried. The
        connection is not closed at the first failure, because the client may have sent a request already.
        """
        for _ in range(READER_START_ATTEMPTS):
            try:
                # `threading.Thread.start` is not used, because it waits until the new thread has run. On a
                # busy core, that wait costs a thread switch for each connection, and no other connection is
                # accepted during it.
                _thread.start_new_thread(connection.run, ())
            except RuntimeError:
                self._context.log.increment("threads_short")
                self._evictor.evict_idle(excluded=connection.lifecycle)
                time.sleep(READER_START_PAUSE_S)
            else:
                return True
        return False

    def _remove(self, connection: ConnectionLifecycle) -> None:
        """Removes a connection whose socket is closed, and releases its slot.

        The connection's reader thread calls this method. If no reader thread could be started, the accept
        thread does.
        """
        self._connections.discard(connection)
        self._slots.release()
