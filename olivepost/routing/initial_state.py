"""The state with which a router starts."""

from olivepost import interface as api
from olivepost.routing import adaptive_ttl, capacity, health, invalidation, outcomes, retries
from olivepost.routing_state import ClassLevels, RoutingState, Tuning


def initial_state(settings: api.Settings, seed: int) -> RoutingState:
    """The state of a proxy that has learnt nothing yet."""
    tuning = Tuning(
        initial_levels=ClassLevels(adaptive_ttl.INITIAL_LEVEL, adaptive_ttl.INITIAL_FIRST_SEEN_LEVEL),
        ranks=adaptive_ttl.RANK_TOP + 1,
        max_names=adaptive_ttl.MAX_NAMES,
        max_invalidations=invalidation.MAX_INVALIDATIONS,
        work_step=capacity.WORK_STEP,
        rate_memory=capacity.RATE_MEMORY,
        share_step=outcomes.SHARE_STEP,
        initial_late_share=health.INITIAL_LATE_SHARE,
        initial_slow_share=outcomes.INITIAL_SLOW_SHARE,
        initial_retries=retries.MAX_RETRIES,
    )
    return RoutingState(settings, seed, tuning)
