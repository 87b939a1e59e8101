"""Tests of ejection after failures and silences, of half-open trials, and of the attribution of errors.

An error is attributed to an endpoint or to the request itself.
"""

from olivepost import interface as api
from olivepost.interface import AttemptStatus, CacheStatus
from olivepost.routing import health, outcomes
from olivepost.routing.retries import MAX_RETRIES
from tests.router_harness import (
    MS,
    SECOND,
    RouterDriver,
    cache,
    final_responses,
    first_attempt,
    forwarded_attempts,
    make_settings,
)

# Ejection


def test_failing_cache_is_ejected_then_gets_one_trial(driver: RouterDriver) -> None:
    home = first_attempt(driver.request("0")).cache
    assert first_attempt(driver.complete_attempt("0", 0, AttemptStatus.ERROR)).cache != home
    driver.complete_attempt("0", 1, AttemptStatus.OK, cache_status=CacheStatus.HIT)
    assert first_attempt(driver.request("1")).cache == home
    driver.complete_attempt("1", 0, AttemptStatus.ERROR)
    driver.complete_attempt("1", 1, AttemptStatus.OK, cache_status=CacheStatus.HIT)

    assert first_attempt(driver.request("2")).cache != home  # the home cache is ejected
    driver.handle(api.ClientDisconnected("2"))
    driver.advance(1100 * MS)

    assert first_attempt(driver.request("3")).cache == home  # an ejected cache gets one half-open trial
    assert first_attempt(driver.request("4")).cache != home
    driver.complete_attempt("3", 0, AttemptStatus.OK, cache_status=CacheStatus.HIT)
    assert first_attempt(driver.request("5")).cache == home


def test_trial_without_a_result_allows_the_next(driver: RouterDriver) -> None:
    home = first_attempt(driver.request("0")).cache
    health.record_failure(driver.endpoint(home), driver.now, 1.0)
    driver.handle(api.ClientDisconnected("0"))
    driver.advance(1100 * MS)

    assert first_attempt(driver.request("1")).cache == home
    driver.handle(api.ClientDisconnected("1"))
    assert first_attempt(driver.request("2")).cache == home


def test_attempts_older_than_an_ejection_do_not_lengthen_it(driver: RouterDriver) -> None:
    home = first_attempt(driver.request("0", "x")).cache
    for request_id in "12345":
        driver.request(request_id, "x")

    for request_id in "012345":
        driver.complete_attempt(request_id, 0, AttemptStatus.CONNECTION_LOST)

    assert driver.endpoint(home).ejected_until == driver.now + SECOND


def test_one_connections_end_is_one_failure(driver: RouterDriver) -> None:
    """Guards against counting each attempt on a reset connection as a separate failure.

    Such a count ejected healthy endpoints and used up the retry budget.
    """
    homes = {
        request_id: first_attempt(driver.request(request_id, "x")).cache for request_id in map(str, range(6))
    }
    (home,) = set(homes.values())
    balance = driver.state.retry_balance

    for request_id in homes:
        retry = driver.complete_attempt(
            request_id, 0, AttemptStatus.CONNECTION_LOST, is_repeated_loss=request_id != "0"
        )
        assert first_attempt(retry).cache != home  # every attempt is retried on another cache

    endpoint = driver.endpoint(home)
    assert (endpoint.failure_score, endpoint.ejected_until) == (0.5, None)
    assert driver.state.retry_balance == balance - 1


def test_restarted_endpoint_starts_with_fresh_health(driver: RouterDriver) -> None:
    home = first_attempt(driver.request("0")).cache
    for number in range(2):
        driver.request(f"f{number}")
        pending = driver.router.requests.pending[f"f{number}"]
        outcomes.record_failure(driver.state, driver.now, pending, home, 1.0)
    assert not health.is_available(driver.endpoint(home), driver.now)

    restarted = (cache(home, started_at=driver.now),)
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, restarted))

    assert health.is_available(driver.endpoint(home), driver.now)


# Silence


def test_attempt_at_an_unresponsive_cache_is_abandoned_before_the_deadline(driver: RouterDriver) -> None:
    home = first_attempt(driver.request("1")).cache

    actions = driver.advance(SECOND)

    assert api.CancelAttempt("1", 0) in actions
    assert first_attempt(actions).cache != home


def test_slow_response_of_an_endpoint_that_serves_others_is_waited_for(driver: RouterDriver) -> None:
    home = first_attempt(driver.request("1")).cache
    driver.advance(MS)
    health.record_success(driver.endpoint(home), driver.now)
    other = first_attempt(driver.request("2"))
    health.record_success(driver.endpoint(other.source or other.cache), driver.now)

    assert api.CancelAttempt("1", 0) not in driver.advance(500 * MS)


def test_one_silence_is_waited_for_where_many_good_responses_take_as_long() -> None:
    """Guards against taking one slow fill for the silence of a cache that has failed.

    Proxies with few requests ejected caches because the caches' fills were slow.
    """
    fast = RouterDriver(make_settings())
    slow = RouterDriver(make_settings())
    fast.state.slow_share.value = 0.02
    slow.state.slow_share.value = 0.5

    for driver in (fast, slow):
        driver.request("1")
        driver.advance(500 * MS)

    assert not fast.router.requests.pending["1"].in_flight.get(0)
    assert slow.router.requests.pending["1"].in_flight.get(0)


# Attribution


def test_rejected_fill_is_attributed_to_the_source_where_causes_are_reported() -> None:
    driver = RouterDriver(make_settings(reports_failure_causes=True))
    first = first_attempt(driver.request_missed_by_cache("1"))

    retry = first_attempt(
        driver.complete_attempt("1", 1, AttemptStatus.REJECTED, cache_status=CacheStatus.SOURCE_DISCONNECTED)
    )

    assert retry.cache == first.cache
    assert retry.source != first.source


def test_error_of_a_cache_that_has_responded_is_attributed_to_its_source(driver: RouterDriver) -> None:
    """Guards against attributing an interrupted fill to the cache.

    In incident ic4de60, healthy caches were ejected because their fills were interrupted after some seconds.
    """
    first = first_attempt(driver.request_missed_by_cache("1"))

    retry = first_attempt(driver.complete_attempt("1", 1, AttemptStatus.ERROR))

    assert retry.cache == first.cache
    assert retry.source != first.source


def test_errors_of_two_endpoints_are_attributed_to_the_request(driver: RouterDriver) -> None:
    """Guards against attributing errors to endpoints if the request causes them.

    Errors of requests for objects that don't exist led to the ejection of healthy caches and used up the
    retry budget.
    """
    for number in range(40):
        request_id = str(number)
        first = first_attempt(driver.request(request_id, f"odd{number}"))
        actions = driver.complete_attempt(request_id, 0, AttemptStatus.ERROR)
        if forwarded_attempts(actions):
            caches = {first.cache, first_attempt(actions).cache}
            assert len(caches) == 2
            actions = driver.complete_attempt(request_id, 1, AttemptStatus.ERROR)
        assert isinstance(final_responses(actions)[0], api.Reject)  # no further attempt is made

    assert not any(endpoint.ejected_until for endpoint in driver.state.endpoints.by_id.values())
    assert driver.state.retry_balance == MAX_RETRIES


def test_new_name_gets_no_second_attempt_while_most_errors_are_the_requests_own(driver: RouterDriver) -> None:
    attempts = 0
    for number in range(300):
        attempts += len(forwarded_attempts(driver.request(str(number), f"odd{number}")))
        if forwarded_attempts(driver.complete_attempt(str(number), 0, AttemptStatus.ERROR)):
            attempts += 1
            driver.complete_attempt(str(number), 1, AttemptStatus.ERROR)
    assert attempts < 300 + 60

    driver.state.request_fault_share.value = 1.0
    driver.request("first", "known")
    driver.complete_attempt("first", 0, AttemptStatus.OK, cache_status=CacheStatus.HIT)
    # A request for a name that a cache has served is retried, even if requests themselves caused all recent
    # errors.
    driver.request("second", "known")
    assert forwarded_attempts(driver.complete_attempt("second", 0, AttemptStatus.ERROR))


def test_error_that_a_second_endpoint_does_not_repeat_is_attributed_to_the_first(
    driver: RouterDriver,
) -> None:
    home = first_attempt(driver.request("1")).cache

    driver.complete_attempt("1", 0, AttemptStatus.ERROR)
    assert driver.endpoint(home).failure_score == 0

    driver.complete_attempt("1", 1, AttemptStatus.OK, cache_status=CacheStatus.HIT)
    assert driver.endpoint(home).failure_score == 0.5
