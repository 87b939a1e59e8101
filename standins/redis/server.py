"""Connections of a stand-in store: RESP2 and RESP3, HELLO, AUTH, transactions, pub/sub, faults."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import ssl
import threading
import time
from collections.abc import Callable
from typing import Any

from standins.redis.faults import Faults, Step
from standins.redis.keyspace import OK, Keyspace, Reply, Status, Wrong

MOST_WORDS, MOST_BYTES = 1_048_576, 512 * 1_048_576
NO_AUTH = "NOAUTH Authentication required."
WRONG_PASS = "WRONGPASS invalid username-password pair or user is disabled."
SNAPSHOT_EVERY = 0.2  # seconds, while a schedule needs them


class ProtocolFault(Exception):
    """Bytes that are no command."""


def encode(reply: Reply, three: bool) -> bytes:
    """A reply in either protocol; maps and nulls differ."""
    match reply:
        case None:
            return b"_\r\n" if three else b"$-1\r\n"
        case Wrong():
            return b"-%b\r\n" % str(reply).replace("\r", " ").replace("\n", " ").encode()
        case Status():
            return b"+%b\r\n" % reply.encode()
        case bool() | int():
            return b":%d\r\n" % reply
        case bytes():
            return b"$%d\r\n%b\r\n" % (len(reply), reply)
        case str():
            return encode(reply.encode(), three)
        case dict():
            items = [encode(word, three) for pair in reply.items() for word in pair]
            head = b"%%%d\r\n" % len(reply) if three else b"*%d\r\n" % len(items)
            return head + b"".join(items)
        case Push():
            head = (b">" if three else b"*") + b"%d\r\n" % len(reply)
            return head + b"".join(encode(item, three) for item in reply)
        case list() | tuple():
            return b"*%d\r\n" % len(reply) + b"".join(encode(item, three) for item in reply)
    raise TypeError(f"no reply: {reply!r}")


class Push(list[Any]):
    """What comes unasked."""


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """The next command: an array of bulk strings, or an inline one."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if not line.startswith(b"*"):
        return line.split()
    words = []
    for _ in range(_length(line[1:], MOST_WORDS)):
        head = (await reader.readuntil(b"\r\n"))[:-2]
        if not head.startswith(b"$"):
            raise ProtocolFault(f"expected '$', got '{head[:1].decode(errors='replace')}'")
        length = _length(head[1:], MOST_BYTES)
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


def _length(text: bytes, most: int) -> int:
    if not text.isdigit() or len(text) > 10 or int(text) > most:
        raise ProtocolFault("invalid bulk length")
    return int(text)


class Session:
    """One connection."""

    def __init__(self, server: Server, number: int, writer: asyncio.StreamWriter) -> None:
        self.server, self.number, self.writer = server, number, writer
        self.three, self.known, self.name = False, server.users is None, b""
        self.queued: list[list[bytes]] | None = None
        self.broken = False  # a queued command was faulty
        self.watched: dict[bytes, int] = {}
        self.channels: set[bytes] = set()

    def run(self, words: list[bytes]) -> Reply:
        """One command's reply."""
        name = words[0].upper()
        try:
            if not self.known and name not in (b"AUTH", b"HELLO", b"QUIT"):
                raise Wrong(NO_AUTH)
            own = getattr(self, f"_{name.decode(errors='replace').lower()}", None) if name.isalpha() else None
            if self.queued is not None and name not in (b"EXEC", b"DISCARD", b"MULTI", b"WATCH", b"QUIT"):
                self.queued.append(words)
                if own is None and not hasattr(self.server.keyspace, f"do_{name.decode().lower()}"):
                    self.broken = True
                    raise Wrong(f"ERR unknown command '{name.decode()}', with args beginning with: ")
                return Status("QUEUED")
            return own(*words[1:]) if own else self.server.keyspace.call(words)
        except TypeError:
            return Wrong(f"ERR wrong number of arguments for '{name.decode().lower()}' command")
        except Wrong as fault:
            return fault

    def _auth(self, *words: bytes) -> Reply:
        user, password = (b"default", words[0]) if len(words) == 1 else (words[0], words[1])
        users = self.server.users
        if users is None:
            raise Wrong("ERR AUTH <password> called without any password configured for the default user.")
        if users.get(user.decode(errors="replace")) != password.decode(errors="replace"):
            raise Wrong(WRONG_PASS)
        self.known = True
        return OK

    def _hello(self, *words: bytes) -> Reply:
        if words and words[0] not in (b"2", b"3"):
            raise Wrong("NOPROTO unsupported protocol version")
        rest = list(words[1:])
        while rest:
            option = rest.pop(0).upper()
            if option == b"AUTH" and len(rest) >= 2:
                self._auth(rest.pop(0), rest.pop(0))
            elif option == b"SETNAME" and rest:
                self.name = rest.pop(0)
            else:
                raise Wrong("ERR Syntax error in HELLO")
        if not self.known:
            raise Wrong(
                "NOAUTH HELLO must be called with the client already authenticated, otherwise the "
                "HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and "
                "select the RESP protocol version at the same time"
            )
        self.three = words[0] == b"3" if words else self.three
        return {
            b"server": b"redis",
            b"version": b"7.4.0",
            b"proto": 3 if self.three else 2,
            b"id": self.number,
            b"mode": b"standalone",
            b"role": b"master",
            b"modules": [],
        }

    def _client(self, verb: bytes, *rest: bytes) -> Reply:
        match verb.upper():
            case b"SETNAME":
                self.name = rest[0]
                return OK
            case b"GETNAME":
                return self.name
            case b"ID":
                return self.number
            case b"SETINFO":
                return OK
        raise Wrong(f"ERR unknown subcommand '{verb.decode(errors='replace')}'. Try CLIENT HELP.")

    def _select(self, number: bytes) -> Reply:
        if number != b"0":
            raise Wrong("ERR DB index is out of range")
        return OK

    def _multi(self) -> Reply:
        if self.queued is not None:
            raise Wrong("ERR MULTI calls can not be nested")
        self.queued, self.broken = [], False
        return OK

    def _discard(self) -> Reply:
        if self.queued is None:
            raise Wrong("ERR DISCARD without MULTI")
        self.queued, self.watched = None, {}
        return OK

    def _watch(self, *keys: bytes) -> Reply:
        if self.queued is not None:
            raise Wrong("ERR WATCH inside MULTI is not allowed")
        self.watched |= {key: self.server.keyspace.version(key) for key in keys}
        return OK

    def _unwatch(self) -> Reply:
        self.watched = {}
        return OK

    def _exec(self) -> Reply:
        if self.queued is None:
            raise Wrong("ERR EXEC without MULTI")
        queued, watched = self.queued, self.watched
        self.queued, self.watched = None, {}
        if self.broken:
            raise Wrong("EXECABORT Transaction discarded because of previous errors.")
        if any(self.server.keyspace.version(key) != version for key, version in watched.items()):
            return None
        return [self.run(words) for words in queued]

    def _subscribe(self, *channels: bytes) -> Reply:
        for channel in channels:
            self.channels.add(channel)
            self.writer.write(encode(Push([b"subscribe", channel, len(self.channels)]), self.three))
        return None

    def _unsubscribe(self, *channels: bytes) -> Reply:
        for channel in channels or [*self.channels]:
            self.channels.discard(channel)
            self.writer.write(encode(Push([b"unsubscribe", channel, len(self.channels)]), self.three))
        return None

    def _publish(self, channel: bytes, text: bytes) -> Reply:
        return self.server.publish(channel, text)


SILENT_REPLIES = (b"SUBSCRIBE", b"UNSUBSCRIBE")  # they write what they say themselves


class Server:
    """A store on a thread of its own; tests change `faults`, `users` and `keyspace` while it runs."""

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        seed: int = 1,
        users: dict[str, str] | None = None,
        now_ms: Callable[[], int] | None = None,
        schedule: list[Step] | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.faults, self.users = Faults(), users
        self.keyspace = Keyspace(now_ms or (lambda: time.time_ns() // 1_000_000))
        self.commands = 0
        self._draw, self._numbers = random.Random(seed), itertools.count(1)
        self._sessions: set[Session] = set()
        self._schedule, self._tls = schedule or [], tls
        self._bound: asyncio.Server | None = None
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, args=(host, port), name="standin", daemon=True)
        self._thread.start()
        self._ready.wait()
        if self._bound is None:
            raise OSError(f"can't listen on {host}:{port}")
        self.address: tuple[str, int] = self._bound.sockets[0].getsockname()[:2]

    def _run(self, host: str, port: int) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._bound = self._loop.run_until_complete(
                asyncio.start_server(self._serve, host, port, limit=1 << 20, ssl=self._tls)
            )
        except OSError:
            return
        finally:
            self._ready.set()
        if self._schedule:
            self._player = self._loop.create_task(self._play())
        self._loop.run_forever()

    def close(self) -> None:
        """Ends as a process that is killed: listener and connections at once."""
        if self._loop.is_closed():
            return

        def end() -> None:
            if self._bound is not None:
                self._bound.close()
            self.cut_all()
            for task in asyncio.all_tasks(self._loop):
                task.cancel()
            self._loop.call_soon(self._loop.stop)

        self._loop.call_soon_threadsafe(end)
        self._thread.join(5.0)
        if not self._thread.is_alive():
            self._loop.close()

    def call(self, what: Callable[[], Any]) -> Any:
        """Runs something on the server's thread, between two commands, and waits for it."""
        done, made = threading.Event(), list[Any]()

        def run() -> None:
            made.append(what())
            done.set()

        self._loop.call_soon_threadsafe(run)
        done.wait(5.0)
        return made[0]

    def cut_all(self) -> None:
        for session in [*self._sessions]:
            session.writer.transport.abort()

    def publish(self, channel: bytes, text: bytes) -> int:
        heard = [session for session in self._sessions if channel in session.channels]
        for session in heard:
            session.writer.write(encode(Push([b"message", channel, text]), session.three))
        return len(heard)

    async def _play(self) -> None:
        """Plays the schedule; snapshots are kept where it goes back to one."""
        start = self._loop.time()
        back = any("back_s" in step.change for step in self._schedule)
        for step in self._schedule:
            while (left := start + step.at_s - self._loop.time()) > 0:
                if back:
                    self.keyspace.snapshot()
                await asyncio.sleep(min(left, SNAPSHOT_EVERY))
            self.change(step.change)

    def change(self, change: dict[str, Any]) -> None:
        """Puts a schedule's entry in force."""
        for key, value in change.items():
            match key:
                case "lose":
                    self.keyspace.lose()
                    self.cut_all()
                case "back_s":
                    self.keyspace.go_back(int(1000 * value))
                    self.cut_all()
                case "cut_all":
                    self.cut_all()
                case "password":
                    self.users = dict.fromkeys(self.users or {"default": ""}, value)
                case _:
                    setattr(self.faults, key, value)
                    if key == "refuse" and value:
                        self.cut_all()
        self.keyspace.full, self.keyspace.read_only = self.faults.full, self.faults.read_only

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.faults.refuse:
            writer.transport.abort()
            return
        session = Session(self, next(self._numbers), writer)
        self._sessions.add(session)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                await self._talk(session, reader)
        finally:
            self._sessions.discard(session)
            writer.close()

    async def _talk(self, session: Session, reader: asyncio.StreamReader) -> None:
        while True:
            try:
                words = await read_command(reader)
            except ProtocolFault as fault:
                session.writer.write(encode(Wrong(f"ERR Protocol error: {fault}"), False))
                return
            if not words:
                continue
            self.commands += 1
            faults = self.faults
            if faults.silent or (faults.silent_half and session.number % 2):
                continue
            self.keyspace.full, self.keyspace.read_only = faults.full, faults.read_only
            reply = session.run(words)
            while self.faults.pause:
                await asyncio.sleep(0.005)
            if (wait := faults.wait_s(self._draw)) > 0:
                await asyncio.sleep(wait)
            if words[0].upper() in SILENT_REPLIES and not isinstance(reply, Wrong):
                continue
            data, ends = self.faults.spoil(encode(reply, session.three), self._draw)
            session.writer.write(data)
            await session.writer.drain()
            if ends or words[0].upper() == b"QUIT":
                return
