"""An upstream request, its stages, and the messages by which its connection reports its outcome."""

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
    """How far an upstream request has come on its connection."""

    QUEUED = "queued"
    WRITING = "writing"  # the writer thread has taken it: it may reach the endpoint
    DONE = "done"


class AbortableConnection(Protocol):
    """The connection that a request was given to, as the event loop sees it."""

    def abort(self, request: UpstreamRequest, is_awaited: bool = False, /) -> bool:
        """Gives the request up; returns whether an `UpstreamAborted` will follow."""


@dataclass(slots=True, eq=False)
class UpstreamRequest:
    """One attempt of an exchange on its way to an endpoint.

    The event loop creates it. While pending on a connection, that connection's lock guards `connection`,
    `stage`, `body` and `is_missing_buffers`; `is_started` belongs to the connection's writer thread.
    """

    exchange: Exchange
    number: int  # of the attempt within its exchange
    cache: str
    source: str | None
    forwarded_at: Instant  # Unix nanoseconds
    fields: dict[str, str]
    start_before: Instant | None = None  # Unix nanoseconds; not to be written later; None: no bound
    stage: RequestStage = RequestStage.QUEUED
    is_started: bool = False  # its first byte has been written
    is_rerouted: bool = False  # it was on a connection that was lost before its first byte was written
    connection: AbortableConnection | None = None
    body: PooledBody | None = None  # of the response
    is_missing_buffers: bool = False  # no buffers came free for the body of its response
    timer_id: int = 0  # of the event loop's timer for its timeout

    def discard_body(self) -> None:
        """Releases the part of its response's body that was read."""
        if self.body is not None:
            self.body.release()
            self.body = None


@dataclass(slots=True)
class UpstreamCompleted:
    """An upstream request has ended."""

    request: UpstreamRequest
    status: api.AttemptStatus
    completed_at: Instant  # when the last byte of its response was read, in Unix nanoseconds
    cache_status: api.CacheStatus = api.CacheStatus.UNKNOWN
    response: Response | None = None
    # It ended with its connection, and another request that ended with it has been reported already.
    is_repeated_loss: bool = False


@dataclass(slots=True)
class UpstreamAborted:
    """The abort of an upstream request has been written, or its connection has ended."""

    request: UpstreamRequest


@dataclass(slots=True)
class UpstreamUnsent:
    """An upstream request's connection was lost before its first byte was written: forward it again."""

    request: UpstreamRequest


UpstreamEvent = UpstreamCompleted | UpstreamUnsent | UpstreamAborted
RequestFilter = Callable[[UpstreamRequest], bool]
