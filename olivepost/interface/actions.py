"""Actions that a router asks for."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from olivepost.interface.quota import QuotaKey
from olivepost.units import Duration, Instant


class GiveUpReason(Enum):
    """Why a request is given up; the values stand in the log and in names of counters."""

    UNSPECIFIED = "unspecified"
    DEADLINE = "deadline"  # the client's time is nearly up
    NO_ENDPOINT = "no_endpoint"  # none may take the request
    OVERLOAD = "overload"  # too expensive for the present load
    RETRY_NOT_ALLOWED = "retry_not_allowed"  # by attempts, time, the retry budget or idempotency
    SHUTDOWN = "shutdown"
    MEMORY = "memory"  # the process is close to its memory limit


@dataclass(slots=True)
class ForwardAttempt:
    """Send one attempt to a cache, or straight to a parent or the origin."""

    request_id: str
    cache: str
    source: str | None  # from which a miss is filled; None: a miss is not filled
    rank: int  # of the cached response, evicted the earlier the lower; 0: it is not cached
    timeout: Duration
    max_age: Duration | None  # None: the class's freshness lifetime
    collapse_fills: bool = False  # join a fill of the same object that is in flight
    refresh: bool = False  # renew the cached response behind this one
    start_before: Instant | None = None  # the attempt must not begin later; None: no bound


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final response: rejected; the client may send the request again."""

    request_id: str
    retry_after: Duration | None = None  # None: no advice
    reason: GiveUpReason = field(default=GiveUpReason.UNSPECIFIED, compare=False)


@dataclass(slots=True)
class Fail:
    """Final response: failed, with no promise about its effect."""

    request_id: str
    reason: GiveUpReason = field(default=GiveUpReason.UNSPECIFIED, compare=False)


@dataclass(slots=True)
class ServeCachedResponse:
    """Final response: the cached response that came with the request."""

    request_id: str


@dataclass(slots=True)
class StoreResponse:
    """Store the response of the event in the proxy's own cache, if there is capacity."""

    request_id: str


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired` after `delay`."""

    delay: Duration
    timer_id: int


@dataclass(slots=True)
class Subscribe:
    """Ask for changes of the endpoint list from now on."""


@dataclass(slots=True)
class LookUpHint:
    """Ask the shared store about a name; a `CacheHint` counts only within the timeout.

    With a source, the lease of its fill by `cache` from there is asked for too.
    """

    request_id: str
    name: str
    cache: str
    source: str | None  # None: only which cache has the name
    timeout: Duration
    lease_duration: Duration  # at most


@dataclass(slots=True)
class ReleaseLease:
    """A request that asked for a fill lease is over."""

    request_id: str
    cache: str | None = None  # that has the object now; None: it was not filled
    rank: int = 0


@dataclass(slots=True)
class ReportStaleHint:
    """The cache that the shared store named for a request does not have the object."""

    request_id: str
    name: str
    cache: str


@dataclass(slots=True)
class RequestQuota:
    """So much of a quota was lacking just now."""

    key: QuotaKey
    amount: float


@dataclass(slots=True)
class DonateQuota:
    """Quota that was given up for a `QuotaRequested`, from now until it expires; 0 where none can be spared.

    A `QuotaReceived` of the same amount until the same time gives it back.
    """

    transfer_id: int
    amount: float
    expires_at: Instant


@dataclass(slots=True)
class ReportOutlier:
    """This proxy has ejected an endpoint by failures that it has seen itself."""

    endpoint_id: str


Action = (
    ForwardAttempt
    | CancelAttempt
    | Reject
    | Fail
    | ServeCachedResponse
    | StoreResponse
    | SetTimer
    | Subscribe
    | LookUpHint
    | ReleaseLease
    | ReportStaleHint
    | RequestQuota
    | DonateQuota
    | ReportOutlier
)
