"""A coordinator whose responses are late, missing or incomplete, and a record of its polls and events."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from examples.toy_server import Server, encode_poll_response, read_poll, skip_headers

CLOSE_AFTER_S = 1.5  # a coordinator that has been replaced closes its connections after this time


class ReplyKind(Enum):
    """What a coordinator does with a poll after it has composed the response."""

    COMPLETE = "sends it"
    UNRESPONSIVE = "sends nothing and keeps the connection open"
    STALLED = "sends half of it and keeps the connection open"
    BROKEN = "sends half of it and closes the connection"


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to one poll, which begins `delay_s` after the response was composed."""

    kind: ReplyKind = ReplyKind.COMPLETE
    delay_s: float = 0.0


PROMPT = Reply()
UNRESPONSIVE = Reply(ReplyKind.UNRESPONSIVE)


def late(delay_s: float) -> Reply:
    """Returns a complete reply that is late."""
    return Reply(ReplyKind.COMPLETE, delay_s)


@dataclass(slots=True)
class PollRecord:
    """One poll as the coordinator saw it. All times are monotonic seconds."""

    asked_at: float
    wait_s: float
    after: int  # the poll asks for the events after this index
    reply: Reply
    up_to: int = 0  # index of the last event in the response
    composed_at: float = float("inf")
    ended_at: float = float("inf")  # time at which the response was sent or broken off

    def is_complete(self, index: int) -> bool:
        """Whether the poll has a complete response with the event."""
        return self.reply.kind is ReplyKind.COMPLETE and self.after < index <= self.up_to


@dataclass
class EventFeed:
    """Numbered invalidations that the coordinators of one run have in common. `changed` guards the fields.

    The invalidated group of each event is its index.
    """

    published_at: list[float] = field(default_factory=list)  # monotonic seconds; the first event has index 1
    changed: threading.Condition = field(default_factory=threading.Condition)

    @property
    def last_index(self) -> int:
        """Returns the index of the last event."""
        return len(self.published_at)

    def publish(self) -> None:
        """Publishes an event with the next index."""
        with self.changed:
            self.published_at.append(time.monotonic())
            self.changed.notify_all()

    def events_after(self, after: int) -> dict[str, Any]:
        """Returns all events after an index, in the form of a response and of a configuration."""
        indices = range(after + 1, self.last_index + 1)
        updates = [{"index": index, "evict": {"shard": index, "unix_ms": 0}} for index in indices]
        return {"index": self.last_index, "updates": updates}


class LateCoordinator(Server):
    """A coordinator that replies to each poll as `plan` says when the poll arrives."""

    def __init__(self, feed: EventFeed, plan: Callable[[], Reply]) -> None:
        self.polls: list[PollRecord] = []
        self.plan = plan
        self.open_count = 0  # number of open connections; `_lock` guards both counts
        self.peak_count = 0  # largest number of connections that were open at once
        self._feed = feed
        self._lock = threading.Lock()
        self._is_unresponsive = threading.Event()
        self._is_closed = threading.Event()
        super().__init__()

    def serve(self, sock: Any, lines: Any) -> None:
        """Replies to the polls of one connection."""
        with self._lock:
            self.open_count += 1
            self.peak_count = max(self.peak_count, self.open_count)
        try:
            while line := lines.readline():
                skip_headers(lines)
                if not self._answer(sock, lines, line):
                    break
        finally:
            with self._lock:
                self.open_count -= 1

    def _answer(self, sock: Any, lines: Any, line: bytes) -> bool:
        """Replies to one poll; returns whether the connection remains open."""
        after, wait_s = read_poll(line)
        poll = PollRecord(time.monotonic(), wait_s, after, self.plan())
        self.polls.append(poll)
        with self._feed.changed:
            self._feed.changed.wait_for(lambda: self._feed.last_index > after, poll.wait_s)
            poll.up_to = self._feed.last_index
            poll.composed_at = time.monotonic()
            data = encode_poll_response(self._feed.events_after(after))
        if poll.reply.kind is not ReplyKind.COMPLETE:
            data = data[: len(data) // 2] if poll.reply.kind is not ReplyKind.UNRESPONSIVE else b""
        self._is_closed.wait(poll.reply.delay_s)
        if self._is_unresponsive.is_set():
            self._is_closed.wait()
        if self._is_closed.is_set():
            return False
        sock.sendall(data)
        if poll.reply.kind in (ReplyKind.UNRESPONSIVE, ReplyKind.STALLED):
            lines.readline()  # waits for the end of the connection
        poll.ended_at = time.monotonic()
        return poll.reply.kind is ReplyKind.COMPLETE

    def replace(self, is_unresponsive: bool) -> None:
        """Accepts no more connections, and closes the open ones after `CLOSE_AFTER_S`.

        If `is_unresponsive` is set, responses that were composed before are not sent either.
        """
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        if is_unresponsive:
            self._is_unresponsive.set()
        threading.Timer(CLOSE_AFTER_S, self.close).start()

    def close(self) -> None:
        """Ends all replies and closes the listener and all connections."""
        self._is_closed.set()
        super().close()
