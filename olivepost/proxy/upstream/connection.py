"""State of one upstream connection: its pending requests, and the lock that orders writes and ends."""

from __future__ import annotations

import queue
import socket
import threading
from enum import Enum

from olivepost import interface as api
from olivepost.proxy import invariants, sockets
from olivepost.proxy.buffers import PooledBody
from olivepost.proxy.upstream.completion import events_of_loss
from olivepost.proxy.upstream.endpoint_address import EndpointAddress
from olivepost.proxy.upstream.liveness import LivenessMonitor
from olivepost.proxy.upstream.request import (
    RequestFilter,
    RequestStage,
    UpstreamAborted,
    UpstreamCompleted,
    UpstreamRequest,
)
from olivepost.proxy.upstream.resources import UpstreamResources
from olivepost.units import Instant

MAX_PAST_REQUESTS = 256  # ids that a connection remembers, of which more responses may still be on the way


class WriterSignal(Enum):
    """What the writer thread may be asked for besides requests and aborts."""

    DRAIN = "drain"  # close once nothing is pending
    CHECK_LIVENESS = "check liveness"


class UpstreamConnection:
    """State that the event loop, the writer thread and the reader thread of one connection share.

    `_lock` guards `_pending_requests`, `_past_ids`, `_pending_aborts`, changes of `is_closing`, and of the
    pending requests the fields `connection`, `stage`, `body` and `lacks_buffers`. Under it, aborts enter
    `outbox` in the order in which their requests end. Counts and flags are read without it: they are hints
    there. The writer thread alone sets the socket and `is_closed`; the reader thread alone writes `liveness`.
    """

    def __init__(self, resources: UpstreamResources, address: EndpointAddress) -> None:
        self.resources = resources
        self.address = address
        self.outbox: queue.SimpleQueue[UpstreamRequest | UpstreamAborted | WriterSignal] = queue.SimpleQueue()
        self.liveness = LivenessMonitor(resources.limits)
        self.is_closing = False
        self.is_closed = False  # its descriptor is free
        self._lock = threading.Lock()
        self._pending_requests: dict[str, UpstreamRequest] = {}
        self._past_ids: dict[str, None] = {}  # of requests that were written here, oldest first
        self._pending_aborts: list[UpstreamAborted] = []  # to be reported, and not written yet
        self._sock: socket.socket | None = None

    @property
    def pending_count(self) -> int:
        """How many requests are pending; any thread."""
        return len(self._pending_requests)

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established and not about to end; any thread."""
        return self._sock is not None and not self.is_closing

    # Called by the event loop; none of it blocks.

    def can_accept(self, request: UpstreamRequest) -> bool:
        """Whether the request can go here; a late response to an id used here would be taken for its own."""
        id_ = request.exchange.id
        return (
            self.pending_count < self.resources.limits.max_requests_per_connection
            and id_ not in self._pending_requests
            and id_ not in self._past_ids
        )

    def offer(self, request: UpstreamRequest) -> bool:
        """Accept a request; False where the connection is closing."""
        with self._lock:
            if self.is_closing:
                return False
            request.connection = self
            request.stage = RequestStage.QUEUED
            self._pending_requests[request.exchange.id] = request
            invariants.check(
                len(self._pending_requests) <= self.resources.limits.max_requests_per_connection,
                "open_requests_within_limit",
            )
        self.outbox.put(request)
        return True

    def abort(self, request: UpstreamRequest, is_awaited: bool = False) -> bool:
        """Give a request up: one not begun is not written, one being written is followed by an abort.

        With `is_awaited`, return whether an `UpstreamAborted` will follow; until then the endpoint may still
        work on the request.
        """
        with self._lock:
            if self._pending_requests.get(request.exchange.id) is not request:
                return False
            was_writing = request.stage is RequestStage.WRITING
            self._remove(request)
            request.discard_body()
            if was_writing:
                aborted = UpstreamAborted(request)
                if is_awaited:
                    self._pending_aborts.append(aborted)
                self.outbox.put(aborted)
        return was_writing and is_awaited

    def withdraw(self, matches: RequestFilter) -> list[UpstreamRequest]:
        """Take back the matching requests that are still waiting to be written."""
        with self._lock:
            queued = [
                request for request in self._pending_requests.values() if request.stage is RequestStage.QUEUED
            ]
            withdrawn = [request for request in queued if matches(request)]
            for request in withdrawn:
                self._remove(request)
        return withdrawn

    def drain(self) -> None:
        """Let the connection end once nothing is pending on it."""
        self.outbox.put(WriterSignal.DRAIN)

    # Called by the writer thread.

    def attach(self, sock: socket.socket) -> None:
        """Set the socket, once it is connected."""
        self._sock = sock

    def start_writing(self, request: UpstreamRequest, now: Instant) -> bool:
        """Whether a request may be written: it was neither taken back nor aborted, and is not too late."""
        with self._lock:
            if request.connection is not self or request.stage is not RequestStage.QUEUED:
                return False
            is_late = 0 < request.start_before < now
            if is_late:
                self._remove(request)
            else:
                request.stage = RequestStage.WRITING
        if is_late:
            self.resources.post(UpstreamCompleted(request, api.AttemptStatus.NOT_SENT, now))
        return not is_late

    def confirm_abort(self, aborted: UpstreamAborted) -> None:
        """Report that an abort is written or its connection has ended, once, where that is awaited."""
        with self._lock:
            is_awaited = aborted in self._pending_aborts
            if is_awaited:
                self._pending_aborts.remove(aborted)
        if is_awaited:
            self.resources.post(aborted)

    def close_if_unused(self) -> None:
        """Mark the connection as closing where nothing is pending on it."""
        with self._lock:
            self.is_closing = self.is_closing or not self._pending_requests

    # Called by the reader thread.

    def waiting_since(self, now: Instant) -> Instant:
        """Return when the request that waits longest for a response was forwarded; `now` where none does."""
        with self._lock:
            return min(
                (request.forwarded_at for request in self._pending_requests.values() if request.is_started),
                default=now,
            )

    def find_written(self, request_id: str) -> UpstreamRequest | None:
        """Return the pending request that a response answers; None, and counted, where there is none."""
        with self._lock:
            request = self._pending_requests.get(request_id)
            if request is not None and request.stage is RequestStage.WRITING:
                return request
            is_past = request_id in self._past_ids
            self.resources.log.increment("duplicate_responses" if is_past else "unmatched_responses")
            return None

    def attach_body(self, request: UpstreamRequest, body: PooledBody | None) -> None:
        """Give a request the buffers for its response's body (None: there were none), unless it has ended."""
        with self._lock:
            request.lacks_buffers = body is None
            is_open = self._pending_requests.get(request.exchange.id) is request
            if is_open:
                request.body = body
        if body is not None and not is_open:
            body.release()

    def append_body(self, request: UpstreamRequest, piece: memoryview) -> None:
        """Append a piece of a response's body, unless the request has ended meanwhile."""
        with self._lock:
            if request.stage is not RequestStage.DONE and request.body is not None:
                request.body.append(piece)

    def complete(self, request: UpstreamRequest) -> bool:
        """End a request whose response is complete; False where it has ended already."""
        with self._lock:
            if request.stage is RequestStage.DONE:
                return False
            self._remove(request)
            return True

    # Called by the writer thread and the reader thread.

    def record_loss(self, reason: str) -> None:
        """Log why the connection is lost, unless its end has begun already."""
        if not self.is_closing:
            log = self.resources.log
            log.increment("upstream_connections_lost")
            log.event(
                "upstream_connection_lost",
                endpoint=self.address.id,
                reason=reason,
                open_requests=self.pending_count,
            )

    def end(self, is_local_failure: bool = False) -> None:
        """End the connection, and report once what became of the requests that were pending on it.

        With `is_local_failure` it ended for want of this process's own: the endpoint is not at fault.

        The connection first: its end gives up all that is pending there, and what is reported here may be
        forwarded again at once, where two attempts of an exchange must not be out together.
        """
        with self._lock:
            self.is_closing = True
            aborts = list(self._pending_aborts)
            requests = list(self._pending_requests.values())
            self._pending_requests = {}
            self._past_ids.clear()
            for request in requests:
                request.stage = RequestStage.DONE
        if self._sock is not None:
            sockets.shutdown(self._sock)
        for aborted in aborts:
            self.confirm_abort(aborted)
        now = self.resources.clock.now()
        was_connected = self._sock is not None
        for event in events_of_loss(requests, now, was_connected, is_local_failure):
            self.resources.post(event)

    def _remove(self, request: UpstreamRequest) -> None:
        """End a request on this connection; call it with the lock held."""
        del self._pending_requests[request.exchange.id]
        if request.stage is RequestStage.WRITING:
            self._past_ids[request.exchange.id] = None
            if len(self._past_ids) > MAX_PAST_REQUESTS:
                del self._past_ids[next(iter(self._past_ids))]
        request.stage = RequestStage.DONE
