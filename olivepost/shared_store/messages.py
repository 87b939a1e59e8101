"""Events and actions of the shared store's decision part. Types only.

Names that end in `_ms` are Unix milliseconds of other clocks (the platform's coordinator, the origin).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from olivepost import interface as api
from olivepost.shared_store.operations import StoreOperation

# Events


@dataclass(frozen=True, slots=True)
class LookupRequested:
    """The router looks up the name of a request."""

    lookup: api.LookUpHint
    object: str
    group: int | None


@dataclass(frozen=True, slots=True)
class LeaseReleased:
    """A request that asked for a fill lease has ended.

    `generated_at_ms` is when its response was generated; None: unknown.
    """

    release: api.ReleaseLease
    generated_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class StoreReply:
    """A store's reply to the command of a ticket.

    `generation` is the store's, `serial` the number of the last heartbeat of this process that it had before
    the command; heartbeats are numbered from 1.
    """

    ticket: int
    generation: int
    serial: int = 0
    values: tuple[object, ...] = ()


@dataclass(frozen=True, slots=True)
class ReplyLost:
    """No usable reply will come; whether the store ran the command is unknown."""

    ticket: int
    reason: str


@dataclass(frozen=True, slots=True)
class InvalidationReceived:
    """The platform's coordinator has sent an invalidation."""

    invalidation: api.Invalidation
    at_ms: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent every few milliseconds."""


Event = (
    LookupRequested
    | LeaseReleased
    | StoreReply
    | ReplyLost
    | InvalidationReceived
    | Tick
    | api.EndpointUpdate
    | api.ReportStaleHint
    | api.RequestQuota
    | api.DonateQuota
    | api.ReportOutlier
)

# Actions


@dataclass(frozen=True, slots=True)
class StoreCommand:
    """Send an operation to a store; exactly one `StoreReply` or `ReplyLost` with the ticket must follow.

    `is_urgent`: a request waits for the reply.
    """

    ticket: int
    store: str
    operation: StoreOperation
    is_urgent: bool = False


@dataclass(frozen=True, slots=True)
class NotifyRouter:
    """Pass an event to the router."""

    event: api.Event


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write an event with its fields to the log."""

    name: str
    fields: dict[str, object] = field(default_factory=dict)


Action = StoreCommand | NotifyRouter | LogEvent
