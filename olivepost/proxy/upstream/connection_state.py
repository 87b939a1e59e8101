"""Pending requests of one upstream connection, and the lock that serializes all changes to them."""

from __future__ import annotations

import queue
import threading
from dataclasses import dataclass
from enum import Enum

from olivepost.proxy import invariants
from olivepost.proxy.buffers import PooledBody
from olivepost.proxy.upstream.request import (
    AbortableConnection,
    RequestFilter,
    RequestStage,
    UpstreamAborted,
    UpstreamRequest,
)
from olivepost.units import Instant

# Maximum number of ids of ended requests that are kept, since their responses may still arrive.
MAX_PAST_REQUESTS = 256


class WriterSignal(Enum):
    """Messages to the writer thread other than requests and aborts."""

    DRAIN = "drain"  # close the connection once no request is pending
    CHECK_LIVENESS = "check liveness"


class WriteStart(Enum):
    """Decision whether a request that reached the writer thread is to be written."""

    STARTED = "started"
    WITHDRAWN = "withdrawn"  # the request was withdrawn or aborted while it was queued
    TOO_LATE = "too late"  # the request's `start_before` has passed


class UnmatchedResponse(Enum):
    """Reasons why a response belongs to no pending request; the values are names of counters."""

    DUPLICATE = "duplicate_responses"  # the response's request was written on this connection and has ended
    UNKNOWN = "unmatched_responses"  # this connection is not known to have written a request with this id


@dataclass(frozen=True, slots=True)
class UnfinishedWork:
    """Requests and aborts that were still pending on a connection when it ended."""

    requests: list[UpstreamRequest]
    aborts: list[UpstreamAborted]  # aborts whose confirmation the event loop awaits


class ConnectionState:
    """State that the event loop, the writer thread and the reader thread of one connection share.

    `_lock` guards `_pending`, `_past_ids`, `_awaited_aborts` and changes of `is_closing`. It also guards the
    fields `connection`, `stage`, `body` and `is_missing_buffers` of the pending requests. Aborts are put into
    `outbox` while the lock is held, in the order in which their requests end. `pending_count`, `can_accept`
    and `is_closing` are read without the lock and may be out of date.

    No method does I/O, waits for another thread's work, or reports to the event loop.
    """

    def __init__(self, max_requests: int) -> None:
        self.outbox: queue.SimpleQueue[UpstreamRequest | UpstreamAborted | WriterSignal] = queue.SimpleQueue()
        self.is_closing = False
        self._max_requests = max_requests
        self._lock = threading.Lock()
        self._pending: dict[str, UpstreamRequest] = {}
        self._past_ids: dict[str, None] = {}  # ids of ended requests that were written, oldest first
        # Aborts whose confirmation the event loop awaits. The thread that confirms an abort to the event loop
        # removes it from this list first.
        self._awaited_aborts: list[UpstreamAborted] = []

    @property
    def pending_count(self) -> int:
        """Returns the number of pending requests."""
        return len(self._pending)

    # The event loop calls the methods below.

    def can_accept(self, request_id: str) -> bool:
        """Whether a request with this id can be sent on this connection.

        The connection must be below its request limit. An id that was used before is refused, because a late
        response to the earlier request would be taken for the response to the new one.
        """
        return (
            len(self._pending) < self._max_requests
            and request_id not in self._pending
            and request_id not in self._past_ids
        )

    def add(self, request: UpstreamRequest, connection: AbortableConnection) -> bool:
        """Makes a request pending and hands it to the writer thread; returns whether that was done.

        Returns False if the connection is closing. `connection` is the connection on which the event loop
        can abort the request.
        """
        with self._lock:
            if self.is_closing:
                return False
            request.connection = connection
            request.stage = RequestStage.QUEUED
            self._pending[request.exchange.id] = request
            invariants.check(len(self._pending) <= self._max_requests, "open_requests_within_limit")
        self.outbox.put(request)
        return True

    def abort(self, request: UpstreamRequest, is_awaited: bool) -> bool:
        """Ends a request that is given up; returns whether the abort is awaited and will be confirmed.

        A request that is not being written yet is never written. For a request that is already being written,
        the writer thread sends an abort after the request.
        """
        with self._lock:
            if self._pending.get(request.exchange.id) is not request:
                return False
            was_writing = request.stage is RequestStage.WRITING
            self._remove(request)
            request.discard_body()
            if not was_writing:
                return False
            aborted = UpstreamAborted(request)
            if is_awaited:
                self._awaited_aborts.append(aborted)
            self.outbox.put(aborted)
        return is_awaited

    def withdraw(self, matches: RequestFilter) -> list[UpstreamRequest]:
        """Removes and returns the requests that `matches` selects and that are not being written yet."""
        with self._lock:
            queued = [request for request in self._pending.values() if request.stage is RequestStage.QUEUED]
            withdrawn = [request for request in queued if matches(request)]
            for request in withdrawn:
                self._remove(request)
        return withdrawn

    # The writer thread calls the methods below.

    def start_writing(self, request: UpstreamRequest, now: Instant) -> WriteStart:
        """Decides whether a request is to be written at the time `now`; if so, marks it as being written.

        A request is not written if it was withdrawn or if its `start_before` has passed.
        """
        with self._lock:
            is_pending = self._pending.get(request.exchange.id) is request
            if not is_pending or request.stage is not RequestStage.QUEUED:
                return WriteStart.WITHDRAWN
            if request.start_before is not None and request.start_before < now:
                self._remove(request)
                return WriteStart.TOO_LATE
            request.stage = RequestStage.WRITING
            return WriteStart.STARTED

    def take_awaited_abort(self, aborted: UpstreamAborted) -> bool:
        """Removes an abort from those whose confirmation the event loop awaits.

        Returns whether the caller is to report the abort to the event loop. The result is True only once for
        each awaited abort.
        """
        with self._lock:
            if aborted not in self._awaited_aborts:
                return False
            self._awaited_aborts.remove(aborted)
            return True

    def close_if_unused(self) -> None:
        """Marks the connection as closing if no request is pending on it."""
        with self._lock:
            if not self._pending:
                self.is_closing = True

    # The reader thread calls the methods below.

    def waiting_since(self, now: Instant) -> Instant:
        """Returns the time since which the connection has been waiting for a response.

        This is the earliest time at which the event loop forwarded one of the pending requests that are
        started. A request is started once its first byte may have been written. Returns `now` if no pending
        request is started.
        """
        with self._lock:
            started = [request.forwarded_at for request in self._pending.values() if request.is_started]
        return min(started, default=now)

    def find_written(self, request_id: str) -> UpstreamRequest | UnmatchedResponse:
        """Returns the pending request with the id that a response carries.

        Returns the reason, an `UnmatchedResponse`, if no pending request whose write has begun has that id.
        """
        with self._lock:
            request = self._pending.get(request_id)
            if request is not None and request.stage is RequestStage.WRITING:
                return request
            is_past = request_id in self._past_ids
        return UnmatchedResponse.DUPLICATE if is_past else UnmatchedResponse.UNKNOWN

    def attach_body(self, request: UpstreamRequest, body: PooledBody) -> bool:
        """Gives a request the buffers for its response's body; returns False if the request has ended."""
        with self._lock:
            if self._pending.get(request.exchange.id) is not request:
                return False
            request.body = body
            return True

    def mark_missing_buffers(self, request: UpstreamRequest) -> None:
        """Records that no buffers became free for the body of a request's response."""
        with self._lock:
            request.is_missing_buffers = True

    def append_body(self, request: UpstreamRequest, chunk: memoryview) -> None:
        """Appends a chunk of a response's body, unless its request has ended."""
        with self._lock:
            if request.stage is not RequestStage.DONE and request.body is not None:
                request.body.append(chunk)

    def complete(self, request: UpstreamRequest) -> bool:
        """Ends a request whose response is complete; returns False if the request has already ended."""
        with self._lock:
            if request.stage is RequestStage.DONE:
                return False
            self._remove(request)
            return True

    # The writer thread and the reader thread call the method below.

    def close(self) -> UnfinishedWork:
        """Marks the connection as closing, ends all requests, and returns them with the awaited aborts.

        A second call returns no requests, but it returns each abort that has not been reported yet.
        """
        with self._lock:
            self.is_closing = True
            unfinished = UnfinishedWork(list(self._pending.values()), list(self._awaited_aborts))
            self._pending = {}
            self._past_ids.clear()
            for request in unfinished.requests:
                request.stage = RequestStage.DONE
        return unfinished

    def _remove(self, request: UpstreamRequest) -> None:
        """Ends a pending request. The caller must hold the lock."""
        del self._pending[request.exchange.id]
        if request.stage is RequestStage.WRITING:
            self._past_ids[request.exchange.id] = None
            if len(self._past_ids) > MAX_PAST_REQUESTS:
                oldest_id = next(iter(self._past_ids))
                del self._past_ids[oldest_id]
        request.stage = RequestStage.DONE
