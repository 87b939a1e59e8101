"""The events that the store coordinator handles, and the actions that it returns.

This module contains only types. Fields whose names end in `_ms` are Unix milliseconds by the clocks of other
machines: the platform's coordinator and the origin.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from olivepost import interface as api
from olivepost.shared_store.operations import StoreOperation

# Events


@dataclass(frozen=True, slots=True)
class LookupRequested:
    """The event with which the router asks for a lookup of a name.

    `object` is the requested object. `group` is the object's group, or `None` if the group is unknown.
    """

    lookup: api.LookUpHint
    object: str
    group: int | None


@dataclass(frozen=True, slots=True)
class LeaseReleased:
    """The notice that a client's request has ended, so that the request's fill lease must be released.

    `generated_at_ms` is when the request's response was generated, or `None` if that time is unknown.
    """

    release: api.ReleaseLease
    generated_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class StoreReply:
    """A store's reply to the command that has the same ticket.

    `generation` is the store's generation. `serial` is the number of this process's last heartbeat (sync)
    that the store had received before the command. Heartbeats are numbered from 1; 0 means that the reply has
    no serial.
    """

    ticket: int
    generation: int
    serial: int = 0
    values: tuple[object, ...] = ()


@dataclass(frozen=True, slots=True)
class ReplyLost:
    """The notice that a command got no usable reply; whether the store ran the command is unknown."""

    ticket: int
    reason: str


@dataclass(frozen=True, slots=True)
class InvalidationReceived:
    """An invalidation that the platform's coordinator has sent, and its time."""

    invalidation: api.Invalidation
    at_ms: int


@dataclass(frozen=True, slots=True)
class Tick:
    """The notice that time has passed, which the host sends every 10 ms."""


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
    """A command to a store; exactly one `StoreReply` or `ReplyLost` with the same ticket must follow.

    `is_urgent` is true if a request waits for the reply.
    """

    ticket: int
    store: str
    operation: StoreOperation
    is_urgent: bool = False


@dataclass(frozen=True, slots=True)
class NotifyRouter:
    """An event to pass to the router."""

    event: api.Event


@dataclass(frozen=True, slots=True)
class LogEvent:
    """An event to write to the log, with its fields."""

    name: str
    fields: dict[str, object] = field(default_factory=dict)


Action = StoreCommand | NotifyRouter | LogEvent
