"""Reader of a client's requests: turns bytes from its socket into exchanges for the event loop."""

from __future__ import annotations

from collections.abc import Callable

from olivepost.proxy import sockets
from olivepost.proxy.downstream.connection_lifecycle import ConnectionLifecycle
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.routes import ALLOW_HEADER, build_exchange, is_health_check
from olivepost.proxy.exchange import Exchange, RequestReceived, Response
from olivepost.proxy.http1.messages import HttpError, Message, RequestLine
from olivepost.units import Duration, Instant

# Maximum number of bytes that are received and dropped after the proxy's half-close. The connection is closed
# if the client sends more.
MAX_LINGER_BYTES = 4_194_304


class RequestReader:
    """Reader of the requests of one connection; only the connection's reader thread calls its methods.

    The reader also receives bytes while a request is in flight, so that a close by the client is noticed
    immediately. The lock of the connection's lifecycle also guards `_dropped_bytes`. Each exchange gets
    `deliver`, a function that the event loop's thread calls with the final response. The first bytes are
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
                try:
                    count = sockets.receive_at_once(lifecycle.sock, buffer)
                except BlockingIOError:
                    continue
                if not count:
                    return
                self._queue_delay = 0
                if lifecycle.is_closing:  # only the client's close is still awaited
                    self._dropped_bytes += count
                    if self._dropped_bytes > MAX_LINGER_BYTES:
                        return
                elif lifecycle.exchange is not None:
                    self._reject_pipelining()
                else:
                    self._receive(buffer[:count], received_at)

    # The callers of the methods below hold the lock of the connection's lifecycle.

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
        lifecycle.exchange = exchange
        lifecycle.has_received_request = True
        lifecycle.deadline = None
        context.post(RequestReceived(exchange))
