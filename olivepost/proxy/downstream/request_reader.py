"""Reader of a client's requests: turns bytes from its socket into exchanges for the event loop."""

from __future__ import annotations

import time
from collections.abc import Callable

from olivepost.proxy import sockets
from olivepost.proxy.downstream.connection_lifecycle import CloseReason, ConnectionLifecycle
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.routes import ALLOW_HEADER, build_exchange, is_health_check
from olivepost.proxy.exchange import Exchange, RequestReceived, Response
from olivepost.proxy.http1.messages import HttpError, Message, RequestLine
from olivepost.units import Duration, Instant

# Maximum number of bytes that are received and dropped after the proxy's half-close. The connection is closed
# if the client sends more.
MAX_LINGER_BYTES = 4_194_304
# Pause after bytes were dropped. Without it, a client that sends at full speed behind its request would take
# most of the time in which the process can run Python code.
DROP_PAUSE_S = 0.01
# A request with bytes behind it waits until its client's close can be seen behind them: at most for the first
# time, and for the second time after the last bytes.
MAX_CLOSE_WAIT_S = 0.1
MAX_PAUSE_BEFORE_CLOSE_S = 0.005


class RequestReader:
    """Reader of the requests of one connection; only the connection's reader thread calls its methods.

    The reader also receives bytes while a request is in flight, and drops them, so that a close by the client
    is noticed immediately. The lock of the connection's lifecycle also guards `_dropped_bytes`. Each exchange
    gets `deliver`, a function that the event loop's thread calls with the final response. The first bytes are
    treated as received `queue_delay` before they are read, because the client's timeout has been running
    since then.
    """

    def __init__(
        self,
        context: DownstreamContext,
        lifecycle: ConnectionLifecycle,
        deliver: Callable[[Exchange, Response], None],
        queue_delay: Duration,
    ) -> None:
        self._context = context
        self._lifecycle = lifecycle
        self._deliver = deliver
        self._queue_delay = queue_delay
        self._dropped_bytes = 0  # bytes received after the proxy's half-close

    def read(self, buffer: memoryview) -> None:
        """Reads until the connection ends; raises OSError.

        Waits for bytes without the lock of the connection's lifecycle, and receives the bytes while it holds
        that lock. If this thread received bytes before it took the lock, another thread could close the
        connection in between, without knowing that a request had been received.
        """
        lifecycle = self._lifecycle
        while sockets.wait_readable(lifecycle.sock):
            received_at = self._context.clock.now() - self._queue_delay
            with lifecycle.lock:
                is_dropping = lifecycle.is_closing or lifecycle.exchange is not None
                target = self._context.drop_buffer if is_dropping else buffer
                try:
                    count = sockets.receive_at_once(lifecycle.sock, target)
                except BlockingIOError:
                    continue
                if not count:
                    return
                self._queue_delay = 0
                if not is_dropping:
                    self._receive(buffer[:count], received_at)
                elif not self._drop(count):
                    return
            if is_dropping:
                time.sleep(DROP_PAUSE_S)

    # The callers of the methods below hold the lock of the connection's lifecycle.

    def _drop(self, count: int) -> bool:
        """Handles `count` bytes that were dropped; returns whether the connection may send more."""
        if not self._lifecycle.is_closing:
            self._reject_pipelining()
            return True
        self._dropped_bytes += count  # only the client's close is still awaited
        return self._dropped_bytes <= MAX_LINGER_BYTES

    def _receive(self, data: memoryview, received_at: Instant) -> None:
        lifecycle = self._lifecycle
        if lifecycle.has_received_request and lifecycle.parser.is_idle:
            # The first byte may arrive late in the keep-alive time, so the request gets a deadline of its
            # own.
            lifecycle.deadline = received_at + self._context.limits.first_request_timeout
        lifecycle.parser.feed(data)
        self._take_requests(received_at)

    def _take_requests(self, received_at: Instant) -> None:
        """Takes complete requests out of the received bytes until none is left or one is in flight."""
        lifecycle = self._lifecycle
        parser = lifecycle.parser
        while lifecycle.exchange is None and not lifecycle.is_closing:
            try:
                message = parser.take()
                if message is None:
                    if not lifecycle.body_reservation.reserve(parser.expected_body_bytes):
                        raise HttpError(503, f"no memory for a body of {parser.expected_body_bytes} bytes")
                    return
                lifecycle.keeps_alive = message.keeps_alive
                self._route(message, received_at)
                if lifecycle.exchange is not None and parser.buffered_bytes:
                    self._reject_pipelining()
            except HttpError as error:
                self._context.log.increment(f"bad_request_{error.status}")
                lifecycle.keeps_alive = False
                lifecycle.send_head(error.status, ALLOW_HEADER if error.status == 405 else {})

    def _reject_pipelining(self) -> None:
        """Ends the connection after the response, since bytes behind a request in flight are not parsed."""
        self._context.log.increment("pipelining_rejected")
        self._lifecycle.keeps_alive = False

    def _route(self, message: Message[RequestLine], received_at: Instant) -> None:
        """Answers a health check or posts any other request to the event loop.

        Raises HttpError if the request is invalid.
        """
        context = self._context
        lifecycle = self._lifecycle
        if is_health_check(message.start_line):
            lifecycle.send_head(503 if context.is_draining else 200, {})
            return
        exchange = build_exchange(
            message, context.classes, received_at, self._deliver, lifecycle.is_closed_by_client
        )
        if lifecycle.parser.buffered_bytes and self._is_closed_behind_request():
            context.log.increment("requests_of_disconnected_clients")
            lifecycle.half_close(CloseReason.CLIENT_CLOSED)
            return
        lifecycle.exchange = exchange
        lifecycle.has_received_request = True
        lifecycle.deadline = None
        context.post(RequestReceived(exchange))

    def _is_closed_behind_request(self) -> bool:
        """Drops the bytes behind a request; returns whether they end with the client's close.

        Returns False if the client goes on sending or pauses. Raises OSError if the client has reset the
        connection.
        """
        sock = self._lifecycle.sock
        wait_until = time.monotonic() + MAX_CLOSE_WAIT_S
        while (remaining_s := wait_until - time.monotonic()) > 0:
            try:
                if not sockets.receive_at_once(sock, self._context.drop_buffer):
                    return True
            except BlockingIOError:
                if not sockets.is_readable_within(sock, min(remaining_s, MAX_PAUSE_BEFORE_CLOSE_S)):
                    return False
        return False
