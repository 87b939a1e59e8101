"""One client connection's state: handshake, authentication, transactions and subscriptions."""

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

DEFAULT_USER = b"default"
SERVER_VERSION = b"7.4.0"  # that HELLO tells
BEFORE_AUTHENTICATION = frozenset({"AUTH", "HELLO", "QUIT"})
NEVER_QUEUED = frozenset({"EXEC", "DISCARD", "MULTI", "WATCH", "QUIT"})
HELLO_NEEDS_AUTHENTICATION = (
    "HELLO must be called with the client already authenticated, otherwise the "
    "HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and "
    "select the RESP protocol version at the same time"
)


class SessionHost(Protocol):
    """What a session needs of its server."""

    keyspace: Keyspace
    users: dict[str, str] | None  # passwords by user; None: no authentication is needed

    def publish(self, channel: bytes, message: bytes) -> int:
        """Sends a message to a channel's subscribers; how many there are."""


class Session:
    """One connection. Not thread-safe: the server's thread owns it."""

    def __init__(self, host: SessionHost, number: int, write: Callable[[bytes], None]) -> None:
        self.number = number
        self.channels: set[bytes] = set()
        self._host = host
        self._write = write
        self._is_resp3 = False
        self._is_authenticated = host.users is None
        self._client_name = b""
        self._queued: list[list[bytes]] | None = None  # commands of an open transaction
        self._has_queue_error = False
        self._watched: dict[bytes, int] = {}  # versions of keys
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
        """A reply in the version of the protocol that the client chose."""
        return encode(reply, self._is_resp3)

    def push(self, *words: bytes | int) -> None:
        """Writes a message that is no reply."""
        self._write(self.encode(Push(words)))

    def run(self, words: list[bytes]) -> Reply:
        """One command's reply, which may be a CommandError."""
        name = words[0].decode(errors="replace").upper()
        try:
            if not self._is_authenticated and name not in BEFORE_AUTHENTICATION:
                raise NotAuthenticatedError
            if self._queued is not None and name not in NEVER_QUEUED:
                return self._queue(name, words)
            return self._call(name, words)
        except CommandError as error:
            return error

    def _call(self, name: str, words: list[bytes]) -> Reply:
        command = self._commands.get(name)
        if command is None:
            return self._host.keyspace.call(words)
        command.check_count(len(words) - 1)
        return command.handler(*words[1:])

    # Handshake

    def _authenticate(self, *words: bytes) -> Reply:
        if len(words) == 1:
            user = DEFAULT_USER
            password = words[0]
        else:
            user = words[0]
            password = words[1]
        users = self._host.users
        if users is None:
            raise GenericError("AUTH <password> called without any password configured for the default user.")
        if users.get(user.decode(errors="replace")) != password.decode(errors="replace"):
            raise WrongPasswordError
        self._is_authenticated = True
        return OK

    def _hello(self, *words: bytes) -> Reply:
        if words and words[0] not in (b"2", b"3"):
            raise CommandError("NOPROTO", "unsupported protocol version")
        self._read_hello_options(list(words[1:]))
        if not self._is_authenticated:
            raise NotAuthenticatedError(HELLO_NEEDS_AUTHENTICATION)
        if words:
            self._is_resp3 = words[0] == b"3"
        return {
            b"server": b"redis",
            b"version": SERVER_VERSION,
            b"proto": 3 if self._is_resp3 else 2,
            b"id": self.number,
            b"mode": b"standalone",
            b"role": b"master",
            b"modules": [],
        }

    def _read_hello_options(self, words: list[bytes]) -> None:
        while words:
            option = words.pop(0).upper()
            if option == b"AUTH" and len(words) >= 2:
                self._authenticate(words.pop(0), words.pop(0))
            elif option == b"SETNAME" and words:
                self._client_name = words.pop(0)
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

    def _queue(self, name: str, words: list[bytes]) -> Reply:
        assert self._queued is not None
        self._queued.append(words)
        if name not in self._commands and not self._host.keyspace.knows(name):
            self._has_queue_error = True
            raise UnknownCommandError(name)
        return Status("QUEUED")

    def _multi(self) -> Reply:
        if self._queued is not None:
            raise GenericError("MULTI calls can not be nested")
        self._queued = []
        self._has_queue_error = False
        return OK

    def _discard(self) -> Reply:
        if self._queued is None:
            raise GenericError("DISCARD without MULTI")
        self._queued = None
        self._watched = {}
        return OK

    def _watch(self, *keys: bytes) -> Reply:
        if self._queued is not None:
            raise GenericError("WATCH inside MULTI is not allowed")
        for key in keys:
            self._watched[key] = self._host.keyspace.version(key)
        return OK

    def _unwatch(self) -> Reply:
        self._watched = {}
        return OK

    def _exec(self) -> Reply:
        if self._queued is None:
            raise GenericError("EXEC without MULTI")
        queued = self._queued
        watched = self._watched
        self._queued = None
        self._watched = {}
        if self._has_queue_error:
            raise CommandError("EXECABORT", "Transaction discarded because of previous errors.")
        if any(self._host.keyspace.version(key) != version for key, version in watched.items()):
            return None
        return [self.run(words) for words in queued]

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
