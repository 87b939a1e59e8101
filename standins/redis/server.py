"""The server of the stand-in store: a thread with an event loop, its connections, and the active faults.

`Server` owns the thread, the listener and the connections. Commands run on the thread one after another.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import ssl
import threading
import time
from collections.abc import Callable
from typing import Any, TypeVar

from standins.redis.errors import CommandError, GenericError, ProtocolError
from standins.redis.faults import Faults, Step
from standins.redis.keyspace import Keyspace
from standins.redis.resp import encode, read_command
from standins.redis.session import Session

# Time between two snapshots, which are taken only if the schedule restarts the store from a snapshot.
SNAPSHOT_INTERVAL_S = 0.2
PAUSE_POLL_S = 0.005
CALL_TIMEOUT_S = 5.0  # longest wait for the server's thread to run a function of another thread, or to end
MAX_LINE_BYTES = 1 << 20
# Commands whose handlers write the replies themselves, so that the server must not write another reply.
SELF_REPLYING = frozenset({b"SUBSCRIBE", b"UNSUBSCRIBE"})

Result = TypeVar("Result")


def unix_ms() -> int:
    """Returns the current Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Server:
    """A stand-in store that runs on its own thread.

    Another thread may call `call` and `close`, and may assign `users` and fields of `faults`. Everything else
    belongs to the server's thread. `call` runs a function on that thread.
    """

    def __init__(
        self,
        listen: tuple[str, int] = ("127.0.0.1", 0),
        *,
        seed: int = 1,
        users: dict[str, str] | None = None,
        schedule: list[Step] | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.faults = Faults()
        self.users = users
        self.keyspace = Keyspace(unix_ms)
        self.commands = 0  # number of commands received so far
        self._draw = random.Random(seed)
        self._numbers = itertools.count(1)
        self._connections: dict[Session, asyncio.StreamWriter] = {}
        self._schedule = schedule or []
        self._tls = tls
        self._listener: asyncio.Server | None = None
        self._loop = asyncio.new_event_loop()
        self._is_started = threading.Event()
        self._thread = threading.Thread(target=self._run, args=listen, name="standin", daemon=True)
        self._thread.start()
        self._is_started.wait()
        if self._listener is None:
            raise OSError("can't listen on {}:{}".format(*listen))
        self.address: tuple[str, int] = self._listener.sockets[0].getsockname()[:2]

    def _run(self, host: str, port: int) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._listener = self._loop.run_until_complete(
                asyncio.start_server(self._serve, host, port, limit=MAX_LINE_BYTES, ssl=self._tls)
            )
        except OSError:
            return
        finally:
            self._is_started.set()
        if self._schedule:
            self._schedule_task = self._loop.create_task(self._run_schedule())
        self._loop.run_forever()

    def close(self) -> None:
        """Closes the listener and all connections at once, as if the process were killed."""
        if self._loop.is_closed():
            return
        self._loop.call_soon_threadsafe(self._stop)
        self._thread.join(CALL_TIMEOUT_S)
        if not self._thread.is_alive():
            self._loop.close()

    def _stop(self) -> None:
        if self._listener is not None:
            self._listener.close()
        self.cut_all()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.call_soon(self._loop.stop)

    def call(self, function: Callable[[], Result]) -> Result:
        """Runs a function on the server's thread, between two commands, and waits for its result.

        The function must not raise.
        """
        done = threading.Event()
        results: list[Result] = []

        def run() -> None:
            results.append(function())
            done.set()

        self._loop.call_soon_threadsafe(run)
        done.wait(CALL_TIMEOUT_S)
        return results[0]

    def cut_all(self) -> None:
        """Closes all connections at once."""
        for writer in list(self._connections.values()):
            writer.transport.abort()

    def publish(self, channel: bytes, message: bytes) -> int:
        """Sends a message to a channel's subscribers; returns the number of subscribers."""
        subscribers = [session for session in self._connections if channel in session.channels]
        for session in subscribers:
            session.push(b"message", channel, message)
        return len(subscribers)

    # Faults

    async def _run_schedule(self) -> None:
        """Runs the schedule; takes snapshots if the schedule restarts the store from one."""
        start = self._loop.time()
        needs_snapshots = any("back_s" in step.change for step in self._schedule)
        for step in self._schedule:
            while (remaining := start + step.at_s - self._loop.time()) > 0:
                if needs_snapshots:
                    self.keyspace.snapshot()
                await asyncio.sleep(min(remaining, SNAPSHOT_INTERVAL_S))
            self.apply_change(step.change)

    def apply_change(self, change: dict[str, Any]) -> None:
        """Applies the changes of a schedule's entry."""
        for key, value in change.items():
            match key:
                case "lose":
                    self.keyspace.restart_empty()
                    self.cut_all()
                case "back_s":
                    self.keyspace.restart_from_snapshot(int(1000 * value))
                    self.cut_all()
                case "cut_all":
                    self.cut_all()
                case "password":
                    self.users = dict.fromkeys(self.users or {"default": ""}, value)
                case _:
                    setattr(self.faults, key, value)
                    if key == "refuse" and value:
                        self.cut_all()
        self._apply_faults()

    def _apply_faults(self) -> None:
        self.keyspace.is_full = self.faults.full
        self.keyspace.is_read_only = self.faults.read_only

    # Connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.faults.refuse:
            writer.transport.abort()
            return
        session = Session(self, next(self._numbers), writer.write)
        self._connections[session] = writer
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                await self._serve_commands(session, reader, writer)
        finally:
            del self._connections[session]
            writer.close()

    async def _serve_commands(
        self, session: Session, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_open = True
        while is_open:
            try:
                command_line = await read_command(reader)
            except ProtocolError as error:
                writer.write(encode(GenericError(f"Protocol error: {error}"), is_resp3=False))
                return
            if not command_line:
                continue
            self.commands += 1
            if not self._is_unresponsive_to(session):
                is_open = await self._serve_command(session, command_line, writer)

    def _is_unresponsive_to(self, session: Session) -> bool:
        """Whether a fault is active by which this connection's commands neither run nor get a reply."""
        return self.faults.silent or (self.faults.silent_half and session.number % 2 == 1)

    async def _serve_command(
        self, session: Session, command_line: list[bytes], writer: asyncio.StreamWriter
    ) -> bool:
        """Runs one command and replies, subject to the faults; returns whether the connection stays open."""
        self._apply_faults()
        reply = session.run(command_line)
        name = command_line[0].upper()
        while self.faults.pause:
            await asyncio.sleep(PAUSE_POLL_S)
        delay_s = self.faults.delay_s(self._draw)
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        if name in SELF_REPLYING and not isinstance(reply, CommandError):
            return True
        faulty_reply = self.faults.apply_to_reply(session.encode(reply), self._draw)
        writer.write(faulty_reply.data)
        await writer.drain()
        return not (faulty_reply.is_cut or name == b"QUIT")
