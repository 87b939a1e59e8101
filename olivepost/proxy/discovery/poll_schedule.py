"""Which thread of a long poll sends the next poll, and when. Thread-safe, without I/O but aborts."""

from __future__ import annotations

import threading
from typing import NamedTuple

from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.open_polls import OpenPoll, OpenPolls
from olivepost.units import SECOND, Duration

# Longest time until a thread that waits for a response checks whether its poll has been superseded.
MAX_RECEIVE_WAIT: Duration = 1 * SECOND


class PollCheck(NamedTuple):
    """What the thread of an open poll has to do."""

    wait: Duration  # how long it waits for its response until the next check
    is_next_poll_due: bool = False  # whether it has another thread send the next poll now
    overdue_count: int = 0  # number of polls that are overdue while the next poll is due


class PollSchedule:
    """The open polls of one coordinator, and the claim to the next poll.

    Only the thread that holds the claim may send the next poll. The claim passes to the thread of the newest
    poll when that poll ends or is overdue. `_lock` guards the other fields.
    """

    def __init__(self, clock: Clock, open_polls: OpenPolls) -> None:
        self._clock = clock
        self._open_polls = open_polls
        self._lock = threading.Lock()
        self._is_next_poll_claimed = True  # by the first thread
        self._is_stopped = False

    @property
    def open_polls(self) -> list[OpenPoll]:
        """Returns the open polls, from the oldest to the newest."""
        with self._lock:
            return self._open_polls.snapshot()

    def begin(self, poll: OpenPoll) -> None:
        """Adds the poll that was claimed; this ends the claim."""
        with self._lock:
            self._open_polls.add(poll)
            self._is_next_poll_claimed = False
            if self._is_stopped:
                poll.connection.abort()

    def record_sent(self, poll: OpenPoll) -> None:
        """Records that a poll's request was sent."""
        with self._lock:
            poll.sent_at = self._clock.now()

    def record_bytes(self, poll: OpenPoll, size: int) -> None:
        """Records that bytes of a poll's response have arrived; raises OSError if they are too many."""
        with self._lock:
            self._open_polls.record_bytes(poll, size, self._clock.now())

    def record_answer(self, poll: OpenPoll) -> int:
        """Records that a poll was answered; returns the number of newer polls that are open."""
        with self._lock:
            return self._open_polls.record_answer(poll)

    def check(self, poll: OpenPoll) -> PollCheck:
        """Says how long a poll's thread waits, and whether it has another thread send the next poll.

        In the latter case the calling thread has claimed the next poll for that thread. Raises TimeoutError
        if the poll is given up.
        """
        with self._lock:
            now = self._clock.now()
            if now >= poll.expires_at:
                raise TimeoutError("no complete response before the poll was given up")
            wait = min(poll.expires_at - now, MAX_RECEIVE_WAIT)
            if self._is_next_poll_claimed or self._is_stopped or not self._open_polls.is_newest(poll):
                return PollCheck(wait)
            next_due_at = self._open_polls.next_due_at
            if now < next_due_at:
                return PollCheck(min(wait, next_due_at - now))
            self._is_next_poll_claimed = True
            return PollCheck(wait, True, self._open_polls.overdue_count(now))

    @property
    def may_start_thread(self) -> bool:
        """Whether a further thread may send the next poll."""
        with self._lock:
            return not self._open_polls.is_full

    def reassign(self, overdue: OpenPoll) -> None:
        """Gives up the least useful poll, whose thread then sends the next poll.

        This is `overdue` if no other poll is open.
        """
        with self._lock:
            replaced = self._open_polls.least_useful() or overdue
            replaced.is_reassigned = True
            replaced.connection.abort()

    def end(self, poll: OpenPoll, has_failed: bool) -> bool:
        """Removes a poll that has ended; returns whether its thread has claimed the next poll.

        After a failure, the lost response is asked for again at once, unless a newer poll was answered.
        """
        with self._lock:
            is_newest = self._open_polls.is_newest(poll)
            self._open_polls.remove(poll)
            if poll.is_reassigned:
                return True
            is_needed = is_newest or (has_failed and not poll.is_superseded)
            if self._is_next_poll_claimed or not is_needed:
                return False
            self._is_next_poll_claimed = True
            return True

    def stop(self) -> None:
        """Aborts all open polls and those that begin later."""
        with self._lock:
            self._is_stopped = True
            for poll in self._open_polls.snapshot():
                poll.connection.abort()

    def retire(self) -> None:
        """Aborts the polls that the coordinator may still hold, and those that begin later.

        The responses of the other polls must have been composed already; they are still waited for.
        """
        with self._lock:
            self._is_stopped = True
            now = self._clock.now()
            for poll in self._open_polls.snapshot():
                poll.is_superseded = True
                if now < poll.wait_ends_at:
                    poll.connection.abort()
