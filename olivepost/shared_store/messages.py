"""What goes into and comes out of the sharing core: events, actions, and what a store is asked.

Times are whole nanoseconds on the front's own clock unless a name ends in `_ms`: those are Unix milliseconds,
as the coordinator and the origin tell them, and may come from other clocks.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from olivepost import interface as api

# What a store is asked. Each names the generation that this front goes by; a store of another one does
# nothing but tell its own.


@dataclass(frozen=True, slots=True)
class SyncOperation:
    """The regular exchange: a sign of life, this front's needs and doubts, what is new of all others.

    `needs`: field and record; `suspects`: members; `after`: the last purge read, by its number.
    """

    generation: int
    serial: int
    after: int
    needs: tuple[tuple[str, bytes], ...] = ()
    suspects: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LookUp:
    """Who keeps or fills a name; with `record` its fill is claimed if nobody does, for `span_ms`."""

    generation: int
    name: str
    purges: tuple[str, ...]
    record: bytes = b""
    span_ms: int = 0


@dataclass(frozen=True, slots=True)
class PublishLocation:
    """Ends a claim, if it is still the one; with `record` the name's holder is published for `keep_ms`."""

    generation: int
    name: str
    claim: bytes
    record: bytes = b""
    at_ms: int = 0
    keep_ms: int = 0


@dataclass(frozen=True, slots=True)
class ReportStaleLocation:
    """A holder's record was found wrong, `times` over; at two it goes, for all fronts."""

    generation: int
    name: str
    record: bytes
    times: int


@dataclass(frozen=True, slots=True)
class PublishInvalidations:
    """Purges, each with its Unix millisecond; the highest counts."""

    generation: int
    purges: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class GrantQuota:
    """A piece of a budget for one need of one front, all or none."""

    generation: int
    need: str
    nonce: str
    to: str
    amount: float
    record: bytes


@dataclass(frozen=True, slots=True)
class AdvanceGeneration:
    """A new generation above `least`, if the store is still at `expected` (0: it has none)."""

    expected: int
    least: int


StoreOperation = (
    SyncOperation
    | LookUp
    | PublishLocation
    | ReportStaleLocation
    | PublishInvalidations
    | GrantQuota
    | AdvanceGeneration
)

# Events.


@dataclass(frozen=True, slots=True)
class LookupRequested:
    """The router consults the store about a request's name."""

    lookup: api.LookUpHint
    object: str
    group: int | None


@dataclass(frozen=True, slots=True)
class LeaseReleased:
    """A request that claimed a fill is over; `generated_at_ms` 0: the copy's time was not told."""

    release: api.ReleaseLease
    generated_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class StoreReply:
    """A store's answer: its generation (0: none), this front's last serial there (0: none), and the rest."""

    ticket: int
    generation: int
    serial: int = 0
    values: tuple[object, ...] = ()


@dataclass(frozen=True, slots=True)
class ReplyLost:
    """No answer that can be used: whether the store did it is not known."""

    ticket: int
    reason: str


@dataclass(frozen=True, slots=True)
class InvalidationReceived:
    """The coordinator tells of a purge."""

    invalidation: api.Invalidation
    at_ms: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time goes on; comes every few milliseconds."""


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

# Actions.


@dataclass(frozen=True, slots=True)
class StoreCommand:
    """Ask a store; `is_urgent`: a request waits for it. A `StoreReply` or `ReplyLost` must come."""

    ticket: int
    store: str
    operation: StoreOperation
    is_urgent: bool = False


@dataclass(frozen=True, slots=True)
class NotifyRouter:
    """An event for the router."""

    event: api.Event


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Something for the log: an event with fields, or, without, a count."""

    name: str
    fields: dict[str, object] = field(default_factory=dict)


Action = StoreCommand | NotifyRouter | LogEvent


@dataclass(frozen=True, slots=True)
class SharingTerms:
    """How a front shares; spans in nanoseconds."""

    proxy: str  # its name
    incarnation: str  # of this process, told from every earlier one of the name
    stores: tuple[str, ...]
    reply_timeout: int  # an answer that took longer helps no request
    sync_interval: int
    leases_enabled: bool = True
    max_lease_duration: int = 10_000_000_000
    locations_enabled: bool = True
    location_lifetime: int = 60_000_000_000
    invalidations_enabled: bool = True
    quota_transfers_enabled: bool = True
    quota_duration: int = 1_900_000_000
    outlier_reports_enabled: bool = True
    min_trial_delay: int = 100_000_000
    max_trial_delay: int = 1_000_000_000
