"""Delivery of the final responses on one client's connection."""

from __future__ import annotations

import socket

from olivepost.proxy import sockets
from olivepost.proxy.downstream.connection_lifecycle import CloseReason, ConnectionLifecycle
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.response_encoding import encode_response
from olivepost.proxy.exchange import Exchange, Response
from olivepost.units import Instant


class ResponseDelivery:
    """Delivery of one connection's responses; `ResponseWriters` calls it on a writer or slow-writer thread.

    A slow-writer thread writes the rest of a response that a socket did not take at once. A response is
    released after it is written or after the write fails. If the connection is closed or the response's
    exchange is no longer in flight, the response is released without a further write. The lock of the
    connection's lifecycle also guards `_closes_after_response`.
    """

    def __init__(self, context: DownstreamContext, lifecycle: ConnectionLifecycle) -> None:
        self._context = context
        self._lifecycle = lifecycle
        self._closes_after_response = False  # whether the current response announces a close

    def write(self, exchange: Exchange, response: Response) -> list[memoryview]:
        """Writes the final response without waiting; returns the buffers that the socket did not take.

        Returns an empty list if nothing remains to be written.
        """
        lifecycle = self._lifecycle
        with lifecycle.lock:
            if self._release_if_abandoned(exchange, response):
                return []
            self._closes_after_response = not lifecycle.stays_open
            try:
                buffers = encode_response(response, self._closes_after_response)
                unsent = sockets.send_buffers(lifecycle.sock, buffers, socket.MSG_DONTWAIT)
            except OSError:
                lifecycle.abort(CloseReason.WRITE_FAILED)
                unsent = []
            except BaseException:
                response.release()
                raise
            if unsent:
                lifecycle.deadline = self._write_deadline(exchange)
            else:
                self._complete(response)
            return unsent

    def finish_writing(self, exchange: Exchange, response: Response, unsent: list[memoryview]) -> None:
        """Writes `unsent`, the buffers that `write` returned; waits when the client has to read first.

        The response is aborted if the client reads nothing for as long as the write stall timeout.
        """
        lifecycle = self._lifecycle
        with lifecycle.lock:
            if self._release_if_abandoned(exchange, response):
                return
            lifecycle.is_write_blocked = True
            try:
                sockets.send_buffers(lifecycle.sock, unsent)
            except OSError:
                lifecycle.abort(CloseReason.WRITE_FAILED)
            except BaseException:
                response.release()
                raise
            finally:
                lifecycle.is_write_blocked = False
            self._complete(response)

    def abandon_response(self, exchange: Exchange, response: Response) -> None:
        """Aborts a partly written response, because no thread could be started to write the rest of it."""
        with self._lifecycle.lock:
            if not self._release_if_abandoned(exchange, response):
                self._lifecycle.abort(CloseReason.WRITE_FAILED)
                self._complete(response)

    def abort(self, reason: CloseReason) -> None:
        """Shuts down the socket immediately, without taking the lock of the connection's lifecycle."""
        self._lifecycle.abort(reason)

    # The callers of the methods below hold the lock of the connection's lifecycle.

    def _release_if_abandoned(self, exchange: Exchange, response: Response) -> bool:
        """Releases the response if the connection is closed or the exchange is no longer in flight on it.

        Returns whether the response was released.
        """
        if self._lifecycle.exchange is exchange and not self._lifecycle.is_closed:
            return False
        response.release()
        return True

    def _write_deadline(self, exchange: Exchange) -> Instant:
        """Returns the time by which a slow client must have read its response."""
        now = self._context.clock.now()
        limits = self._context.limits
        request_deadline = exchange.received_at + exchange.timeout
        return min(max(request_deadline, now + limits.write_stall_timeout), now + limits.slow_client_timeout)

    def _complete(self, response: Response) -> None:
        """Releases the response and ends its exchange; the connection then becomes idle or closes."""
        response.release()
        lifecycle = self._lifecycle
        self._context.log.increment(response.kind.value)
        lifecycle.exchange = None
        if self._closes_after_response or not lifecycle.keeps_alive:
            lifecycle.half_close(CloseReason.AFTER_RESPONSE)
        else:
            lifecycle.become_idle()
