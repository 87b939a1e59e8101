"""What a stand-in store does wrong, and when: set by a test, or played from a seeded schedule."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field, fields
from typing import Any


@dataclass
class Faults:
    """The faults in force; all off at first. Spans in milliseconds, chances from 0 to 1."""

    pause: bool = False  # commands are run, answers wait until it is over
    silent: bool = False  # commands are read and neither run nor answered
    silent_half: bool = False  # the same on every other connection
    slow_ms: float = 0.0  # median of a log-normal wait before each answer
    slow_spread: float = 0.0  # its sigma
    cut: float = 0.0  # chance that a connection ends in the middle of an answer; the command has run
    garble: float = 0.0  # chance that one byte of an answer is another
    refuse: bool = False  # new connections are closed at once, old ones ended
    full: bool = False
    read_only: bool = False

    def wait_s(self, draw: random.Random) -> float:
        """How long the next answer waits."""
        if self.slow_ms <= 0:
            return 0.0
        return self.slow_ms / 1000 * draw.lognormvariate(0.0, self.slow_spread)

    def spoil(self, data: bytes, draw: random.Random) -> tuple[bytes, bool]:
        """An answer as it goes out, and whether the connection ends with it."""
        if self.garble and draw.random() < self.garble and data:
            at = draw.randrange(len(data))
            data = data[:at] + bytes([data[at] ^ (1 << draw.randrange(8))]) + data[at + 1 :]
        if self.cut and draw.random() < self.cut:
            return data[: draw.randrange(len(data))], True
        return data, False


class ScheduleError(Exception):
    """A schedule that can't be played; the message names the entry."""


@dataclass(frozen=True)
class Step:
    """At a time after the start: settings of `Faults`, or `lose`, `back_s`, `cut_all`, `password`."""

    at_s: float
    change: dict[str, Any] = field(default_factory=dict)


EVENTS = {"lose": bool, "back_s": (int, float), "cut_all": bool, "password": str}


def read_schedule(text: str) -> list[Step]:
    """A JSON list like [{"at_s": 2, "silent": true}, {"at_s": 5, "silent": false, "lose": true}]."""
    try:
        rows = json.loads(text)
    except json.JSONDecodeError as fault:
        raise ScheduleError(f"not JSON: {fault}") from fault
    if not isinstance(rows, list):
        raise ScheduleError("not a list of entries")
    kinds: dict[str, Any] = {item.name: type(item.default) for item in fields(Faults)} | EVENTS
    steps = []
    for number, row in enumerate(rows):
        if not isinstance(row, dict) or not isinstance(row.get("at_s"), (int, float)) or row["at_s"] < 0:
            raise ScheduleError(f"entry {number}: lacks an 'at_s' of 0 or more")
        change = {key: value for key, value in row.items() if key != "at_s"}
        for key, value in change.items():
            kind = kinds.get(key)
            if kind is None:
                raise ScheduleError(f"entry {number}: no fault '{key}'; there are {', '.join(sorted(kinds))}")
            if not isinstance(value, (int, float) if kind is float else kind):
                raise ScheduleError(f"entry {number}: '{key}' can't be {value!r}")
        steps.append(Step(float(row["at_s"]), change))
    return sorted(steps, key=lambda step: step.at_s)
