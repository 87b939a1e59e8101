"""Tests of the simulator's wire format: parsed messages, written actions and rejected malformed input."""

import io
import json
import os
import subprocess
import sys
from collections.abc import Mapping
from typing import NamedTuple

import pytest

from olivepost import interface as api
from olivepost.config import read_settings
from olivepost.simulator_adapter import codec
from olivepost.simulator_adapter.host import run

SETTINGS = {
    "classes": [
        {"name": "image", "aim": 300000000, "aim-stretch": 2, "deadline": 3000000000, "effect": "read_like"},
        {
            "name": "order",
            "aim": 300000000,
            "deadline": 3000000000,
            "effect": "idempotency_key",
            "group": "zone",
            "window": 5000000000,
        },
    ],
    "zone": "west",
    "failure-domains": ["hub", "west"],
    "siblings": 3,
    "kinds": ["standard", "parent", "origin"],
    "family-info": {
        "parent-kind": 1,
        "store-kind": 2,
        "zone-balancers": [0, 2],
        "can-join": True,
        "max-age": [8, 0],
        "usable-after": [30, 0],
        "pace-kb-per-s": 1000.0,
        "tells": "hit",
    },
    "contract": {"cold-from": 0.2, "fall": 2000000000, "fall-multiple": 2.0, "warm-within": 9000000000},
    "limits": {"attempts-cap": 6, "cancel": True, "retry-after": True, "max-retry-after": 1000000000},
    "tick": 2000000,
    "a-key-of-tomorrow": {"x": 1},
}
START = {"kind": "Spawn", "front": 1, "entropy": 5, "info": SETTINGS}
ENDPOINT_LIST = {
    "kind": "Registry",
    "front": 1,
    "scope": "disk",
    "version": 1,
    "members": [
        {"cache": "10.0.0.1:1", "condition": "in_service", "family-type": "standard", "area": "west"},
        {"cache": "10.0.0.2:1", "condition": "in_service", "family-type": "parent", "area": "hub"},
        {"cache": "10.0.0.3:1", "condition": "in_service", "family-type": "origin", "area": "hub"},
    ],
}
REQUEST = {
    "kind": "Query",
    "front": 1,
    "ticket": "c:1",
    "grade": "image",
    "resource": "ab",
    "ttl": 240000000,
    "bytes-k": 64,
    "batch-id": 3,
    "slice": 2,
    "unheard-of": True,
}


class AdapterRun(NamedTuple):
    """The exit code, replies and error output of one run of the adapter."""

    exit_code: int
    replies: list[dict[str, object]]
    errors: str


def encode_batches(*batches: list[dict[str, object]]) -> bytes:
    """Encodes each batch of messages as one line of the adapter's input; `turn` numbers the lines from 1."""
    lines = [{"ts": 10**12 + turn, "turn": turn, "input": batch} for turn, batch in enumerate(batches, 1)]
    return b"".join(json.dumps(line).encode() + b"\n" for line in lines)


def run_adapter(data: bytes) -> AdapterRun:
    """Runs the adapter in this process with `data` as its input."""
    sink = io.BytesIO()
    errors = io.StringIO()
    exit_code = run(io.BytesIO(data), sink, errors)
    replies = [json.loads(line) for line in sink.getvalue().splitlines()]
    return AdapterRun(exit_code, replies, errors.getvalue())


def read_event(message: Mapping[str, object]) -> api.Event | None:
    """Reads a message for a router with `SETTINGS`; returns None if the message is no event for it."""
    return codec.read_event(codec.read_message({"front": 1, **message}), read_settings(SETTINGS))


def test_request_is_forwarded_and_its_outcome_is_accepted() -> None:
    outcome = {
        "kind": "Returned",
        "front": 1,
        "ticket": "c:1",
        "attempt": 0,
        "cache": "10.0.0.1:1",
        "rc": "OK",
        "took": 5,
        "no-more": True,
        "remark": 1,
    }
    stop: dict[str, object] = {"kind": "Halt", "front": 1}

    result = run_adapter(encode_batches([], [START, ENDPOINT_LIST, REQUEST], [outcome], [stop]))

    assert (result.exit_code, result.errors) == (0, "")
    assert [reply["turn"] for reply in result.replies] == [1, 2, 3, 4]
    output = result.replies[1]["output"]
    assert isinstance(output, list)
    attempt = next(action for action in output if action["kind"] == "AnswerFrom")
    assert attempt["cache"] == "10.0.0.1:1"
    assert attempt["feeder"] == "10.0.0.2:1"
    assert attempt["timeout"] == 240000000
    assert attempt["oldness"] == 8
    assert attempt["mode"] == codec.MODE_COLLAPSE_FILLS | codec.MODE_REFRESH == 9
    assert result.replies[2]["output"] == []


def test_settings_are_read_from_the_platforms_keys() -> None:
    settings = read_settings(SETTINGS)
    assert settings.parent_kind == "parent"
    assert settings.origin_kind == "origin"
    assert settings.caches.proxies == 2
    assert settings.parents.proxies == 3
    assert settings.classes["order"].idempotency is api.Idempotency.WITH_KEY
    assert settings.classes["order"].deduplication_scope is api.DeduplicationScope.ZONE
    assert settings.classes["image"].stale_grace == 30
    assert settings.caches.slow_start_initial_share == 0.2


@pytest.mark.parametrize(("code", "status"), codec.ATTEMPT_STATUSES.items())
def test_every_attempt_status_is_read(code: str, status: api.AttemptStatus) -> None:
    message = {"kind": "Returned", "ticket": "c:1", "attempt": 1, "rc": code, "took": 9, "remark": 99}
    assert read_event(message) == api.AttemptOutcome("c:1", 1, status, 9)


@pytest.mark.parametrize(
    ("message", "event"),
    [
        ({"kind": "Ring", "ref": 7}, api.TimerFired(7)),
        ({"kind": "Headers", "ticket": "a", "attempt": 1}, api.ResponseStarted("a", 1)),
        ({"kind": "ClientGone", "ticket": "a"}, api.ClientDisconnected("a")),
        ({"kind": "ProbeDone", "cache": "x", "rc": "OK"}, None),
        ({"kind": "Message", "text": "x"}, None),
        ({"kind": "Invalidated", "family-id": 0, "oldness": 5}, api.Invalidation(None, 0, 5)),
        (
            {"kind": "Registry", "scope": "error", "version": 3},
            api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()),
        ),
    ],
)
def test_other_events_are_read(message: dict[str, object], event: api.Event | None) -> None:
    assert read_event(message) == event


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (api.CancelAttempt("a", 1), {"front": 2, "kind": "StopAttempt", "ticket": "a", "attempt": 1}),
        (api.Reject("a", 5), {"front": 2, "kind": "Decline", "ticket": "a", "wait": 5}),
        (api.Fail("a"), {"front": 2, "kind": "ReportFailure", "ticket": "a"}),
        (api.RejectIfUnsent("a", 5), {"front": 2, "kind": "ReportFailure", "ticket": "a"}),
        (api.SetTimer(5, 9), {"front": 2, "kind": "Timer", "delay": 5, "ref": 9}),
        (api.Subscribe(), {"front": 2, "kind": "Watch", "want": True}),
    ],
)
def test_actions_are_written(action: api.Action, expected: dict[str, object]) -> None:
    assert codec.write_action(2, action) == expected


@pytest.mark.parametrize(
    ("source", "max_age", "expected_source", "expected_age"),
    [(None, None, "cache-1", 0), ("parent-1", 9, "parent-1", 9)],
)
def test_what_is_not_set_in_an_attempt_is_written_as_the_wire_has_it(
    source: str | None, max_age: int | None, expected_source: str, expected_age: int
) -> None:
    attempt = api.ForwardAttempt("a", "cache-1", source, 2, timeout=5, max_age=max_age)

    assert codec.write_action(2, attempt) == {
        "front": 2,
        "kind": "AnswerFrom",
        "ticket": "a",
        "cache": "cache-1",
        "feeder": expected_source,
        "admit": 2,
        "timeout": 5,
        "oldness": expected_age,
        "mode": 0,
    }


def test_retry_of_a_client_is_marked_as_such() -> None:
    first = read_event(REQUEST)
    retry = read_event({**REQUEST, "again-by-client": True})

    assert isinstance(first, api.Request)
    assert isinstance(retry, api.Request)
    assert (first.is_client_retry, retry.is_client_retry) == (False, True)


def test_what_the_wire_has_as_not_set_is_read_as_none() -> None:
    request = read_event({**REQUEST, "bytes-k": 0})
    update = read_event({**ENDPOINT_LIST, "members": [{"cache": "c", "up-since": 0}]})

    assert isinstance(request, api.Request)
    assert request.size_kb is None
    assert isinstance(update, api.EndpointUpdate)
    assert update.endpoints[0].started_at is None


def test_rejection_without_retry_after_is_written_with_a_wait_of_zero() -> None:
    expected = {"front": 2, "kind": "Decline", "ticket": "a", "wait": 0}
    assert codec.write_action(2, api.Reject("a")) == expected


def changed(message: dict[str, object], **changes: object) -> dict[str, object]:
    """Returns a copy of a message with changed fields; a field with the value `...` is omitted."""
    return {key: value for key, value in {**message, **changes}.items() if value is not ...}


@pytest.mark.parametrize(
    "data",
    [
        b"not json\n",
        b"[]\n",
        b'{"ts":1,"input":[]}\n',
        b'{"ts":1,"turn":1}\n',
        b'{"ts":1,"turn":1,"input":null}\n',
        b'{"ts":true,"turn":1,"input":[]}\n',
        b'{"ts":1,"turn":1,"input":[3]}\n',
        encode_batches([REQUEST]),
        encode_batches([START, changed(REQUEST, ttl=...)]),
        encode_batches([START, changed(REQUEST, grade="nobody")]),
        encode_batches([START, changed(REQUEST, ttl="soon")]),
        encode_batches([START, changed(REQUEST, ttl=float("inf"))]),
        encode_batches([START, changed(REQUEST, ttl=float("nan"))]),
        encode_batches([START, changed(REQUEST, **{"bytes-k": float("inf")})]),
        encode_batches([START, changed(REQUEST, **{"bytes-k": float("nan")})]),
        encode_batches([START, changed(REQUEST, **{"bytes-k": 10**400})]),
        encode_batches([START, changed(REQUEST, kind="Riddle")]),
        encode_batches([START, changed(REQUEST, kind="two\nlines")]),
        encode_batches([changed(START, info=...)]),
        encode_batches([START, {"kind": "Returned", "front": 1, "ticket": "x", "rc": "SHRUG", "took": 1}]),
        encode_batches([START, {"kind": "Halt", "front": 1}, REQUEST]),
    ],
)
def test_malformed_input_ends_with_one_line_of_error(data: bytes) -> None:
    result = run_adapter(data)

    assert result.exit_code == 2
    assert result.errors.startswith("olivepost.simulator_adapter: line ")
    assert result.errors.count("\n") == 1


def test_stopped_router_can_start_again_in_the_same_batch() -> None:
    stop: dict[str, object] = {"kind": "Halt", "front": 1}

    result = run_adapter(encode_batches([START, ENDPOINT_LIST, REQUEST, stop, START, ENDPOINT_LIST, REQUEST]))

    assert result.exit_code == 0
    assert len(result.replies) == 1


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    requests = [changed(REQUEST, ticket=f"c:{number}", resource=f"k{number % 9}") for number in range(80)]
    error: dict[str, object] = {"kind": "Returned", "front": 1, "attempt": 0, "rc": "INTERNAL", "took": 5}
    outcomes = [{**error, "ticket": f"c:{number}"} for number in range(0, 80, 3)]
    data = encode_batches([START, ENDPOINT_LIST], requests, outcomes)

    outputs = [
        subprocess.run(
            [sys.executable, "-m", "olivepost.simulator_adapter"],
            input=data,
            capture_output=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("0", "1", "4242")
    ]

    assert outputs[0] == outputs[1] == outputs[2]
    assert outputs[0].count(b"\n") == 3
