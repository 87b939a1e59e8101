"""Admission of accepted connections: one slot each, up to the connection cap, and a reader thread."""

from __future__ import annotations

import _thread
import socket
import threading
import time

from olivepost.proxy.downstream.connection import DownstreamConnection
from olivepost.proxy.downstream.connection_lifecycle import ConnectionLifecycle
from olivepost.proxy.downstream.connection_set import ConnectionSet
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.eviction import ConnectionEvictor
from olivepost.proxy.downstream.response_writer import ResponseWriters

SLOT_RETRY_INTERVAL_S = 0.02  # between two attempts to evict a connection at the cap
# Attempts to start a connection's reader thread, and the pause between two: a second in all.
READER_START_ATTEMPTS = 100
READER_START_PAUSE_S = 0.01


class ConnectionAdmission:
    """Turns accepted sockets into connections.

    The accept thread calls `admit`, the main thread sets `connection_limit`, and each connection's reader
    thread gives its slot back at the end. The semaphore counts the free slots; `stopped` ends a wait for one.
    """

    def __init__(
        self,
        context: DownstreamContext,
        connections: ConnectionSet,
        evictor: ConnectionEvictor,
        stopped: threading.Event,
    ) -> None:
        # Connections that may be open at the present level of memory pressure; at most one per slot.
        self.connection_limit = context.limits.max_client_connections
        self._context = context
        self._connections = connections
        self._evictor = evictor
        self._stopped = stopped
        self._writers = ResponseWriters(context.limits.writer_threads, context.log)
        self._slots = threading.Semaphore(context.limits.max_client_connections)

    def admit(self, sock: socket.socket) -> None:
        """Starts a connection once there is a slot; closes the socket where `stopped` is set before."""
        if not (self._take_free_slot() or self._wait_for_slot()):
            sock.close()
            return
        try:
            self._start_connection(sock)
        except BaseException:
            self._slots.release()
            sock.close()
            raise

    def _take_free_slot(self) -> bool:
        """Takes a slot, if one is free and memory pressure allows one more connection."""
        return not self._is_at_memory_limit and self._slots.acquire(blocking=False)

    @property
    def _is_at_memory_limit(self) -> bool:
        """Whether memory pressure keeps free slots unused."""
        is_limited = self.connection_limit < self._context.limits.max_client_connections
        return is_limited and len(self._connections) >= self.connection_limit

    def _wait_for_slot(self) -> bool:
        """Takes a slot at the cap: evicts a connection, or waits where none can be; False where it stops."""
        self._context.log.increment("connection_cap_reached")
        while not self._stopped.is_set():
            self._evictor.evict_one()
            if self._is_at_memory_limit:
                self._stopped.wait(SLOT_RETRY_INTERVAL_S)
            elif self._slots.acquire(timeout=SLOT_RETRY_INTERVAL_S):
                return True
        return False

    def _start_connection(self, sock: socket.socket) -> None:
        connection = DownstreamConnection(self._context, sock, self._writers, self._remove)
        self._connections.add(connection.lifecycle)
        if not self._start_reader(connection):
            sock.close()
            self._remove(connection.lifecycle)

    def _start_reader(self, connection: DownstreamConnection) -> bool:
        """Starts a connection's thread; where the system has none, idle connections give theirs up.

        The client may have sent a request already, so the connection waits for a thread before it is closed.
        """
        for _ in range(READER_START_ATTEMPTS):
            try:
                # threading.Thread.start waits until the new thread has run: on a busy core that is a thread
                # switch for each connection, during which no other is accepted.
                _thread.start_new_thread(connection.run, ())
            except RuntimeError:
                self._context.log.increment("threads_short")
                self._evictor.evict_idle(needed=connection.lifecycle)
                time.sleep(READER_START_PAUSE_S)
            else:
                return True
        return False

    def _remove(self, connection: ConnectionLifecycle) -> None:
        """Removes a connection whose socket is closed, and frees its slot; its reader thread calls this."""
        self._connections.discard(connection)
        self._slots.release()
