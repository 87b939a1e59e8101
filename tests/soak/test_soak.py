"""A few short soaks, and the oracle itself; `python -m tests.soak.run SEED...` plays more by hand."""

from __future__ import annotations

import random

import pytest

from tests.soak.oracle import Arrival, ClientRequest, Execution, Oracle, Outcome
from tests.soak.run import SoakOptions, play

SEEDS = (3, 21, 38, 43)


@pytest.mark.parametrize("seed", SEEDS)
def test_rules_are_kept_among_faults(seed: int) -> None:
    found = play(seed)
    assert not found, "\n".join([f"play it alone: python -m tests.soak.run {seed}", *found[:8]])


def test_seeds_of_the_suite_cover_limits_and_failing_calls() -> None:
    options = [SoakOptions.draw(random.Random(seed)) for seed in SEEDS]
    assert {option.memory_mb for option in options} >= {32, 48, 96}
    assert any(option.failing_calls > 0.05 for option in options)
    assert any(option.clock_s or option.step_s for option in options)
    assert any(option.has_crowd for option in options)


def answered(id_: str = "a", **changes: object) -> ClientRequest:
    request = ClientRequest(
        id_, "n", "segment", 10.0, 1.0, outcome=Outcome.ANSWERED, ended_at=10.5, status=503
    )
    for name, value in changes.items():
        setattr(request, name, value)
    return request


@pytest.mark.parametrize(
    ("request_", "words"),
    [
        (answered(), ""),
        (answered(ended_at=11.9), "answered 1.900 s after"),
        (answered(outcome=Outcome.PENDING), "never answered"),
        (answered(outcome=Outcome.CLOSED), "closed unanswered"),
        (answered(status=200, etag="m-5", body=b"m"), "served with the bytes"),
        (answered(status=200, etag="n-5", body=b"n"), "older than its invalidation"),
        (answered(status=200, etag="n-7", body=b"n"), ""),
    ],
)
def test_oracle_sees_what_clients_must_not_see(request_: ClientRequest, words: str) -> None:
    oracle = Oracle("order")
    oracle.add_request(request_)
    oracle.invalidated["n"] = [(9.0, 7)]
    found = oracle.violations()
    assert (words in found[0]) if words else not found


@pytest.mark.parametrize(
    ("arrivals", "words"),
    [
        ([Arrival("a", "c0", "c0", "n", 10.1)], ""),
        ([Arrival("x", "c0", "c0", "n", 10.1)], "no client sent it"),
        ([Arrival("a", "c0", "c0", "other", 10.1)], "no client sent it"),
        ([Arrival("a", "c0", "p0", "n", 10.9)], "was drained"),
        ([Arrival("left", "c0", "c0", "n", 11.0)], "after its client left"),
        ([Arrival("once", "c0", "c0", "n", 10.1), Arrival("once", "c1", "c1", "n", 10.2)], "may have run"),
        (
            [Arrival("once", "c0", "c0", "n", 10.1, Execution.NONE), Arrival("once", "c1", "c1", "n", 10.2)],
            "",
        ),
    ],
)
def test_oracle_sees_what_endpoints_must_not_see(arrivals: list[Arrival], words: str) -> None:
    oracle = Oracle("order")
    oracle.add_request(answered())
    oracle.add_request(answered("left", outcome=Outcome.LEFT))
    oracle.add_request(answered("once", class_name="order"))
    oracle.drained_at["p0"] = 10.0
    for arrival in arrivals:
        oracle.add_arrival(arrival)
    found = oracle.violations()
    assert (words in found[0]) if words else not found
