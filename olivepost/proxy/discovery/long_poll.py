"""The long poll of one coordinator: threads that poll it, so that no response is given up for another one.

One thread polls while the coordinator responds in time. A thread whose poll is overdue goes on waiting for
its response, and starts another thread that sends the next poll on a connection of its own. Such a thread
ends when it has its response. The coordinator gets no more polls in this way than if it responded on time.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import orjson

from olivepost.config import Address, ConfigError
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery import open_polls
from olivepost.proxy.discovery.messages import DiscoveryHeartbeat
from olivepost.proxy.discovery.open_polls import OpenPoll, OpenPolls
from olivepost.proxy.discovery.poll_connection import PollConnection
from olivepost.proxy.discovery.poll_health import PollHealth
from olivepost.proxy.discovery.watch_state import WatchPosition
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.http1 import HttpError, Message, StatusLine
from olivepost.proxy.threads import start_thread
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# Longest wait for the event loop to handle a response's events before the next poll is sent. The wait is
# limited, because a stalled event loop must not stop discovery.
HANDLING_TIMEOUT_S = 1.0
# Shortest time between two polls. A coordinator that answers every poll immediately would otherwise keep a
# CPU core busy.
MIN_POLL_INTERVAL: Duration = 20 * MILLISECOND
# Longest time until a thread that waits for a response checks whether its poll has been superseded.
MAX_RECEIVE_WAIT: Duration = 1 * SECOND
OK_STATUS = "200"


@dataclass(frozen=True, slots=True)
class PollResponse:
    """The complete response to a poll."""

    position: WatchPosition  # the poll asked for the events after this position
    # Time by which the coordinator had composed the response. It is the end of the poll's wait if the
    # response arrives later.
    composed_by: Instant
    data: object  # the decoded body


class PollOwner(Protocol):
    """Interface that a long poll needs from its owner. The threads of any long poll may call the methods."""

    clock: Clock
    log: EventLog
    max_open_polls: int
    max_response_bytes: int

    def next_position(self, long_poll: LongPoll) -> WatchPosition | None:
        """Returns the position from which the next poll asks for events.

        Returns None if another long poll has replaced `long_poll` or the owner is stopped.
        """

    def accept_response(self, long_poll: LongPoll, response: PollResponse) -> DiscoveryHeartbeat | None:
        """Applies a complete response.

        Returns a heartbeat, a message that the event loop marks as handled after it has handled the
        response's events. The long poll waits for that mark before it polls again. Returns None if there is
        nothing to wait for.
        """


class PollOutcome(Enum):
    """How a poll has ended."""

    ANSWERED = "its response was applied, and the connection can be used again"
    ANSWERED_AND_CLOSED = "its response was applied, and the coordinator closes the connection"
    FAILED = "it has no valid response"


class LongPoll:
    """The polls of one coordinator from `start` until `stop`.

    Any thread may call `start` and `stop`. `_lock` guards `_open_polls` and `_is_next_poll_claimed`. The
    thread that has claimed the next poll is the only one that may send it, and alone uses `_polled_at`. A
    thread waits for its own poll only, and then ends unless it claims the next poll.
    """

    def __init__(self, owner: PollOwner, address: Address, seed: float, is_replacement: bool = False) -> None:
        """Creates a long poll, which may be the replacement of another coordinator's."""
        self._owner = owner
        self._clock = owner.clock
        self.log = owner.log
        self._address = address
        self._health = PollHealth(owner.log, seed)
        self._is_stopped = threading.Event()
        self._polled_at: Instant | None = None  # time at which the last poll began; None before the first
        # Held while a response is decoded and applied, which needs several times the memory of its bytes.
        self._decoding_lock = threading.Lock()
        self._lock = threading.Lock()
        self._open_polls = OpenPolls(owner.max_open_polls, owner.max_response_bytes, is_replacement)
        self._is_next_poll_claimed = True  # by the first thread

    def start(self, timeout_s: float) -> None:
        """Starts the first thread; raises RuntimeError if the system can't start one within the timeout."""
        start_thread(self._run, "discovery", timeout_s)

    def stop(self) -> None:
        """Ends the polling and aborts the open polls."""
        self._health.stop()
        self._is_stopped.set()
        with self._lock:
            for poll in self._open_polls.snapshot():
                poll.connection.abort()

    def retire(self) -> None:
        """Ends the polling, but still waits for responses that the coordinator must have composed already.

        These are the responses of polls whose wait has ended. All other polls are aborted.
        """
        self._health.stop()
        self._is_stopped.set()
        with self._lock:
            now = self._clock.now()
            for poll in self._open_polls.snapshot():
                poll.is_superseded = True
                if now < poll.wait_ends_at:
                    poll.connection.abort()

    def _run(self) -> None:
        """Sends the next poll, which this thread has claimed, and further ones until another thread does."""
        connection: PollConnection | None = None
        backoff_s = 0.0
        has_claim = True
        while has_claim and not self._is_stopped.is_set():
            self._pause_before_next_poll(backoff_s)
            position = self._owner.next_position(self)
            if position is None:
                break
            poll = self._try_to_begin_poll(position, connection)
            if poll is None:
                connection = None
                backoff_s = self._health.draw_backoff_s()
                continue
            outcome = self._attempt(poll)
            connection = poll.connection
            if outcome is not PollOutcome.ANSWERED:
                connection.close()
                connection = None
            has_claim, backoff_s = self._end_poll(poll, outcome)
        if connection is not None:
            connection.close()

    def _pause_before_next_poll(self, backoff_s: float) -> None:
        """Waits for the backoff, and until `MIN_POLL_INTERVAL` has passed since the last poll began."""
        interval_s = 0.0
        if self._polled_at is not None:
            interval_s = (self._polled_at + MIN_POLL_INTERVAL - self._clock.now()) / SECOND
        pause_s = max(backoff_s, interval_s)
        if pause_s > 0:
            self._is_stopped.wait(pause_s)
        self._polled_at = self._clock.now()

    def _try_to_begin_poll(
        self, position: WatchPosition, connection: PollConnection | None
    ) -> OpenPoll | None:
        """Registers the claimed poll, which ends the claim; returns None if it can't begin to connect."""
        try:
            connection = connection or PollConnection(self._address, self._owner.max_response_bytes)
        except OSError as error:
            self._health.record_failure(error)
            return None
        except Exception:  # top level of the thread: no unexpected error may end discovery
            self.log.exception("discovery_error")
            self._health.record_unexpected_error()
            return None
        poll = OpenPoll(connection, position, self._clock.now())
        with self._lock:
            self._open_polls.add(poll)
            self._is_next_poll_claimed = False
        if self._is_stopped.is_set():  # `stop` may not have seen the poll
            connection.abort()
        return poll

    def _attempt(self, poll: OpenPoll) -> PollOutcome:
        """Sends a poll, waits for its response and passes that to the owner; handles failures."""
        try:
            response = self._exchange(poll)
            self._accept(poll, response)
        except (OSError, HttpError, ConfigError, ValueError) as error:
            if poll.is_superseded or poll.is_reassigned:
                self._health.record_unneeded_failure()
            else:
                self._health.record_failure(error)
            return PollOutcome.FAILED
        except Exception:  # top level of the thread: no unexpected error may end discovery
            self.log.exception("discovery_error")
            self._health.record_unexpected_error()
            return PollOutcome.FAILED
        return PollOutcome.ANSWERED if response.keeps_alive else PollOutcome.ANSWERED_AND_CLOSED

    def _exchange(self, poll: OpenPoll) -> Message[StatusLine]:
        """Returns the complete response to a poll. Raises OSError, or HttpError if it is malformed."""
        connection = poll.connection
        while not connection.wait_connected(self._time_to_wait(poll)):
            pass
        wait_ms = open_polls.POLL_WAIT // MILLISECOND
        connection.send_request(f"/v2/stream?follow={poll.position.index}&wait_ms={wait_ms}")
        with self._lock:
            poll.sent_at = self._clock.now()
        while (response := connection.take_response()) is None:
            size = connection.receive(self._time_to_wait(poll))
            if size:
                with self._lock:
                    self._open_polls.record_bytes(poll, size, self._clock.now())
        return response

    def _time_to_wait(self, poll: OpenPoll) -> Duration:
        """Returns how long to wait for a poll's response until the next check of the poll.

        If the poll is overdue and no other thread sends the next poll, first has another thread send it.
        Raises OSError if the poll is given up.
        """
        with self._lock:
            now = self._clock.now()
            check_at = min(poll.expires_at, now + MAX_RECEIVE_WAIT)
            if now >= poll.expires_at:
                raise TimeoutError("no complete response before the poll was given up")
            is_newest = self._open_polls.is_newest(poll)
            if self._is_next_poll_claimed or not is_newest or self._is_stopped.is_set():
                return check_at - now
            next_due_at = self._open_polls.next_due_at
            if now < next_due_at:
                return min(check_at, next_due_at) - now
            self._is_next_poll_claimed = True
            unanswered = self._open_polls.unanswered_count
        self._health.record_overdue(unanswered)
        self._start_next_poll(poll)
        return check_at - now

    def _start_next_poll(self, overdue: OpenPoll) -> None:
        """Has another thread send the next poll, which the calling thread has claimed.

        If there may be no further thread, the thread of the least useful poll gives that poll up and sends
        the next one.
        """
        with self._lock:
            may_start_thread = not self._open_polls.is_full
        if may_start_thread:
            try:
                start_thread(self._run, "discovery")
                return
            except (RuntimeError, MemoryError):
                self.log.increment("threads_short")
        with self._lock:
            replaced = self._open_polls.least_useful() or overdue
            replaced.is_reassigned = True
            replaced.connection.abort()

    def _accept(self, poll: OpenPoll, response: Message[StatusLine]) -> None:
        """Passes a complete response to the owner, and waits until its events are handled.

        Raises ConnectionError for a response with another status than 200, and ConfigError or ValueError if
        its body is invalid.
        """
        status = response.start_line.status
        if status != OK_STATUS:
            raise ConnectionError(f"the coordinator responded with status {status}, expected {OK_STATUS}")
        with self._decoding_lock:
            body = orjson.loads(response.body)
            response.body = b""  # frees the received bytes before the decoded body is applied
            composed_by = min(self._clock.now(), poll.wait_ends_at)
            heartbeat = self._owner.accept_response(self, PollResponse(poll.position, composed_by, body))
        with self._lock:
            newer_open = self._open_polls.record_answer(poll)
        self._health.record_answer(self._clock.now() - poll.wait_ends_at, newer_open)
        if heartbeat is not None:
            heartbeat.is_handled.wait(HANDLING_TIMEOUT_S)

    def _end_poll(self, poll: OpenPoll, outcome: PollOutcome) -> tuple[bool, float]:
        """Removes a poll that has ended; returns whether this thread sends the next poll, and its backoff.

        After a failure, the lost response is asked for again at once, unless a newer poll was answered.
        """
        with self._lock:
            is_newest = self._open_polls.is_newest(poll)
            self._open_polls.remove(poll)
            if poll.is_reassigned:
                return True, 0.0
            has_failed = outcome is PollOutcome.FAILED
            is_needed = is_newest or (has_failed and not poll.is_superseded)
            if self._is_next_poll_claimed or not is_needed:
                return False, 0.0
            self._is_next_poll_claimed = True
            return True, self._health.draw_backoff_s() if has_failed else 0.0
