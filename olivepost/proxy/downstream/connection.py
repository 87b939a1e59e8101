"""One client's connection: the thread that reads its requests, and the writing of its responses."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

from olivepost.proxy import sockets
from olivepost.proxy.downstream.connection_lifecycle import (
    ORDINARY_CLOSE_REASONS,
    CloseReason,
    ConnectionLifecycle,
)
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.response_writer import ResponseWriters, encode_response
from olivepost.proxy.downstream.routes import ALLOW_HEADER, build_exchange, is_health_check
from olivepost.proxy.exchange import Exchange, RequestAbandoned, RequestReceived, Response
from olivepost.proxy.http1 import HttpError, Message, RequestLine
from olivepost.units import Instant

READ_BUFFER_TIMEOUT_S = 1.0  # a new connection's wait for a read buffer of the pool
MAX_LINGER_BYTES = 4_194_304  # received and dropped after our half-close; a client that sends more is ended


class DownstreamConnection(ConnectionLifecycle):
    """A connection with a reader thread of its own; the reader goes on while a request is in flight.

    So a client that closes is noticed at once. The reader thread calls `run`, the event loop calls the
    exchange's `deliver`, and writer threads call `write`, `finish_writing` and `abandon_response`. `_lock`
    (see ConnectionLifecycle) guards `_closes_after_response` and `_dropped_bytes` too.
    """

    def __init__(
        self,
        context: DownstreamContext,
        sock: socket.socket,
        writers: ResponseWriters,
        on_closed: Callable[[DownstreamConnection], None],
    ) -> None:
        super().__init__(context, sock)
        self._writers = writers
        self._on_closed = on_closed
        self._closes_after_response = False  # as the response in hand announces
        self._dropped_bytes = 0  # received after our ending

    # The reader thread.

    def run(self) -> None:
        """Reads requests until the connection ends; the reader thread's entry point."""
        context = self._context
        buffers = context.read_buffers.acquire(1, READ_BUFFER_TIMEOUT_S)
        try:
            if buffers is None:
                context.log.increment("pool_empty")
                self._set_close_reason(CloseReason.NO_READ_BUFFER)
            else:
                self._configure_socket()
                self._read(buffers[0])
        except OSError:
            context.log.increment("connections_reset")
        except Exception:  # the top of a thread: a fault ends this connection only
            self._set_close_reason(CloseReason.ERROR)
            context.log.exception("downstream_connection_error")
        finally:
            self._close()
            if buffers:
                context.read_buffers.release(buffers)
            self._on_closed(self)

    def _configure_socket(self) -> None:
        """Sets what the system will set: a request that has come is owed its response without it, too."""
        limits = self._context.limits
        with contextlib.suppress(OSError):
            sockets.configure(self._sock, 0, limits.write_stall_timeout)
        with contextlib.suppress(OSError):
            sockets.set_send_buffer(self._sock, limits.max_response_body_bytes)

    def _read(self, view: memoryview) -> None:
        """Waits for bytes without the lock, and receives them with it.

        Between a plain receive and the lock another thread could end the connection under a request that
        nobody sees.
        """
        while sockets.wait_readable(self._sock):
            received_at = self._context.clock.now()
            with self._lock:
                try:
                    count = sockets.receive_at_once(self._sock, view)
                except BlockingIOError:
                    continue
                if not count:
                    return
                if self._is_ending:  # only the client's own end is waited for
                    self._dropped_bytes += count
                    if self._dropped_bytes > MAX_LINGER_BYTES:
                        return
                elif self._exchange is not None:
                    self._reject_pipelining()
                else:
                    self._receive(view[:count], received_at)

    def _receive(self, data: memoryview, received_at: Instant) -> None:
        if self.has_received_request and self._parser.is_idle:
            # A request's first byte may come late in the keep-alive time; the request then has its own time.
            self.deadline = received_at + self._context.limits.first_request_timeout
        self._parser.feed(data)
        self._take_requests(received_at)

    def _close(self) -> None:
        """Closes the socket and abandons the request in flight."""
        self._is_closed = True  # before the event loop is notified: no attempt begins from here on
        sockets.shutdown(self._sock)  # wakes a writer that waits for this client
        with self._lock:
            exchange = self._exchange
            self._exchange = None
            self._body_reservation.release()
            self._sock.close()
        self._record_close(exchange)
        if exchange is not None:
            self._context.post(RequestAbandoned(exchange))

    def _record_close(self, exchange: Exchange | None) -> None:
        """Counts the end by its reason; one under a request, or that is out of the ordinary, is logged."""
        log = self._context.log
        reason = self._close_reason
        log.increment(f"connections_closed_{reason.value}")
        if exchange is not None or reason not in ORDINARY_CLOSE_REASONS:
            request = exchange.id if exchange is not None else None
            log.sampled_event("client_connection_closed", reason=reason.value, request=request)

    # The reader thread, with the lock held.

    def _take_requests(self, received_at: Instant) -> None:
        """Takes requests out of what was received until one is in flight."""
        while self._exchange is None and not self._is_ending:
            try:
                message = self._parser.take()
                if message is None:
                    if not self._body_reservation.reserve(self._parser.expected_body_size):
                        raise HttpError(503, "no room for a body")
                    return
                self._keeps_alive = message.keeps_alive
                self._route(message, received_at)
                if self._exchange is not None and self._parser.buffered_size:
                    self._reject_pipelining()
            except HttpError as error:
                self._context.log.increment(f"bad_request_{error.status}")
                self._keeps_alive = False
                self._send_head(error.status, ALLOW_HEADER if error.status == 405 else {})

    def _reject_pipelining(self) -> None:
        """Bytes behind a request in flight are not taken up: the connection ends after its response."""
        self._context.log.increment("pipelining_rejected")
        self._keeps_alive = False

    def _route(self, message: Message[RequestLine], received_at: Instant) -> None:
        """Answers a health check, hands over any other request to the event loop; raises HttpError."""
        context = self._context
        if is_health_check(message.start_line):
            self._send_head(503 if context.is_draining else 200, {})
            return
        exchange = build_exchange(
            message, context.classes, received_at, self._deliver, self.is_closed_by_client
        )
        self._exchange = exchange
        self.has_received_request = True
        self.deadline = 0
        context.post(RequestReceived(exchange))

    # The event loop's thread.

    def _deliver(self, exchange: Exchange, response: Response) -> None:
        self._writers.submit(self, exchange, response)

    # The writer threads.

    def write(self, exchange: Exchange, response: Response) -> list[memoryview]:
        """Writes the final response without waiting; returns what the socket did not take."""
        with self._lock:
            if self._release_if_abandoned(exchange, response):
                return []
            self._closes_after_response = not self._stays_open
            buffers = encode_response(response, self._closes_after_response)
            try:
                unsent = sockets.send_buffers(self._sock, buffers, socket.MSG_DONTWAIT)
            except OSError:
                self.abort(CloseReason.WRITE_FAILED)
                unsent = []
            if unsent:
                self.deadline = self._write_deadline(exchange)
            else:
                self._complete(response)
            return unsent

    def finish_writing(self, exchange: Exchange, response: Response, unsent: list[memoryview]) -> None:
        """Writes the rest, waiting for the client to read, up to the write stall timeout for each part."""
        with self._lock:
            if self._release_if_abandoned(exchange, response):
                return
            self._is_write_blocked = True
            try:
                sockets.send_buffers(self._sock, unsent)
            except OSError:
                self.abort(CloseReason.WRITE_FAILED)
            self._is_write_blocked = False
            self._complete(response)

    def abandon_response(self, exchange: Exchange, response: Response) -> None:
        """Cuts off a response that no thread can finish."""
        with self._lock:
            if not self._release_if_abandoned(exchange, response):
                self.abort(CloseReason.WRITE_FAILED)
                self._complete(response)

    def _release_if_abandoned(self, exchange: Exchange, response: Response) -> bool:
        """Whether the exchange waits for no response any more, which is released then."""
        if self._exchange is exchange and not self._is_closed:
            return False
        response.release()
        return True

    def _write_deadline(self, exchange: Exchange) -> Instant:
        """When a slow client must have read its response, in Unix nanoseconds."""
        now = self._context.clock.now()
        limits = self._context.limits
        request_deadline = exchange.received_at + exchange.timeout
        return min(max(request_deadline, now + limits.write_stall_timeout), now + limits.slow_client_timeout)

    def _complete(self, response: Response) -> None:
        """After a response: the connection becomes idle, or ends."""
        response.release()
        self._context.log.increment(response.kind.value)
        self._exchange = None
        if self._closes_after_response or not self._keeps_alive:
            self._half_close(CloseReason.AFTER_RESPONSE)
        else:
            self._become_idle()
