"""Codec of the simulator's protocol: parses JSON lines into messages and events, encodes actions as JSON.

The simulator defines the names of fields and values. All times and durations are nanoseconds of the
simulator's clock. In the protocol, 0 means that a value is not set. If an attempt fills nothing, the protocol
names the attempt's cache as its source.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from olivepost import interface as api
from olivepost.config import ENDPOINT_STATES, ConfigError, FieldReader, read_settings
from olivepost.units import Instant

START_KIND = "Spawn"
STOP_KIND = "Halt"
IGNORED_KINDS = frozenset({"ProbeDone", "Message"})  # responses to requests that routers never send

# Bits of an attempt's `mode`, which tells its cache how to serve it.
MODE_COLLAPSE_FILLS = 1
MODE_REFRESH = 8

ENDPOINT_UPDATE_KINDS = {
    "diff": api.EndpointUpdateKind.INCREMENTAL,
    "snapshot": api.EndpointUpdateKind.FULL,
    "disk": api.EndpointUpdateKind.RESTORED,
    "error": api.EndpointUpdateKind.FAILED,
}
ATTEMPT_STATUSES = {
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


@dataclass(frozen=True, slots=True)
class Message:
    """Message of a batch, which is one line of input. The message is addressed to one proxy."""

    kind: str
    proxy_id: int
    fields: FieldReader


@dataclass(frozen=True, slots=True)
class Batch:
    """One line of input: messages that arrive at the same time, in order.

    `turn` identifies the batch, and the reply repeats it.
    """

    now: Instant
    turn: int
    messages: list[Message]


@dataclass(frozen=True, slots=True)
class RouterStart:
    """Settings and random seed of a router that is to be started."""

    settings: api.Settings
    seed: int


def read_batch(line: bytes) -> Batch:
    """Parses one line of input; raises a ConfigError that says what is malformed."""
    try:
        data = json.loads(line)
    except ValueError as error:
        raise ConfigError("must be a line of JSON", where="batch") from error
    fields = FieldReader("batch", data)
    if fields.data.get("input") is None:
        raise fields.error("input", "is missing; it must be a list")
    items = fields.items("input")
    now = fields.integer("ts")
    turn = fields.integer("turn")
    return Batch(now, turn, [read_message(item) for item in items])


def read_message(item: object) -> Message:
    """Parses the fields that messages of all kinds have in common."""
    fields = FieldReader("message", item)
    return Message(fields.text("kind"), fields.integer("front"), fields)


def read_start(message: Message) -> RouterStart:
    """Parses the settings and the seed of a start message."""
    fields = FieldReader(message.kind, message.fields.data)
    return RouterStart(read_settings(fields.data.get("info")), fields.integer("entropy"))


def read_event(message: Message, settings: api.Settings) -> api.Event | None:
    """Parses an event for a router with these settings; returns None for a message that routers ignore."""
    if message.kind in IGNORED_KINDS:
        return None
    read = EVENT_READERS.get(message.kind)
    if read is None:
        raise message.fields.error("kind", f"must be one of {', '.join(EVENT_READERS)}, not {message.kind!r}")
    return read(FieldReader(message.kind, message.fields.data), settings)


def write_action(proxy_id: int, action: api.Action) -> dict[str, object]:
    """Returns an action of a proxy's router as a dictionary for the JSON encoder."""
    return {"front": proxy_id, **_action_fields(action)}


def write_reply(turn: int, actions: Iterable[dict[str, object]]) -> bytes:
    """Returns the reply to a batch, which is one line of input, as one line of JSON with its line break.

    `turn` identifies the batch. `actions` holds the actions of all routers that the batch addresses.
    """
    reply = {"turn": turn, "output": list(actions)}
    return json.dumps(reply, separators=(",", ":")).encode() + b"\n"


def _action_fields(action: api.Action) -> dict[str, object]:
    match action:
        case api.ForwardAttempt():
            return {
                "kind": "AnswerFrom",
                "ticket": action.request_id,
                "cache": action.cache,
                "feeder": action.source or action.cache,
                "admit": action.rank,
                "timeout": action.timeout,
                "oldness": action.max_age or 0,
                "mode": _mode_bits(action),
            }
        case api.CancelAttempt():
            return {"kind": "StopAttempt", "ticket": action.request_id, "attempt": action.attempt}
        case api.Reject():
            return {"kind": "Decline", "ticket": action.request_id, "wait": action.retry_after or 0}
        # The protocol does not tell whether an attempt in flight has reached its endpoint.
        case api.Fail() | api.RejectIfUnsent():
            return {"kind": "ReportFailure", "ticket": action.request_id}
        case api.SetTimer():
            return {"kind": "Timer", "delay": action.delay, "ref": action.timer_id}
        case api.Subscribe():
            return {"kind": "Watch", "want": True}
        # Rejects all other actions, because they are for the response cache and the shared store, and a
        # simulated proxy has neither.
        case _:
            raise ValueError(f"the simulator's protocol has no message for {type(action).__name__}")


def _mode_bits(action: api.ForwardAttempt) -> int:
    bits = 0
    if action.collapse_fills:
        bits |= MODE_COLLAPSE_FILLS
    if action.refresh:
        bits |= MODE_REFRESH
    return bits


def _read_request(fields: FieldReader, settings: api.Settings) -> api.Request:
    class_name = fields.text("grade")
    if class_name not in settings.classes:
        raise fields.error("grade", f"must be one of {', '.join(settings.classes)}, not {class_name!r}")
    return api.Request(
        id=fields.text("ticket"),
        class_name=class_name,
        object=fields.text("resource", ""),
        timeout=fields.integer("ttl"),
        size_kb=fields.number("bytes-k", 0.0) or None,
        group=fields.integer("batch-id") if "batch-id" in fields.data else None,
        part=fields.integer("slice", 0),
        is_write=fields.boolean("write"),
        is_client_retry=fields.boolean("again-by-client"),
    )


def _read_outcome(fields: FieldReader, _settings: api.Settings) -> api.AttemptOutcome:
    return api.AttemptOutcome(
        request_id=fields.text("ticket"),
        attempt=fields.integer("attempt", 0),
        status=fields.one_of("rc", ATTEMPT_STATUSES),
        elapsed=fields.integer("took", 0),
        is_final=fields.boolean("no-more"),
        cache_status=_read_cache_status(fields),
    )


def _read_cache_status(fields: FieldReader) -> api.CacheStatus:
    """Returns the cache's status, or UNKNOWN if this version of the codec doesn't know the value."""
    try:
        return api.CacheStatus(fields.integer("remark", 0))
    except ValueError:
        return api.CacheStatus.UNKNOWN


def _read_timer(fields: FieldReader, _settings: api.Settings) -> api.TimerFired:
    return api.TimerFired(fields.integer("ref"))


def _read_response_start(fields: FieldReader, _settings: api.Settings) -> api.ResponseStarted:
    return api.ResponseStarted(fields.text("ticket"), fields.integer("attempt", 0))


def _read_disconnect(fields: FieldReader, _settings: api.Settings) -> api.ClientDisconnected:
    return api.ClientDisconnected(fields.text("ticket"))


def _read_endpoint_update(fields: FieldReader, _settings: api.Settings) -> api.EndpointUpdate:
    kind = fields.one_of("scope", ENDPOINT_UPDATE_KINDS)
    return api.EndpointUpdate(kind, tuple(_read_endpoint(item) for item in fields.items("members")))


def _read_endpoint(item: object) -> api.EndpointMetadata:
    fields = FieldReader("member", item)
    return api.EndpointMetadata(
        id=fields.text("cache"),
        state=fields.one_of("condition", ENDPOINT_STATES, "in_service"),
        kind=fields.text("family-type", ""),
        zone=fields.text("area", ""),
        cell=fields.integer("stripe", 0),
        weight=fields.number("capacity-hint", 1.0),
        started_at=fields.integer("up-since", 0) or None,
    )


def _read_invalidation(fields: FieldReader, _settings: api.Settings) -> api.Invalidation:
    name = fields.text("resource", "")
    group = fields.integer("family-id") if "family-id" in fields.data else None
    return api.Invalidation(name or None, group, fields.integer("oldness", 0))


EVENT_READERS: dict[str, Callable[[FieldReader, api.Settings], api.Event]] = {
    "Query": _read_request,
    "Returned": _read_outcome,
    "Ring": _read_timer,
    "Headers": _read_response_start,
    "ClientGone": _read_disconnect,
    "Registry": _read_endpoint_update,
    "Invalidated": _read_invalidation,
}
