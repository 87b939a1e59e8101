"""Writer of an upstream connection: the thread that connects, writes, and closes the socket at the end."""

from __future__ import annotations

import queue
import socket
import threading
import time
from functools import partial

from olivepost import interface as api
from olivepost.proxy import sockets
from olivepost.proxy.threads import start_thread
from olivepost.proxy.upstream.connection_context import ConnectionContext
from olivepost.proxy.upstream.connection_state import WriterSignal, WriteStart
from olivepost.proxy.upstream.line_protocol import encode_command
from olivepost.proxy.upstream.reader import ConnectionReader
from olivepost.proxy.upstream.request import UpstreamAborted, UpstreamCompleted, UpstreamRequest
from olivepost.units import SECOND, Duration

LIVENESS_COMMAND = encode_command("alive", "link")
IDLE_MARGIN: Duration = 1 * SECOND  # by which the proxy closes an idle connection before its endpoint does
READER_START_TIMEOUT_S = 0.2  # where the system can't start a thread at once
LOCAL_FAILURE_PAUSE_S = 0.02  # before another attempt to connect
DRAIN_POLL_S = 0.1  # how often a draining connection's pending requests are counted


class ConnectionWriter:
    """Writes the requests and aborts of a connection's outbox; owns the socket and the reader thread.

    The event loop calls `start`; all else runs on the thread that it starts.
    """

    def __init__(self, context: ConnectionContext) -> None:
        self._context = context
        self._state = context.state
        self._resources = context.resources
        self._is_draining = False
        self._is_local_failure = False  # the connection failed for a cause in this process or its machine

    def start(self) -> None:
        """Starts the thread; raises RuntimeError where the system can't."""
        start_thread(self._run, f"upstream-writer-{self._context.address.id}")

    def _run(self) -> None:
        context = self._context
        sock = self._connect()
        if sock is None:
            context.end(is_local_failure=self._is_local_failure)
            context.is_closed = True
            return
        context.sock = sock
        reader: threading.Thread | None = None
        try:
            run_reader = partial(ConnectionReader(context).run, sock)
            reader = start_thread(run_reader, "upstream-reader", READER_START_TIMEOUT_S)
            self._write(sock)
        except OSError as error:
            context.record_loss(error.strerror or str(error))
        except RuntimeError as error:  # the reader thread could not be started
            self._is_local_failure = True
            self._resources.log.increment("threads_short")
            context.record_loss(str(error))
        except Exception:  # a thread's top: its connection must end and be reported whatever the cause
            self._resources.log.exception("upstream_connection_error", endpoint=context.address.id)
        finally:
            context.end(is_local_failure=self._is_local_failure)
            sockets.shutdown(sock)
            if reader is not None:
                reader.join()
            sock.close()
            context.is_closed = True

    def _connect(self) -> socket.socket | None:
        """A connected socket; None, and logged, where the endpoint can't be reached.

        Failures of this machine are retried within the time to connect.
        """
        log = self._resources.log
        retry_until = time.monotonic() + self._resources.limits.connect_timeout / SECOND
        while True:
            try:
                sock = self._connect_once()
            except OSError as error:
                self._is_local_failure = error.errno in sockets.LOCAL_FAILURES
                if self._is_local_failure and time.monotonic() < retry_until:
                    time.sleep(LOCAL_FAILURE_PAUSE_S)
                    continue
                reason = error.strerror or str(error)
                log.increment("connect_failed")
                log.sampled_event("connect_failed", endpoint=self._context.address.id, reason=reason)
                return None
            self._is_local_failure = False
            log.increment("upstream_connections_opened")
            return sock

    def _connect_once(self) -> socket.socket:
        limits = self._resources.limits
        address = self._context.address.socket_address
        if address is None:
            raise ConnectionError("the endpoint list has no address for it")
        return sockets.connect(
            address,
            limits.connect_timeout,
            limits.receive_poll_interval,
            limits.write_stall_timeout,
        )

    def _write(self, sock: socket.socket) -> None:
        """Writes what the outbox holds, until the connection ends or has been idle for its timeout."""
        idle_timeout = self._resources.limits.upstream_idle_timeout
        idle_timeout_s = max(idle_timeout - IDLE_MARGIN, idle_timeout // 2) / SECOND
        while not self._is_finished():
            timeout_s = DRAIN_POLL_S if self._is_draining else idle_timeout_s
            try:
                message = self._state.outbox.get(timeout=timeout_s)
            except queue.Empty:
                self._state.close_if_unused()
                continue
            if isinstance(message, UpstreamRequest):
                self._write_request(sock, message)
            elif isinstance(message, UpstreamAborted):
                self._send(sock, encode_command("abort", message.request.exchange.id), None)
                self._context.confirm_abort(message)
            elif message is WriterSignal.DRAIN:
                self._is_draining = True
            else:
                self._send(sock, LIVENESS_COMMAND, None)

    def _is_finished(self) -> bool:
        if self._state.is_closing:
            return True
        return self._is_draining and not self._state.pending_count

    def _write_request(self, sock: socket.socket, request: UpstreamRequest) -> None:
        """Writes a request, unless its client has disconnected, it was withdrawn or it is too late."""
        exchange = request.exchange
        if exchange.is_client_disconnected():  # the event loop is about to abort the request
            self._resources.log.increment("requests_of_disconnected_clients")
            return
        now = self._resources.clock.now()
        # The endpoint may have closed an idle connection before the reader has noticed. A request written now
        # would count as possibly executed; one that is not begun is forwarded again.
        if self._state.pending_count <= 1 and self._context.liveness.is_idle(now):
            if sockets.is_closed_by_peer(sock):
                raise ConnectionError("closed by the endpoint while idle")
            now = self._resources.clock.now()  # after the check: `start_before` is a strict bound
        match self._state.start_writing(request, now):
            case WriteStart.STARTED:
                # Encoded only now, so that a waiting request does not hold its body twice.
                data = encode_command("fetch", exchange.id, request.fields, exchange.body)
                self._send(sock, data, request)
            case WriteStart.TOO_LATE:
                self._resources.post(UpstreamCompleted(request, api.AttemptStatus.NOT_SENT, now))
            case WriteStart.WITHDRAWN:
                pass

    def _send(self, sock: socket.socket, data: bytes, request: UpstreamRequest | None) -> None:
        """Writes one command to its end; raises OSError where the endpoint accepts no byte for too long."""
        view = memoryview(data)
        if request is not None:
            # Before the first byte: if the connection ends meanwhile, the request must count as started.
            request.is_started = True
        while view:
            try:
                view = view[sockets.send(sock, view) :]
            except OSError:
                if request is not None and len(view) == len(data):
                    request.is_started = False
                raise
