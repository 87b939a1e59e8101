"""Actions that a router asks its caller to carry out."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from olivepost.interface.quota import QuotaKey
from olivepost.units import Duration, Instant


class GiveUpReason(Enum):
    """Reason for giving up a request. The values appear in the log and in the names of counters."""

    UNSPECIFIED = "unspecified"
    DEADLINE = "deadline"  # The request's deadline is about to pass.
    NO_ENDPOINT = "no_endpoint"  # No endpoint may be used for the request.
    OVERLOAD = "overload"  # The request is too expensive at the present load.
    # The attempt limit, the deadline, the retry budget or idempotency forbids another attempt.
    RETRY_NOT_ALLOWED = "retry_not_allowed"
    SHUTDOWN = "shutdown"
    MEMORY = "memory"  # The process is close to its memory limit.


@dataclass(slots=True)
class ForwardAttempt:
    """Instruction to send one attempt to a cache, or directly to a parent or the origin."""

    request_id: str
    cache: str
    # The endpoint from which the cache fills a miss, or None if a miss is not filled.
    source: str | None
    # The rank of the cached response. Lower ranks are evicted earlier, and 0 means that the response is not
    # cached.
    rank: int
    timeout: Duration
    # The age limit of the response, or None if only the class's freshness lifetime applies.
    max_age: Duration | None
    # Whether the attempt joins a fill of the same object that is already in flight.
    collapse_fills: bool = False
    # Whether the cache refreshes its cached response in the background, in addition to serving this attempt.
    refresh: bool = False
    # The latest time at which the attempt may begin, or None if there is no limit.
    start_before: Instant | None = None


@dataclass(slots=True)
class CancelAttempt:
    """Instruction to stop waiting for an attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final response that rejects a request. The client may send the request again."""

    request_id: str
    # The delay after which the client is advised to send the request again, or None if none is advised.
    retry_after: Duration | None = None
    reason: GiveUpReason = field(default=GiveUpReason.UNSPECIFIED, compare=False)


@dataclass(slots=True)
class Fail:
    """Final response that fails a request, without a guarantee that the request had no effect."""

    request_id: str
    reason: GiveUpReason = field(default=GiveUpReason.UNSPECIFIED, compare=False)


@dataclass(slots=True)
class RejectIfUnsent:
    """Final response that depends on whether an attempt in flight may have reached its endpoint.

    The request is rejected if the caller withdraws each attempt in flight before the attempt's first byte is
    written. Otherwise, or if the caller can't find out, the request fails.
    """

    request_id: str
    # The advice that comes with a rejection, as in `Reject`.
    retry_after: Duration | None = None
    reason: GiveUpReason = field(default=GiveUpReason.UNSPECIFIED, compare=False)


FinalResponse = Reject | Fail | RejectIfUnsent


@dataclass(slots=True)
class ServeCachedResponse:
    """Final response from the proxy's own cache: the cached response that came with the request."""

    request_id: str


@dataclass(slots=True)
class StoreResponse:
    """Instruction to put the response of an attempt into the proxy's own cache, if there is room.

    It is the response that the handled event, an `AttemptOutcome`, reports.
    """

    request_id: str


@dataclass(slots=True)
class SetTimer:
    """Request for a `TimerFired` event after `delay`."""

    delay: Duration
    timer_id: int


@dataclass(slots=True)
class Subscribe:
    """Request for updates of the endpoint list from now on."""


@dataclass(slots=True)
class LookUpHint:
    """Lookup of a name in the shared store. A `CacheHint` that arrives after the timeout is ignored.

    If a source is given, the lookup also requests the lease under which `cache` fills the name from that
    source.
    """

    request_id: str
    name: str
    cache: str
    # The endpoint from which `cache` would fill the name, or None if only the name's location is looked up.
    source: str | None
    timeout: Duration
    lease_duration: Duration  # the longest allowed duration of the fill lease


@dataclass(slots=True)
class ReleaseLease:
    """Instruction to release the fill lease that a request asked for, since the request is over."""

    request_id: str
    # The cache that has the object now, or None if the object was not filled.
    cache: str | None = None
    rank: int = 0


@dataclass(slots=True)
class ReportStaleHint:
    """Report that the cache named by the shared store's hint does not have the object."""

    request_id: str
    name: str
    cache: str


@dataclass(slots=True)
class RequestQuota:
    """Request to other proxies to donate the amount of a quota that this proxy lacked for an attempt."""

    key: QuotaKey
    amount: float


@dataclass(slots=True)
class DonateQuota:
    """Donation of quota in answer to a `QuotaRequested`.

    This proxy gives the amount up immediately, until `expires_at`. The amount is 0 if the proxy can spare
    none. A `QuotaReceived` with the same amount and expiry time gives the amount back to this proxy.
    """

    transfer_id: int
    amount: float
    expires_at: Instant


@dataclass(slots=True)
class ReportOutlier:
    """Report that this proxy has ejected an endpoint because of failures that it observed itself."""

    endpoint_id: str


Action = (
    ForwardAttempt
    | CancelAttempt
    | Reject
    | Fail
    | RejectIfUnsent
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
