"""Writer of an upstream connection: the thread that connects, writes, and closes the socket at the end."""

from __future__ import annotations

import queue
import socket
import threading
import time
from functools import partial

from olivepost.proxy import sockets
from olivepost.proxy.threads import start_thread
from olivepost.proxy.upstream.connection import UpstreamConnection, WriterSignal
from olivepost.proxy.upstream.line_protocol import encode_command
from olivepost.proxy.upstream.reader import ConnectionReader
from olivepost.proxy.upstream.request import UpstreamAborted, UpstreamRequest
from olivepost.units import SECOND, Duration

LIVENESS_COMMAND = encode_command("alive", "link")
IDLE_MARGIN: Duration = 1 * SECOND  # by which the proxy closes an idle connection before its endpoint does
READER_START_TIMEOUT_S = 0.2  # for a thread to read with, where the system has none at once
LOCAL_FAILURE_PAUSE_S = 0.02  # before another attempt to connect
DRAIN_POLL_S = 0.1  # how often a draining connection's pending requests are counted


class ConnectionWriter:
    """Takes requests and aborts from a connection's outbox and writes them; owns the socket and the reader.

    `start` is called by the event loop, all else runs on the thread that it starts.
    """

    def __init__(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        self._resources = connection.resources
        self._is_draining = False
        self._is_local_failure = False  # the connection ended for want of the process's own

    def start(self) -> None:
        """Start the thread; RuntimeError where the system has none left."""
        start_thread(self._run, f"upstream-writer-{self._connection.address.id}")

    def _run(self) -> None:
        connection = self._connection
        sock = self._connect()
        if sock is None:
            connection.end(self._is_local_failure)
            connection.is_closed = True
            return
        connection.attach(sock)
        reader: threading.Thread | None = None
        try:
            run_reader = partial(ConnectionReader(connection).run, sock)
            reader = start_thread(run_reader, "upstream-reader", READER_START_TIMEOUT_S)
            self._write(sock)
        except OSError as error:
            connection.record_loss(error.strerror or str(error))
        except RuntimeError as error:  # no thread to read with
            self._is_local_failure = True
            self._resources.log.increment("threads_short")
            connection.record_loss(str(error))
        except Exception:  # a thread's top: its connection must end and be reported whatever went wrong
            self._resources.log.exception("upstream_connection_error", endpoint=connection.address.id)
        finally:
            connection.end(self._is_local_failure)
            sockets.shutdown(sock)
            if reader is not None:
                reader.join()
            sock.close()
            connection.is_closed = True

    def _connect(self) -> socket.socket | None:
        """Return a connected socket; None, and logged, where the endpoint can't be reached.

        What the system refuses for want of its own is tried again within the time to connect.
        """
        log = self._resources.log
        until = time.monotonic() + self._resources.limits.connect_timeout / SECOND
        while True:
            try:
                sock = self._connect_once()
            except OSError as error:
                self._is_local_failure = error.errno in sockets.LOCAL_FAILURES
                if self._is_local_failure and time.monotonic() < until:
                    time.sleep(LOCAL_FAILURE_PAUSE_S)
                    continue
                reason = error.strerror or str(error)
                log.increment("connect_failed")
                log.sampled_event("connect_failed", endpoint=self._connection.address.id, reason=reason)
                return None
            self._is_local_failure = False
            log.increment("upstream_connections_opened")
            return sock

    def _connect_once(self) -> socket.socket:
        limits = self._resources.limits
        address = self._connection.address.socket_address
        if address is None:
            raise ConnectionError("the endpoint list has no address for it")
        return sockets.connect(
            address,
            limits.connect_timeout,
            limits.receive_poll_interval,
            limits.write_stall_timeout,
        )

    def _write(self, sock: socket.socket) -> None:
        """Write what the outbox brings, until the connection ends or was idle nearly as long as it may be."""
        connection = self._connection
        idle_timeout = self._resources.limits.upstream_idle_timeout
        idle_timeout_s = max(idle_timeout - IDLE_MARGIN, idle_timeout // 2) / SECOND
        while not connection.is_closing and not (self._is_draining and not connection.pending_count):
            timeout_s = DRAIN_POLL_S if self._is_draining else idle_timeout_s
            try:
                message = connection.outbox.get(timeout=timeout_s)
            except queue.Empty:
                connection.close_if_unused()
                continue
            if isinstance(message, UpstreamRequest):
                self._write_request(sock, message)
            elif isinstance(message, UpstreamAborted):
                self._send(sock, encode_command("abort", message.request.exchange.id), None)
                connection.confirm_abort(message)
            elif message is WriterSignal.DRAIN:
                self._is_draining = True
            else:
                self._send(sock, LIVENESS_COMMAND, None)

    def _write_request(self, sock: socket.socket, request: UpstreamRequest) -> None:
        exchange = request.exchange
        # The event loop is about to learn of a client that has gone, and takes the request back.
        if exchange.is_client_disconnected():
            self._resources.log.increment("requests_of_disconnected_clients")
            return
        now = self._resources.clock.now()
        # An endpoint may close an idle connection, and its reader may not have come to that yet. A request
        # that is written then may have run for all that is known; one not begun is forwarded again.
        if self._connection.pending_count <= 1 and self._connection.liveness.is_idle(now):
            if sockets.is_closed_by_peer(sock):
                raise ConnectionError("closed by the endpoint while idle")
            now = self._resources.clock.now()  # the check may have waited: `start_before` is a strict bound
        if self._connection.start_writing(request, now):
            # Encoded only now, so that a body is not held once more while its request waits.
            data = encode_command("fetch", exchange.id, request.fields, exchange.body)
            self._send(sock, data, request)

    def _send(self, sock: socket.socket, data: bytes, request: UpstreamRequest | None) -> None:
        """Write one command to its end; OSError where the endpoint takes none of it for too long."""
        view = memoryview(data)
        if request is not None:
            # Before the first byte: whoever ends the connection meanwhile must take it as begun.
            request.is_started = True
        while view:
            try:
                view = view[sockets.send(sock, view) :]
            except OSError:
                if request is not None and len(view) == len(data):
                    request.is_started = False
                raise
