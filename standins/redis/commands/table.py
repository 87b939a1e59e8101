"""Tables of commands by name, with their argument counts and their effects on data."""

from __future__ import annotations

import inspect
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from standins.redis.database import Database
from standins.redis.errors import ArgumentCountError, NotIntegerError
from standins.redis.resp import Reply

INTEGER_RANGE = range(-(2**63), 2**63)

Handler = Callable[..., Reply]
HandlerType = TypeVar("HandlerType", bound=Handler)


class Effect(Enum):
    """What a command may do to data; a full or read-only store rejects some."""

    READ = "read"
    SHRINK = "shrink"  # may write, needs no memory
    GROW = "grow"  # may write, may need memory


@dataclass(frozen=True, slots=True)
class Command:
    """One command: its handler, and the bounds of its argument count."""

    name: str
    handler: Handler
    effect: Effect
    min_arguments: int
    max_arguments: float  # infinite for any number

    @classmethod
    def from_handler(
        cls, name: str, handler: Handler, effect: Effect = Effect.READ, *, leading_parameters: int = 0
    ) -> Command:
        """A command whose argument count is that of its handler's signature without leading parameters."""
        parameters = list(inspect.signature(handler).parameters.values())[leading_parameters:]
        positional = [item for item in parameters if item.kind is not item.VAR_POSITIONAL]
        minimum = sum(item.default is item.empty for item in positional)
        maximum = len(positional) if len(positional) == len(parameters) else math.inf
        return cls(name, handler, effect, minimum, maximum)

    def check_count(self, count: int) -> None:
        """Raises ArgumentCountError if the handler does not accept this number of arguments."""
        if not self.min_arguments <= count <= self.max_arguments:
            raise ArgumentCountError(self.name)


class CommandTable:
    """The commands of a family. A decorator registers handlers, which take the database, then arguments."""

    def __init__(self) -> None:
        self._commands: dict[str, Command] = {}

    def __iter__(self) -> Iterator[Command]:
        return iter(self._commands.values())

    def register(self, name: str, effect: Effect = Effect.READ) -> Callable[[HandlerType], HandlerType]:
        """A decorator that registers a handler under a command's name."""

        def add(handler: HandlerType) -> HandlerType:
            self._commands[name] = Command.from_handler(name, handler, effect, leading_parameters=1)
            return handler

        return add


def parse_integer(text: bytes) -> int:
    """Reads an integer of 64 bits; raises NotIntegerError."""
    try:
        value = int(text)
    except ValueError:
        raise NotIntegerError from None
    if value not in INTEGER_RANGE:
        raise NotIntegerError
    return value


def format_number(value: float) -> bytes:
    """A number as Redis writes it: an integral one without a fraction."""
    if value == int(value):
        return b"%d" % value
    return repr(value).encode()


__all__ = ["Command", "CommandTable", "Database", "Effect", "Reply", "format_number", "parse_integer"]
