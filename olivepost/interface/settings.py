"""Settings of a router: classes, tiers and limits, as the platform configures them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from olivepost.units import Duration


class Idempotency(Enum):
    """Idempotency of a class, which determines whether a repeated request has a second effect."""

    IDEMPOTENT = "safe"
    # A repeat has no second effect within the caches of the deduplication scope, for the duration of the
    # idempotency window.
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Set of the caches that together drop repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """Settings of one class of requests."""

    name: str
    latency_objective: Duration
    # A request's own transfer time, multiplied by this factor, is added to the latency objective.
    latency_objective_stretch: float
    deadline: Duration  # the longest time that clients of the class wait
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    idempotency_window: Duration  # the time during which repeats with the same idempotency key are dropped
    is_streaming: bool
    priority_weight: float
    late_priority_weight: float
    freshness_lifetime: Duration | None  # None if responses of the class stay fresh for ever
    stale_grace: Duration  # the time for which a stale response may still be used during a fault
    stale_priority_weight: float
    is_uncacheable: bool


@dataclass(frozen=True, slots=True)
class TierSettings:
    """Settings of one tier, either the caches of the proxy's zone or all parents."""

    proxies: int  # the number of proxies that share the tier
    slow_start_initial_share: float  # the share of its capacity that an endpoint has when it starts
    slow_start_duration: Duration
    # The limit of the work that an endpoint in slow start may get within one overload window, as a multiple
    # of the endpoint's capacity in that window. Work is the transfer time of responses, and the overload
    # window is the duration `Settings.overload_window`. 0 means that there is no limit.
    overload_multiple: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings with which a router starts. They do not change."""

    classes: dict[str, ClassSettings]
    zone: str
    caches: TierSettings
    parents: TierSettings
    # The kinds that mark an endpoint as a parent or as an origin, or None if there is no such tier.
    parent_kind: str | None
    origin_kind: str | None
    has_endpoint_weights: bool
    # The rate, in kilobytes per second, at which a single response is transferred; None if it is unknown.
    transfer_rate_kb_per_s: float | None
    can_collapse_fills: bool
    # Whether an attempt may go directly to a parent or to the origin if no cache may be used.
    allows_direct_forwarding: bool
    sibling_sources: str
    reports_hits: bool
    reports_failure_causes: bool
    # The time after an invalidation by which all caches have carried it out.
    invalidation_lifetime: Duration
    overload_window: Duration
    subscribes_to_endpoints: bool
    subscription_timeout: Duration
    max_attempts: int
    can_cancel_attempts: bool
    allows_hedged_requests: bool
    supports_retry_after: bool
    # Whether each client marks its retries, as `Request.is_client_retry` says.
    marks_client_retries: bool
    max_retry_after: Duration
    # The final response is sent at least this long before a request's deadline.
    deadline_margin: Duration
    # The number of cached responses that the proxy can transfer concurrently. If it is 0, the proxy stores no
    # responses.
    local_transfer_capacity: float = 0.0
    # The longest time that a request waits for the shared store, or None if there is no shared store.
    shared_store_timeout: Duration | None = None
    # Limits set by the memory of the hosting process, or None if only the router's own limits apply.
    max_names: int | None = None
    max_invalidations: int | None = None
    max_order_bytes: int | None = None
