"""Tests of the slow start invariant: an endpoint that is warming up gets no more work than its budget."""

import dataclasses

import pytest

from olivepost import interface as api
from olivepost.interface import AttemptStatus, CacheStatus
from olivepost.routing import capacity
from tests.router_harness import (
    FLEET,
    MS,
    ORIGIN,
    SECOND,
    START,
    RouterDriver,
    cache,
    final_responses,
    first_attempt,
    forwarded_attempts,
    make_settings,
    parent,
)

STARTING_CACHE = (cache("a:1", started_at=START), parent("p:1"), ORIGIN)
STARTING_PARENT = (cache("a:1"), parent("p:1", started_at=START), ORIGIN)


def test_starting_cache_gets_no_more_than_its_slow_start_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    """Checks the budget of a starting cache against a value computed by hand.

    The budget is the overload multiple of 2.0 x the initial share of 0.2 x 2 transfers x a window of 2 s =
    1.6 s of work. Each request costs 0.05 s of work, so 32 requests are sent.
    """
    monkeypatch.setattr("olivepost.routing.admission.LEVEL_CEILING", 0.0)
    driver = RouterDriver(make_settings(allows_direct_forwarding=False), STARTING_CACHE)

    attempts = sum(len(forwarded_attempts(driver.request(str(i), f"n{i}"))) for i in range(100))
    assert attempts == 32

    driver.advance(SECOND)
    assert not forwarded_attempts(driver.request("next"))  # the window of 2 s is not over yet


def test_starting_parent_gets_no_more_than_its_slow_start_budget() -> None:
    """Checks the budget of a starting parent against a value computed by hand.

    The budget is the overload multiple of 2.0 x the initial share of 0.1 x 2 transfers x a window of 2 s =
    0.8 s of work. Each request costs 0.05 s of work, so the parent is the source of 16 requests.
    """
    driver = RouterDriver(make_settings(), STARTING_PARENT)

    sources = [first_attempt(driver.request_missed_by_cache(str(i))).source for i in range(20)]

    assert sources.count("p:1") == 16
    assert sources.count("origin:1") == 4


def test_lookup_only_attempt_counts_at_no_parent_and_is_not_sent_to_a_starting_cache() -> None:
    """Checks which attempts use up a slow start budget.

    A starting cache's budget covers every attempt to the cache. A starting parent's budget covers only fills
    from the parent.
    """
    driver = RouterDriver(make_settings(), STARTING_PARENT)
    for number in range(40):
        driver.request(str(number))
    assert not driver.endpoint("p:1").work

    driver = RouterDriver(make_settings(), STARTING_CACHE)
    assert first_attempt(driver.request("1")).source == "p:1"


def test_slow_start_budget_does_not_grow_as_warm_endpoints_are_removed() -> None:
    """Guards against a slow start budget that grows during a release.

    In incident i0667f8, the estimate of how much a link carries grew with each warm cache that a
    release replaced.
    """
    warm_ids = [f"w{number}:1" for number in range(6)]
    endpoints = (*[cache(endpoint_id) for endpoint_id in warm_ids], ORIGIN)
    driver = RouterDriver(make_settings(allows_direct_forwarding=False), endpoints)
    for number in range(200):
        if forwarded_attempts(driver.request(str(number), f"n{number}")):
            driver.complete_attempt(str(number), 0, AttemptStatus.OK, cache_status=CacheStatus.HIT)
    starting = cache("z:1", started_at=driver.now)
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, (starting,)))

    before = budget_in_requests(driver, "z:1")
    removed = tuple(cache(endpoint_id, api.EndpointState.REMOVED) for endpoint_id in warm_ids[:5])
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, removed))

    assert budget_in_requests(driver, "z:1") <= before


def budget_in_requests(driver: RouterDriver, endpoint_id: str) -> int:
    """Returns how many requests of 10 ms of work a starting endpoint's budget allows in an empty window."""
    endpoint = driver.endpoint(endpoint_id)
    endpoint.work.total(driver.now + driver.router.settings.overload_window + 1)
    for requests in range(100_000):
        if not capacity.has_slow_start_budget(driver.state, driver.now, endpoint, 0.01 * SECOND):
            return requests
        endpoint.work.add(driver.now, 0.01 * SECOND)
    raise AssertionError(f"the slow start budget of {endpoint_id} allows 100,000 requests or more")


def test_response_without_body_is_no_sample_of_transfer_time(driver: RouterDriver) -> None:
    """Guards against not-modified responses that lower a class's mean transfer time.

    Such responses have no body. Slow start budgets are charged with the mean transfer time.
    """
    for number, is_not_modified in enumerate((True, False)):
        driver.request(str(number), size_kb=None)
        driver.complete_attempt(
            str(number),
            0,
            AttemptStatus.OK,
            cache_status=CacheStatus.HIT,
            is_not_modified=is_not_modified,
        )
        assert ("image" in driver.state.class_work) is not is_not_modified


def test_endpoints_without_a_start_time_are_warm() -> None:
    driver = RouterDriver(
        make_settings(caches=api.TierSettings(1, 0.0, 1, 2.0), parents=api.TierSettings(1, 0.0, 1, 2.0))
    )

    assert first_attempt(driver.request_missed_by_cache("1")).source in {"p:1", "q:1"}


def test_every_request_gets_a_response_while_all_endpoints_are_starting() -> None:
    starting = tuple(dataclasses.replace(metadata, started_at=START) for metadata in FLEET[:5])
    driver = RouterDriver(make_settings(), (*starting, ORIGIN))

    for number in range(200):
        actions = driver.request(str(number), f"n{number}")
        assert forwarded_attempts(actions) or final_responses(actions)


def test_without_an_overload_multiple_slow_start_has_no_budget() -> None:
    settings = make_settings(
        caches=api.TierSettings(9, 0.1, 10 * SECOND, 0.0), allows_direct_forwarding=False
    )
    driver = RouterDriver(settings, (cache("a:1", started_at=START), ORIGIN))

    assert forwarded_attempts(driver.request("r"))


def test_restarted_proxy_sends_starting_endpoints_nothing_for_a_window() -> None:
    """Guards against a restarted proxy that exceeds its slow start budgets.

    The new process doesn't know how much work the earlier one sent in the current window.
    """
    settings = make_settings(
        caches=api.TierSettings(1, 0.5, 30 * SECOND, 3.0), allows_direct_forwarding=False
    )
    driver = RouterDriver(settings, (cache("a:1", started_at=START - SECOND), ORIGIN))

    assert not forwarded_attempts(driver.request("r1"))
    driver.advance(settings.overload_window + MS)
    assert forwarded_attempts(driver.request("r2"))
