"""One client's connection: its parts, and the reader thread, which closes the socket at the end."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from functools import partial

from olivepost.proxy import sockets
from olivepost.proxy.downstream.connection_lifecycle import CloseReason, ConnectionLifecycle
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.request_reader import RequestReader
from olivepost.proxy.downstream.response_delivery import ResponseDelivery
from olivepost.proxy.downstream.response_writer import ResponseWriters
from olivepost.proxy.exchange import Exchange, RequestAbandoned
from olivepost.units import Duration

READ_BUFFER_TIMEOUT_S = 1.0  # longest wait of a new connection for a read buffer from the pool
# Close reasons that are not logged if the connection has no request in flight.
ORDINARY_CLOSE_REASONS = (CloseReason.CLIENT_CLOSED, CloseReason.AFTER_RESPONSE, CloseReason.IDLE_TIMEOUT)


class DownstreamConnection:
    """A client's connection. Its reader thread calls `run` and owns the socket.

    `lifecycle` is the part that other threads use: the connection's state, the lock of that state, and the
    operations that close the connection. `RequestReader` reads requests on the reader thread, and
    `ResponseDelivery` writes responses on writer threads. `queue_delay` is an estimate of the time that the
    client has waited before the connection got its slot, the permit to be open.
    """

    def __init__(
        self,
        context: DownstreamContext,
        sock: socket.socket,
        writers: ResponseWriters,
        on_closed: Callable[[ConnectionLifecycle], None],
        queue_delay: Duration = 0,
    ) -> None:
        self.lifecycle = ConnectionLifecycle(context, sock)
        self._context = context
        self._sock = sock
        self._on_closed = on_closed
        delivery = ResponseDelivery(context, self.lifecycle)
        self._reader = RequestReader(context, self.lifecycle, partial(writers.submit, delivery), queue_delay)

    def run(self) -> None:
        """Reads requests until the connection ends; this is the entry point of the reader thread."""
        context = self._context
        buffers = context.read_buffers.acquire(1, READ_BUFFER_TIMEOUT_S)
        try:
            if buffers is None:
                context.log.increment("pool_empty")
                self.lifecycle.record_close_reason(CloseReason.NO_READ_BUFFER)
            else:
                self._configure_socket()
                self._reader.read(buffers[0])
        except OSError:
            context.log.increment("connections_reset")
        except Exception:  # top level of the thread: an unexpected error ends only this connection
            self.lifecycle.record_close_reason(CloseReason.ERROR)
            context.log.exception("downstream_connection_error")
        finally:
            self._close()
            if buffers:
                context.read_buffers.release(buffers)
            self._on_closed(self.lifecycle)

    def _configure_socket(self) -> None:
        """Tries to set the socket's options; if that fails, requests are served without them."""
        limits = self._context.limits
        with contextlib.suppress(OSError):
            sockets.configure(self._sock, receive_timeout=0, send_timeout=limits.write_stall_timeout)
        with contextlib.suppress(OSError):
            sockets.set_send_buffer(self._sock, limits.max_response_body_bytes)

    def _close(self) -> None:
        """Closes the socket and abandons the request in flight, if there is one."""
        lifecycle = self.lifecycle
        # `is_closed` is set before the event loop learns that the client has disconnected. The upstream
        # connections check the flag, so that none of them begins to write a further attempt for the request.
        lifecycle.is_closed = True
        sockets.shutdown(self._sock)  # wakes a writer that waits for this client
        with lifecycle.lock:
            exchange = lifecycle.exchange
            lifecycle.exchange = None
            lifecycle.body_reservation.release()
            self._sock.close()
        self._record_close(exchange)
        if exchange is not None:
            self._context.post(RequestAbandoned(exchange))

    def _record_close(self, exchange: Exchange | None) -> None:
        """Counts the close by its reason; logs it if a request was in flight or the reason is unusual."""
        log = self._context.log
        reason = self.lifecycle.close_reason
        log.increment(f"connections_closed_{reason.value}")
        if exchange is not None or reason not in ORDINARY_CLOSE_REASONS:
            request = exchange.id if exchange is not None else None
            log.sampled_event("client_connection_closed", reason=reason.value, request=request)
