"""The state of one client's connection, the lock that guards it, and every way in which it closes."""

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
from olivepost.proxy.http1 import RequestParser, response_head
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# For the client to close its side after our half-close, so that no reset overtakes the response (RFC 9112,
# section 9.6).
LINGER_TIMEOUT: Duration = 1 * SECOND
# For the reader thread to take a request that arrived before the deadline and is not read yet.
READER_GRACE: Duration = 200 * MILLISECOND


class CloseReason(Enum):
    """Why a client's connection was closed; the values stand in the log and in names of counters."""

    CLIENT_CLOSED = "client_closed"
    EVICTED = "evicted"  # idle, at the connection cap or close to the memory limit
    IDLE_TIMEOUT = "idle_timeout"
    REQUEST_TIMEOUT = "request_timeout"  # a part of a request
    WRITE_TIMEOUT = "write_timeout"  # a response that the client does not read
    WRITE_FAILED = "write_failed"
    DRAINING = "draining"
    AFTER_RESPONSE = "after_response"  # as the client or the proxy has announced
    NO_READ_BUFFER = "no_read_buffer"
    ERROR = "error"


class ConnectionLifecycle:
    """State and close of a connection, which has one request in flight at most.

    A connection is idle, receives a request, has a request in flight (`exchange`), or is closing.

    `lock` guards every other field and orders received bytes and closes: bytes are received with it, and a
    thread that closes the connection sets `is_closing` with it first. So a request that was received before
    the close gets its response, and one that arrives after it is not forwarded.

    Three accesses go without the lock: the accept thread and the deadline thread read fields and properties
    to select connections, and check again with the lock before they act; the reader thread sets `is_closed`,
    once; and `abort` is called while a writer holds the lock and waits for the client.
    """

    def __init__(self, context: DownstreamContext, sock: socket.socket) -> None:
        self.lock = threading.Lock()
        self.sock = sock
        self.parser = RequestParser(context.limits.max_head_bytes, context.limits.max_request_body_bytes)
        self.body_reservation = LargeBodyReservation(context.large_bodies)
        self.exchange: Exchange | None = None  # of the request in flight
        self.keeps_alive = True  # as the last request asked
        self.is_closing = False  # the last response is sent, or none will be
        self.is_write_blocked = False  # a writer holds the lock and waits for the client to read
        self.is_closed = False  # by the client, or after our close
        self.close_reason = CloseReason.CLIENT_CLOSED  # as long as the proxy has not closed it
        self.has_received_request = False  # a complete request was received
        self.idle_since: Instant = context.clock.now()  # when it last became idle, or was half-closed
        # When the connection must have left its present state, whatever bytes arrive until then; None while a
        # request is in flight, which has the event loop's own deadline.
        self.deadline: Instant | None = self.idle_since + context.limits.first_request_timeout
        self._context = context

    @property
    def is_idle(self) -> bool:
        """Whether it has received a request before, and none is in flight."""
        return self.has_received_request and self.exchange is None

    @property
    def has_pending_response(self) -> bool:
        """Whether the client waits for a response, or has sent a part of a request."""
        if self.exchange is not None:
            return True
        return not (self.is_closing or self.parser.is_idle)

    @property
    def has_nothing_unread(self) -> bool:
        """Whether the socket has no received bytes that the reader thread has not taken yet."""
        return sockets.has_nothing_unread(self.sock)

    def is_closed_by_client(self) -> bool:
        """Whether the client has closed, reset or half-closed, also where the reader thread is late."""
        return self.is_closed or sockets.is_closed_by_peer(self.sock)

    def is_overdue(self, now: Instant) -> bool:
        """Whether the deadline has passed."""
        deadline = self.deadline  # another thread may set it to None meanwhile
        return deadline is not None and deadline < now

    # Closes by other threads: the accept thread, the deadline thread and the graceful shutdown.

    def evict(self) -> bool:
        """Closes the connection at once, unless a request is in flight or unread; returns whether it did.

        A part of a request gets status 503.
        """
        with self._try_lock() as is_locked:
            if not is_locked:
                return False  # its reader or a writer uses it
            if self.exchange is not None or not self.has_nothing_unread:
                return False
            self.record_close_reason(CloseReason.EVICTED)
            if not (self.is_closing or self.parser.is_idle):
                self._try_send(response_head(503, 0, {}, closes=True))
            self._shut_down(CloseReason.EVICTED)
            return True

    def expire(self) -> None:
        """Closes a connection whose deadline has passed; a part of a request gets status 408."""
        with self._try_lock() as is_locked:
            if is_locked:
                self._expire_locked()
            elif self.is_write_blocked:  # otherwise its reader has just received something
                self.deadline = None
                self.abort(CloseReason.WRITE_TIMEOUT)

    def close_if_idle(self) -> bool:
        """Half-closes an idle connection, without waiting for a thread that uses it.

        One with unread bytes ends after the response to them. Returns whether the connection is ending;
        the caller asks again where it is not.
        """
        with self._try_lock() as is_locked:
            if is_locked and not self.is_closing and not self.is_closed:
                is_idle = self.exchange is None and self.parser.is_idle
                if is_idle and self.has_nothing_unread:
                    self.half_close(CloseReason.DRAINING)
            return self.is_closing or self.is_closed

    def abort(self, reason: CloseReason) -> None:
        """Shuts down the socket at once; the client can tell that its response is incomplete."""
        self.record_close_reason(reason)
        self._context.log.increment("responses_aborted")
        self.keeps_alive = False
        sockets.shutdown(self.sock)

    @contextmanager
    def _try_lock(self) -> Iterator[bool]:
        """Takes the lock where it is free; yields whether it was."""
        is_locked = self.lock.acquire(blocking=False)
        try:
            yield is_locked
        finally:
            if is_locked:
                self.lock.release()

    def _expire_locked(self) -> None:
        now = self._context.clock.now()
        if not self.is_overdue(now):
            return  # a request was received since the caller read the deadline
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

    # Transitions, with the lock held.

    @property
    def stays_open(self) -> bool:
        """Whether the connection stays open after the response in hand."""
        context = self._context
        return self.keeps_alive and not (context.is_draining or context.is_slot_wanted)

    def become_idle(self) -> None:
        """No request is in flight: the next one must be complete by the keep-alive deadline."""
        self.body_reservation.release()
        self.idle_since = self._context.clock.now()
        self.deadline = self.idle_since + self._context.limits.keepalive_timeout

    def record_close_reason(self, reason: CloseReason) -> None:
        """Records why the proxy closes the connection; the first reason counts."""
        if self.close_reason is CloseReason.CLIENT_CLOSED:
            self.close_reason = reason

    def half_close(self, reason: CloseReason) -> None:
        """Closes our side; the client has the linger timeout to close its own."""
        self.record_close_reason(reason)
        self.is_closing = True
        self.idle_since = self._context.clock.now()
        self.deadline = self.idle_since + LINGER_TIMEOUT
        self.parser.clear()
        self.body_reservation.release()
        sockets.shutdown(self.sock, socket.SHUT_WR)

    def _shut_down(self, reason: CloseReason) -> None:
        """Closes both directions; what the reader thread still receives is dropped."""
        self.record_close_reason(reason)
        self.deadline = None
        self.is_closing = True
        sockets.shutdown(self.sock)

    def send_head(self, status: int, headers: Mapping[str, str]) -> None:
        """Sends a bodiless response of the proxy's own; a client that can't take it at once is cut off."""
        closes = not self.stays_open  # read once: a drain that begins meanwhile must not change it
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
