"""Hints of the shared store, an extension of f-TTL.

If the store knows that a cache has an object or is filling it, an attempt goes to that cache if the cache may
be used. No other cache then fills the object again.
"""

from olivepost import interface as api
from olivepost.routing_state import PendingRequest, RoutingState
from olivepost.units import Duration, Instant

# Largest share of the time that is left until a request's deadline for which the request waits for lookups in
# the shared store.
MAX_TIME_SHARE = 0.02


def should_look_up(state: RoutingState, pending: PendingRequest, source: str | None) -> bool:
    """Whether the shared store is asked for a hint before the attempt is forwarded.

    The store is asked which cache has or fills the name's object, if the name is new to this proxy. Before a
    fill from `source`, the store is also asked for the fill lease. If `source` is None, the attempt fills
    nothing.
    """
    if not state.is_store_available or not pending.rank or pending.hint is not None:
        return False
    is_new = pending.name_remaining is None and not pending.attempt_count
    if source is None:
        return is_new and not pending.has_looked_up_location
    is_fill = pending.missed_cache is not None or pending.request_class.freshness_lifetime is None
    return (is_new or is_fill) and not pending.has_looked_up_fill


def lookup_timeout(state: RoutingState, now: Instant, pending: PendingRequest) -> Duration:
    """Returns how long the attempt waits for the shared store's hint.

    Returns 0 if there is no shared store or the request has used up its time for lookups.
    """
    timeout = state.settings.shared_store_timeout
    if timeout is None:
        return 0
    limit = min(timeout, int(MAX_TIME_SHARE * (pending.deadline - now)))
    return max(0, limit - pending.hint_time)


def fill_delay(state: RoutingState, now: Instant, pending: PendingRequest, hint: api.CacheHint) -> Duration:
    """Returns how long an attempt waits for another request's fill that it can't join; 0 if there is none.

    `hint` says whether there is such a fill and when it ends. The attempt waits until then, but at most half
    of the time that remains until the deadline.
    """
    if not hint.is_filling or state.settings.can_collapse_fills:
        return 0
    return min(hint.ready_in, (pending.deadline - now) // 2)
