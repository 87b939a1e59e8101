"""One client connection without its socket: handshake, authentication, transactions, subscriptions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from standins.redis.commands.table import Command
from standins.redis.errors import (
    CommandError,
    GenericError,
    NotAuthenticatedError,
    UnknownCommandError,
    WrongPasswordError,
)
from standins.redis.keyspace import Keyspace
from standins.redis.resp import OK, Push, Reply, Status, encode
from standins.redis.transaction import Transaction

DEFAULT_USER = b"default"
SERVER_VERSION = b"7.4.0"  # version of Redis in the reply to HELLO
ALLOWED_UNAUTHENTICATED = frozenset({"AUTH", "HELLO", "QUIT"})
# Commands that run at once, instead of being queued, while a transaction is open.
NEVER_QUEUED = frozenset({"EXEC", "DISCARD", "MULTI", "WATCH", "QUIT"})
HELLO_NEEDS_AUTHENTICATION = (
    "HELLO must be called with the client already authenticated, otherwise the "
    "HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and "
    "select the RESP protocol version at the same time"
)


class SessionHost(Protocol):
    """The server that a session belongs to."""

    keyspace: Keyspace
    users: dict[str, str] | None  # passwords by user; `None` if no authentication is needed

    def publish(self, channel: bytes, message: bytes) -> int:
        """Sends a message to a channel's subscribers; returns the number of subscribers."""


class Session:
    """The protocol state of one client connection. Not thread-safe; the server's thread owns it."""

    def __init__(self, host: SessionHost, number: int, write: Callable[[bytes], None]) -> None:
        self.number = number
        self.channels: set[bytes] = set()
        self._host = host
        self._write = write
        self._is_resp3 = False
        self._is_authenticated = host.users is None
        self._client_name = b""
        self._transaction = Transaction()
        handlers: dict[str, Callable[..., Reply]] = {
            "AUTH": self._authenticate,
            "HELLO": self._hello,
            "CLIENT": self._client,
            "SELECT": self._select,
            "MULTI": self._multi,
            "DISCARD": self._discard,
            "WATCH": self._watch,
            "UNWATCH": self._unwatch,
            "EXEC": self._exec,
            "SUBSCRIBE": self._subscribe,
            "UNSUBSCRIBE": self._unsubscribe,
            "PUBLISH": self._publish,
        }
        self._commands = {name: Command.from_handler(name, handler) for name, handler in handlers.items()}

    def encode(self, reply: Reply) -> bytes:
        """Returns the bytes of a reply in the version of the protocol that the client has selected."""
        return encode(reply, self._is_resp3)

    def push(self, *items: bytes | int) -> None:
        """Sends the client a message that is not a reply to a command."""
        self._write(self.encode(Push(items)))

    def run(self, command_line: list[bytes]) -> Reply:
        """Runs a command, given as its name and arguments; returns its reply, which may be a CommandError."""
        name = command_line[0].decode(errors="replace").upper()
        try:
            if not self._is_authenticated and name not in ALLOWED_UNAUTHENTICATED:
                raise NotAuthenticatedError
            if self._transaction.is_open and name not in NEVER_QUEUED:
                return self._queue(name, command_line)
            return self._call(name, command_line)
        except CommandError as error:
            return error

    def _call(self, name: str, command_line: list[bytes]) -> Reply:
        command = self._commands.get(name)
        if command is None:
            return self._host.keyspace.call(command_line)
        command.check_count(len(command_line) - 1)
        return command.handler(*command_line[1:])

    # Handshake

    def _authenticate(self, *credentials: bytes) -> Reply:
        if len(credentials) == 1:
            user = DEFAULT_USER
            password = credentials[0]
        else:
            user = credentials[0]
            password = credentials[1]
        users = self._host.users
        if users is None:
            raise GenericError("AUTH <password> called without any password configured for the default user.")
        if users.get(user.decode(errors="replace")) != password.decode(errors="replace"):
            raise WrongPasswordError
        self._is_authenticated = True
        return OK

    def _hello(self, *arguments: bytes) -> Reply:
        if arguments and arguments[0] not in (b"2", b"3"):
            raise CommandError("NOPROTO", "unsupported protocol version")
        self._read_hello_options(list(arguments[1:]))
        if not self._is_authenticated:
            raise NotAuthenticatedError(HELLO_NEEDS_AUTHENTICATION)
        if arguments:
            self._is_resp3 = arguments[0] == b"3"
        return {
            b"server": b"redis",
            b"version": SERVER_VERSION,
            b"proto": 3 if self._is_resp3 else 2,
            b"id": self.number,
            b"mode": b"standalone",
            b"role": b"master",
            b"modules": [],
        }

    def _read_hello_options(self, remaining: list[bytes]) -> None:
        while remaining:
            option = remaining.pop(0).upper()
            if option == b"AUTH" and len(remaining) >= 2:
                user = remaining.pop(0)
                password = remaining.pop(0)
                self._authenticate(user, password)
            elif option == b"SETNAME" and remaining:
                self._client_name = remaining.pop(0)
            else:
                raise GenericError("Syntax error in HELLO")

    def _client(self, verb: bytes, *arguments: bytes) -> Reply:
        match verb.upper():
            case b"SETNAME":
                self._client_name = arguments[0]
                return OK
            case b"GETNAME":
                return self._client_name
            case b"ID":
                return self.number
            case b"SETINFO":
                return OK
        raise GenericError(f"unknown subcommand '{verb.decode(errors='replace')}'. Try CLIENT HELP.")

    def _select(self, number: bytes) -> Reply:
        if number != b"0":
            raise GenericError("DB index is out of range")
        return OK

    # Transactions

    def _queue(self, name: str, command_line: list[bytes]) -> Reply:
        self._transaction.queue(command_line)
        if name not in self._commands and not self._host.keyspace.has_command(name):
            self._transaction.record_queue_error()
            raise UnknownCommandError(name)
        return Status("QUEUED")

    def _multi(self) -> Reply:
        self._transaction.begin()
        return OK

    def _discard(self) -> Reply:
        self._transaction.discard()
        return OK

    def _watch(self, *keys: bytes) -> Reply:
        self._transaction.watch(keys, self._host.keyspace.version)
        return OK

    def _unwatch(self) -> Reply:
        self._transaction.unwatch()
        return OK

    def _exec(self) -> Reply:
        closed = self._transaction.close()
        if any(self._host.keyspace.version(key) != version for key, version in closed.watched.items()):
            return None
        return [self.run(command_line) for command_line in closed.command_lines]

    # Subscriptions

    def _subscribe(self, *channels: bytes) -> Reply:
        for channel in channels:
            self.channels.add(channel)
            self.push(b"subscribe", channel, len(self.channels))
        return None

    def _unsubscribe(self, *channels: bytes) -> Reply:
        for channel in channels or list(self.channels):
            self.channels.discard(channel)
            self.push(b"unsubscribe", channel, len(self.channels))
        return None

    def _publish(self, channel: bytes, message: bytes) -> Reply:
        return self._host.publish(channel, message)
