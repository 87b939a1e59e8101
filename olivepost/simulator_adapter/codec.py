"""The simulator's wire: JSON lines to events, actions to JSON lines."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from olivepost import interface as api
from olivepost.config import ENDPOINT_STATES, ConfigError, FieldReader, read_settings

LIST_KINDS = {
    "diff": api.EndpointUpdateKind.INCREMENTAL,
    "snapshot": api.EndpointUpdateKind.FULL,
    "disk": api.EndpointUpdateKind.RESTORED,
    "error": api.EndpointUpdateKind.FAILED,
}
STATUSES = {
    "OK": api.AttemptStatus.OK,
    "INTERNAL": api.AttemptStatus.ERROR,
    "RESOURCE_EXHAUSTED": api.AttemptStatus.REJECTED,
    "DEADLINE_EXCEEDED": api.AttemptStatus.TIMED_OUT,
    "UNAVAILABLE": api.AttemptStatus.CONNECT_FAILED,
    "ABORTED": api.AttemptStatus.CONNECTION_LOST,
    "CANCELLED": api.AttemptStatus.CANCELLED,
    "TOO_LATE": api.AttemptStatus.NOT_SENT,
    "NOT_FOUND": api.AttemptStatus.NOT_CACHED,
}
JOIN, RENEW = 1, 8
UNASKED = frozenset({"ProbeDone", "Message"})


@dataclass(frozen=True, slots=True)
class Batch:
    """One line of input."""

    now: int
    turn: int
    messages: list[dict[str, Any]]


def read_batch(line: bytes) -> Batch:
    """Reads one line of input."""
    try:
        data = json.loads(line)
    except ValueError as fault:
        raise ConfigError("not a JSON value") from fault
    fields = FieldReader("batch", data)
    if not isinstance(fields.data.get("input"), list):
        raise ConfigError("batch lacks 'input'")
    messages = fields.items("input")
    if not all(isinstance(message, dict) for message in messages):
        raise ConfigError("batch holds a message that is not an object")
    return Batch(fields.integer("ts"), fields.integer("turn"), messages)


def front_of(message: dict[str, Any]) -> int:
    """The instance a message is for."""
    return FieldReader(str(message.get("kind", "message")), message).integer("front")


def is_start(message: dict[str, Any]) -> bool:
    return message.get("kind") == "Spawn"


def is_stop(message: dict[str, Any]) -> bool:
    return message.get("kind") == "Halt"


def read_start(message: dict[str, Any]) -> tuple[api.Settings, int]:
    """Reads a start: the settings and the seed."""
    fields = FieldReader("Spawn", message)
    return read_settings(fields.data.get("info")), fields.integer("entropy")


def _read_listed(item: object) -> api.EndpointMetadata:
    row = FieldReader("member", item)
    return api.EndpointMetadata(
        id=row.text("cache"),
        state=row.one_of("condition", ENDPOINT_STATES, "in_service"),
        kind=row.text("family-type", ""),
        zone=row.text("area", ""),
        cell=row.integer("stripe", 0),
        weight=row.number("capacity-hint", 1.0),
        started_at=row.integer("up-since", 0),
    )


def _read_request(row: FieldReader, settings: api.Settings) -> api.Request:
    if row.text("grade") not in settings.classes:
        raise ConfigError(f"Query has an unknown 'grade': {row.text('grade')}")
    return api.Request(
        id=row.text("ticket"),
        class_name=row.text("grade"),
        object=row.text("resource", ""),
        timeout=row.integer("ttl"),
        size_kb=row.number("bytes-k", 0.0),
        group=row.integer("batch-id") if "batch-id" in row.data else None,
        part=row.integer("slice", 0),
        is_write=row.boolean("write"),
    )


def _read_outcome(row: FieldReader) -> api.AttemptOutcome:
    try:
        note = api.CacheStatus(row.integer("remark", 0))
    except ValueError:
        note = api.CacheStatus.UNKNOWN
    return api.AttemptOutcome(
        request_id=row.text("ticket"),
        attempt=row.integer("attempt", 0),
        status=row.one_of("rc", STATUSES),
        elapsed=row.integer("took", 0),
        is_final=row.boolean("no-more"),
        cache_status=note,
    )


def read_event(message: dict[str, Any], settings: api.Settings) -> api.Event | None:
    """Reads an event; None where it answers nothing that a router asks for."""
    kind = message.get("kind")
    row = FieldReader(str(kind), message)
    if kind == "Query":
        return _read_request(row, settings)
    if kind == "Returned":
        return _read_outcome(row)
    if kind == "Ring":
        return api.TimerFired(row.integer("ref"))
    if kind == "Headers":
        return api.ResponseStarted(row.text("ticket"), row.integer("attempt", 0))
    if kind == "ClientGone":
        return api.ClientDisconnected(row.text("ticket"))
    if kind == "Registry":
        return api.EndpointUpdate(
            row.one_of("scope", LIST_KINDS), tuple(_read_listed(item) for item in row.items("members"))
        )
    if kind == "Invalidated":
        name = row.text("resource", "")
        group = row.integer("family-id") if "family-id" in row.data else None
        return api.Invalidation(name or None, group, row.integer("oldness", 0))
    if kind in UNASKED:
        return None
    raise ConfigError(f"unknown message kind: {kind}")


def write_action(front: int, action: api.Action) -> dict[str, object]:
    """One action as the wire has it."""
    match action:
        case api.ForwardAttempt():
            body: dict[str, object] = {
                "kind": "AnswerFrom",
                "ticket": action.request_id,
                "cache": action.cache,
                "feeder": action.source,
                "admit": action.rank,
                "timeout": action.timeout,
                "oldness": action.max_age,
                "mode": JOIN * action.collapse_fills | RENEW * action.refresh,
            }
        case api.CancelAttempt():
            body = {"kind": "StopAttempt", "ticket": action.request_id, "attempt": action.attempt}
        case api.Reject():
            body = {"kind": "Decline", "ticket": action.request_id, "wait": action.retry_after}
        case api.Fail():
            body = {"kind": "ReportFailure", "ticket": action.request_id}
        case api.SetTimer():
            body = {"kind": "Timer", "delay": action.delay, "ref": action.timer_id}
        case api.Subscribe():
            body = {"kind": "Watch", "want": True}
        case api.ServeCachedResponse() | api.StoreResponse():
            raise ValueError("copies of a front's own are not on this wire")
    return {"front": front, **body}


def write_reply(turn: int, actions: list[dict[str, object]]) -> bytes:
    """The reply to a batch."""
    return json.dumps({"turn": turn, "output": actions}, separators=(",", ":")).encode() + b"\n"
