"""The simulator's wire: messages parsed, actions written, malformed input rejected."""

import io
import json
import os
import subprocess
import sys
from collections.abc import Mapping

import pytest

from olivepost import interface as api
from olivepost.config import read_settings
from olivepost.simulator_adapter import codec
from olivepost.simulator_adapter.host import run

INFO = {
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
SPAWN = {"kind": "Spawn", "front": 1, "entropy": 5, "info": INFO}
MEMBERS = {
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
QUERY = {
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


def lines(*batches: list[dict[str, object]]) -> bytes:
    made = [{"ts": 10**12 + n, "turn": n, "input": batch} for n, batch in enumerate(batches, 1)]
    return b"".join(json.dumps(line).encode() + b"\n" for line in made)


def play(data: bytes) -> tuple[int, list[dict[str, object]], str]:
    sink, errors = io.BytesIO(), io.StringIO()
    code = run(io.BytesIO(data), sink, errors)
    return code, [json.loads(line) for line in sink.getvalue().splitlines()], errors.getvalue()


def read_event(message: Mapping[str, object]) -> api.Event | None:
    return codec.read_event(codec.read_message({"front": 1, **message}), read_settings(INFO))


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
    code, replies, errors = play(lines([], [SPAWN, MEMBERS, QUERY], [outcome], [stop]))
    assert (code, errors) == (0, "")
    assert [reply["turn"] for reply in replies] == [1, 2, 3, 4]
    output = replies[1]["output"]
    assert isinstance(output, list)
    attempt = next(action for action in output if action["kind"] == "AnswerFrom")
    assert attempt["cache"] == "10.0.0.1:1"
    assert attempt["feeder"] == "10.0.0.2:1"
    assert attempt["timeout"] == 240000000
    assert attempt["oldness"] == 8
    assert attempt["mode"] == codec.MODE_COLLAPSE_FILLS | codec.MODE_REFRESH == 9
    assert replies[2]["output"] == []


def test_settings_are_read_from_the_platforms_keys() -> None:
    settings = read_settings(INFO)
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
        (api.SetTimer(5, 9), {"front": 2, "kind": "Timer", "delay": 5, "ref": 9}),
        (api.Subscribe(), {"front": 2, "kind": "Watch", "want": True}),
    ],
)
def test_actions_are_written(action: api.Action, expected: dict[str, object]) -> None:
    assert codec.write_action(2, action) == expected


def changed(message: dict[str, object], **changes: object) -> dict[str, object]:
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
        lines([QUERY]),
        lines([SPAWN, changed(QUERY, ttl=...)]),
        lines([SPAWN, changed(QUERY, grade="nobody")]),
        lines([SPAWN, changed(QUERY, ttl="soon")]),
        lines([SPAWN, changed(QUERY, kind="Riddle")]),
        lines([SPAWN, changed(QUERY, kind="two\nlines")]),
        lines([changed(SPAWN, info=...)]),
        lines([SPAWN, {"kind": "Returned", "front": 1, "ticket": "x", "rc": "SHRUG", "took": 1}]),
        lines([SPAWN, {"kind": "Halt", "front": 1}, QUERY]),
    ],
)
def test_malformed_input_ends_with_one_line_of_error(data: bytes) -> None:
    code, _, errors = play(data)
    assert code == 2
    assert errors.startswith("olivepost.simulator_adapter: line ")
    assert errors.count("\n") == 1


def test_stopped_router_can_start_again_in_the_same_batch() -> None:
    stop: dict[str, object] = {"kind": "Halt", "front": 1}
    code, replies, _ = play(lines([SPAWN, MEMBERS, QUERY, stop, SPAWN, MEMBERS, QUERY]))
    assert code == 0
    assert len(replies) == 1


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    queries = [changed(QUERY, ticket=f"c:{n}", resource=f"k{n % 9}") for n in range(80)]
    error: dict[str, object] = {"kind": "Returned", "front": 1, "attempt": 0, "rc": "INTERNAL", "took": 5}
    outcomes = [{**error, "ticket": f"c:{n}"} for n in range(0, 80, 3)]
    data = lines([SPAWN, MEMBERS], queries, outcomes)
    runs = [
        subprocess.run(
            [sys.executable, "-m", "olivepost.simulator_adapter"],
            input=data,
            capture_output=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("0", "1", "4242")
    ]
    assert runs[0] == runs[1] == runs[2]
    assert runs[0].count(b"\n") == 3
