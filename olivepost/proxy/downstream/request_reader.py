"""Reads a client's requests: bytes from its socket to exchanges for the event loop."""

from __future__ import annotations

from collections.abc import Callable

from olivepost.proxy import sockets
from olivepost.proxy.downstream.connection_lifecycle import ConnectionLifecycle
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.routes import ALLOW_HEADER, build_exchange, is_health_check
from olivepost.proxy.exchange import Exchange, RequestReceived, Response
from olivepost.proxy.http1 import HttpError, Message, RequestLine
from olivepost.units import Duration, Instant

MAX_LINGER_BYTES = 4_194_304  # received and dropped after our half-close, before the connection is closed


class RequestReader:
    """The requests of one connection; all methods are the connection's reader thread's.

    It reads also while a request is in flight, so that a client's close is noticed at once. The lock of
    the connection's lifecycle guards `_dropped_bytes` too. `deliver` is given to each exchange, for the event
    loop's thread to call with the final response. The first bytes count as received `queue_delay` before
    they are read: their client's time has run since then.
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
        self._dropped_bytes = 0  # received after our close

    def read(self, buffer: memoryview) -> None:
        """Reads until the connection ends; raises OSError.

        Waits for bytes without the lock and receives them with it: between a plain receive and the lock
        another thread could close the connection after a request that it has not seen.
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
                if lifecycle.is_closing:  # only the client's close is waited for
                    self._dropped_bytes += count
                    if self._dropped_bytes > MAX_LINGER_BYTES:
                        return
                elif lifecycle.exchange is not None:
                    self._reject_pipelining()
                else:
                    self._receive(buffer[:count], received_at)

    # With the lock held.

    def _receive(self, data: memoryview, received_at: Instant) -> None:
        lifecycle = self._lifecycle
        if lifecycle.has_received_request and lifecycle.parser.is_idle:
            # Its first byte may arrive late in the keep-alive time: the request has a time of its own.
            lifecycle.deadline = received_at + self._context.limits.first_request_timeout
        lifecycle.parser.feed(data)
        self._take_requests(received_at)

    def _take_requests(self, received_at: Instant) -> None:
        """Takes requests out of the received bytes until one is in flight."""
        lifecycle = self._lifecycle
        parser = lifecycle.parser
        while lifecycle.exchange is None and not lifecycle.is_closing:
            try:
                message = parser.take()
                if message is None:
                    if not lifecycle.body_reservation.reserve(parser.expected_body_bytes):
                        raise HttpError(503, "no capacity for the body")
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
        """Bytes behind a request in flight are not parsed: the connection ends after the response."""
        self._context.log.increment("pipelining_rejected")
        self._lifecycle.keeps_alive = False

    def _route(self, message: Message[RequestLine], received_at: Instant) -> None:
        """Answers a health check, posts any other request to the event loop; raises HttpError."""
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
