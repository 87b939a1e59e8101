"""Endpoint selection: rendezvous hashing over the listed endpoints, past those that can't take more."""

from hashlib import blake2b
from zlib import crc32

from olivepost import interface as api
from olivepost.routing import capacity, health
from olivepost.routing_state import Endpoint, PendingRequest, Role, Route, RoutingState
from olivepost.routing_state.quota_keys import concurrency_key, slow_start_key
from olivepost.units import Instant

# Computed orders, where the host names no bound; what one takes beside its references, and for each of these.
MAX_ORDER_BYTES = 8_388_608
ORDER_ENTRY_BYTES = 320
ORDER_REFERENCE_BYTES = 8
SHED_FROM = 0.2  # late share beyond the best peer's, from which an endpoint sheds names,
SHED_RANGE = 0.4  # over which it would shed all,
MAX_SHED_SHARE = 0.9  # and what it sheds at most


def rendezvous_order(name: str, endpoint_ids: tuple[str, ...]) -> tuple[str, ...]:
    """The endpoints for a name by their hashes, its home first."""
    return tuple(
        sorted(endpoint_ids, key=lambda it: blake2b(f"{it} {name}".encode(), digest_size=8).digest())
    )


def _order(state: RoutingState, name: str, role: Role) -> tuple[str, ...]:
    """The order of a tier's ready endpoints for a name, computed once in a while."""
    endpoint_ids = state.endpoints.caches if role is Role.CACHE else state.endpoints.parents
    order = state.orders.get(role, endpoint_ids, name)
    if order is None:
        order = rendezvous_order(name, endpoint_ids)
        state.orders.put(role, name, order)
    return order


def all_caches_full(state: RoutingState, now: Instant, name: str) -> bool:
    """Whether every available cache has reached its concurrency limit."""
    for endpoint_id in _order(state, name, Role.CACHE):
        endpoint = state.endpoints.by_id[endpoint_id]
        if health.is_available(endpoint, now) and _is_below_limit(state, now, endpoint):
            return False
    return True


def _is_below_limit(state: RoutingState, now: Instant, endpoint: Endpoint) -> bool:
    return endpoint.in_flight + 1 <= capacity.concurrency_limit(state, now, endpoint)


def _select_cache(state: RoutingState, now: Instant, pending: PendingRequest) -> str | None:
    """The cache for an attempt: the hint's, past its concurrency limit, since a hit or a join is no fill."""
    hint = pending.hint
    if hint is not None and hint.cache in state.endpoints.caches:
        endpoint = state.endpoints.by_id[hint.cache]
        work = state.mean_work(pending.request_class)
        is_able = health.is_available(endpoint, now)
        is_able = is_able and capacity.has_slow_start_budget(state, now, endpoint, work)
        if is_able and hint.cache not in pending.avoided:
            return hint.cache
    return _select(state, now, Role.CACHE, pending)


def select_route(state: RoutingState, now: Instant, pending: PendingRequest) -> Route:
    """The cache of an attempt and the source of its fill."""
    cache = _select_cache(state, now, pending)
    if cache is not None and _is_lookup_only(state, now, pending, cache):
        return Route(cache, None)
    source = _select(state, now, Role.PARENT, pending) or state.endpoints.origin
    if cache is None and state.settings.allows_direct_forwarding and source is not None:
        origin = state.endpoints.origin
        return Route(source, origin if origin != source else None)  # departure: straight to a parent
    return Route(cache, source)


def _is_lookup_only(state: RoutingState, now: Instant, pending: PendingRequest, cache: str) -> bool:
    """Departure: a cache is first asked for what it has.

    Many proxies share a location, so a name new here may well be cached there; a miss is known before a
    source is named, and silence is the cache's own.
    """
    hint = pending.hint
    if hint is not None and hint.is_filling and hint.cache == cache:
        return not state.settings.can_collapse_fills  # else the fill is joined
    is_always_fresh = pending.request_class.freshness_lifetime is None
    if not pending.rank or not is_always_fresh or pending.missed_cache == cache:
        return False
    is_warm = capacity.slow_start_share(now, state.endpoints.by_id[cache]) >= 1
    has_attempts_left = pending.is_retryable and pending.attempt_count + 1 < state.settings.max_attempts
    return is_warm and has_attempts_left


def _select(state: RoutingState, now: Instant, role: Role, pending: PendingRequest) -> str | None:
    """The first available endpoint below its limits; with none, the first that may be used at all."""
    order = _order(state, pending.name, role)
    if not order:
        return None
    work = state.mean_work(pending.request_class)
    by_id = state.endpoints.by_id
    home = by_id[order[0]]
    is_free = home.late_share <= SHED_FROM and health.is_available(home, now)
    is_free = is_free and order[0] not in pending.avoided and _is_below_limit(state, now, home)
    if is_free and capacity.has_slow_start_budget(state, now, home, work):
        return order[0]  # as below, in a fraction of the time
    usable = [it for it in order if capacity.has_slow_start_budget(state, now, by_id[it], work)]
    fresh = [it for it in usable if it not in pending.avoided]
    available = [it for it in fresh if health.is_available(by_id[it], now)]
    free = [it for it in available if _is_below_limit(state, now, by_id[it])]
    if state.is_store_available and order[0] in available and order[0] not in free:
        state.actions.append(api.RequestQuota(concurrency_key(home), 1.0))
    elif state.is_store_available and order[0] not in usable:
        state.actions.append(api.RequestQuota(slow_start_key(home), work))
    prompt = _without_shed_names(state, free, pending.name)
    return next(iter(prompt or free or available or fresh or usable), None)


def _without_shed_names(state: RoutingState, endpoint_ids: list[str], name: str) -> list[str]:
    """Leaves out endpoints that are late more often than their best peer, by degrees: a hash's share."""
    late_shares = {it: state.endpoints.by_id[it].late_share for it in endpoint_ids}
    tolerated = min(late_shares.values(), default=0.0) + SHED_FROM
    hash_share = crc32(name.encode()) / 2**32
    shed = {it: min(MAX_SHED_SHARE, (late - tolerated) / SHED_RANGE) for it, late in late_shares.items()}
    return [it for it in endpoint_ids if shed[it] <= hash_share]
