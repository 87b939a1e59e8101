"""Events that a router handles."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from olivepost.interface.quota import QuotaKey
from olivepost.units import Duration, Instant


class EndpointState(Enum):
    """State of an endpoint, by the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointUpdateKind(Enum):
    """What an endpoint update holds."""

    INCREMENTAL = "changes"
    FULL = "full"
    RESTORED = "stored"  # the list that was stored before the start
    FAILED = "failed"  # nothing: the subscription failed


class AttemptStatus(Enum):
    """How an attempt ended."""

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
    """How a cache got its response, or why a fill failed (compare RFC 9211)."""

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
    """One endpoint as the endpoint list has it."""

    id: str
    state: EndpointState
    kind: str = ""
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at: Instant | None = None  # None: long ago


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The endpoint list, whole or changed."""

    kind: EndpointUpdateKind
    endpoints: tuple[EndpointMetadata, ...]


@dataclass(slots=True)
class CachedResponse:
    """A response in the proxy's own cache: its age, and its transfer time on the proxy's own link."""

    age: Duration
    transfer_time: Duration


@dataclass(slots=True)
class Request:
    """A client's request."""

    id: str
    class_name: str
    object: str
    timeout: Duration
    size_kb: float | None = None  # None: unknown
    group: int | None = None  # of objects that are invalidated together; None: unknown
    part: int = 0
    is_write: bool = False
    cached_response: CachedResponse | None = None


@dataclass(slots=True)
class ResponseStarted:
    """A streamed response has begun: the request is neither retried nor given up from here on."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class AttemptOutcome:
    """An attempt has ended."""

    request_id: str
    attempt: int
    status: AttemptStatus
    elapsed: Duration
    is_final: bool = False  # the request is over
    cache_status: CacheStatus = CacheStatus.UNKNOWN
    is_repeated_loss: bool = False  # with a connection whose end another outcome has reported
    is_not_modified: bool = False  # the response has no body, and no transfer time


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected, or has its response: the request is over."""

    request_id: str


@dataclass(slots=True)
class Shutdown:
    """The shutdown deadline has come: every pending request gets its final response."""


@dataclass(slots=True)
class Invalidation:
    """Responses for an object, or (with no object) for a whole group, that are older than `age` are stale."""

    object: str | None
    group: int | None
    age: Duration


@dataclass(slots=True)
class TimerFired:
    """A timer that the router has set is due."""

    timer_id: int


@dataclass(slots=True)
class StoreAvailability:
    """Whether the shared store can be used; at the start it can not."""

    is_available: bool


@dataclass(slots=True)
class CacheHint:
    """What the shared store knows of a name that was looked up."""

    request_id: str
    cache: str | None = None  # that has the object or fills it; None: none, or the fill lease is this proxy's
    is_filling: bool = False
    ready_in: Duration = 0  # until its fill ends, by the lease


@dataclass(slots=True)
class QuotaRequested:
    """Another proxy lacks quota: donate up to `max_amount` of one's own until the transfer expires."""

    transfer_id: int
    key: QuotaKey
    max_amount: float
    expires_at: Instant


@dataclass(slots=True)
class QuotaReceived:
    """Another proxy has donated quota until the transfer expires."""

    key: QuotaKey
    amount: float
    expires_at: Instant


@dataclass(slots=True)
class OutlierReported:
    """Several other proxies have ejected an endpoint; this alone does not eject it here."""

    endpoint_id: str


class MemoryPressureLevel(IntEnum):
    """What is shed to free memory; each level includes those below it."""

    NONE = 0
    EVICT_CACHE = 1  # the proxy's own cached responses
    CLOSE_IDLE = 2  # idle connections
    FREEZE_NAMES = 3  # names that are not known yet, and half of those that are
    LIMIT_CONNECTIONS = 4  # further client connections
    REJECT = 5  # further requests


@dataclass(frozen=True, slots=True)
class MemoryPressure:
    """The process has reached or left a level of memory pressure."""

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
