"""The open polls of a coordinator: which one is the newest, when it is overdue, and when polls are given up.

A poll that is overdue is not given up, because its response may still arrive. Another poll is sent beside it,
because the response may also never arrive.

This module does no I/O and has no thread. The owner of an `OpenPolls` holds a lock during each call.
"""

from __future__ import annotations

from dataclasses import dataclass

from olivepost.proxy.discovery.poll_connection import PollConnection
from olivepost.proxy.discovery.watch_state import WatchPosition
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# Longest time for which the coordinator may hold a poll open. An event that a silent poll holds back is
# expected to be known 2 s after this time, so another poll has to be sent well before.
POLL_WAIT: Duration = 1 * SECOND
# A poll is overdue if nothing of its response arrives for this long after its wait. The pause also ends a
# wait for the rest of a response. It is short, because it delays the events of a coordinator that is silent
# or slow.
RESPONSE_PAUSE: Duration = 150 * MILLISECOND
# A poll is overdue this long after its wait, even if its response is still arriving piece by piece.
MAX_RESPONSE_DURATION: Duration = 1 * SECOND
CONNECT_PAUSE: Duration = 500 * MILLISECOND  # a poll is overdue if its connection takes longer than this
# Events are expected to be known everywhere this long after they have occurred, so a later response of a poll
# brings nothing that a newer poll has not brought.
EVENT_DELAY_LIMIT: Duration = 7 * SECOND
# A poll is given up this long after its wait if no newer poll has been answered either.
MAX_RESPONSE_DELAY: Duration = 30 * SECOND


class ResponseBudgetError(OSError):
    """Error for a response that was given up because older responses use the memory for responses."""


@dataclass(slots=True, eq=False)
class OpenPoll:
    """A poll from its beginning until its response has been handled or it has failed."""

    connection: PollConnection
    position: WatchPosition  # the poll asks for the events after this position
    began_at: Instant
    sent_at: Instant | None = None  # None while the connection is being established
    received_at: Instant | None = None  # time at which the last bytes arrived; None before the first ones
    received_bytes: int = 0
    is_superseded: bool = False  # whether a newer poll has been answered
    # Whether the poll was given up so that its thread sends the next poll.
    is_reassigned: bool = False

    @property
    def target(self) -> str:
        """Returns the request target of the poll."""
        return f"/v2/stream?follow={self.position.index}&wait_ms={POLL_WAIT // MILLISECOND}"

    @property
    def wait_ends_at(self) -> Instant:
        """Returns the time by which the coordinator has to respond."""
        return (self.began_at if self.sent_at is None else self.sent_at) + POLL_WAIT

    @property
    def overdue_at(self) -> Instant:
        """Returns the time at which another poll is sent beside this one, if this one is still open."""
        if self.sent_at is None:
            return self.began_at + CONNECT_PAUSE
        last_progress_at = max(self.wait_ends_at, self.received_at or 0)
        return min(last_progress_at + RESPONSE_PAUSE, self.wait_ends_at + MAX_RESPONSE_DURATION)

    @property
    def expires_at(self) -> Instant:
        """Returns the time at which the poll is given up."""
        return self.wait_ends_at + (EVENT_DELAY_LIMIT if self.is_superseded else MAX_RESPONSE_DELAY)


class OpenPolls:
    """The open polls of one coordinator, from the oldest to the newest.

    At most `max_polls` may be open. If `is_catching_up` is set, events may wait at the coordinator, and the
    next polls are sent before the first one is overdue. `max_response_bytes` limits the bytes of incomplete
    responses: the oldest poll may receive as many, and all other polls together may receive as many.
    """

    def __init__(self, max_polls: int, max_response_bytes: int, is_catching_up: bool) -> None:
        self._polls: list[OpenPoll] = []
        self._is_catching_up = is_catching_up  # until the first answer
        self._max_polls = max_polls
        self._max_response_bytes = max_response_bytes
        # A poll is answered at once if it asks for events that older polls have not brought yet, and later
        # events need another poll. While responses are late, polls are therefore spread over the time for
        # which a response is of use, so that none has to be given up within that time.
        self._late_poll_interval: Duration = (POLL_WAIT + EVENT_DELAY_LIMIT) // max_polls

    @property
    def is_full(self) -> bool:
        """Whether no further poll may be open."""
        return len(self._polls) >= self._max_polls

    def overdue_count(self, now: Instant) -> int:
        """Returns the number of overdue polls since the last one that was answered."""
        return sum(poll.overdue_at <= now and not poll.is_superseded for poll in self._polls)

    @property
    def next_due_at(self) -> Instant:
        """Returns the time at which the next poll is sent if the newest one is still open."""
        newest = self._polls[-1]
        if newest.position.is_before_all_events:
            return newest.overdue_at
        late_from = [poll.overdue_at for poll in self._polls if not poll.is_superseded]
        if self._is_catching_up:
            late_from.append(newest.began_at)
        return min(newest.overdue_at, max(newest.began_at + self._late_poll_interval, min(late_from)))

    def snapshot(self) -> list[OpenPoll]:
        """Returns the open polls."""
        return list(self._polls)

    def add(self, poll: OpenPoll) -> None:
        """Adds a poll as the newest."""
        self._polls.append(poll)

    def remove(self, poll: OpenPoll) -> None:
        """Removes a poll that has ended."""
        self._polls.remove(poll)

    def is_newest(self, poll: OpenPoll) -> bool:
        """Whether no poll has been added after this one."""
        return self._polls[-1] is poll

    def record_answer(self, answered: OpenPoll) -> int:
        """Marks the polls that are older than the answered one as superseded.

        Returns the number of newer ones.
        """
        self._is_catching_up = False
        position = self._polls.index(answered)
        for poll in self._polls[:position]:
            poll.is_superseded = True
        return len(self._polls) - position - 1

    def record_bytes(self, poll: OpenPoll, size: int, now: Instant) -> None:
        """Records that bytes of a poll's response have arrived.

        Raises ResponseBudgetError if the polls hold too many bytes. The oldest poll never gets this error, so
        that one of several long responses arrives completely.
        """
        poll.received_at = now
        poll.received_bytes += size
        if poll is self._polls[0]:
            return
        others = self._polls[1:]
        if sum(other.received_bytes for other in others) > self._max_response_bytes:
            raise ResponseBudgetError(
                f"{len(others)} responses have more than {self._max_response_bytes} bytes together"
            )

    def least_useful(self) -> OpenPoll | None:
        """Returns the poll to give up so that another one can be sent; None if there is only one poll.

        This is the oldest poll if a newer one has been answered, and else the second oldest. The oldest of
        the polls that wait for the first answer is kept, since a coordinator that is slower than all polls
        together can wait must still be heard. The newest poll is kept, since it has the newest events.
        """
        if len(self._polls) <= 1:
            return None
        has_superseded = self._polls[0].is_superseded or len(self._polls) == 2
        return self._polls[0 if has_superseded else 1]
