"""Tests of a router's use of the shared store: lookups, hints and outlier reports."""

from __future__ import annotations

import pytest

from olivepost import interface as api
from olivepost.routing import health
from tests.router_harness import (
    MS,
    SECOND,
    RouterDriver,
    cache,
    final_responses,
    forwarded_attempts,
    make_class,
    make_settings,
)
from tests.shared_store.router_with_store import STORE_TIMEOUT, proxy_with_store


def lookups(actions: list[api.Action]) -> list[api.LookUpHint]:
    return [action for action in actions if isinstance(action, api.LookUpHint)]


def test_new_name_is_looked_up_and_a_known_one_is_not() -> None:
    proxy = proxy_with_store()
    (lookup,) = lookups(proxy.request("1"))
    assert lookup.source is None
    assert lookup.timeout == STORE_TIMEOUT
    proxy.handle(api.CacheHint("1"))
    proxy.complete_attempt("1", 0, api.AttemptStatus.OK, cache_status=api.CacheStatus.HIT)
    assert not lookups(proxy.request("2"))


def test_without_a_store_nothing_is_looked_up() -> None:
    proxy = RouterDriver(make_settings(shared_store_timeout=STORE_TIMEOUT))
    assert forwarded_attempts(proxy.request("1"))
    assert not lookups(proxy.request("2", "y"))


def test_request_waits_two_hundredths_of_its_timeout_and_the_bound_over_all_lookups() -> None:
    proxy = proxy_with_store()
    (lookup,) = lookups(proxy.request("1", timeout=100 * MS))
    assert lookup.timeout == 2 * MS
    proxy = proxy_with_store()
    proxy.request("2", "y")
    assert not forwarded_attempts(proxy.advance(9 * MS))
    assert forwarded_attempts(proxy.advance(1 * MS))
    (lookup,) = lookups(proxy.complete_attempt("2", 0, api.AttemptStatus.NOT_CACHED))
    assert lookup.source is not None
    # The first lookup has used up the time that a request may spend on all its lookups.
    assert lookup.timeout == 0
    assert forwarded_attempts(proxy.advance(0))


def test_late_hint_changes_nothing() -> None:
    proxy = proxy_with_store()
    proxy.request("1")
    proxy.advance(STORE_TIMEOUT)
    assert not proxy.handle(api.CacheHint("1", "c:1"))
    assert not proxy.handle(api.CacheHint("none", "c:1"))


@pytest.mark.parametrize("endpoint_id", ["a:1", "b:1", "c:1"])
def test_cache_location_is_tried_first_and_reported_stale_on_a_miss(endpoint_id: str) -> None:
    proxy = proxy_with_store()
    proxy.request("1")
    (attempt,) = forwarded_attempts(proxy.handle(api.CacheHint("1", endpoint_id)))
    assert attempt.cache == endpoint_id
    assert attempt.source is None
    actions = proxy.complete_attempt("1", 0, api.AttemptStatus.NOT_CACHED)
    assert [action for action in actions if isinstance(action, api.ReportStaleHint)] == [
        api.ReportStaleHint("1", "x.0", endpoint_id)
    ]


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.REMOVED])
def test_location_in_a_draining_or_removed_cache_is_not_tried(state: api.EndpointState) -> None:
    """Checks that a draining or removed cache gets no request, even if a store's hint names the cache."""
    proxy = proxy_with_store()
    proxy.request("1")
    proxy.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, (cache("b:1", state),)))
    (attempt,) = forwarded_attempts(proxy.handle(api.CacheHint("1", "b:1")))
    assert "b:1" not in (attempt.cache, attempt.source)


@pytest.mark.parametrize("endpoint_id", ["p:1", "origin:1", "unlisted:1"])
def test_hint_that_names_no_cache_is_ignored(endpoint_id: str) -> None:
    proxy = proxy_with_store()
    proxy.request("1")
    (attempt,) = forwarded_attempts(proxy.handle(api.CacheHint("1", endpoint_id)))
    assert attempt.cache in ("a:1", "b:1", "c:1")


def test_location_in_an_ejected_cache_is_not_tried() -> None:
    proxy = proxy_with_store()
    health.record_failure(proxy.endpoint("b:1"), proxy.now, 1.0)
    proxy.request("1")
    assert forwarded_attempts(proxy.handle(api.CacheHint("1", "b:1")))[0].cache != "b:1"


def test_fill_in_flight_is_joined() -> None:
    proxy = proxy_with_store()
    proxy.request("1")
    (attempt,) = forwarded_attempts(proxy.handle(api.CacheHint("1", "b:1", True, 200 * MS)))
    assert attempt.cache == "b:1"
    assert attempt.source not in (None, "b:1")
    assert attempt.collapse_fills


def test_fill_that_cant_be_joined_is_waited_for() -> None:
    proxy = proxy_with_store(can_collapse_fills=False)
    proxy.request("1")
    assert not forwarded_attempts(proxy.handle(api.CacheHint("1", "b:1", True, 200 * MS)))
    assert not forwarded_attempts(proxy.advance(199 * MS))
    (attempt,) = forwarded_attempts(proxy.advance(1 * MS))
    assert attempt.cache == "b:1"
    assert attempt.source is None


def test_fill_that_never_ends_delays_nobody_past_half_of_the_timeout() -> None:
    """Checks that a request waits for another proxy's fill for at most half of its remaining time.

    After that, the request proceeds as without a store.
    """
    proxy = proxy_with_store(can_collapse_fills=False)
    proxy.request("1", timeout=SECOND)
    proxy.handle(api.CacheHint("1", "b:1", True, 3600 * SECOND))
    assert forwarded_attempts(proxy.advance(500 * MS))
    assert final_responses(proxy.advance(SECOND))
    assert not proxy.router.requests.pending


def test_fill_lease_is_released_whatever_becomes_of_the_fill() -> None:
    for status in (api.AttemptStatus.OK, api.AttemptStatus.ERROR):
        proxy = proxy_with_store()
        proxy.request("1")
        proxy.handle(api.CacheHint("1"))
        proxy.complete_attempt("1", 0, api.AttemptStatus.NOT_CACHED)
        (fill,) = forwarded_attempts(proxy.handle(api.CacheHint("1")))
        actions = proxy.complete_attempt("1", 1, status, cache_status=api.CacheStatus.FILLED)
        actions += proxy.handle(api.ClientDisconnected("1"))
        (release,) = [action for action in actions if isinstance(action, api.ReleaseLease)]
        assert release.cache == (fill.cache if status is api.AttemptStatus.OK else None)


def test_invalidation_bounds_the_age_at_a_cache_location_too() -> None:
    """Checks that a hint never permits a response that is older than this proxy's own age bound.

    Here an invalidation sets that bound.
    """
    proxy = proxy_with_store()
    proxy.handle(api.Invalidation(None, 1, 100 * MS))
    proxy.request("1")
    (attempt,) = forwarded_attempts(proxy.handle(api.CacheHint("1", "b:1")))
    assert attempt.max_age is not None
    assert 0 < attempt.max_age <= 100 * MS


def test_classes_with_a_freshness_lifetime_ask_for_the_lease_at_once() -> None:
    proxy = RouterDriver(
        make_settings(make_class(freshness_lifetime=8 * SECOND), shared_store_timeout=STORE_TIMEOUT)
    )
    proxy.handle(api.StoreAvailability(True))
    (lookup,) = lookups(proxy.request("1"))
    assert lookup.source is not None


def test_outlier_reports_alone_eject_no_endpoint() -> None:
    proxy = proxy_with_store()
    for _ in range(50):
        proxy.handle(api.OutlierReported("a:1"))
    assert health.is_available(proxy.endpoint("a:1"), proxy.now)
    assert proxy.endpoint("a:1").failure_score < 1
    assert not proxy.handle(api.OutlierReported("unlisted"))
