"""Age bounds of responses by invalidations and freshness, and the use of the proxy's own cache."""

from olivepost import interface as api
from olivepost.routing_state import PendingRequest, RoutingState
from olivepost.units import SECOND, Duration, Instant

MAX_INVALIDATIONS = 4_096
# Time after `invalidation_lifetime` in which caches may still be late to carry out an invalidation.
PROPAGATION_MARGIN: Duration = 1 * SECOND


def age_bound(state: RoutingState, now: Instant, request: api.Request) -> Duration | None:
    """Returns the highest allowed age of a response while caches may have stale ones; None if any is allowed.

    This upholds the invalidation invariant.
    """
    invalidated_at = state.invalidations.latest(request)
    if invalidated_at is None:
        return None
    age = now - invalidated_at
    lifetime = state.settings.invalidation_lifetime + PROPAGATION_MARGIN
    return max(1, age) if age <= lifetime else None


def max_age(state: RoutingState, now: Instant, pending: PendingRequest, source: str) -> Duration | None:
    """Returns the age bound of an attempt, or None if it has none.

    During a fault, the class's grace for stale responses is added to its freshness lifetime. A fault is
    assumed from the second attempt on, and while the source is ejected.
    """
    limit = pending.request_class.freshness_lifetime
    bound = age_bound(state, now, pending.request)
    if limit is None:
        return bound
    if pending.attempt_count > 0 or state.endpoints.by_id[source].ejected_until is not None:
        limit += pending.request_class.stale_grace
    return limit if bound is None else min(limit, bound)


def reserve_cached_transfer(state: RoutingState, now: Instant, request: api.Request) -> bool:
    """Begins the transfer of the proxy's own cached response; returns False if it may not be served.

    This is an extension of f-TTL. The response must be fresh and younger than any invalidation, and the
    proxy's own link must have capacity.
    """
    state.transfer_ends = [end for end in state.transfer_ends if end > now]
    cached = request.cached_response
    if cached is None or len(state.transfer_ends) + 1 > state.settings.local_transfer_capacity:
        return False
    if not _is_usable(state, now, request, cached):
        return False
    state.transfer_ends.append(now + cached.transfer_time)
    return True


def _is_usable(state: RoutingState, now: Instant, request: api.Request, cached: api.CachedResponse) -> bool:
    """Whether a cached response is fresh and younger than any invalidation that concerns it."""
    freshness = state.settings.classes[request.class_name].freshness_lifetime
    if cached.age > (now if freshness is None else freshness):
        return False
    invalidated_at = state.invalidations.latest(request)
    return invalidated_at is None or cached.age <= now - invalidated_at


def should_store(state: RoutingState, pending: PendingRequest, sent_at: Instant) -> bool:
    """Whether a response is stored in the proxy's own cache.

    Its name must be ranked and must have been seen before. The response is not stored if an invalidation came
    after the attempt was sent, since the response may be older.
    """
    if not pending.rank or state.settings.local_transfer_capacity <= 0:
        return False
    if pending.name_remaining is None or pending.storing_cache is None:
        return False
    invalidated_at = state.invalidations.latest(pending.request)
    return invalidated_at is None or invalidated_at < sent_at
