"""Tests of slow start when the clock of an endpoint or of this proxy is wrong."""

from __future__ import annotations

import pytest

from olivepost import interface as api
from olivepost.routing.capacity import MAX_LISTING_DELAY, slow_start_share
from olivepost.units import SECOND
from tests.router_harness import ORIGIN, RouterDriver, cache, make_settings, parent

NOW = 1_764_576_000 * SECOND
HOUR = 3_600 * SECOND


def share_of_new_cache(started_at: int, kind: api.EndpointUpdateKind) -> float:
    """Returns the slow start share of an endpoint that is first listed at `NOW` with the given start time.

    The slow start share is the part of a warm endpoint's load that a starting endpoint may get.
    """
    driver = RouterDriver(make_settings(), (cache("a:1"), parent("p:1"), ORIGIN))
    driver.now = NOW
    driver.handle(api.EndpointUpdate(kind, (cache("new:1", started_at=started_at),)))
    return slow_start_share(NOW, driver.endpoint("new:1"))


@pytest.mark.parametrize("started_at", [NOW + HOUR, NOW + 5 * SECOND, NOW, NOW - HOUR])
def test_cache_listed_as_started_at_an_implausible_time_begins_its_slow_start(started_at: int) -> None:
    settings = make_settings()
    share = share_of_new_cache(started_at, api.EndpointUpdateKind.INCREMENTAL)
    assert share == settings.caches.slow_start_initial_share


def test_cache_that_started_shortly_before_its_listing_is_further_in_its_slow_start() -> None:
    settings = make_settings()
    started_at = NOW - min(settings.caches.slow_start_duration // 2, MAX_LISTING_DELAY)
    share = share_of_new_cache(started_at, api.EndpointUpdateKind.INCREMENTAL)
    assert share > settings.caches.slow_start_initial_share


def test_slow_start_takes_its_time_though_the_start_is_an_hour_ahead() -> None:
    driver = RouterDriver(make_settings(), (cache("a:1"), parent("p:1"), ORIGIN))
    driver.now = NOW
    listed = cache("new:1", started_at=NOW + HOUR)
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, (listed,)))
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, (listed,)))
    endpoint = driver.endpoint("new:1")
    duration = endpoint.tier.slow_start_duration
    assert slow_start_share(NOW + duration, endpoint) == 1
    driver.now = NOW + duration
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.FULL, (listed, parent("p:1"), ORIGIN)))
    assert driver.endpoint("new:1") is endpoint  # the list names the same process as before
