"""Faults of a stand-in store, and fault schedules.

A test can set the faults directly, or the server can change them at the times of a schedule.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field, fields
from typing import Any, NamedTuple

from standins.redis.errors import ScheduleError

__all__ = ["Faults", "ScheduleError", "Step", "read_schedule"]


class FaultyReply(NamedTuple):
    """The bytes that the server sends for a reply, after the faults `garble` and `cut` may have changed it.

    `garble` flips one bit of the reply, and `cut` drops its end.
    """

    data: bytes
    is_cut: bool  # whether the connection is closed after these bytes


@dataclass
class Faults:
    """The active faults. Entries of a schedule use the names of these fields as keys.

    Not thread-safe, except that a test may assign fields on the test's thread.
    """

    pause: bool = False  # commands run, but replies wait until the pause is over
    silent: bool = False  # commands neither run nor get a reply
    silent_half: bool = False  # commands on every second connection neither run nor get a reply
    slow_ms: float = 0.0  # median of a log-normal delay before each reply
    slow_spread: float = 0.0  # sigma of the log-normal delay
    cut: float = 0.0  # chance from 0 to 1 that a connection ends within a reply, after the command has run
    garble: float = 0.0  # chance from 0 to 1 that one bit of a reply is flipped
    refuse: bool = False  # open connections are closed, and new connections are closed at once
    full: bool = False  # commands that could need memory are rejected
    read_only: bool = False  # commands that could change data are rejected

    def delay_s(self, draw: random.Random) -> float:
        """Returns the random delay of the next reply in seconds; 0 if `slow_ms` is 0."""
        if self.slow_ms <= 0:
            return 0.0
        return self.slow_ms / 1000 * draw.lognormvariate(0.0, self.slow_spread)

    def apply_to_reply(self, data: bytes, draw: random.Random) -> FaultyReply:
        """Applies the faults `garble` (a flipped bit) and `cut` (a missing end) to an encoded reply."""
        if self.garble and draw.random() < self.garble and data:
            data = flip_bit(data, draw)
        if self.cut and draw.random() < self.cut:
            return FaultyReply(data[: draw.randrange(len(data))], is_cut=True)
        return FaultyReply(data, is_cut=False)


def flip_bit(data: bytes, draw: random.Random) -> bytes:
    """Returns the bytes with one random bit flipped."""
    index = draw.randrange(len(data))
    flipped = data[index] ^ (1 << draw.randrange(8))
    return data[:index] + bytes([flipped]) + data[index + 1 :]


@dataclass(frozen=True)
class Step:
    """An entry of a schedule: changes that are due at the same time.

    A change sets a field of `Faults` or causes an event, such as the loss of all data.
    """

    at_s: float  # seconds after the schedule's start
    change: dict[str, Any] = field(default_factory=dict)  # value by name of a field or event


# Type of the value of each event. A schedule's entry may contain events in addition to fields of `Faults`.
# `lose` restarts the store empty, `back_s` restarts the store from a snapshot that is at least the given
# number of seconds old, `cut_all` closes all connections, and `password` changes the password of all users.
EVENT_TYPES = {"lose": bool, "back_s": (int, float), "cut_all": bool, "password": str}


def change_types() -> dict[str, Any]:
    """Returns the keys that a schedule's entry may have besides `at_s`, each with the type of its value.

    The keys are the names of the fields of `Faults` and of the events in `EVENT_TYPES`.
    """
    return {item.name: type(item.default) for item in fields(Faults)} | EVENT_TYPES


def read_schedule(text: str) -> list[Step]:
    """Reads a JSON list like [{"at_s": 2, "silent": true}, {"at_s": 5, "silent": false, "lose": true}].

    Returns the entries in the order of their times. Raises ScheduleError if the text is invalid; the message
    names an invalid entry by its position in the list, counted from 0.
    """
    try:
        rows = json.loads(text)
    except json.JSONDecodeError as error:
        raise ScheduleError(f"the fault schedule is not JSON: {error}") from error
    if not isinstance(rows, list):
        raise ScheduleError(f"the fault schedule is not a list of entries but of type {type(rows).__name__}")
    steps = [read_step(number, row) for number, row in enumerate(rows)]
    return sorted(steps, key=lambda step: step.at_s)


def read_step(number: int, row: Any) -> Step:
    """Reads one entry of a schedule from the decoded JSON `row`; raises ScheduleError if it is invalid.

    `number` is the entry's position in the schedule, which the error's message names.
    """
    if not isinstance(row, dict) or not isinstance(row.get("at_s"), (int, float)) or row["at_s"] < 0:
        raise ScheduleError(f"entry {number}: 'at_s' must be a number of at least 0")
    change = {key: value for key, value in row.items() if key != "at_s"}
    types = change_types()
    for key, value in change.items():
        if key not in types:
            raise ScheduleError(
                f"entry {number}: unknown key '{key:.40}'; allowed: {', '.join(sorted(types))}"
            )
        allowed = (int, float) if types[key] is float else types[key]
        if not isinstance(value, allowed):
            raise ScheduleError(
                f"entry {number}: '{key}' must be of type {getattr(allowed, '__name__', 'number')}, "
                f"not {type(value).__name__}"
            )
    return Step(float(row["at_s"]), change)
