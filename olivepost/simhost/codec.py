"""The simulator's wire: JSON lines to events, actions to JSON lines."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from olivepost import interface as api

EFFECTS = {
    "read_like": api.Effect.SAFE,
    "idempotency_key": api.Effect.KEYED,
    "non_idempotent": api.Effect.UNSAFE,
}
STATES = {
    "in_service": api.State.READY,
    "terminating": api.State.DRAINING,
    "terminated": api.State.GONE,
}
LIST_KINDS = {
    "diff": api.ListKind.CHANGES,
    "snapshot": api.ListKind.FULL,
    "disk": api.ListKind.STORED,
    "error": api.ListKind.FAILED,
}
STATUSES = {
    "OK": api.Status.OK,
    "INTERNAL": api.Status.ERROR,
    "RESOURCE_EXHAUSTED": api.Status.TURNED_AWAY,
    "DEADLINE_EXCEEDED": api.Status.TIMED_OUT,
    "UNAVAILABLE": api.Status.NOT_CONNECTED,
    "ABORTED": api.Status.BROKEN_OFF,
    "CANCELLED": api.Status.CANCELLED,
    "TOO_LATE": api.Status.NEVER_SENT,
    "NOT_FOUND": api.Status.NO_COPY,
}
JOIN, RENEW = 1, 8
UNASKED = frozenset({"ProbeDone", "Message"})


class WireError(Exception):
    """The input is not what the wire allows."""


@dataclass(frozen=True, slots=True)
class Batch:
    """One line of input."""

    now: int
    turn: int
    messages: list[dict[str, Any]]


class _Fields:
    """Typed access to an object's fields, with plain words on what is wrong."""

    def __init__(self, where: str, data: object) -> None:
        if not isinstance(data, dict):
            raise WireError(f"{where} is not an object")
        self.where = where
        self.data: dict[str, Any] = data

    def _get(self, key: str, kinds: tuple[type, ...], default: Any) -> Any:
        value = self.data.get(key)
        if value is None:
            if default is None:
                raise WireError(f"{self.where} lacks '{key}'")
            return default
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise WireError(f"{self.where} has a wrong '{key}'")
        return value

    def whole(self, key: str, default: int | None = None) -> int:
        return int(self._get(key, (int,), default))

    def number(self, key: str, default: float | None = None) -> float:
        return float(self._get(key, (int, float), default))

    def text(self, key: str, default: str | None = None) -> str:
        return str(self._get(key, (str,), default))

    def flag(self, key: str) -> bool:
        return bool(self._get(key, (bool,), False))

    def items(self, key: str) -> list[Any]:
        return list(self._get(key, (list,), []))

    def inner(self, key: str) -> _Fields:
        return _Fields(f"{self.where}.{key}", self._get(key, (dict,), {}))

    def word(self, key: str, words: dict[str, Any], default: str | None = None) -> Any:
        value = self.text(key, default)
        if value not in words:
            raise WireError(f"{self.where} has an unknown '{key}': {value}")
        return words[value]


def read_batch(line: bytes) -> Batch:
    """Reads one line of input."""
    try:
        data = json.loads(line)
    except ValueError as fault:
        raise WireError("not a JSON value") from fault
    fields = _Fields("batch", data)
    if not isinstance(fields.data.get("input"), list):
        raise WireError("batch lacks 'input'")
    messages = fields.items("input")
    if not all(isinstance(message, dict) for message in messages):
        raise WireError("batch holds a message that is not an object")
    return Batch(fields.whole("ts"), fields.whole("turn"), messages)


def front_of(message: dict[str, Any]) -> int:
    """The instance a message is for."""
    return _Fields(str(message.get("kind", "message")), message).whole("front")


def is_start(message: dict[str, Any]) -> bool:
    return message.get("kind") == "Spawn"


def is_stop(message: dict[str, Any]) -> bool:
    return message.get("kind") == "Halt"


def read_start(message: dict[str, Any]) -> tuple[api.Settings, int]:
    """Reads a start: the settings and the seed."""
    fields = _Fields("Spawn", message)
    return read_settings(fields.data.get("info")), fields.whole("entropy")


def read_settings(data: object) -> api.Settings:
    """Reads the settings; keys this page does not use are skipped."""
    info = _Fields("settings", data)
    family, limits, contract = info.inner("family-info"), info.inner("limits"), info.inner("contract")
    kinds, zones, zone = info.items("kinds"), info.items("failure-domains"), info.text("zone")
    fronts = info.whole("siblings", 1)

    def at(values: list[Any], index: int, default: Any) -> Any:
        return values[index] if 0 <= index < len(values) else default

    classes: dict[str, api.ClassSettings] = {}
    for index, item in enumerate(info.items("classes")):
        row = _Fields(f"classes[{index}]", item)
        name = row.text("name")
        classes[name] = api.ClassSettings(
            name=name,
            aim=row.whole("aim", row.whole("deadline")),
            aim_stretch=row.number("aim-stretch", 0.0),
            deadline=row.whole("deadline"),
            effect=row.word("effect", EFFECTS),
            scope=row.word("group", {scope.value: scope for scope in api.Scope}, "all"),
            window=row.whole("window", 0),
            streaming=row.flag("streaming"),
            worth=row.number("gain", 1.0),
            late_worth=row.number("late-worth", 0.0),
            fresh=int(at(family.items("max-age"), index, 0)),
            grace=int(at(family.items("usable-after"), index, 0)),
            stale_worth=float(at(family.items("class-stale-worth"), index, 0.0)),
            uncacheable=bool(at(family.items("pass-on"), index, False)),
        )
    place = zones.index(zone) if zone in zones else -1
    return api.Settings(
        classes=classes,
        zone=zone,
        caches=api.Tier(
            fronts=max(1, int(at(family.items("zone-balancers"), place, fronts))),
            cold_from=contract.number("cold-from", 0.0),
            warm_within=max(1, contract.whole("warm-within", 0)),
            fall_multiple=contract.number("fall-multiple", 0.0),
        ),
        parents=api.Tier(
            fronts=max(1, fronts),
            cold_from=family.number("parent-floor", 0.0),
            warm_within=max(1, family.whole("parent-cold", 0)),
            fall_multiple=family.number("parent-breaks-at", 0.0),
        ),
        parent_kind=str(at(kinds, family.whole("parent-kind", -1), "")),
        origin_kind=str(at(kinds, family.whole("store-kind", -1), "")),
        weights_told=info.text("weights", "off") != "off",
        pace_kb_per_s=family.number("pace-kb-per-s", 0.0),
        can_join=family.flag("can-join"),
        direct=family.flag("direct"),
        siblings_as_source=family.text("lateral", "off"),
        tells_hits=family.text("tells", "off") != "off",
        tells_causes=family.text("tells", "off") == "all",
        purge_done=family.whole("gone-everywhere", 0),
        fall_window=contract.whole("fall", 0),
        ask_for_list=info.text("registry-mode", "push") == "ask",
        ask_within=contract.whole("ask-within", 0),
        max_attempts=limits.whole("attempts-cap", 1),
        may_cancel=limits.flag("cancel"),
        second_copies=limits.flag("second-copies"),
        retry_after=limits.flag("retry-after"),
        max_retry_after=limits.whole("max-retry-after", 0),
        tick=info.whole("tick", 0),
    )


def _read_listed(item: object) -> api.Listed:
    row = _Fields("member", item)
    return api.Listed(
        address=row.text("cache"),
        state=row.word("condition", STATES, "in_service"),
        kind=row.text("family-type", ""),
        zone=row.text("area", ""),
        cell=row.whole("stripe", 0),
        weight=row.number("capacity-hint", 1.0),
        started=row.whole("up-since", 0),
    )


def _read_request(row: _Fields, settings: api.Settings) -> api.Request:
    if row.text("grade") not in settings.classes:
        raise WireError(f"Query has an unknown 'grade': {row.text('grade')}")
    return api.Request(
        id=row.text("ticket"),
        class_name=row.text("grade"),
        object=row.text("resource", ""),
        ttl=row.whole("ttl"),
        size_kb=row.number("bytes-k", 0.0),
        group=row.whole("batch-id") if "batch-id" in row.data else None,
        part=row.whole("slice", 0),
        write=row.flag("write"),
    )


def _read_outcome(row: _Fields) -> api.Outcome:
    try:
        note = api.Note(row.whole("remark", 0))
    except ValueError:
        note = api.Note.NOTHING
    return api.Outcome(
        id=row.text("ticket"),
        attempt=row.whole("attempt", 0),
        status=row.word("rc", STATUSES),
        took=row.whole("took", 0),
        final=row.flag("no-more"),
        note=note,
    )


def read_event(message: dict[str, Any], settings: api.Settings) -> api.Event | None:
    """Reads an event; None where it answers nothing that a router asks for."""
    kind = message.get("kind")
    row = _Fields(str(kind), message)
    if kind == "Query":
        return _read_request(row, settings)
    if kind == "Returned":
        return _read_outcome(row)
    if kind == "Ring":
        return api.TimerFired(row.whole("ref"))
    if kind == "Headers":
        return api.Begun(row.text("ticket"), row.whole("attempt", 0))
    if kind == "ClientGone":
        return api.ClientLeft(row.text("ticket"))
    if kind == "Registry":
        return api.Membership(
            row.word("scope", LIST_KINDS), tuple(_read_listed(item) for item in row.items("members"))
        )
    if kind == "Invalidated":
        name = row.text("resource", "")
        group = row.whole("family-id") if "family-id" in row.data else None
        return api.Purge(name or None, group, row.whole("oldness", 0))
    if kind in UNASKED:
        return None
    raise WireError(f"unknown message kind: {kind}")


def write_action(front: int, action: api.Action) -> dict[str, object]:
    """One action as the wire has it."""
    match action:
        case api.Fetch():
            body: dict[str, object] = {
                "kind": "AnswerFrom",
                "ticket": action.id,
                "cache": action.cache,
                "feeder": action.source,
                "admit": action.rank,
                "timeout": action.timeout,
                "oldness": action.max_age,
                "mode": JOIN * action.join | RENEW * action.renew,
            }
        case api.Cancel():
            body = {"kind": "StopAttempt", "ticket": action.id, "attempt": action.attempt}
        case api.Refuse():
            body = {"kind": "Decline", "ticket": action.id, "wait": action.retry_after}
        case api.Fail():
            body = {"kind": "ReportFailure", "ticket": action.id}
        case api.SetTimer():
            body = {"kind": "Timer", "delay": action.delay, "ref": action.token}
        case api.Subscribe():
            body = {"kind": "Watch", "want": True}
    return {"front": front, **body}


def write_reply(turn: int, actions: list[dict[str, object]]) -> bytes:
    """The reply to a batch."""
    return json.dumps({"turn": turn, "output": actions}, separators=(",", ":")).encode() + b"\n"
