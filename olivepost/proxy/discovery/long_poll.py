"""The long poll: a thread that polls one coordinator, with a response timeout and backoff after failures."""

from __future__ import annotations

import threading
from typing import Protocol

import orjson

from olivepost.config import Address, ConfigError
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery import poll_backoff
from olivepost.proxy.discovery.messages import DiscoveryHeartbeat
from olivepost.proxy.discovery.poll_backoff import PollBackoff
from olivepost.proxy.discovery.poll_connection import PollConnection
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.http1 import HttpError
from olivepost.proxy.threads import start_thread
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# Longest time for which the coordinator may hold a poll open. This time is short, so that the proxy detects a
# failed coordinator well before the coordinator's events are expected to be known everywhere.
POLL_WAIT: Duration = 1 * SECOND
# Longest wait for the event loop to handle a response's events before the next poll is sent. The wait is
# limited, because a stalled event loop must not stop discovery.
HANDLING_TIMEOUT_S = 1.0
# Shortest time between two polls. A coordinator that answers every poll immediately would otherwise keep a
# CPU core busy.
MIN_POLL_INTERVAL: Duration = 20 * MILLISECOND
OK_STATUS = "200"


class PollOwner(Protocol):
    """Interface that a long poll needs from its owner. The thread of any long poll may call the methods."""

    clock: Clock
    log: EventLog
    max_response_bytes: int

    def next_index(self, long_poll: LongPoll) -> int | None:
        """Returns the index after which the next poll asks for events.

        Returns None if another long poll has replaced `long_poll` or the owner is stopped.
        """

    def accept_response(self, long_poll: LongPoll, data: object) -> DiscoveryHeartbeat | None:
        """Applies the decoded body of a complete response.

        Returns a heartbeat, a message that the event loop marks as handled after it has handled the
        response's events. The long poll waits for that mark before it polls again. Returns None if there is
        nothing to wait for.
        """


class LongPoll:
    """A thread that polls one coordinator from `start` until `stop`.

    Any thread may call `stop`. `_lock` guards `_connection`. Only the polling thread sets
    `_connection`, so that this thread may read the field and use the connection without the lock.
    """

    def __init__(self, owner: PollOwner, address: Address, seed: float) -> None:
        self._owner = owner
        self._clock = owner.clock
        self.log = owner.log
        self._address = address
        self._backoff = PollBackoff(seed)
        self._is_stopped = threading.Event()
        self._is_loss_logged = False
        self._polled_at: Instant | None = None  # time at which the last poll was sent; None before the first
        self._lock = threading.Lock()
        self._connection: PollConnection | None = None

    def start(self, timeout_s: float) -> None:
        """Starts the thread; raises RuntimeError if the system can't start one within the timeout."""
        start_thread(self._run, "discovery", timeout_s)

    def stop(self) -> None:
        """Ends the polling and aborts the open poll.

        If the polling thread is still opening a connection, that thread closes the connection afterwards.
        """
        self._is_stopped.set()
        with self._lock:
            if self._connection is not None:
                self._connection.abort()

    def _run(self) -> None:
        while not self._is_stopped.is_set():
            can_reuse_connection = self._attempt_poll()
            if can_reuse_connection:
                continue
            self._close_connection()
            if self._backoff.has_failed:
                self._is_stopped.wait(self._backoff.draw_backoff_s())
        self._close_connection()

    def _attempt_poll(self) -> bool:
        """Polls once and handles a failure; returns whether the connection can be reused."""
        try:
            can_reuse_connection = self._poll(self._get_or_open_connection())
        except (OSError, HttpError, ConfigError, ValueError) as error:
            self._record_failure(error)
            return False
        except Exception:  # top level of the thread: no unexpected error may end discovery
            self._backoff.record_failure()
            self.log.exception("discovery_error")
            return False
        self._record_success()
        return can_reuse_connection

    def _record_failure(self, error: Exception) -> None:
        if not self._is_loss_logged and not self._is_stopped.is_set():
            self.log.event("discovery_lost", reason=str(error) or type(error).__name__)
        self.log.increment("poll_failures")
        self._backoff.record_failure()
        self._is_loss_logged = True

    def _record_success(self) -> None:
        if self._is_loss_logged:
            self.log.event("discovery_recovered")
        self._backoff.record_success()
        self._is_loss_logged = False

    def _get_or_open_connection(self) -> PollConnection:
        """Returns the open connection, or opens one if there is none."""
        if self._connection is not None:
            return self._connection
        connection = PollConnection.open(
            self._address,
            receive_timeout=POLL_WAIT + poll_backoff.FIRST_RESPONSE_TIMEOUT,
            send_timeout=poll_backoff.FIRST_RESPONSE_TIMEOUT,
            max_response_bytes=self._owner.max_response_bytes,
        )
        with self._lock:
            self._connection = connection
        return connection

    def _close_connection(self) -> None:
        with self._lock:
            connection = self._connection
            self._connection = None
        if connection is not None:
            connection.close()

    def _poll(self, connection: PollConnection) -> bool:
        """Polls once and passes the response to the owner; returns whether the connection can be reused."""
        self._wait_for_next_poll()
        index = self._owner.next_index(self)
        if index is None:
            return False
        deadline = self._clock.now() + POLL_WAIT + self._backoff.response_timeout
        connection.send_request(f"/v2/stream?follow={index}&wait_ms={POLL_WAIT // MILLISECOND}")
        response = connection.receive_response(self._clock, deadline)
        status = response.start_line.status
        if status != OK_STATUS:
            raise ConnectionError(f"the coordinator responded with status {status}, expected {OK_STATUS}")
        body = orjson.loads(response.body)
        response.body = b""  # frees the received bytes before the decoded body is applied
        heartbeat = self._owner.accept_response(self, body)
        if heartbeat is not None:
            heartbeat.is_handled.wait(HANDLING_TIMEOUT_S)
        return response.keeps_alive

    def _wait_for_next_poll(self) -> None:
        """Waits until `MIN_POLL_INTERVAL` has passed since the last poll was sent."""
        if self._polled_at is not None:
            remaining = self._polled_at + MIN_POLL_INTERVAL - self._clock.now()
            if remaining > 0:
                self._is_stopped.wait(remaining / SECOND)
        self._polled_at = self._clock.now()
