"""The initial state of a router."""

from olivepost import interface as api
from olivepost.routing import adaptive_ttl, capacity, health, invalidation, outcomes, retries, selection
from olivepost.routing_state import ClassLevels, RoutingState, Tuning


def initial_state(settings: api.Settings, seed: int) -> RoutingState:
    """Returns the state of a proxy's router before its first event."""
    tuning = Tuning(
        initial_levels=ClassLevels(adaptive_ttl.INITIAL_LEVEL, adaptive_ttl.INITIAL_FIRST_SEEN_LEVEL),
        ranks=adaptive_ttl.RANK_TOP + 1,
        max_names=_bounded(adaptive_ttl.MAX_NAMES, settings.max_names),
        max_invalidations=_bounded(invalidation.MAX_INVALIDATIONS, settings.max_invalidations),
        max_order_bytes=settings.max_order_bytes or selection.MAX_ORDER_BYTES,
        order_entry_bytes=selection.ORDER_ENTRY_BYTES,
        order_reference_bytes=selection.ORDER_REFERENCE_BYTES,
        work_step=capacity.WORK_STEP,
        rate_memory=capacity.RATE_MEMORY,
        share_step=outcomes.SHARE_STEP,
        initial_late_share=health.INITIAL_LATE_SHARE,
        max_listing_delay=capacity.MAX_LISTING_DELAY,
        initial_slow_share=outcomes.INITIAL_SLOW_SHARE,
        initial_retries=retries.MAX_RETRIES,
    )
    return RoutingState(settings, seed, tuning)


def _bounded(own_maximum: int, host_maximum: int | None) -> int:
    """Returns the router's own maximum, or the host's maximum if there is one and it is lower."""
    return own_maximum if host_maximum is None else min(own_maximum, host_maximum)
