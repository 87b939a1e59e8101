"""The state of one client's connection, the lock that guards it, and every way in which it ends."""

from __future__ import annotations

import socket
import threading
from collections.abc import Mapping
from enum import Enum

from olivepost.proxy import sockets
from olivepost.proxy.downstream.body_budget import LargeBodyReservation
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.exchange import Exchange
from olivepost.proxy.http1 import RequestParser, response_head
from olivepost.units import MILLISECOND, SECOND, Duration

# How long the client has, after our half-close, to close its side, so that no reset overtakes the response
# (RFC 9112, section 9.6).
LINGER_TIMEOUT: Duration = 1 * SECOND
# For the reader thread to take a request that came within its deadline and is not read yet.
READER_GRACE: Duration = 200 * MILLISECOND


class CloseReason(Enum):
    """Why a client's connection ended; the values stand in the log and in names of counters."""

    CLIENT_CLOSED = "client_closed"
    EVICTED = "evicted"  # idle, at the connection cap or close to the memory limit
    IDLE_TIMEOUT = "idle_timeout"
    REQUEST_TIMEOUT = "request_timeout"  # half a request
    WRITE_TIMEOUT = "write_timeout"  # a response that the client does not read
    WRITE_FAILED = "write_failed"
    DRAINING = "draining"
    AFTER_RESPONSE = "after_response"  # as the client or the proxy has announced
    NO_READ_BUFFER = "no_read_buffer"
    ERROR = "error"


ORDINARY_CLOSE_REASONS = (CloseReason.CLIENT_CLOSED, CloseReason.AFTER_RESPONSE, CloseReason.IDLE_TIMEOUT)


class ConnectionLifecycle:
    """State and endings of a connection; a connection has one request in flight at most.

    A connection is idle, receives a request, has a request in flight (`_exchange`), or is ending.

    `_lock` guards every field below and orders bytes and endings: bytes are received with it, and whoever
    ends the connection sets `_is_ending` with it first. So a request that was received before the ending
    gets its response, and one that comes after it is not forwarded.

    Three accesses go without the lock: the accept thread and the deadline thread read the public fields and
    properties to select connections, and check again with the lock before they act; the reader thread sets
    `_is_closed`, once; and `abort` is called while a writer holds the lock and waits for the client.
    """

    def __init__(self, context: DownstreamContext, sock: socket.socket) -> None:
        self._context = context
        self._sock = sock
        self._lock = threading.Lock()
        self._parser = RequestParser(context.limits.max_head_bytes, context.limits.max_request_body_bytes)
        self._body_reservation = LargeBodyReservation(context.large_bodies)
        self._exchange: Exchange | None = None
        self._keeps_alive = True  # as the request in hand asks
        self._is_ending = False  # our last response is sent, or none will be
        self._is_write_blocked = False  # a writer holds the lock and waits for the client to read
        self._is_closed = False  # by the client, or after our ending
        self._close_reason = CloseReason.CLIENT_CLOSED  # as long as nobody here has ended the connection
        self.has_received_request = False  # a complete request was received
        self.idle_since = context.clock.now()  # when the connection last became idle
        # When the connection must have left its present state, whatever bytes come until then; 0 while a
        # request is in flight, which has the event loop's own deadline.
        self.deadline = self.idle_since + context.limits.first_request_timeout

    @property
    def is_idle(self) -> bool:
        """Whether it has received a request before, and none is in flight."""
        return self.has_received_request and self._exchange is None

    @property
    def has_pending_response(self) -> bool:
        """Whether the client waits for a response, or has sent a part of a request."""
        if self._exchange is not None:
            return True
        return not (self._is_ending or self._parser.is_idle)

    @property
    def has_nothing_unread(self) -> bool:
        """Whether the socket has no received bytes that the reader thread has not taken yet."""
        return sockets.has_nothing_unread(self._sock)

    def is_closed_by_client(self) -> bool:
        """Whether the client has closed, reset or half-closed, also where the reader thread is late."""
        return self._is_closed or sockets.is_closed_by_peer(self._sock)

    # Endings from outside: the accept thread, the deadline thread and the graceful shutdown.

    def evict(self) -> bool:
        """Ends the connection at once, unless a request is in flight or unread; returns whether it did."""
        if not self._lock.acquire(blocking=False):
            return False  # its reader or a writer uses it
        try:
            if self._exchange is not None or not self.has_nothing_unread:
                return False
            self._shut_down(CloseReason.EVICTED)
            return True
        finally:
            self._lock.release()

    def expire(self) -> None:
        """Ends a connection whose deadline has passed; half a request gets a response with status 408."""
        if not self._lock.acquire(blocking=False):
            if self._is_write_blocked:  # otherwise its reader has just received something
                self.deadline = 0
                self.abort(CloseReason.WRITE_TIMEOUT)
            return
        try:
            self._expire_locked()
        finally:
            self._lock.release()

    def _expire_locked(self) -> None:
        now = self._context.clock.now()
        if not 0 < self.deadline < now:
            return  # a request was received since the caller read the deadline
        if self._is_ending or self._exchange is not None:
            self._shut_down(CloseReason.WRITE_TIMEOUT)
        elif not self._parser.is_idle:
            self._keeps_alive = False
            self._set_close_reason(CloseReason.REQUEST_TIMEOUT)
            self._send_head(408, {})
        elif self.has_nothing_unread:
            self._half_close(CloseReason.IDLE_TIMEOUT)
        else:
            self.deadline = now + READER_GRACE  # the reader thread is late, not the client

    def close_if_idle(self) -> None:
        """Half-closes an idle connection; one with unread bytes ends after the response to them."""
        with self._lock:
            is_idle = self._exchange is None and self._parser.is_idle
            if is_idle and not self._is_ending and not self._is_closed and self.has_nothing_unread:
                self._half_close(CloseReason.DRAINING)

    def abort(self, reason: CloseReason) -> None:
        """Shuts down the socket at once; the client can tell that its response is incomplete."""
        self._set_close_reason(reason)
        self._context.log.increment("responses_aborted")
        self._keeps_alive = False
        sockets.shutdown(self._sock)

    # Transitions, with the lock held.

    @property
    def _stays_open(self) -> bool:
        return self._keeps_alive and not self._context.is_draining

    def _become_idle(self) -> None:
        """No request is in flight: the next one must be complete by the keep-alive deadline."""
        self._body_reservation.release()
        self.idle_since = self._context.clock.now()
        self.deadline = self.idle_since + self._context.limits.keepalive_timeout

    def _set_close_reason(self, reason: CloseReason) -> None:
        """Notes who has ended the connection; the first one counts."""
        if self._close_reason is CloseReason.CLIENT_CLOSED:
            self._close_reason = reason

    def _half_close(self, reason: CloseReason) -> None:
        """Closes our side; the client has the linger timeout to close its own."""
        self._set_close_reason(reason)
        self._is_ending = True
        self.deadline = self._context.clock.now() + LINGER_TIMEOUT
        self._parser.clear()
        self._body_reservation.release()
        sockets.shutdown(self._sock, socket.SHUT_WR)

    def _shut_down(self, reason: CloseReason) -> None:
        """Ends both directions; what the reader thread still receives is dropped."""
        self._set_close_reason(reason)
        self.deadline = 0
        self._is_ending = True
        sockets.shutdown(self._sock)

    def _send_head(self, status: int, headers: Mapping[str, str]) -> None:
        """Sends a bodiless response of the proxy's own; a client that can't take it at once is cut off."""
        closes = not self._stays_open  # read once: a drain that begins meanwhile must not change it
        is_sent = self._try_send(response_head(status, 0, headers, closes))
        if not is_sent:
            self.abort(CloseReason.WRITE_FAILED)
        if closes or not is_sent:
            self._half_close(CloseReason.AFTER_RESPONSE)
        else:
            self._become_idle()

    def _try_send(self, data: bytes) -> bool:
        """Whether the socket took all bytes at once."""
        try:
            return not sockets.send_buffers(self._sock, [data], socket.MSG_DONTWAIT)
        except OSError:
            return False
