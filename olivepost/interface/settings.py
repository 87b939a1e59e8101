"""Settings of a router: what the platform tells a proxy of its classes, tiers and limits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from olivepost.units import Duration


class Idempotency(Enum):
    """What repeating a request of a class does."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"  # idempotent among the caches of its deduplication scope, for a window
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The caches that drop the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of requests."""

    name: str
    latency_objective: Duration
    latency_objective_stretch: float  # times a request's own transfer time, added to the objective
    deadline: Duration  # the longest that clients of the class wait
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    idempotency_window: Duration  # for which repeats with the same key are dropped
    is_streaming: bool
    priority_weight: float
    late_priority_weight: float
    freshness_lifetime: Duration | None  # None: responses of the class stay fresh
    stale_grace: Duration  # for which a stale response may still be used
    stale_priority_weight: float
    is_uncacheable: bool


@dataclass(frozen=True, slots=True)
class TierSettings:
    """All caches of the location, or all parents: how many proxies share them, and their slow start."""

    proxies: int
    slow_start_initial_share: float  # of its capacity that an endpoint has when it starts
    slow_start_duration: Duration
    overload_multiple: float  # of a window's capacity, under which a cold endpoint does not fall over


@dataclass(frozen=True, slots=True)
class Settings:
    """What a proxy is told when it starts."""

    classes: dict[str, ClassSettings]
    zone: str
    caches: TierSettings
    parents: TierSettings
    parent_kind: str | None  # of endpoints; None: there is no such tier
    origin_kind: str | None
    has_endpoint_weights: bool
    transfer_rate_kb_per_s: float | None  # of one transfer; None: unknown
    can_collapse_fills: bool
    allows_direct_forwarding: bool  # to a parent, where no cache may be used
    sibling_sources: str
    reports_hits: bool
    reports_failure_causes: bool
    invalidation_lifetime: Duration  # after which an invalidation is carried out everywhere
    overload_window: Duration
    subscribes_to_endpoints: bool
    subscription_timeout: Duration
    max_attempts: int
    can_cancel_attempts: bool
    allows_hedged_requests: bool
    supports_retry_after: bool
    max_retry_after: Duration
    deadline_margin: Duration  # before a deadline, in which a final response must go out
    local_transfer_capacity: float = 0.0  # transfers at once on the proxy's own link; 0: it caches nothing
    shared_store_timeout: Duration | None = None  # the longest that a request waits for it; None: no store
    # Bounds by the host's memory; None: none beside the router's own.
    max_names: int | None = None
    max_invalidations: int | None = None
    max_order_bytes: int | None = None
