"""A database with its commands and scripts, without sockets."""

from __future__ import annotations

from collections.abc import Callable

from standins.redis.commands import expiry, generic, hashes, lists, sorted_sets, strings
from standins.redis.commands.table import Command, Effect, parse_integer
from standins.redis.database import Database
from standins.redis.errors import (
    GenericError,
    NoScriptError,
    OutOfMemoryError,
    ReadOnlyError,
    UnknownCommandError,
)
from standins.redis.resp import OK, Reply
from standins.redis.scripts import ScriptEngine

FAMILIES = (generic, expiry, strings, hashes, lists, sorted_sets)
DATA_COMMANDS: dict[str, Command] = {
    command.name: command for family in FAMILIES for command in family.COMMANDS
}


class Keyspace(Database):
    """A database that runs commands and scripts. Not thread-safe; the server's thread owns it."""

    def __init__(self, now_ms: Callable[[], int]) -> None:
        super().__init__(now_ms)
        self.is_full = False  # whether commands that could need memory are rejected
        self.is_read_only = False  # whether commands that could change data are rejected
        self.scripts = ScriptEngine(self.call)
        script_handlers: dict[str, Callable[..., Reply]] = {
            "SCRIPT": self._script,
            "EVAL": self._eval,
            "EVALSHA": self._eval_digest,
        }
        self._script_commands = {
            name: Command.from_handler(name, handler) for name, handler in script_handlers.items()
        }

    def restart_empty(self) -> None:
        """Restarts without a snapshot, so that all data and scripts are lost."""
        super().restart_empty()
        self.scripts.clear()

    def has_command(self, name: str) -> bool:
        """Whether a command with this name exists; the name must be in upper case."""
        return name in DATA_COMMANDS or name in self._script_commands

    def call(self, command_line: list[bytes]) -> Reply:
        """Runs a command, given as its name and arguments; returns its reply.

        Raises CommandError if the command fails.
        """
        name = command_line[0].decode(errors="replace").upper()
        command = DATA_COMMANDS.get(name)
        if command is not None:
            self._check_writable(command.effect)
            command.check_count(len(command_line) - 1)
            return command.handler(self, *command_line[1:])
        script_command = self._script_commands.get(name)
        if script_command is None:
            raise UnknownCommandError(name)
        script_command.check_count(len(command_line) - 1)
        return script_command.handler(*command_line[1:])

    def _check_writable(self, effect: Effect) -> None:
        if self.is_read_only and effect is not Effect.READ:
            raise ReadOnlyError
        if self.is_full and effect is Effect.GROW:
            raise OutOfMemoryError

    def _script(self, verb: bytes, *arguments: bytes) -> Reply:
        match verb.upper():
            case b"LOAD" if len(arguments) == 1:
                return self.scripts.load(arguments[0]).encode()
            case b"EXISTS":
                return [int(digest.decode().lower() in self.scripts) for digest in arguments]
            case b"FLUSH":
                self.scripts.clear()
                return OK
        raise GenericError("unknown subcommand or wrong number of arguments for 'SCRIPT'")

    def _eval(self, text: bytes, key_count: bytes, *arguments: bytes) -> Reply:
        digest = self.scripts.load(text)
        return self._eval_digest(digest.encode(), key_count, *arguments)

    def _eval_digest(self, digest: bytes, key_count: bytes, *arguments: bytes) -> Reply:
        script = digest.decode(errors="replace").lower()
        if script not in self.scripts:
            raise NoScriptError
        count = parse_integer(key_count)
        if not 0 <= count <= len(arguments):
            raise GenericError("Number of keys can't be greater than number of args")
        # Any script could change data and need memory. Redis therefore rejects a script as a whole, before
        # any part of the script runs.
        self._check_writable(Effect.GROW)
        return self.scripts.run(script, arguments[:count], arguments[count:])
