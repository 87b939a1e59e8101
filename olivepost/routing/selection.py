"""Endpoint selection: rendezvous hashing over the ready endpoints, skipping endpoints that are at a limit."""

from hashlib import blake2b
from zlib import crc32

from olivepost.routing import capacity, health
from olivepost.routing_state import (
    Endpoint,
    PendingRequest,
    QuotaShortage,
    Role,
    Route,
    RoutingState,
    Selection,
)
from olivepost.routing_state.quota_keys import concurrency_key, slow_start_key
from olivepost.units import Instant

# A rendezvous order is the list of a tier's endpoints, ranked by their hashes for a name. It is cached.
# Maximum total size of the cached orders in bytes, unless the process that hosts the router sets another.
MAX_ORDER_BYTES = 8_388_608
ORDER_ENTRY_BYTES = 320  # bytes of one cached rendezvous order, without its references to endpoint ids
# Bytes of one reference to an endpoint id. A rendezvous order, the ranked list of a tier's endpoints for a
# name, holds one reference for each endpoint.
ORDER_REFERENCE_BYTES = 8
# An endpoint sheds names, which means that other endpoints get their requests, if its late share (its share
# of late responses) is too high. It sheds no names if its late share exceeds the candidates' lowest late
# share by at most this amount.
LATE_SHARE_TOLERANCE = 0.2
# An endpoint whose late share exceeds the tolerated one by this amount would shed every name, if
# MAX_SHED_SHARE did not limit it.
LATE_SHARE_SHEDDING_RANGE = 0.4
MAX_SHED_SHARE = 0.9  # largest share of its names that an endpoint sheds


def rendezvous_order(name: str, endpoint_ids: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the endpoints in the order of their hashes for a name; the first one is the name's home."""

    def rank(endpoint_id: str) -> bytes:
        return blake2b(f"{endpoint_id} {name}".encode(), digest_size=8).digest()

    return tuple(sorted(endpoint_ids, key=rank))


def _cached_order(state: RoutingState, name: str, role: Role) -> tuple[str, ...]:
    """Returns the rendezvous order of a tier's ready endpoints for a name; computes an uncached order."""
    endpoint_ids = state.endpoints.caches if role is Role.CACHE else state.endpoints.parents
    order = state.orders.get(role, endpoint_ids, name)
    if order is None:
        order = rendezvous_order(name, endpoint_ids)
        state.orders.put(role, name, order)
    return order


def all_caches_full(state: RoutingState, now: Instant, name: str) -> bool:
    """Whether every available cache has reached its concurrency limit."""
    for endpoint_id in _cached_order(state, name, Role.CACHE):
        endpoint = state.endpoints.by_id[endpoint_id]
        if health.is_available(endpoint, now) and _is_below_limit(state, now, endpoint):
            return False
    return True


def _is_below_limit(state: RoutingState, now: Instant, endpoint: Endpoint) -> bool:
    if endpoint.in_flight == 0:  # every concurrency limit allows at least one attempt
        return True
    return endpoint.in_flight + 1 <= capacity.concurrency_limit(state, now, endpoint)


def select_route(state: RoutingState, now: Instant, pending: PendingRequest) -> Route:
    """Returns the next attempt's cache, the source from which it fills a miss, and the quota shortages.

    A shortage is an amount of quota that this proxy lacked at the name's home, the first endpoint of a tier
    in the name's rendezvous order.
    """
    cache, shortages = _select_cache(state, now, pending)
    if cache is not None and _is_lookup_only(state, now, pending, cache):
        return Route(cache, None, shortages)
    parent, parent_shortages = _select_endpoint(state, now, Role.PARENT, pending)
    shortages += parent_shortages
    origin = state.endpoints.origin
    source = parent or origin
    if cache is None and state.settings.allows_direct_forwarding and source is not None:
        # Extension of f-TTL: if no cache may be used, the attempt goes straight to a parent or to the origin.
        return Route(source, origin if origin != source else None, shortages)
    return Route(cache, source, shortages)


def _select_cache(state: RoutingState, now: Instant, pending: PendingRequest) -> Selection:
    """Returns the hinted cache if it may be used, and otherwise the first cache that is within the limits.

    The hinted cache is used even above its concurrency limit. It already has the object or is filling it, so
    the attempt causes no further fill.
    """
    hint = pending.hint
    if hint is not None and hint.cache is not None and hint.cache in state.endpoints.caches:
        endpoint = state.endpoints.by_id[hint.cache]
        work = state.mean_work(pending.request_class)
        is_available = health.is_available(endpoint, now)
        has_budget = is_available and capacity.has_slow_start_budget(state, now, endpoint, work)
        if has_budget and hint.cache not in pending.avoided:
            return Selection(hint.cache)
    return _select_endpoint(state, now, Role.CACHE, pending)


def _is_lookup_only(state: RoutingState, now: Instant, pending: PendingRequest, cache: str) -> bool:
    """Whether the attempt only looks the name up in the cache, before a source is named for a fill.

    This is an extension of f-TTL. A name that is new to this proxy may be cached already, because of requests
    of other proxies. If an attempt that names no source stays silent, only the cache can be the cause.
    """
    hint = pending.hint
    if hint is not None and hint.is_filling and hint.cache == cache:
        # If fills can be collapsed, the attempt joins the fill that the hint reports, instead of only looking
        # the name up.
        return not state.settings.can_collapse_fills
    is_always_fresh = pending.request_class.freshness_lifetime is None
    if not pending.rank or not is_always_fresh or pending.missed_cache == cache:
        return False
    if not pending.is_retryable or pending.attempt_count + 1 >= state.settings.max_attempts:
        return False
    return capacity.slow_start_share(now, state.endpoints.by_id[cache]) >= 1


def _select_endpoint(state: RoutingState, now: Instant, role: Role, pending: PendingRequest) -> Selection:
    """Returns the first endpoint, in a tier's rendezvous order for a name, that is within all limits.

    If there is no such endpoint, limits are dropped one after another: first the limit on the share of late
    responses, then the concurrency limit, then ejection, then the earlier failures of this request. The slow
    start budget is never dropped.
    """
    order = _cached_order(state, pending.name, role)
    if not order:
        return Selection(None)
    work = state.mean_work(pending.request_class)
    by_id = state.endpoints.by_id
    home = by_id[order[0]]
    if _is_unrestricted(state, now, pending, home) and capacity.has_slow_start_budget(state, now, home, work):
        return Selection(order[0])  # same result as from the code below, in a fraction of the time
    endpoints = [by_id[endpoint_id] for endpoint_id in order]
    within_budget = [
        endpoint for endpoint in endpoints if capacity.has_slow_start_budget(state, now, endpoint, work)
    ]
    not_avoided = [endpoint for endpoint in within_budget if endpoint.metadata.id not in pending.avoided]
    available = [endpoint for endpoint in not_avoided if health.is_available(endpoint, now)]
    below_limit = [endpoint for endpoint in available if _is_below_limit(state, now, endpoint)]
    shortages: tuple[QuotaShortage, ...] = ()
    if state.is_store_available:
        if home in available and home not in below_limit:
            shortages = (QuotaShortage(concurrency_key(home), 1.0),)
        elif home not in within_budget:
            shortages = (QuotaShortage(slow_start_key(home), work),)
    candidates = (
        _without_shedding_endpoints(below_limit, pending.name)
        or below_limit
        or available
        or not_avoided
        or within_budget
    )
    return Selection(candidates[0].metadata.id if candidates else None, shortages)


def _is_unrestricted(state: RoutingState, now: Instant, pending: PendingRequest, home: Endpoint) -> bool:
    """Whether `home` sheds no names and is within its limits; the slow start budget is not checked.

    The home of a name is the first endpoint in the name's rendezvous order.
    """
    if home.late_share > LATE_SHARE_TOLERANCE or home.metadata.id in pending.avoided:
        return False
    return health.is_available(home, now) and _is_below_limit(state, now, home)


def _without_shedding_endpoints(endpoints: list[Endpoint], name: str) -> list[Endpoint]:
    """Returns the endpoints without those that shed this name.

    An endpoint sheds names if its late share exceeds the lowest late share of the endpoints by more than the
    tolerance. The higher the late share, the more names the endpoint sheds. The hash of `name`
    decides whether the endpoint sheds it.
    """
    late_shares = [endpoint.late_share for endpoint in endpoints]
    tolerated = min(late_shares, default=0.0) + LATE_SHARE_TOLERANCE
    if max(late_shares, default=0.0) <= tolerated:
        return endpoints
    name_share = crc32(name.encode()) / 2**32
    return [
        endpoint
        for endpoint in endpoints
        if min(MAX_SHED_SHARE, (endpoint.late_share - tolerated) / LATE_SHARE_SHEDDING_RANGE) <= name_share
    ]
