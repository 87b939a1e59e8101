"""Tests of the quota that a router donates or requests, and of the effect of transfers between proxies."""

from __future__ import annotations

import pytest

from olivepost import interface as api
from olivepost.routing import capacity
from olivepost.units import Duration
from tests.router_harness import (
    FLEET,
    MS,
    SECOND,
    RouterDriver,
    cache,
    make_settings,
)
from tests.shared_store.router_with_store import STORE_TIMEOUT, proxy_with_store


def proxy_with_starting_cache(**changes: object) -> RouterDriver:
    """Returns a proxy with a cache, `a:1`, that starts at the proxy's current time."""
    proxy = proxy_with_store(
        has_endpoint_weights=True, caches=api.TierSettings(4, 0.2, 20 * SECOND, 3.0), **changes
    )
    proxy.handle(
        api.EndpointUpdate(
            api.EndpointUpdateKind.INCREMENTAL, (cache("a:1", started_at=proxy.now, weight=8.0),)
        )
    )
    return proxy


def slow_start_key(proxy: RouterDriver) -> api.QuotaKey:
    """Returns the key of the slow start quota of `a:1`, a cache that starts at the proxy's current time."""
    return api.QuotaKey(api.QuotaKind.SLOW_START, "a:1", proxy.now)


def donated_amount(
    proxy: RouterDriver, key: api.QuotaKey, max_amount: float = 1e12, duration: Duration = SECOND
) -> float:
    """Returns the amount of quota that the proxy donates when another proxy requests `max_amount`."""
    (action,) = proxy.handle(api.QuotaRequested(1, key, max_amount, proxy.now + duration))
    assert isinstance(action, api.DonateQuota)
    return action.amount


def test_part_is_donated_once_and_comes_back_a_window_after_the_transfer_expired() -> None:
    proxy = proxy_with_starting_cache()
    key = slow_start_key(proxy)
    amount = donated_amount(proxy, key)
    assert amount > 0
    assert donated_amount(proxy, key) == pytest.approx(0, abs=1)
    proxy.advance(SECOND + proxy.router.settings.overload_window - MS)
    assert capacity.transferred(proxy.state, proxy.now, key, 0) == -amount
    proxy.advance(2 * MS)
    assert capacity.transferred(proxy.state, proxy.now, key, 0) == 0


def test_quota_that_was_used_is_not_donated() -> None:
    """Guards against exceeding the slow start limit in windows that begin before the transfer.

    The donor has used a part of its quota in such a window, so it may donate only the rest.
    """
    proxy = proxy_with_starting_cache()
    other = proxy_with_starting_cache()
    key = slow_start_key(proxy)
    endpoint = proxy.endpoint("a:1")
    part = (
        3.0
        * 0.2
        * proxy.router.settings.overload_window
        * capacity.configured_link_transfers(proxy.state, endpoint)
    )
    endpoint.work.add(proxy.now, 0.9 * part)
    assert donated_amount(proxy, key) < 0.11 * part < donated_amount(other, key)


@pytest.mark.parametrize(
    "key",
    [
        api.QuotaKey(api.QuotaKind.SLOW_START, "a:1", 1),
        api.QuotaKey(api.QuotaKind.SLOW_START, "zz"),
        api.QuotaKey(api.QuotaKind.SLOW_START),
        api.QuotaKey(api.QuotaKind.SLOW_START, ""),
        api.QuotaKey(api.QuotaKind.CONCURRENCY),
        api.QuotaKey(api.QuotaKind.CONCURRENCY, "b:1", 7),
        api.QuotaKey(api.QuotaKind.CONCURRENCY, ""),
    ],
)
def test_nothing_is_donated_of_an_unknown_quota(key: api.QuotaKey) -> None:
    assert donated_amount(proxy_with_starting_cache(), key) == 0


def test_transfer_longer_than_the_longest_is_rejected() -> None:
    proxy = proxy_with_starting_cache()
    assert donated_amount(proxy, slow_start_key(proxy), duration=3 * SECOND) == 0


def test_proxy_that_has_just_started_donates_nothing() -> None:
    proxy = RouterDriver(make_settings(shared_store_timeout=STORE_TIMEOUT))
    assert donated_amount(proxy, api.RETRY_QUOTA) == 0


def test_returned_donation_leaves_no_trace() -> None:
    proxy = proxy_with_starting_cache()
    key = slow_start_key(proxy)
    (action,) = proxy.handle(api.QuotaRequested(1, key, 1e12, proxy.now + SECOND))
    assert isinstance(action, api.DonateQuota)
    proxy.handle(api.QuotaReceived(key, action.amount, action.expires_at))
    assert not proxy.state.quotas
    assert donated_amount(proxy, key) == action.amount


def test_retry_quota_moves_from_one_proxy_to_the_other() -> None:
    donor = proxy_with_store()
    receiver = proxy_with_store()
    receiver.state.retry_balance = 0.0
    amount = donated_amount(donor, api.RETRY_QUOTA, 2.0)
    assert amount == 2.0
    assert donor.state.retry_balance == 8.0
    receiver.handle(api.QuotaReceived(api.RETRY_QUOTA, amount, receiver.now + SECOND))
    assert receiver.state.retry_balance == 2.0


def test_proxy_requests_quota_that_was_short() -> None:
    proxy = RouterDriver(
        make_settings(
            has_endpoint_weights=True,
            caches=api.TierSettings(64, 0.2, 20 * SECOND, 2.0),
            allows_direct_forwarding=False,
            shared_store_timeout=STORE_TIMEOUT,
        ),
        FLEET,
    )
    proxy.handle(api.StoreAvailability(True))
    starting = tuple(cache(f"{name}:1", started_at=proxy.now) for name in "abc")
    proxy.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, starting))

    requests = [
        action
        for number in range(8)
        for action in proxy.request(str(number), f"n{number}")
        if isinstance(action, api.RequestQuota)
    ]

    assert requests
    assert all(request.key.kind is not api.QuotaKind.RETRY for request in requests)
    assert all(request.amount > 0 for request in requests)
