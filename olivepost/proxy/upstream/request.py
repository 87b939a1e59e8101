"""Upstream request, its stages, and the events with which its connection reports the outcome."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from olivepost import interface as api
from olivepost.proxy.buffers import PooledBody
from olivepost.proxy.exchange import Exchange, Response
from olivepost.units import Instant


class RequestStage(Enum):
    """Progress of an upstream request on its connection."""

    QUEUED = "queued"
    WRITING = "writing"  # the writer thread has taken the request, so the request may reach the endpoint
    DONE = "done"


class AbortableConnection(Protocol):
    """Interface of the connection that a request was given to, as the event loop uses it."""

    def withdraw(self, matches: RequestFilter, /) -> list[UpstreamRequest]:
        """Removes and returns the requests that `matches` selects and that are not being written yet."""

    def abort(self, request: UpstreamRequest, is_awaited: bool = False, /) -> bool:
        """Gives the request up; returns whether an `UpstreamAborted` event will follow.

        Returns False if `is_awaited` is false, because the event loop does not wait for that event then.
        """


@dataclass(slots=True, eq=False)
class UpstreamRequest:
    """One attempt of an exchange, sent or to be sent to an endpoint.

    The event loop creates the request. While the request is pending on a connection, the connection's lock
    guards `connection`, `stage`, `body` and `is_missing_buffers`. Only the connection's writer thread changes
    `is_started`.
    """

    exchange: Exchange
    number: int  # number of the attempt within its exchange; the first attempt has the number 0
    cache: str
    source: str | None
    forwarded_at: Instant  # time at which the event loop forwarded the request, in Unix nanoseconds
    fields: dict[str, str]
    # Latest time at which the request's write may start, in Unix nanoseconds; None if there is no limit.
    start_before: Instant | None = None
    stage: RequestStage = RequestStage.QUEUED
    is_started: bool = False  # whether the request's first byte has been, or may have been, written
    # Whether the request was forwarded again, because an earlier connection was lost before the request's
    # first byte was written. A request is rerouted only once.
    is_rerouted: bool = False
    connection: AbortableConnection | None = None
    # Body of the response. None before buffers are reserved for it, if the response has no body, and after
    # `discard_body`.
    body: PooledBody | None = None
    is_missing_buffers: bool = False  # whether no buffers became free for the response's body
    timer_id: int = 0  # id of the event loop's timer for the attempt's timeout

    def discard_body(self) -> None:
        """Releases the received part of the response's body."""
        if self.body is not None:
            self.body.release()
            self.body = None


@dataclass(slots=True)
class UpstreamCompleted:
    """Event: an upstream request has ended."""

    request: UpstreamRequest
    status: api.AttemptStatus
    completed_at: Instant  # time of the complete response or of the end without one, in Unix nanoseconds
    cache_status: api.CacheStatus = api.CacheStatus.UNKNOWN
    response: Response | None = None
    # Whether the request ended with its connection and an earlier event has already reported the loss of that
    # connection.
    is_repeated_loss: bool = False


@dataclass(slots=True)
class UpstreamAborted:
    """Event: the abort of an upstream request is complete.

    Either the abort command has been written to the endpoint, or the request's connection has ended.
    """

    request: UpstreamRequest


@dataclass(slots=True)
class UpstreamUnsent:
    """Event: a connection was lost before a request's first byte was written.

    The event loop has to forward the request again.
    """

    request: UpstreamRequest


UpstreamEvent = UpstreamCompleted | UpstreamUnsent | UpstreamAborted
RequestFilter = Callable[[UpstreamRequest], bool]
