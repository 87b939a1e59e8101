"""Writer of an upstream connection: its thread connects, writes commands and closes the socket at the end."""

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
# The proxy closes an idle connection this long before its endpoint does.
IDLE_MARGIN: Duration = 1 * SECOND
READER_START_TIMEOUT_S = 0.2  # time limit for retries if the system can't start the reader thread at once
LOCAL_FAILURE_PAUSE_S = 0.02  # pause before connecting again after a failure that this machine caused
DRAIN_POLL_S = 0.1  # interval at which a draining connection checks whether requests are pending


class ConnectionWriter:
    """Writer of the requests and aborts in a connection's outbox; owns the socket and the reader thread.

    The event loop calls `start`. All other methods run on the thread that `start` starts.
    """

    def __init__(self, context: ConnectionContext) -> None:
        self._context = context
        self._state = context.state
        self._resources = context.resources
        self._is_draining = False
        self._is_local_failure = False  # whether the connection failed because of this process or its machine

    def start(self) -> None:
        """Starts the writer thread; raises RuntimeError if the system can't start it."""
        start_thread(self._run, f"upstream-writer-{self._context.address.id}")

    def _run(self) -> None:
        """Connects, starts the reader thread, writes until the connection ends, and closes the socket."""
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
        except Exception:  # the thread's outermost handler: any error must end and report the connection
            self._resources.log.exception("upstream_connection_error", endpoint=context.address.id)
        finally:
            context.end(is_local_failure=self._is_local_failure)
            sockets.shutdown(sock)
            if reader is not None:
                reader.join()
            sock.close()
            context.is_closed = True

    def _connect(self) -> socket.socket | None:
        """Returns a connected socket; logs the failure and returns None if the endpoint can't be reached.

        Failures that this machine causes are retried until `connect_timeout` has passed.
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
        """Tries once to connect; raises OSError if that fails."""
        limits = self._resources.limits
        address = self._context.address.socket_address
        if address is None:
            raise ConnectionError("the endpoint list gives no address for this endpoint")
        return sockets.connect(
            address,
            limits.connect_timeout,
            limits.receive_poll_interval,
            limits.write_stall_timeout,
        )

    def _write(self, sock: socket.socket) -> None:
        """Writes the outbox's messages until the connection ends or has been idle for its idle timeout."""
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
        """Whether the connection is closing, or is draining and has no pending request."""
        if self._state.is_closing:
            return True
        return self._is_draining and not self._state.pending_count

    def _write_request(self, sock: socket.socket, request: UpstreamRequest) -> None:
        """Writes a request, unless its client has disconnected or the request was withdrawn.

        If the request's `start_before` has passed, reports the request as not sent instead of writing it.
        """
        exchange = request.exchange
        # If the client has disconnected, the request is not written, because the event loop is about to abort
        # it.
        if exchange.is_client_disconnected():
            self._resources.log.increment("requests_of_disconnected_clients")
            return
        now = self._resources.clock.now()
        # The endpoint may have closed an idle connection, and the reader thread may not have noticed that
        # yet. A request that is written then would be treated as possibly executed, while a request that is
        # not started is forwarded again. The socket is therefore checked first.
        if self._state.pending_count <= 1 and self._context.liveness.is_idle(now):
            if sockets.is_closed_by_peer(sock):
                raise ConnectionError("closed by the endpoint while idle")
            # The clock is read again after the check of the socket, because `start_before` is a strict limit.
            now = self._resources.clock.now()
        match self._state.start_writing(request, now):
            case WriteStart.STARTED:
                # The command is encoded only now, so that a queued request does not hold its body in memory
                # twice.
                data = encode_command("fetch", exchange.id, request.fields, exchange.body)
                self._send(sock, data, request)
            case WriteStart.TOO_LATE:
                self._resources.post(UpstreamCompleted(request, api.AttemptStatus.NOT_SENT, now))
            case WriteStart.WITHDRAWN:
                pass

    def _send(self, sock: socket.socket, data: bytes, request: UpstreamRequest | None) -> None:
        """Writes one command completely.

        Raises OSError if the endpoint accepts no byte within `write_stall_timeout`.
        """
        view = memoryview(data)
        if request is not None:
            # `is_started` is set before the first byte is sent. If the connection ends during the call that
            # sends this byte, the request must be treated as started.
            request.is_started = True
        while view:
            try:
                view = view[sockets.send(sock, view) :]
            except OSError:
                if request is not None and len(view) == len(data):
                    request.is_started = False
                raise
