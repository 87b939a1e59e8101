"""Tests of the violations that the soak's oracle reports, and of the observations that it accepts."""

from __future__ import annotations

import pytest

from tests.soak.oracle import Arrival, ClientRequest, Execution, Oracle, Outcome


def completed_request(request_id: str = "a", **changes: object) -> ClientRequest:
    request = ClientRequest(
        request_id, "n", "segment", 10.0, 1.0, outcome=Outcome.COMPLETED, ended_at=10.5, status=503
    )
    for name, value in changes.items():
        setattr(request, name, value)
    return request


@pytest.mark.parametrize(
    ("client_request", "message"),
    [
        (completed_request(), ""),
        (completed_request(ended_at=11.9), "response 1.900 s after"),
        (completed_request(outcome=Outcome.PENDING), "no response"),
        (completed_request(outcome=Outcome.CLOSED), "closed without a response"),
        (completed_request(status=200, etag="m-5", body=b"m"), "served with the bytes"),
        (completed_request(status=200, etag="n-5", body=b"n"), "older than its invalidation"),
        (completed_request(status=200, etag="n-7", body=b"n"), ""),
    ],
)
def test_oracle_reports_responses_that_violate_an_invariant(
    client_request: ClientRequest, message: str
) -> None:
    oracle = Oracle("order")
    oracle.add_request(client_request)
    oracle.invalidated["n"] = [(9.0, 7)]
    found = oracle.violations()
    assert (message in found[0]) if message else not found


@pytest.mark.parametrize(
    ("arrivals", "message"),
    [
        ([Arrival("a", "c0", "c0", "n", 10.1)], ""),
        ([Arrival("x", "c0", "c0", "n", 10.1)], "no client sent it"),
        ([Arrival("a", "c0", "c0", "other", 10.1)], "no client sent it"),
        ([Arrival("a", "c0", "p0", "n", 10.9)], "was drained"),
        ([Arrival("disconnected", "c0", "c0", "n", 11.0)], "after its client disconnected"),
        (
            [Arrival("once", "c0", "c0", "n", 10.1), Arrival("once", "c1", "c1", "n", 10.2)],
            "may have been executed",
        ),
        (
            [Arrival("once", "c0", "c0", "n", 10.1, Execution.NONE), Arrival("once", "c1", "c1", "n", 10.2)],
            "",
        ),
        ([Arrival("rejected", "c0", "c0", "n", 10.1)], "rejected, but may have been executed"),
        ([Arrival("rejected", "c0", "c0", "n", 10.1, Execution.NONE)], ""),
    ],
)
def test_oracle_reports_attempts_that_violate_an_invariant(arrivals: list[Arrival], message: str) -> None:
    oracle = Oracle("order")
    oracle.add_request(completed_request())
    oracle.add_request(completed_request("disconnected", outcome=Outcome.DISCONNECTED))
    oracle.add_request(completed_request("once", class_name="order", status=502))
    oracle.add_request(completed_request("rejected", class_name="order"))
    oracle.drained_at["p0"] = 10.0
    for arrival in arrivals:
        oracle.add_arrival(arrival)
    found = oracle.violations()
    assert (message in found[0]) if message else not found


def test_oracle_reports_a_forwarded_request_only_after_an_announced_close() -> None:
    oracle = Oracle("order", load_id_prefix="load")
    oracle.add_request(completed_request(is_after_announced_close=True, outcome=Outcome.CLOSED))
    assert oracle.violations() == []
    # The load process records its requests itself, so the oracle accepts an attempt without a known request.
    oracle.add_arrival(Arrival("load1", "c0", "c0", "n", 10.1))
    assert oracle.violations() == []
    oracle.add_arrival(Arrival("a", "c0", "c0", "n", 10.1))
    (found,) = oracle.violations()
    assert "whose end was announced" in found


def test_oracle_checks_draining_for_requests_of_a_load_process_too() -> None:
    oracle = Oracle("order", load_id_prefix="load")
    oracle.drained_at["c0"] = 10.0
    oracle.add_arrival(Arrival("load1", "c0", "c0", "n", 10.9))
    (found,) = oracle.violations()
    assert "was drained" in found


def test_oracle_accepts_a_repeated_write_only_while_its_key_is_remembered() -> None:
    oracle = Oracle("order", key_window_s=0.3)
    oracle.add_request(completed_request("once", class_name="order", status=502))
    oracle.add_arrival(Arrival("once", "c0", "c0", "n", 10.1))
    oracle.add_arrival(Arrival("once", "c1", "c1", "n", 10.3))
    assert oracle.violations() == []
    oracle.add_arrival(Arrival("once", "c1", "c1", "n", 10.7))
    (found,) = oracle.violations()
    assert "may have been executed" in found


@pytest.mark.parametrize(("repeated_at", "is_reported"), [(10.3, False), (10.7, True)])
def test_oracle_counts_the_window_of_a_key_over_all_requests_of_a_client(
    repeated_at: float, is_reported: bool
) -> None:
    oracle = Oracle("order", key_window_s=0.3)
    oracle.add_request(completed_request("first", class_name="order", status=502, key="first"))
    oracle.add_request(completed_request("retry", class_name="order", status=200, key="first"))
    oracle.requests["retry"].etag = "n-7"
    oracle.requests["retry"].body = b"n"
    oracle.add_arrival(Arrival("first", "c0", "c0", "n", 10.1))
    oracle.add_arrival(Arrival("retry", "c1", "c1", "n", repeated_at))
    assert bool(oracle.violations()) == is_reported


@pytest.mark.parametrize(("ended_at", "is_reported"), [(10.3, False), (11.0, True)])
def test_oracle_accepts_the_rejection_of_a_write_whose_client_is_back_in_time(
    ended_at: float, is_reported: bool
) -> None:
    oracle = Oracle("order", key_window_s=1.2)
    oracle.add_request(completed_request("rejected", class_name="order", ended_at=ended_at))
    oracle.add_arrival(Arrival("rejected", "c0", "c0", "n", 10.1))
    assert bool(oracle.violations()) == is_reported
