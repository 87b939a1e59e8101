"""The long poll: a thread that polls one coordinator, with a timeout for each response and backoff."""

from __future__ import annotations

import random
import socket
import threading
from typing import Protocol

import orjson

from olivepost.config import Address, ConfigError
from olivepost.proxy import http1, sockets
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.messages import DiscoveryHeartbeat
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.http1 import HttpError
from olivepost.proxy.threads import START_TIMEOUT_S, start_thread
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# How long the coordinator may hold a poll open. Short, so that a dead one is noticed well before its events
# count as known everywhere.
POLL_WAIT: Duration = 1 * SECOND
# For a response's last byte, beyond the poll's own wait, counted from when the poll was sent. Guards against
# a coordinator that stops, breaks off or trickles: its events count as known everywhere 2 s after the wait,
# so there must be time left for another poll. Doubles with each failure in a row, up to the maximum, for
# endpoint lists that take longer; hurts where every response does, by those first attempts.
FIRST_RESPONSE_TIMEOUT: Duration = 600 * MILLISECOND
MAX_RESPONSE_TIMEOUT: Duration = 4 * SECOND
MAX_RESPONSE_TIMEOUT_DOUBLINGS = 8  # keeps the shift small; the maximum is reached long before
CONNECT_TIMEOUT: Duration = 500 * MILLISECOND
# Exponential backoff after failures: each pause is half of this to all of it, at random.
FIRST_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.25
MAX_BACKOFF_DOUBLINGS = 10
MAX_HEAD_SIZE = 8_192  # bytes of a response's status line and headers
# For the event loop to handle a response's events before the next poll; a loop that is stuck for longer must
# not end discovery.
HANDLING_TIMEOUT_S = 1.0
# Between two polls that are answered at once: a coordinator that never waits must not take the core.
MIN_POLL_INTERVAL: Duration = 20 * MILLISECOND
RECEIVE_SIZE = 65_536  # bytes of one read
OK_STATUS = "200"


class WatchState(Protocol):
    """What a long poll asks of its owner; any long poll's thread may call it."""

    clock: Clock
    log: EventLog
    max_response_bytes: int

    def next_index(self, long_poll: LongPoll) -> int | None:
        """The index after which to poll; None where another long poll has taken over."""

    def accept_response(self, long_poll: LongPoll, data: object) -> DiscoveryHeartbeat | None:
        """Takes over the decoded body of a complete response; what is marked once its events are handled."""


class LongPoll:
    """A thread that polls one coordinator until `stop`.

    `stop` may be called from any thread. `_lock` guards `_sock` and `_parser`; the polling thread alone sets
    them, and uses its own socket without the lock.
    """

    def __init__(self, watch_state: WatchState, address: Address, seed: float) -> None:
        self._watch_state = watch_state
        self._clock = watch_state.clock
        self.log = watch_state.log
        self._address = address
        self._random = random.Random(seed)
        self._is_stopped = threading.Event()
        self._failures = 0  # in a row
        self._is_lost = False  # whether the loss of the coordinator is logged
        self._lock = threading.Lock()
        self._sock: socket.socket | None = None
        self._parser = self._new_parser()
        self._polled_at = 0
        start_thread(self._run, "discovery", START_TIMEOUT_S)

    def stop(self) -> None:
        """Aborts the open poll; a connection that is being made is closed once it is there."""
        self._is_stopped.set()
        with self._lock:
            if self._sock is not None:
                sockets.shutdown(self._sock)

    def _run(self) -> None:
        while not self._is_stopped.is_set():
            can_reuse_connection = self._attempt_poll()
            if can_reuse_connection:
                continue
            self._close_connection()
            if self._failures:
                self._is_stopped.wait(self._backoff_s())
        self._close_connection()

    def _attempt_poll(self) -> bool:
        """One poll with its failures handled; returns whether the connection can be used again."""
        timeout = self._response_timeout()
        try:
            if self._sock is None:
                self._connect()
            can_reuse_connection = self._poll(timeout)
        except (OSError, HttpError, ConfigError, ValueError) as error:
            self._record_failure(error)
            return False
        except Exception:  # the thread's top: no fault may end discovery
            self._failures += 1
            self.log.exception("discovery_error")
            return False
        self._record_success()
        return can_reuse_connection

    def _record_failure(self, error: Exception) -> None:
        if not self._is_lost and not self._is_stopped.is_set():
            self.log.event("discovery_lost", reason=str(error) or type(error).__name__)
        self.log.increment("poll_failures")
        self._failures += 1
        self._is_lost = True

    def _record_success(self) -> None:
        if self._is_lost:
            self.log.event("discovery_recovered")
        self._failures = 0
        self._is_lost = False

    def _response_timeout(self) -> Duration:
        """Nanoseconds for the next response beyond the poll's own wait."""
        doublings = min(self._failures, MAX_RESPONSE_TIMEOUT_DOUBLINGS)
        return min(MAX_RESPONSE_TIMEOUT, FIRST_RESPONSE_TIMEOUT << doublings)

    def _backoff_s(self) -> float:
        """Seconds until the next attempt, after one failure or more."""
        doublings = min(self._failures - 1, MAX_BACKOFF_DOUBLINGS)
        longest = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * (1 << doublings))
        return longest * (0.5 + self._random.random() / 2)

    def _connect(self) -> None:
        sock = sockets.connect(
            self._address,
            CONNECT_TIMEOUT,
            POLL_WAIT + FIRST_RESPONSE_TIMEOUT,
            FIRST_RESPONSE_TIMEOUT,
        )
        with self._lock:
            self._sock = sock
            self._parser = self._new_parser()

    def _close_connection(self) -> None:
        with self._lock:
            sock = self._sock
            self._sock = None
        if sock is not None:
            sock.close()

    def _poll(self, timeout: Duration) -> bool:
        """Polls once and hands the response over; returns whether the connection can be used again."""
        self._wait_for_next_poll()
        sock = self._sock
        index = self._watch_state.next_index(self)
        if sock is None or index is None:
            return False
        deadline = self._clock.now() + POLL_WAIT + timeout
        target = f"/v2/stream?follow={index}&wait_ms={POLL_WAIT // MILLISECOND}"
        head = http1.request_head(target, f"{self._address.host}:{self._address.port}")
        sockets.send_buffers(sock, [head])
        response = self._receive_response(sock, deadline)
        status = response.start_line.status
        if status != OK_STATUS:
            raise ConnectionError(f"status {status}")
        body = orjson.loads(response.body)
        response.body = b""  # not held beside what was decoded from it
        heartbeat = self._watch_state.accept_response(self, body)
        if heartbeat is not None:
            heartbeat.is_handled.wait(HANDLING_TIMEOUT_S)
        return response.keeps_alive

    def _new_parser(self) -> http1.ResponseParser:
        return http1.ResponseParser(MAX_HEAD_SIZE, self._watch_state.max_response_bytes)

    def _wait_for_next_poll(self) -> None:
        """Keeps two polls apart, by the time at which they were sent."""
        remaining = self._polled_at + MIN_POLL_INTERVAL - self._clock.now()
        if remaining > 0:
            self._is_stopped.wait(remaining / SECOND)
        self._polled_at = self._clock.now()

    def _receive_response(self, sock: socket.socket, deadline: Instant) -> http1.Message[http1.StatusLine]:
        while (response := self._parser.take()) is None:
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                raise TimeoutError("the response takes too long")
            sockets.set_receive_timeout(sock, remaining)
            try:
                data = sock.recv(RECEIVE_SIZE)
            except BlockingIOError:  # the receive timeout; whether the deadline has passed is checked above
                continue
            if not data:
                raise ConnectionError("closed by the coordinator")
            self._parser.feed(data)
        return response
