"""The state of one client's connection, the lock that guards it, and the operations that close it."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from enum import Enum

from olivepost.proxy import sockets
from olivepost.proxy.downstream.body_budget import LargeBodyReservation
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.exchange import Exchange
from olivepost.proxy.http1.encoding import response_head
from olivepost.proxy.http1.request_parser import RequestParser
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# Time for the client to close its side after the proxy's half-close. Without this time, a reset could
# overtake the response (RFC 9112, section 9.6).
LINGER_TIMEOUT: Duration = 1 * SECOND
# Additional time for the reader thread to receive a request that arrived before the deadline.
READER_GRACE: Duration = 200 * MILLISECOND


class CloseReason(Enum):
    """Reason for the close of a client's connection; the values appear in the log and in counter names."""

    CLIENT_CLOSED = "client_closed"
    EVICTED = "evicted"  # closed while idle, at the connection cap or close to the memory limit
    IDLE_TIMEOUT = "idle_timeout"
    REQUEST_TIMEOUT = "request_timeout"  # the request was incomplete at its deadline
    WRITE_TIMEOUT = "write_timeout"  # the client did not read its response in time
    WRITE_FAILED = "write_failed"
    DRAINING = "draining"
    AFTER_RESPONSE = "after_response"  # the client or the proxy had announced the close
    NO_READ_BUFFER = "no_read_buffer"
    ERROR = "error"


class ConnectionLifecycle:
    """State of a connection with at most one request in flight, and the operations that close it.

    A connection is idle, receives a request, has a request in flight (`exchange`), or is closing.

    `lock` guards all other fields, and it decides whether bytes were received before or after a close. Bytes
    are received while the lock is held, and a thread that closes the connection first sets `is_closing` while
    it holds the lock. Therefore a request that was received before the close gets its response, and a request
    that arrives after the close is not forwarded.

    Three accesses do not take the lock. The accept thread and the deadline thread read fields and properties
    to select connections, and check them again with the lock before they act. The reader thread sets
    `is_closed`, once. `abort` may be called while a writer holds the lock and waits for the client.
    """

    def __init__(self, context: DownstreamContext, sock: socket.socket) -> None:
        self.lock = threading.Lock()
        self.sock = sock
        self.parser = RequestParser(context.limits.max_head_bytes, context.limits.max_request_body_bytes)
        self.body_reservation = LargeBodyReservation(context.large_bodies)
        self.exchange: Exchange | None = None  # exchange of the request in flight, if there is one
        # Whether the connection stays open after the response. The last request decides this, unless the
        # proxy has to end the connection.
        self.keeps_alive = True
        self.is_closing = False  # whether the last response was sent, or no further response will be sent
        self.is_write_blocked = False  # whether a writer holds the lock and waits for the client to read
        self.is_closed = False  # whether the reader thread has begun to close the socket
        self.close_reason = CloseReason.CLIENT_CLOSED  # unchanged unless the proxy closes the connection
        self.has_received_request = False  # whether a complete request was received
        # Time at which the connection was accepted, last became idle or was half-closed.
        self.idle_since: Instant = context.clock.now()
        # Time by which the connection must leave its current state, even if bytes arrive until then. None
        # while a request in flight waits for its response, since the event loop enforces the deadline of that
        # request.
        self.deadline: Instant | None = self.idle_since + context.limits.first_request_timeout
        self._context = context

    @property
    def is_idle(self) -> bool:
        """Whether the connection has received a request before, and none is in flight now."""
        return self.has_received_request and self.exchange is None

    @property
    def has_pending_response(self) -> bool:
        """Whether the client waits for a response, or has sent a part of a request."""
        if self.exchange is not None:
            return True
        return not (self.is_closing or self.parser.is_idle)

    @property
    def has_nothing_unread(self) -> bool:
        """Whether the reader thread is known to have taken all bytes that the socket has received."""
        return sockets.has_nothing_unread(self.sock)

    def is_closed_by_client(self) -> bool:
        """Whether the client has closed, reset or half-closed the connection.

        This is detected even if the reader thread has not noticed it.
        """
        return self.is_closed or sockets.is_closed_by_peer(self.sock)

    def is_overdue(self, now: Instant) -> bool:
        """Whether the connection's current deadline has passed; False if it has none."""
        deadline = self.deadline  # read once, since another thread may set it to None
        return deadline is not None and deadline < now

    # The methods below close the connection on behalf of other threads: the accept thread, the deadline
    # thread, the writer threads, and the main thread (under memory pressure and during the graceful
    # shutdown).

    def evict(self) -> bool:
        """Closes the connection immediately, unless it has a request in flight or unread bytes.

        A connection that another thread is using is not closed either. An incomplete request gets status 503.
        Returns whether the connection was closed.
        """
        with self._try_lock() as is_locked:
            if not is_locked:
                return False  # the connection is left open, because the reader or a writer is using it
            if self.exchange is not None or not self.has_nothing_unread:
                return False
            self.record_close_reason(CloseReason.EVICTED)
            if not (self.is_closing or self.parser.is_idle):
                self._try_send(response_head(503, 0, {}, closes=True))
            self._shut_down(CloseReason.EVICTED)
            return True

    def expire(self) -> None:
        """Closes a connection whose deadline has passed; an incomplete request gets status 408."""
        with self._try_lock() as is_locked:
            if is_locked:
                self._expire_locked()
            # Another thread holds the lock. Unless that thread is a writer that waits for the client, the
            # connection is left open, since it is in use: for example, the reader thread has received bytes.
            elif self.is_write_blocked:
                self.deadline = None
                self.abort(CloseReason.WRITE_TIMEOUT)

    def close_if_idle(self) -> bool:
        """Half-closes an idle connection, without waiting for a thread that is using it.

        A connection with unread bytes is left open, and it ends after the response to them. Returns whether
        the connection is ending; if it is not, the caller tries again later.
        """
        with self._try_lock() as is_locked:
            if is_locked and not self.is_closing and not self.is_closed:
                is_idle = self.exchange is None and self.parser.is_idle
                if is_idle and self.has_nothing_unread:
                    self.half_close(CloseReason.DRAINING)
            return self.is_closing or self.is_closed

    def abort(self, reason: CloseReason) -> None:
        """Shuts down the socket immediately; the client can detect that its response is incomplete."""
        self.record_close_reason(reason)
        self._context.log.increment("responses_aborted")
        self.keeps_alive = False
        sockets.shutdown(self.sock)

    @contextmanager
    def _try_lock(self) -> Iterator[bool]:
        """Takes `lock` until the end of the `with` block, if it is free; yields whether it was taken."""
        is_locked = self.lock.acquire(blocking=False)
        try:
            yield is_locked
        finally:
            if is_locked:
                self.lock.release()

    def _expire_locked(self) -> None:
        now = self._context.clock.now()
        if not self.is_overdue(now):
            return  # no longer overdue: a request was received after the caller had read the deadline
        if self.is_closing or self.exchange is not None:
            self._shut_down(CloseReason.WRITE_TIMEOUT)
        elif not self.parser.is_idle:
            self.keeps_alive = False
            self.record_close_reason(CloseReason.REQUEST_TIMEOUT)
            self.send_head(408, {})
        elif self.has_nothing_unread:
            self.half_close(CloseReason.IDLE_TIMEOUT)
        else:
            self.deadline = now + READER_GRACE  # the reader thread is late, not the client

    # State transitions. The callers of the methods below hold the lock.

    @property
    def stays_open(self) -> bool:
        """Whether the connection stays open after the current response."""
        context = self._context
        return self.keeps_alive and not (context.is_draining or context.is_slot_wanted)

    def become_idle(self) -> None:
        """Marks the connection as idle, and sets its deadline to the end of the keep-alive timeout."""
        self.body_reservation.release()
        self.idle_since = self._context.clock.now()
        self.deadline = self.idle_since + self._context.limits.keepalive_timeout

    def record_close_reason(self, reason: CloseReason) -> None:
        """Records why the proxy closes the connection; only the first reason is kept."""
        if self.close_reason is CloseReason.CLIENT_CLOSED:
            self.close_reason = reason

    def half_close(self, reason: CloseReason) -> None:
        """Closes the direction to the client, who then has `LINGER_TIMEOUT` to close the other direction."""
        self.record_close_reason(reason)
        self.is_closing = True
        self.idle_since = self._context.clock.now()
        self.deadline = self.idle_since + LINGER_TIMEOUT
        self.parser.clear()
        self.body_reservation.release()
        sockets.shutdown(self.sock, socket.SHUT_WR)

    def _shut_down(self, reason: CloseReason) -> None:
        """Shuts down both directions; bytes that the reader thread still receives are dropped."""
        self.record_close_reason(reason)
        self.deadline = None
        self.is_closing = True
        sockets.shutdown(self.sock)

    def send_head(self, status: int, headers: Mapping[str, str]) -> None:
        """Sends a response that the proxy itself generates, without a body.

        Aborts the connection if the socket can't take the whole response immediately.
        """
        closes = not self.stays_open  # read once, since a drain may begin before the close below
        is_sent = self._try_send(response_head(status, 0, headers, closes))
        if not is_sent:
            self.abort(CloseReason.WRITE_FAILED)
        if closes or not is_sent:
            self.half_close(CloseReason.AFTER_RESPONSE)
        else:
            self.become_idle()

    def _try_send(self, data: bytes) -> bool:
        """Sends bytes without waiting; returns whether the socket took all of them."""
        try:
            return not sockets.send_buffers(self.sock, [data], socket.MSG_DONTWAIT)
        except OSError:
            return False
