"""Messages of the shared store's decision part: store operations, events and actions. Types only.

Names that end in `_ms` are Unix milliseconds or spans in milliseconds; the former come from other clocks (the
platform's coordinator, the origin, other proxies).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from olivepost import interface as api
from olivepost.units import MILLISECOND, SECOND, Duration

# Store operations. Each carries the generation that the proxy has adopted; a store of another generation
# does nothing but return its own.

NO_GENERATION = 0  # as scripts return it for a store that has none; generations are numbered from 1


class InvalidationRow(NamedTuple):
    """An invalidation as a store keeps it: the key's text, and its Unix millisecond."""

    key: str
    at_ms: int


InvalidationChunk = tuple[InvalidationRow, ...]  # rows that are published by one operation


class QuotaRequestRow(NamedTuple):
    """A quota request as a store keeps it."""

    field: str
    record: bytes


@dataclass(frozen=True, slots=True)
class SyncOperation:
    """The periodic exchange: sends a heartbeat with requests and reports, reads those of other proxies.

    `outliers` are the ids of endpoints that this proxy has ejected; `last_invalidation` is the number of the
    last invalidation read.
    """

    generation: int
    serial: int
    last_invalidation: int
    quota_requests: tuple[QuotaRequestRow, ...] = ()
    outliers: tuple[str, ...] = ()


class LeaseRequest(NamedTuple):
    """The record of a fill lease to acquire, and its duration."""

    record: bytes
    duration_ms: int


@dataclass(frozen=True, slots=True)
class LookUp:
    """Which cache has or fills a name.

    With a lease request, the fill lease is acquired where no other proxy has it. `invalidation_keys` are
    those of invalidations that concern the name.
    """

    generation: int
    name: str
    invalidation_keys: tuple[str, ...]
    lease: LeaseRequest | None = None


class LocationPublication(NamedTuple):
    """The record of a cache location to publish, and when its response was generated."""

    record: bytes
    generated_at_ms: int


@dataclass(frozen=True, slots=True)
class PublishLocation:
    """Releases the fill lease `lease` if it is the current one.

    The name's cache location is published too, if there is one, and kept for `lifetime_ms`.
    """

    generation: int
    name: str
    lease: bytes
    location: LocationPublication | None
    lifetime_ms: int


@dataclass(frozen=True, slots=True)
class ReportStaleLocation:
    """Counts `reports` that a cache location is stale; at two the store deletes it."""

    generation: int
    name: str
    record: bytes
    reports: int


@dataclass(frozen=True, slots=True)
class PublishInvalidations:
    """Publishes invalidations; of each key the latest counts."""

    generation: int
    rows: InvalidationChunk


@dataclass(frozen=True, slots=True)
class GrantQuota:
    """Grants quota to the proxy process `recipient`, completely or not at all.

    `request_field` is the field of the request, `nonce` the one that it must still have.
    """

    generation: int
    request_field: str
    nonce: str
    recipient: str
    amount: float
    record: bytes


@dataclass(frozen=True, slots=True)
class AdvanceGeneration:
    """Sets a generation above `minimum`, if the store is still at `expected` (or at `NO_GENERATION`)."""

    expected: int
    minimum: int


StoreOperation = (
    SyncOperation
    | LookUp
    | PublishLocation
    | ReportStaleLocation
    | PublishInvalidations
    | GrantQuota
    | AdvanceGeneration
)


class ReplyType(bytes, Enum):
    """What a reply is about: its first value, as the store's scripts return it."""

    LEASE_GRANTED = b"mine"
    LEASE_TAKEN = b"taken"
    LOCATED = b"held"
    UNKNOWN = b"none"
    RELEASED = b"done"
    NOT_REQUESTED = b"not wanted"


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


@dataclass(frozen=True, slots=True)
class SharingTerms:
    """How this proxy uses shared stores, by the operator's and the platform's settings."""

    proxy: str
    incarnation: str  # of this process, different from all earlier ones of the same proxy
    stores: tuple[str, ...]
    reply_timeout: Duration  # a later reply is of no use to a request, and counts as a failure
    sync_interval: Duration
    leases_enabled: bool = True
    max_lease_duration: Duration = 10 * SECOND
    locations_enabled: bool = True
    location_lifetime: Duration = 60 * SECOND
    invalidations_enabled: bool = True
    quota_transfers_enabled: bool = True
    quota_duration: Duration = 1_900 * MILLISECOND
    outlier_reports_enabled: bool = True
    min_trial_delay: Duration = 100 * MILLISECOND
    max_trial_delay: Duration = 1 * SECOND
