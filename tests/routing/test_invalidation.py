"""Tests of the invalidation invariant, of age bounds, and of the proxy's own response cache.

The invariant: no response that is older than an invalidation is served after it.
"""

from typing import Any

import pytest

from olivepost import interface as api
from olivepost.interface import AttemptStatus, CacheStatus
from tests.router_harness import (
    MS,
    SECOND,
    RouterDriver,
    first_attempt,
    forwarded_attempts,
    make_class,
    make_settings,
)

EXPIRING_CLASS = make_class(freshness_lifetime=8 * SECOND, stale_grace=30 * SECOND)


# Age bounds of attempts


@pytest.mark.parametrize("by_group", [True, False])
def test_invalidation_bounds_the_age_until_carried_out_everywhere(
    driver: RouterDriver, by_group: bool
) -> None:
    assert first_attempt(driver.request("0")).max_age is None
    driver.handle(api.Invalidation(None if by_group else "x", 1, 40 * MS))
    driver.advance(500 * MS)

    assert first_attempt(driver.request("1")).max_age == 540 * MS
    retry = first_attempt(driver.complete_attempt("1", 0, AttemptStatus.ERROR))
    assert retry.max_age == 540 * MS
    if not by_group:
        assert first_attempt(driver.request("other", "y")).max_age is None

    driver.advance(8 * SECOND)
    assert first_attempt(driver.request("2")).max_age is None


def test_group_invalidation_counts_where_the_request_names_no_group(driver: RouterDriver) -> None:
    driver.handle(api.Invalidation(None, 9, 0))
    driver.advance(MS)

    assert first_attempt(driver.request("1", group=None)).max_age == MS


def test_invalidation_table_is_bounded_and_loses_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("olivepost.routing.invalidation.MAX_INVALIDATIONS", 3)
    driver = RouterDriver(make_settings())

    for number in range(9):
        driver.handle(api.Invalidation(f"n{number}", number, 0))
    driver.advance(MS)

    assert len(driver.state.invalidations) <= 3
    max_age = first_attempt(driver.request("1", "n0")).max_age
    assert max_age is not None
    assert 0 < max_age <= MS


def test_stale_responses_are_allowed_only_after_a_failure() -> None:
    driver = RouterDriver(make_settings(EXPIRING_CLASS))

    first = first_attempt(driver.request("1"))
    retry = first_attempt(driver.complete_attempt("1", 0, AttemptStatus.ERROR))

    assert first.max_age == 8 * SECOND
    assert first.refresh
    assert retry.max_age == 38 * SECOND


# The proxy's own response cache


def is_served_from_cache(driver: RouterDriver, request_id: str, age: int, **changes: Any) -> bool:
    """Whether the router serves a request from the proxy's response cache.

    The cached response has the given age, and its transfer takes 100 ms.
    """
    cached_response = api.CachedResponse(age, transfer_time=100 * MS)
    actions = driver.request(request_id, cached_response=cached_response, **changes)
    assert (api.ServeCachedResponse(request_id) in actions) is not bool(forwarded_attempts(actions))
    return api.ServeCachedResponse(request_id) in actions


def test_cached_responses_are_served_while_the_proxys_link_has_capacity() -> None:
    driver = RouterDriver(make_settings(local_transfer_capacity=2.5))

    assert is_served_from_cache(driver, "1", 0)
    assert is_served_from_cache(driver, "2", 50 * SECOND)
    assert not is_served_from_cache(driver, "3", 0)
    driver.advance(100 * MS)
    assert is_served_from_cache(driver, "4", 0)
    assert not is_served_from_cache(RouterDriver(make_settings()), "1", 0)


def test_served_cached_responses_are_fresh_and_younger_than_any_invalidation() -> None:
    driver = RouterDriver(make_settings(EXPIRING_CLASS, local_transfer_capacity=9.0))

    assert is_served_from_cache(driver, "1", 8 * SECOND)
    assert not is_served_from_cache(driver, "2", 8 * SECOND + 1)

    driver.handle(api.Invalidation(None, 1, 2 * SECOND))
    assert not is_served_from_cache(driver, "3", 2 * SECOND + 1)
    assert is_served_from_cache(driver, "4", 2 * SECOND)
    assert is_served_from_cache(driver, "5", 3 * SECOND, group=2)


def test_invalidation_counts_against_cached_responses_for_good() -> None:
    """Guards against serving an invalidated response from the proxy's cache long after the invalidation.

    A response that was in flight when its invalidation arrived may still be stored afterwards.
    """
    driver = RouterDriver(make_settings(local_transfer_capacity=9.0))
    driver.handle(api.Invalidation(None, 1, 0))
    driver.advance(60 * SECOND)

    assert not is_served_from_cache(driver, "1", 60 * SECOND + 1)
    assert is_served_from_cache(driver, "2", 59 * SECOND)


def stored_responses(driver: RouterDriver, request_ids: tuple[str, ...]) -> list[api.StoreResponse]:
    """Passes requests for one name, all of them hits, to the router; returns its `StoreResponse` actions."""
    stored = []
    for request_id in request_ids:
        driver.request(request_id)
        actions = driver.complete_attempt(request_id, 0, AttemptStatus.OK, cache_status=CacheStatus.HIT)
        stored += [action for action in actions if isinstance(action, api.StoreResponse)]
    return stored


def test_only_responses_of_repeated_names_are_stored() -> None:
    driver = RouterDriver(make_settings(local_transfer_capacity=2.5))

    assert stored_responses(driver, ("1", "2")) == [api.StoreResponse("2")]


def test_without_a_link_of_its_own_the_proxy_stores_no_response(driver: RouterDriver) -> None:
    assert not stored_responses(driver, ("1", "2"))
