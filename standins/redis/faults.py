"""What a stand-in store does wrong, and when: set by a test, or played from a seeded schedule."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field, fields
from typing import Any

from standins.redis.errors import ScheduleError

__all__ = ["Faults", "ScheduleError", "Step", "read_schedule"]


@dataclass
class Faults:
    """The faults in force; all off at first. Times in milliseconds, chances from 0 to 1.

    The field names are the schedule's keys.
    """

    pause: bool = False  # commands are run, replies wait until it is over
    silent: bool = False  # commands are read and neither run nor answered
    silent_half: bool = False  # the same on every other connection
    slow_ms: float = 0.0  # median of a log-normal delay before each reply
    slow_spread: float = 0.0  # its sigma
    cut: float = 0.0  # chance that a connection ends in the middle of a reply; the command has run
    garble: float = 0.0  # chance that one byte of a reply is another
    refuse: bool = False  # new connections are closed at once, old ones ended
    full: bool = False
    read_only: bool = False

    def delay_s(self, draw: random.Random) -> float:
        """How long the next reply is delayed."""
        if self.slow_ms <= 0:
            return 0.0
        return self.slow_ms / 1000 * draw.lognormvariate(0.0, self.slow_spread)

    def spoil(self, data: bytes, draw: random.Random) -> tuple[bytes, bool]:
        """A reply as it goes out, and whether the connection ends with it."""
        if self.garble and draw.random() < self.garble and data:
            data = flip_bit(data, draw)
        if self.cut and draw.random() < self.cut:
            return data[: draw.randrange(len(data))], True
        return data, False


def flip_bit(data: bytes, draw: random.Random) -> bytes:
    """The same bytes but for one bit of one of them."""
    at = draw.randrange(len(data))
    flipped = data[at] ^ (1 << draw.randrange(8))
    return data[:at] + bytes([flipped]) + data[at + 1 :]


@dataclass(frozen=True)
class Step:
    """At a time after the start: settings of `Faults`, or events."""

    at_s: float
    change: dict[str, Any] = field(default_factory=dict)


# Events that a step may have beside the settings of `Faults`, with the types of their values.
EVENT_TYPES = {"lose": bool, "back_s": (int, float), "cut_all": bool, "password": str}


def change_types() -> dict[str, Any]:
    """What a step may change, with the type of each value."""
    return {item.name: type(item.default) for item in fields(Faults)} | EVENT_TYPES


def read_schedule(text: str) -> list[Step]:
    """A JSON list like [{"at_s": 2, "silent": true}, {"at_s": 5, "silent": false, "lose": true}].

    Raises ScheduleError, which names the entry.
    """
    try:
        rows = json.loads(text)
    except json.JSONDecodeError as error:
        raise ScheduleError(f"not JSON: {error}") from error
    if not isinstance(rows, list):
        raise ScheduleError("not a list of entries")
    steps = [read_step(number, row) for number, row in enumerate(rows)]
    return sorted(steps, key=lambda step: step.at_s)


def read_step(number: int, row: Any) -> Step:
    """One entry of a schedule."""
    if not isinstance(row, dict) or not isinstance(row.get("at_s"), (int, float)) or row["at_s"] < 0:
        raise ScheduleError(f"entry {number}: lacks an 'at_s' of 0 or more")
    change = {key: value for key, value in row.items() if key != "at_s"}
    types = change_types()
    for key, value in change.items():
        if key not in types:
            raise ScheduleError(f"entry {number}: no fault '{key}'; there are {', '.join(sorted(types))}")
        allowed = (int, float) if types[key] is float else types[key]
        if not isinstance(value, allowed):
            raise ScheduleError(f"entry {number}: '{key}' can't be {value!r}")
    return Step(float(row["at_s"]), change)
