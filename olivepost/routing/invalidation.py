"""Age limits of responses due to invalidations and freshness, and the use of the proxy's own cache."""

from olivepost import interface as api
from olivepost.routing_state import PendingRequest, RoutingState
from olivepost.units import SECOND, Duration, Instant

MAX_INVALIDATIONS = 4_096
# Time after the setting `invalidation_lifetime` in which caches may still be late to carry out an
# invalidation.
PROPAGATION_MARGIN: Duration = 1 * SECOND


def age_bound(state: RoutingState, now: Instant, request: api.Request) -> Duration | None:
    """Returns the highest age that invalidations allow a response, or None if they allow every age.

    The age is bounded as long as caches may still have responses from before an invalidation. This upholds
    the invalidation invariant: no such response is served.
    """
    invalidated_at = state.invalidations.latest(request)
    if invalidated_at is None:
        return None
    age = now - invalidated_at
    lifetime = state.settings.invalidation_lifetime + PROPAGATION_MARGIN
    return max(1, age) if age <= lifetime else None


def max_age(state: RoutingState, now: Instant, pending: PendingRequest, source: str) -> Duration | None:
    """Returns the highest age that an attempt's response may have, or None if every age is allowed.

    During a fault, the class's grace for stale responses is added to the class's freshness lifetime. A fault
    is assumed from a request's second attempt on, and while the source is ejected.
    """
    limit = pending.request_class.freshness_lifetime
    bound = age_bound(state, now, pending.request)
    if limit is None:
        return bound
    if pending.attempt_count > 0 or state.endpoints.by_id[source].ejected_until is not None:
        limit += pending.request_class.stale_grace
    return limit if bound is None else min(limit, bound)


def reserve_cached_transfer(state: RoutingState, now: Instant, request: api.Request) -> bool:
    """Whether the proxy's own cached response may be served; if so, reserves capacity for its transfer.

    This is an extension of f-TTL. The response must be fresh and younger than any invalidation, and the
    proxy's own link must have capacity for one more transfer.
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

    The response must be a hit or a fill. Its name must have a rank above 0 and must have been seen before.
    The response is not stored if an invalidation came after `sent_at`, when the attempt was sent, because the
    response may be older than the invalidation.
    """
    if not pending.rank or state.settings.local_transfer_capacity <= 0:
        return False
    if pending.name_remaining is None or pending.storing_cache is None:
        return False
    invalidated_at = state.invalidations.latest(pending.request)
    return invalidated_at is None or invalidated_at < sent_at
