"""Tables of commands by name, with the commands' argument counts and effects on data."""

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
    """The effect that a command may have on data.

    A full or read-only store rejects commands with some of these effects.
    """

    READ = "read"
    SHRINK = "shrink"  # can change data, but needs no memory
    GROW = "grow"  # can change data, and can need memory


@dataclass(frozen=True, slots=True)
class Command:
    """One command: its handler, and how many arguments it takes."""

    name: str
    handler: Handler
    effect: Effect
    min_arguments: int
    max_arguments: float  # infinite if any number is allowed

    @classmethod
    def from_handler(
        cls, name: str, handler: Handler, effect: Effect = Effect.READ, *, leading_parameters: int = 0
    ) -> Command:
        """Returns a command that takes as many arguments as its handler's signature allows.

        The first `leading_parameters` parameters of the signature, such as the database, are not arguments of
        the command.
        """
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
    """A table of the commands of one family, such as those on hashes.

    The decorator `register` adds a handler, which takes the database and then the command's arguments.
    """

    def __init__(self) -> None:
        self._commands: dict[str, Command] = {}

    def __iter__(self) -> Iterator[Command]:
        return iter(self._commands.values())

    def register(self, name: str, effect: Effect = Effect.READ) -> Callable[[HandlerType], HandlerType]:
        """Returns a decorator that registers a handler under a command's name."""

        def add(handler: HandlerType) -> HandlerType:
            self._commands[name] = Command.from_handler(name, handler, effect, leading_parameters=1)
            return handler

        return add


def parse_integer(text: bytes) -> int:
    """Parses an integer of 64 bits; raises NotIntegerError if the text is not such an integer."""
    try:
        value = int(text)
    except ValueError:
        raise NotIntegerError from None
    if value not in INTEGER_RANGE:
        raise NotIntegerError
    return value


def format_number(value: float) -> bytes:
    """Returns a number as Redis writes it; an integral number has no fraction."""
    if value == int(value):
        return b"%d" % value
    return repr(value).encode()


__all__ = ["Command", "CommandTable", "Database", "Effect", "Reply", "format_number", "parse_integer"]
