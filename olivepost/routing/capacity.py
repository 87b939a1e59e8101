"""Endpoint capacity: slow start budgets and concurrency limits.

The configuration gives each proxy its part of every such budget and limit. A proxy can donate some of its
part, as quota, to another proxy that requests it through a shared store.
"""

import math

from olivepost import interface as api
from olivepost.routing_state import Endpoint, QuotaPart, QuotaTransfer, Role, RoutingState
from olivepost.routing_state.quota_keys import concurrency_key, slow_start_key
from olivepost.units import SECOND, Duration, Instant

WORK_STEP = 0.05  # weight of a new sample in a class's mean work, the mean transfer time of a response
# Time over which past work (transfer time) fades from the mean rate of work of the endpoints that have no
# slow start.
RATE_MEMORY: Duration = 10 * SECOND
# Least number of concurrent transfers that any endpoint's link can carry, for all proxies together.
MIN_LINK_TRANSFERS = 2.0
# Concurrent transfers that an endpoint's link carries, if the settings give endpoints no weights.
DEFAULT_LINK_TRANSFERS = {Role.CACHE: 6.5, Role.PARENT: 32.0}
# Attempts that may be in flight for each concurrent transfer of an endpoint's link.
IN_FLIGHT_PER_TRANSFER = {Role.CACHE: 1.5, Role.PARENT: 3.0}
# Number of standard deviations by which the concurrency limit exceeds a proxy's mean number of attempts in
# flight. If many proxies share an endpoint, the attempts of one of them come in bursts, so its limit must be
# above its mean.
LIMIT_DEVIATIONS = 3.0
# Lowest factor of the concurrency limit, reached if many of an endpoint's responses are late.
MIN_LIMIT_FACTOR = 0.5
MAX_LIMIT_FACTOR = 1.5  # factor of the concurrency limit if none of an endpoint's responses is late
# The factor of the concurrency limit is MAX_LIMIT_FACTOR minus this slope times the share of an endpoint's
# responses that are late, but at least MIN_LIMIT_FACTOR.
LIMIT_FACTOR_SLOPE = 2.5
# Longest plausible time from an endpoint's start to its first listing. An endpoint that is listed later is
# treated as if it had started when it was listed.
MAX_LISTING_DELAY: Duration = 20 * SECOND
DONATED_SHARE = 0.75  # largest share of its own part of a quota that a proxy donates
MAX_TRANSFER_DURATION: Duration = 2 * SECOND  # longest duration for which a proxy donates quota


def slow_start_share(now: Instant, endpoint: Endpoint) -> float:
    """Returns the share of its capacity that an endpoint has now; it is below 1 during slow start."""
    if endpoint.started_at is None or endpoint.role is Role.ORIGIN:
        return 1.0
    tier = endpoint.tier
    age = max(0, now - endpoint.started_at)
    initial = tier.slow_start_initial_share
    return min(1.0, initial + (1 - initial) * age / tier.slow_start_duration)


def has_slow_start_budget(state: RoutingState, now: Instant, endpoint: Endpoint, work: float) -> bool:
    """Whether an endpoint's slow start budget allows this proxy one more attempt with the given work.

    This upholds the slow start invariant: the work that the proxy sends to an endpoint in slow start within
    an overload window (a duration in the settings) stays within that budget.
    """
    if endpoint.started_at is None:
        return True
    window = state.settings.overload_window
    share = slow_start_share(now - window, endpoint)
    multiple = endpoint.tier.overload_multiple
    if share >= 1 or not multiple:
        return True
    first_listed_at = state.endpoints.first_listed_at
    is_work_known = first_listed_at is not None and first_listed_at <= max(endpoint.started_at, now - window)
    budget_per_link = multiple * share * window if is_work_known else 0.0
    configured_link = configured_link_transfers(state, endpoint)
    extra = 0.0
    if state.settings.shared_store_timeout is not None:
        extra = transferred(state, now, slow_start_key(endpoint), budget_per_link * configured_link)
    link = max(configured_link, state.warm_rates[endpoint.role].per_nanosecond(now))
    return endpoint.work.total(now) + work <= budget_per_link * link + extra


def concurrency_limit(state: RoutingState, now: Instant, endpoint: Endpoint) -> float:
    """Returns how many attempts this proxy may have in flight to an endpoint.

    The limit is lower during slow start, and it falls as the endpoint's share of late responses rises.
    """
    part = concurrency_part(state, now, endpoint)
    mean = max(MIN_LIMIT_FACTOR, MAX_LIMIT_FACTOR - LIMIT_FACTOR_SLOPE * endpoint.late_share) * part
    limit = mean + LIMIT_DEVIATIONS * math.sqrt(mean * (1 - 1 / endpoint.tier.proxies))
    if state.settings.shared_store_timeout is not None:
        limit += transferred(state, now, concurrency_key(endpoint), part)
    return max(1.0, limit)


def concurrency_part(state: RoutingState, now: Instant, endpoint: Endpoint) -> float:
    """Returns how many of the attempts in flight at an endpoint may be this proxy's.

    The number is this proxy's part of what the endpoint's present capacity allows.
    """
    has_weights = state.settings.has_endpoint_weights
    transfers = endpoint.metadata.weight if has_weights else DEFAULT_LINK_TRANSFERS[endpoint.role]
    link = slow_start_share(now, endpoint) * transfers
    return IN_FLIGHT_PER_TRANSFER[endpoint.role] * link / endpoint.tier.proxies


def configured_link_transfers(state: RoutingState, endpoint: Endpoint) -> float:
    """Returns this proxy's part of an endpoint's link, in concurrent transfers.

    The part depends on the configuration alone and does not fall with load.
    """
    weight = endpoint.metadata.weight if state.settings.has_endpoint_weights else 0.0
    return max(MIN_LINK_TRANSFERS, weight) / endpoint.tier.proxies


def transferred(state: RoutingState, now: Instant, key: api.QuotaKey, part: float) -> float:
    """Returns the amount that quota transfers add to this proxy's part of a quota.

    The amount is below 0 if the transfers reduce the part. As long as donations of an earlier process of this
    proxy may still be in use, the largest amount that the earlier process may have donated is subtracted,
    too. This amount is `DONATED_SHARE` of `part`.
    """
    balance = state.quotas.balance(now, key)
    return balance - DONATED_SHARE * part if _may_have_forgotten_donations(state, now) else balance


def _may_have_forgotten_donations(state: RoutingState, now: Instant) -> bool:
    """Whether a donation that an earlier process of this proxy made may still be in use.

    This process doesn't know of such donations.
    """
    first_listed_at = state.endpoints.first_listed_at
    if first_listed_at is None:
        return False
    return now < first_listed_at + MAX_TRANSFER_DURATION + state.settings.overload_window


def quota_part(state: RoutingState, now: Instant, key: api.QuotaKey) -> QuotaPart:
    """Returns this proxy's part of an endpoint's quota.

    The part does not depend on observed rates of work, because these may fall. If such a rate fell after a
    donation, the part could become smaller than the amount already donated. The part is therefore computed
    from the configuration, the endpoint's weight and the progress of its slow start alone.

    The origin has neither a concurrency limit nor a slow start. This proxy has no quota of the origin to
    donate, so its part is 0. The part is also 0 if the key's endpoint is not listed, or if the listed
    endpoint is now another process than the one in the key.
    """
    endpoint = None if key.endpoint_id is None else state.endpoints.by_id.get(key.endpoint_id)
    if endpoint is None or endpoint.role is Role.ORIGIN:
        return QuotaPart(0.0, 0.0)
    if key == concurrency_key(endpoint):
        return QuotaPart(concurrency_part(state, now, endpoint), float(endpoint.in_flight))
    if key != slow_start_key(endpoint):
        return QuotaPart(0.0, 0.0)
    window = state.settings.overload_window
    share = slow_start_share(now - window, endpoint)
    budget_per_link = endpoint.tier.overload_multiple * share * window
    part = budget_per_link * configured_link_transfers(state, endpoint)
    # Work that the recipient sends just before the transfer ends stays in the endpoint's overload window for
    # the length of that window. The donor may use the donated amount again only afterwards.
    return QuotaPart(part, endpoint.work.total(now), return_delay=window)


def donate_quota(
    state: RoutingState, now: Instant, request: api.QuotaRequested, part: QuotaPart
) -> api.DonateQuota:
    """Donates what this proxy can spare of its part of a quota, up to the requested amount.

    The donated amount belongs to the other proxy until the requested expiry time. The amount returns to this
    proxy `part.return_delay` after the expiry time. Nothing is donated if the expiry time is past or is more
    than `MAX_TRANSFER_DURATION` ahead.
    """
    amount = 0.0
    is_timely = now < request.expires_at <= now + MAX_TRANSFER_DURATION
    if is_timely and not _may_have_forgotten_donations(state, now):
        donated = state.quotas.balance(now, request.key, max_amount=0.0)
        unused = part.amount + state.quotas.balance(now, request.key) - part.used
        amount = max(0.0, min(request.max_amount, DONATED_SHARE * part.amount + donated, unused))
    returns_at = request.expires_at + part.return_delay
    if amount:
        state.quotas.record(now, QuotaTransfer(returns_at, request.key, -amount))
    return api.DonateQuota(request.transfer_id, amount, returns_at)
