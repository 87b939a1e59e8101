"""Settings of a router: classes, tiers and limits, as the platform configures them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from olivepost.units import Duration


class Idempotency(Enum):
    """Whether a repeated request of a class has a second effect."""

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
    overload_multiple: float  # of a window's capacity, the most work in slow start; 0: no bound


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings with which a router starts; they don't change."""

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
    invalidation_lifetime: Duration  # after which all caches have carried out an invalidation
    overload_window: Duration
    subscribes_to_endpoints: bool
    subscription_timeout: Duration
    max_attempts: int
    can_cancel_attempts: bool
    allows_hedged_requests: bool
    supports_retry_after: bool
    max_retry_after: Duration
    deadline_margin: Duration  # before a deadline, by which the final response goes out
    local_transfer_capacity: float = 0.0  # cached responses in transfer at once; 0: the proxy caches nothing
    shared_store_timeout: Duration | None = None  # the longest that a request waits for it; None: no store
    # Bounds by the host's memory; None: none beside the router's own.
    max_names: int | None = None
    max_invalidations: int | None = None
    max_order_bytes: int | None = None
