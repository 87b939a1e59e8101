"""The routing settings of an emulated branch."""

from __future__ import annotations

from olivepost import interface as api
from olivepost.units import MILLISECOND, SECOND, Duration

DEFAULT_STORE_TIMEOUT: Duration = 10 * MILLISECOND


def request_class() -> api.ClassSettings:
    """Returns the settings of the only request class: idempotent requests, responses that stay fresh."""
    return api.ClassSettings(
        name="image",
        latency_objective=300 * MILLISECOND,
        latency_objective_stretch=2.0,
        deadline=3 * SECOND,
        idempotency=api.Idempotency.IDEMPOTENT,
        deduplication_scope=api.DeduplicationScope.ALL,
        idempotency_window=0,
        is_streaming=False,
        priority_weight=1.0,
        late_priority_weight=0.2,
        freshness_lifetime=None,
        stale_grace=0,
        stale_priority_weight=0.5,
        is_uncacheable=False,
    )


def settings(proxies: int, store_timeout: Duration = DEFAULT_STORE_TIMEOUT) -> api.Settings:
    """Returns the settings of a branch with this number of proxies and with endpoints of known weights."""
    only_class = request_class()
    return api.Settings(
        classes={only_class.name: only_class},
        zone="west",
        caches=api.TierSettings(proxies, 0.2, 10 * SECOND, 3.0),
        parents=api.TierSettings(proxies, 0.1, 20 * SECOND, 2.0),
        parent_kind="parent",
        origin_kind="origin",
        has_endpoint_weights=True,
        transfer_rate_kb_per_s=1000.0,
        can_collapse_fills=True,
        allows_direct_forwarding=False,
        sibling_sources="off",
        reports_hits=True,
        reports_failure_causes=False,
        invalidation_lifetime=6 * SECOND,
        overload_window=2 * SECOND,
        subscribes_to_endpoints=False,
        subscription_timeout=10 * SECOND,
        max_attempts=6,
        can_cancel_attempts=True,
        allows_hedged_requests=False,
        marks_client_retries=True,
        supports_retry_after=True,
        max_retry_after=SECOND,
        deadline_margin=2 * MILLISECOND,
        shared_store_timeout=store_timeout,
    )
