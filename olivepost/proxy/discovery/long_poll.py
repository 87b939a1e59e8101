"""The long poll of one coordinator: threads that poll it, so that no response is given up for another one.

One thread polls while the coordinator responds in time. A thread whose poll is overdue goes on waiting for
its response, and starts another thread that sends the next poll on a connection of its own. Such a thread
ends when it has its response. `OpenPolls` bounds how many polls are open, and how soon they are sent.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import orjson

from olivepost.config import Address, ConfigError
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.messages import DiscoveryHeartbeat
from olivepost.proxy.discovery.open_polls import OpenPoll, OpenPolls
from olivepost.proxy.discovery.poll_connection import PollConnection
from olivepost.proxy.discovery.poll_health import PollHealth
from olivepost.proxy.discovery.poll_schedule import PollSchedule
from olivepost.proxy.discovery.watch_state import WatchPosition
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.http1.messages import HttpError, Message, StatusLine
from olivepost.proxy.threads import start_thread
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# Longest wait for the event loop to handle a response's events before the next poll is sent. The wait is
# limited, because a stalled event loop must not stop discovery.
HANDLING_TIMEOUT_S = 1.0
# Shortest time between two polls. A coordinator that answers every poll immediately would otherwise keep a
# CPU core busy.
MIN_POLL_INTERVAL: Duration = 20 * MILLISECOND
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
    ANSWERED_AND_CLOSED = "its response was applied, and the connection can't be used again"
    FAILED = "it has no valid response"


class LongPoll:
    """The polls of one coordinator from `start` until `stop`.

    Any thread may call `start`, `stop` and `retire`. `PollSchedule` says which thread sends the next poll;
    that thread alone uses `_polled_at`. A thread waits for its own poll only, and then ends unless it sends
    the next one.
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
        open_polls = OpenPolls(owner.max_open_polls, owner.max_response_bytes, is_replacement)
        self._schedule = PollSchedule(owner.clock, open_polls)

    def start(self, timeout_s: float) -> None:
        """Starts the first thread; raises RuntimeError if the system can't start one within the timeout."""
        start_thread(self._run, "discovery", timeout_s)

    def stop(self) -> None:
        """Ends the polling and aborts the open polls."""
        self._health.stop()
        self._is_stopped.set()
        self._schedule.stop()

    def retire(self) -> None:
        """Ends the polling, but still waits for responses that the coordinator must have composed already.

        These are the responses of polls whose wait has ended. All other polls are aborted.
        """
        self._health.stop()
        self._is_stopped.set()
        self._schedule.retire()

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
            has_failed = outcome is PollOutcome.FAILED
            backoff_s = self._health.draw_backoff_s() if has_failed else 0.0
            has_claim = self._schedule.end(poll, has_failed)
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
            if connection is not None and not connection.is_reusable:
                connection.close()
                connection = None
            connection = connection or PollConnection(self._address, self._owner.max_response_bytes)
        except OSError as error:
            self._health.record_failure(error)
            return None
        except Exception:  # top level of the thread: no unexpected error may end discovery
            self.log.exception("discovery_error")
            self._health.record_unexpected_error()
            return None
        poll = OpenPoll(connection, position, self._clock.now())
        self._schedule.begin(poll)
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
                if poll.received_bytes:
                    self._health.record_faulty_response(poll.position.index, error)
            return PollOutcome.FAILED
        except Exception:  # top level of the thread: no unexpected error may end discovery
            self.log.exception("discovery_error")
            self._health.record_unexpected_error()
            return PollOutcome.FAILED
        if poll.connection.can_be_used_after(response):
            return PollOutcome.ANSWERED
        return PollOutcome.ANSWERED_AND_CLOSED

    def _exchange(self, poll: OpenPoll) -> Message[StatusLine]:
        """Returns the complete response to a poll. Raises OSError, or HttpError if it is malformed."""
        connection = poll.connection
        while not connection.wait_connected(self._time_to_wait(poll)):
            pass
        connection.send_request(poll.target)
        self._schedule.record_sent(poll)
        while (response := connection.take_response()) is None:
            size = connection.receive(self._time_to_wait(poll))
            if size:
                self._schedule.record_bytes(poll, size)
        return response

    def _time_to_wait(self, poll: OpenPoll) -> Duration:
        """Returns how long to wait for a poll's response until the next check of the poll.

        Has another thread send the next poll if that is due. Raises OSError if this poll is given up.
        """
        check = self._schedule.check(poll)
        if check.is_next_poll_due:
            self._health.record_overdue(check.overdue_count)
            self._start_next_poll(poll)
        return check.wait

    def _start_next_poll(self, overdue: OpenPoll) -> None:
        """Has another thread send the next poll, or this one if there is no other."""
        if self._schedule.may_start_thread:
            try:
                start_thread(self._run, "discovery")
                return
            except (RuntimeError, MemoryError):
                self.log.increment("threads_short")
        self._schedule.reassign(overdue)

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
        newer_open = self._schedule.record_answer(poll)
        self._health.record_answer(self._clock.now() - poll.wait_ends_at, newer_open)
        if heartbeat is not None:
            heartbeat.is_handled.wait(HANDLING_TIMEOUT_S)
