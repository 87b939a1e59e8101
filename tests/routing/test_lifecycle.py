"""Tests of deadlines, streams, disconnects and shutdown, and of the state left after a request."""

from typing import Any

import pytest

from olivepost import interface as api
from olivepost.interface import AttemptStatus, CacheStatus
from tests.router_harness import (
    MS,
    SECOND,
    RouterDriver,
    final_responses,
    forwarded_attempts,
    make_class,
    make_settings,
)


def test_deadline_timer_responds_before_the_deadline() -> None:
    driver = RouterDriver(make_settings(can_cancel_attempts=False))
    driver.request("1", timeout=SECOND)

    assert not final_responses(driver.advance(SECOND - 3 * MS))
    assert len(final_responses(driver.advance(2 * MS))) == 1
    # An outcome after the final response is ignored.
    assert not driver.complete_attempt("1", 0, AttemptStatus.OK)
    assert not driver.advance(10 * SECOND)


def test_timeout_beyond_the_class_deadline_is_cut_to_the_deadline(driver: RouterDriver) -> None:
    driver.request("1", timeout=10**18)

    assert final_responses(driver.advance(3 * SECOND))
    assert driver.router.requests.pending == {}


def test_started_stream_has_no_deadline() -> None:
    driver = RouterDriver(make_settings(make_class(is_streaming=True)))
    driver.request("1")
    driver.handle(api.ResponseStarted("1", 0))

    assert not final_responses(driver.advance(20 * SECOND))
    lost = driver.complete_attempt("1", 0, AttemptStatus.CONNECTION_LOST, is_final=True)
    assert not forwarded_attempts(lost)


def test_disconnected_client_cancels_attempts_in_flight(driver: RouterDriver) -> None:
    driver.request("1")

    assert driver.handle(api.ClientDisconnected("1")) == [api.CancelAttempt("1", 0)]
    assert driver.handle(api.ClientDisconnected("1")) == []


def test_finished_request_leaves_no_timer(driver: RouterDriver) -> None:
    for number in range(50):
        driver.request_missed_by_cache(str(number), f"n{number}")
        driver.complete_attempt(str(number), 1, AttemptStatus.OK, cache_status=CacheStatus.FILLED)

    assert len(driver.router.timers) == 0
    assert driver.router.requests.pending == {}


def test_shutdown_responds_to_all_pending_requests_at_once() -> None:
    not_idempotent = make_class("order", idempotency=api.Idempotency.NOT_IDEMPOTENT)
    driver = RouterDriver(make_settings(make_class(), not_idempotent))
    driver.request("idempotent")
    driver.request("not idempotent", class_name="order", name="y")

    actions = driver.handle(api.Shutdown())

    responses = {response.request_id: type(response) for response in final_responses(actions)}
    assert responses == {"idempotent": api.Reject, "not idempotent": api.RejectIfUnsent}
    assert len(final_responses(actions)) == 2
    assert not final_responses(driver.advance(10 * SECOND))


@pytest.mark.parametrize(
    "changes", [{"latency_objective": 0, "latency_objective_stretch": 0.0}, {"priority_weight": 0.0}]
)
def test_class_without_objective_or_weight_is_served(changes: dict[str, Any]) -> None:
    """Guards against silence checks without a pause between them, and against a division by 0.

    A silence check looks whether an attempt has been silent for too long. Without a
    minimum pause, the checks follow each other at once if the latency objective is 0. The cost of a request
    is divided by the priority weight of its class, and this weight may be 0.
    """
    driver = RouterDriver(make_settings(make_class(**changes), transfer_rate_kb_per_s=None))

    for number in range(20):
        assert forwarded_attempts(driver.request(f"r{number}", name=f"n{number}"))

    assert all(due_at > driver.now for due_at, _ in driver.timers)
    driver.advance(SECOND)
