"""Events that a router handles."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from olivepost.interface.quota import QuotaKey
from olivepost.units import Duration, Instant


class EndpointState(Enum):
    """State of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointUpdateKind(Enum):
    """Content of an endpoint update."""

    INCREMENTAL = "changes"
    FULL = "full"
    RESTORED = "stored"  # the list that was stored before the proxy started
    FAILED = "failed"  # the update has no endpoints, because the subscription failed


class AttemptStatus(Enum):
    """Result of an attempt."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "not connected"
    CONNECTION_LOST = "broken off"
    CANCELLED = "cancelled"
    NOT_SENT = "never sent"
    NOT_CACHED = "no copy"


NOT_EXECUTED = frozenset(
    {
        AttemptStatus.REJECTED,
        AttemptStatus.CONNECT_FAILED,
        AttemptStatus.NOT_SENT,
        AttemptStatus.NOT_CACHED,
    }
)


class CacheStatus(Enum):
    """Way in which a cache got the response that it sent, or the cause of a failed fill (see RFC 9211)."""

    UNKNOWN = 0
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    COLLAPSED = 4
    STALE_HIT = 5
    SOURCE_REJECTED = 6
    SOURCE_DISCONNECTED = 7
    SOURCE_MISS = 8
    FILL_LIMIT_REACHED = 9
    ORIGIN_FAILED = 10


CACHE_HITS = (CacheStatus.HIT, CacheStatus.STALE_HIT)
CACHE_FILLS = (CacheStatus.FILLED, CacheStatus.FILLED_FROM_ORIGIN, CacheStatus.COLLAPSED)
SOURCE_FAILURES = (CacheStatus.SOURCE_REJECTED, CacheStatus.SOURCE_DISCONNECTED)


@dataclass(frozen=True, slots=True)
class EndpointMetadata:
    """Entry of one endpoint in the endpoint list."""

    id: str
    state: EndpointState
    kind: str = ""
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    # The start of the endpoint's process, or None if the endpoint is long-running and has no slow start.
    started_at: Instant | None = None


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """Update of the endpoint list. It has either the full list or only the changed entries."""

    kind: EndpointUpdateKind
    endpoints: tuple[EndpointMetadata, ...]


@dataclass(slots=True)
class CachedResponse:
    """Response in the proxy's own cache, with its age and its transfer time on the proxy's own link."""

    age: Duration
    transfer_time: Duration


@dataclass(slots=True)
class Request:
    """A client's request."""

    id: str
    class_name: str
    object: str
    timeout: Duration
    size_kb: float | None = None  # None if the size is unknown
    # The group of objects with which the object is invalidated, or None if the group is unknown.
    group: int | None = None
    part: int = 0
    is_write: bool = False
    cached_response: CachedResponse | None = None
    # Whether the client says that it has sent the request before. That try may have been executed.
    is_client_retry: bool = False


@dataclass(slots=True)
class ResponseStarted:
    """Start of a streamed response. After this event, the request is neither retried nor given up."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class AttemptOutcome:
    """End of an attempt, with its result."""

    request_id: str
    attempt: int
    status: AttemptStatus
    elapsed: Duration
    is_final: bool = False  # whether the request is over
    cache_status: CacheStatus = CacheStatus.UNKNOWN
    # Whether the attempt's connection was lost and another attempt's outcome has already reported that loss.
    is_repeated_loss: bool = False
    # Whether the response is "not modified", which has no body and no transfer time.
    is_not_modified: bool = False


@dataclass(slots=True)
class ClientDisconnected:
    """End of a request whose client has disconnected or has received its response."""

    request_id: str


@dataclass(slots=True)
class Shutdown:
    """Arrival of the shutdown deadline, at which every pending request gets its final response."""


@dataclass(slots=True)
class Invalidation:
    """Notice that responses older than `age` are stale.

    The notice applies to the responses of one object, or of a whole group of objects if no object is named.
    """

    object: str | None
    group: int | None
    age: Duration


@dataclass(slots=True)
class TimerFired:
    """Expiry of a timer that the router has set."""

    timer_id: int


@dataclass(slots=True)
class StoreAvailability:
    """Availability of the shared store. A router starts with the store unavailable."""

    is_available: bool


@dataclass(slots=True)
class CacheHint:
    """Reply of the shared store about a name that was looked up."""

    request_id: str
    # The cache that has the object or is filling it. It is None if there is no such cache or if this proxy
    # has the fill lease.
    cache: str | None = None
    is_filling: bool = False
    ready_in: Duration = 0  # the time until the fill ends, according to its lease


@dataclass(slots=True)
class QuotaRequested:
    """Request of another proxy that this proxy donate up to `max_amount` of a quota to it.

    The other proxy may use a donated amount until `expires_at` at the latest.
    """

    transfer_id: int
    key: QuotaKey
    max_amount: float
    expires_at: Instant


@dataclass(slots=True)
class QuotaReceived:
    """Quota that another proxy donates to this proxy, or a donation of this proxy that comes back to it.

    A donation to this proxy can be used until `expires_at`. A donation comes back if the shared store has not
    granted it to the proxy that requested it; `expires_at` is then the expiry time with which it was donated.
    """

    key: QuotaKey
    amount: float
    expires_at: Instant


@dataclass(slots=True)
class OutlierReported:
    """Report that several other proxies have ejected an endpoint.

    The report alone does not eject the endpoint in this proxy.
    """

    endpoint_id: str


class MemoryPressureLevel(IntEnum):
    """Level of memory pressure, named after the measure that frees memory.

    The measures of all lower levels apply at each level, too.
    """

    NONE = 0
    EVICT_CACHE = 1  # Responses in the proxy's own cache are evicted.
    CLOSE_IDLE = 2  # Idle connections are closed.
    FREEZE_NAMES = 3  # No new name is added, and the name table is cut to half of its capacity.
    LIMIT_CONNECTIONS = 4  # Fewer client connections are admitted.
    REJECT = 5  # Arriving requests are rejected.


@dataclass(frozen=True, slots=True)
class MemoryPressure:
    """Memory pressure level of the process.

    The event is sent when the level has changed, and at each check while the level is above `NONE`.
    """

    level: MemoryPressureLevel


Event = (
    EndpointUpdate
    | Request
    | ResponseStarted
    | AttemptOutcome
    | ClientDisconnected
    | Invalidation
    | TimerFired
    | StoreAvailability
    | CacheHint
    | QuotaRequested
    | QuotaReceived
    | OutlierReported
    | MemoryPressure
    | Shutdown
)
