"""Tests of repeated attempts and rejections: neither may lead to a second effect of a request."""

from typing import Any

import pytest

from olivepost import interface as api
from olivepost.interface import AttemptStatus
from olivepost.routing.retries import MAX_RETRY_AFTER
from olivepost.units import Duration
from tests.router_harness import (
    MS,
    ORIGIN,
    SECOND,
    RouterDriver,
    cache,
    final_responses,
    first_attempt,
    forwarded_attempts,
    make_class,
    make_settings,
    parent,
)


def test_non_idempotent_request_is_never_sent_twice_nor_rejected_once_executed() -> None:
    driver = RouterDriver(make_settings(make_class(idempotency=api.Idempotency.NOT_IDEMPOTENT)))

    driver.request("1")
    assert final_responses(driver.complete_attempt("1", 0, AttemptStatus.CONNECTION_LOST)) == [api.Fail("1")]

    driver.request("2")
    not_executed = driver.complete_attempt("2", 0, AttemptStatus.CONNECT_FAILED)
    assert forwarded_attempts(not_executed)

    driver.request("3")
    # The silent attempt may have been executed, so this non-idempotent request is not retried.
    assert not forwarded_attempts(driver.advance(2 * SECOND))


def test_request_with_key_stays_in_its_deduplication_scope_and_window() -> None:
    request_class = make_class(
        idempotency=api.Idempotency.WITH_KEY, deduplication_scope=api.DeduplicationScope.CELL
    )
    endpoints = (cache("a:1", cell=1), cache("b:1", cell=2), cache("c:1", cell=1), parent("p:1"), ORIGIN)
    driver = RouterDriver(make_settings(request_class), endpoints)
    cells = {metadata.id: metadata.cell for metadata in endpoints}

    for number in range(20):
        first = first_attempt(driver.request(str(number), f"n{number}"))
        actions = driver.complete_attempt(str(number), 0, AttemptStatus.ERROR)
        for attempt in forwarded_attempts(actions):
            assert cells[attempt.cache] == cells[first.cache]
        assert not any(isinstance(action, api.Reject) for action in actions)
        driver.handle(api.ClientDisconnected(str(number)))


@pytest.mark.parametrize("zone", ["west", ""], ids=["zones", "no zones"])
@pytest.mark.parametrize(("other_cell", "is_retried"), [(0, False), (3, True)])
def test_deduplication_scope_is_that_of_a_cache_that_has_left_the_list(
    zone: str, other_cell: int, is_retried: bool
) -> None:
    """Guards against a second effect in another cell, after the cache of the first attempt was removed."""
    request_class = make_class(
        idempotency=api.Idempotency.WITH_KEY, deduplication_scope=api.DeduplicationScope.CELL
    )
    driver = RouterDriver(make_settings(request_class, zone=zone), (cache("a:1", zone=zone, cell=3),))
    assert first_attempt(driver.request("r")).cache == "a:1"
    changes = (
        cache("a:1", state=api.EndpointState.REMOVED, zone=zone, cell=3),
        cache("b:1", zone=zone, cell=other_cell),
    )
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, changes))

    actions = driver.complete_attempt("r", 0, AttemptStatus.CONNECTION_LOST)

    assert bool(forwarded_attempts(actions)) == is_retried


def test_retry_must_start_within_its_idempotency_window() -> None:
    """Guards against a retry that starts too late because it has waited for its connection.

    The idempotency window keeps running during this wait.
    """
    request_class = make_class(idempotency=api.Idempotency.WITH_KEY, idempotency_window=SECOND)
    driver = RouterDriver(make_settings(request_class))
    (first,) = forwarded_attempts(driver.request("r"))
    assert first.start_before is None
    sent_at = driver.now
    driver.advance(100 * MS)

    (retry,) = forwarded_attempts(driver.complete_attempt("r", 0, AttemptStatus.CONNECTION_LOST))

    assert retry.start_before == sent_at + SECOND - driver.router.settings.deadline_margin


def driver_with_key(window: Duration, **changes: Any) -> RouterDriver:
    """Returns a driver for requests with a key. All caches drop repeats, and clients wait 3 s in all."""
    request_class = make_class(
        idempotency=api.Idempotency.WITH_KEY, idempotency_window=window, deadline=3 * SECOND
    )
    return RouterDriver(make_settings(request_class, **changes))


LAST_RETURN_IN_TIME = 2 * SECOND - MAX_RETRY_AFTER - 2 * MS  # the margin of the deadline is 2 ms


@pytest.mark.parametrize(
    ("window", "elapsed", "response"),
    [
        (2 * SECOND, 100 * MS, api.Reject),
        (2 * SECOND, LAST_RETURN_IN_TIME, api.Reject),
        (2 * SECOND, LAST_RETURN_IN_TIME + 1, api.Fail),
        (2 * SECOND, 2_500 * MS, api.Fail),
        (3 * SECOND - 1, 2_500 * MS, api.Fail),
        (3 * SECOND, 2_500 * MS, api.Reject),
        (5 * SECOND, 2_500 * MS, api.Reject),
    ],
)
@pytest.mark.parametrize("end", ["shutdown", "lost connection"])
def test_possibly_executed_request_with_key_is_rejected_only_if_its_window_outlasts_the_return(
    window: Duration, elapsed: Duration, response: type[api.Action], end: str
) -> None:
    """Guards against a rejection after which the client's repeat is executed, since its key is forgotten."""
    driver = driver_with_key(window, max_attempts=1)
    assert forwarded_attempts(driver.request("r"))
    driver.advance(elapsed)

    if end == "shutdown":
        actions = driver.handle(api.Shutdown())
    else:
        actions = driver.complete_attempt("r", 0, AttemptStatus.CONNECTION_LOST)

    if response is api.Fail and end == "shutdown":
        response = api.RejectIfUnsent  # the attempt is in flight, and its endpoint may not have it yet
    assert [type(action) for action in final_responses(actions)] == [response]


@pytest.mark.parametrize(("window", "response"), [(3 * SECOND - 1, api.Fail), (3 * SECOND, api.Reject)])
def test_window_must_outlast_the_client_if_clients_do_not_mark_their_retries(
    window: Duration, response: type[api.Action]
) -> None:
    """Guards against a second effect: a retry without a mark is forwarded however late it comes."""
    driver = driver_with_key(window, max_attempts=1, marks_client_retries=False)
    driver.request("r")

    actions = driver.complete_attempt("r", 0, AttemptStatus.CONNECTION_LOST)

    assert [type(action) for action in final_responses(actions)] == [response]


def test_request_with_key_is_rejected_if_no_attempt_can_have_been_executed() -> None:
    driver = driver_with_key(2 * SECOND, max_attempts=2)
    driver.request("r")
    driver.advance(SECOND)
    assert forwarded_attempts(driver.complete_attempt("r", 0, AttemptStatus.REJECTED))

    actions = driver.complete_attempt("r", 1, AttemptStatus.CONNECT_FAILED)

    assert [type(action) for action in final_responses(actions)] == [api.Reject]


def test_window_of_a_key_begins_with_the_first_attempt_that_may_have_been_executed() -> None:
    """Guards against a failure although a rejection is harmless: the key is remembered until 3.1 s."""
    driver = driver_with_key(2 * SECOND, max_attempts=2)
    driver.request("r")
    driver.advance(1_100 * MS)
    driver.complete_attempt("r", 0, AttemptStatus.CONNECT_FAILED)
    driver.advance(SECOND)

    actions = driver.complete_attempt("r", 1, AttemptStatus.CONNECTION_LOST)

    assert [type(action) for action in final_responses(actions)] == [api.Reject]


def test_non_idempotent_request_in_flight_is_rejected_only_if_unsent() -> None:
    """Guards against a failure for a request that has only waited for its connection."""
    driver = RouterDriver(make_settings(make_class(idempotency=api.Idempotency.NOT_IDEMPOTENT)))
    driver.request("r")

    actions = driver.advance(3 * SECOND)

    assert [type(action) for action in final_responses(actions)] == [api.RejectIfUnsent]
    assert api.CancelAttempt("r", 0) in actions


def test_retry_of_a_client_is_not_retried_after_the_window_of_the_first_try() -> None:
    """Guards against a second effect: the client's first try was executed 0.5 s before its retry arrived."""
    driver = driver_with_key(2 * SECOND)
    driver.request("retry", timeout=2_500 * MS, is_client_retry=True)
    driver.advance(1_400 * MS)
    (retry,) = forwarded_attempts(driver.complete_attempt("retry", 0, AttemptStatus.CONNECTION_LOST))
    margin = driver.router.settings.deadline_margin
    assert retry.start_before == driver.now + 100 * MS - margin
    driver.advance(100 * MS)

    actions = driver.complete_attempt("retry", 1, AttemptStatus.CONNECTION_LOST)

    assert final_responses(actions) == [api.Fail("retry")]


@pytest.mark.parametrize(("window", "response"), [(3 * SECOND - 1, api.Fail), (3 * SECOND, api.Reject)])
def test_retry_of_a_client_is_rejected_only_if_the_key_of_the_first_try_outlasts_the_client(
    window: Duration, response: type[api.Action]
) -> None:
    """Guards against a rejection after which the client's third try may come when the key is forgotten."""
    driver = driver_with_key(window, max_attempts=2)
    driver.request("retry", timeout=2_500 * MS, is_client_retry=True)
    driver.advance(2 * SECOND)
    driver.complete_attempt("retry", 0, AttemptStatus.CONNECT_FAILED)

    actions = driver.complete_attempt("retry", 1, AttemptStatus.CONNECTION_LOST)

    assert [type(action) for action in final_responses(actions)] == [response]


def test_retry_of_a_client_that_no_endpoint_has_got_is_rejected() -> None:
    driver = driver_with_key(2 * SECOND, max_attempts=1)
    driver.request("retry", timeout=2 * SECOND, is_client_retry=True)

    actions = driver.complete_attempt("retry", 0, AttemptStatus.REJECTED)

    assert [type(action) for action in final_responses(actions)] == [api.Reject]


@pytest.mark.parametrize(("timeout", "is_forwarded"), [(1_003 * MS, True), (1_002 * MS, False)])
def test_retry_of_a_client_is_forwarded_only_while_the_key_of_the_first_try_is_remembered(
    timeout: Duration, is_forwarded: bool
) -> None:
    """Guards against a second effect of a retry that comes after the window of an executed first try."""
    driver = driver_with_key(2 * SECOND)

    actions = driver.request("retry", timeout=timeout, is_client_retry=True)

    assert [attempt.start_before for attempt in forwarded_attempts(actions)] == [
        driver.now + MS
    ] * is_forwarded
    assert [type(action) for action in final_responses(actions)] == [api.Reject] * (not is_forwarded)
