"""Tests of overload control and concurrency limits."""

import pytest

from olivepost import interface as api
from olivepost.interface import AttemptStatus, CacheStatus
from olivepost.routing import capacity
from tests.router_harness import (
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
    source_of,
)

# Overload


def test_full_cache_is_passed_over_and_overload_rises(driver: RouterDriver) -> None:
    actions = [driver.request(str(number)) for number in range(150)]

    caches = {attempt.cache for request_actions in actions for attempt in forwarded_attempts(request_actions)}
    assert caches == {"a:1", "b:1", "c:1"}
    assert driver.state.arrivals.level > 0.5


def test_late_fills_reject_the_most_expensive_fills_and_no_hits(driver: RouterDriver) -> None:
    """Guards against the additional load of retried fills on a link that is already saturated.

    A saturated incoming link made the fills of all caches at one location late, and every late fill was
    retried.
    """
    for number in range(40):
        driver.request_missed_by_cache(f"slow{number}", size_kb=20.0)
        driver.complete_attempt(
            f"slow{number}", 1, AttemptStatus.OK, cache_status=CacheStatus.FILLED, elapsed=350 * MS
        )

    assert driver.state.fills.level > 0.8
    assert forwarded_attempts(driver.request_missed_by_cache("small", size_kb=5.0))
    assert final_responses(driver.request_missed_by_cache("large", size_kb=400.0))
    # No cache has reported a miss for this request, so it may be a hit, which needs no fill.
    assert forwarded_attempts(driver.request("1", size_kb=400.0))

    for number in range(60):
        driver.request_missed_by_cache(f"fast{number}", size_kb=5.0)
        driver.complete_attempt(
            f"fast{number}", 1, AttemptStatus.OK, cache_status=CacheStatus.FILLED, elapsed=20 * MS
        )
    assert forwarded_attempts(driver.request_missed_by_cache("again", size_kb=400.0))


def test_rejected_fills_raise_the_fill_level_as_late_ones_do(driver: RouterDriver) -> None:
    """Guards against rejected fills that do not raise the fill level.

    The fill level is the router's measure of how overloaded fills are: late and rejected fills raise it.
    In incident i114a12, thousands of fills were rejected, and were then retried at the next parent of one
    origin.
    """
    driver.request_missed_by_cache("1")

    driver.complete_attempt("1", 1, AttemptStatus.REJECTED)

    assert driver.state.fills.level > 0


def test_fill_past_its_silence_timeout_counts_as_late_before_its_end(driver: RouterDriver) -> None:
    driver.request_missed_by_cache("1")

    driver.advance(SECOND)

    assert driver.state.fills.level > 0


# Concurrency limits


def test_late_fills_lower_the_sources_limit_and_late_hits_the_caches(driver: RouterDriver) -> None:
    """Guards against attributing a late fill to the filled cache instead of the source.

    In incident i36c20f, incoming links were saturated, so fills were late but hits were not.
    """
    attempt = first_attempt(driver.request_missed_by_cache("1"))
    filled_cache = driver.endpoint(attempt.cache)
    source = driver.endpoint(source_of(attempt))

    driver.complete_attempt("1", 1, AttemptStatus.OK, cache_status=CacheStatus.FILLED, elapsed=420 * MS)
    assert filled_cache.late_share == 0.2
    assert source.late_share > 0.2

    driver.request("2")
    driver.complete_attempt("2", 0, AttemptStatus.OK, cache_status=CacheStatus.HIT, elapsed=420 * MS)
    assert filled_cache.late_share > 0.2


def concurrency_limit(driver: RouterDriver, endpoint_id: str) -> float:
    return capacity.concurrency_limit(driver.state, driver.now, driver.endpoint(endpoint_id))


def test_concurrency_limit_of_one_of_many_proxies_allows_bursts(driver: RouterDriver) -> None:
    """Guards against a limit of one attempt in flight at each proxy if many proxies share a cache.

    With such a limit, every fourth request skipped its home cache, the first in its name's rendezvous order.
    """
    one_of_many = RouterDriver(make_settings(caches=api.TierSettings(12, 0.2, 10 * SECOND, 2.0)))

    limit_of_many = concurrency_limit(one_of_many, "a:1")

    # A single proxy sees all requests, so its limit needs no margin for bursts.
    assert concurrency_limit(driver, "a:1") == pytest.approx(1.5 * 6.5)
    assert 3 < limit_of_many < 4.5 < 12 * limit_of_many


def test_starting_cache_has_a_lower_concurrency_limit() -> None:
    """Guards against sending as many attempts to a starting cache as to a warm one.

    During a release, starting caches responded late because proxies did so.
    """
    driver = RouterDriver(make_settings(), (cache("a:1"), cache("z:1", started_at=START), ORIGIN))

    assert concurrency_limit(driver, "z:1") == pytest.approx(0.2 * concurrency_limit(driver, "a:1"))

    driver.advance(10 * SECOND)
    assert concurrency_limit(driver, "z:1") == concurrency_limit(driver, "a:1")
