"""Stand-ins of the second review: caches, a coordinator, clients and fronts, all on loopback.

The fronts are the project's own program, started by the line `run` of the deploy file. Everything else is a
small server or client in this process. All times are Unix times in seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import errno
import json
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
MS = 1_000
NS = 1_000_000_000
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


def is_troubled() -> bool:
    """Whether the disruption is played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


GIVEN_PORTS: set[int] = set()


def free_port() -> int:
    """Returns a port on loopback that is free now, below those that the system gives to connections.

    No port is returned twice: between its choice and its use it still looks free.
    """
    for port in random.sample(range(20_000, 30_000), 100):
        if port in GIVEN_PORTS:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            GIVEN_PORTS.add(port)
            return port
    raise RuntimeError("no free port")


Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def listen(talk: Talk, port: int) -> tuple[asyncio.Server, int]:
    """Listens on a port, or on another one if it was taken since it was chosen; returns the port, too."""
    for _ in range(10):
        try:
            return await asyncio.start_server(talk, LOOPBACK, port), port
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            port = free_port()
    raise RuntimeError("no free port to listen on")


class Record:
    """The record of a run: one line an entry, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.time()
        self._path = path
        self._lines: list[str] = []

    def add(self, text: str, at: float | None = None) -> None:
        """Adds an entry."""
        moment = (time.time() if at is None else at) - self.started_at
        self._lines.append(f"{moment:9.3f} {text}")

    def write(self) -> None:
        """Writes all entries, sorted by time, to the file."""
        self._path.write_text("\n".join(sorted(self._lines, key=lambda line: float(line[:9]))) + "\n")


@dataclass(slots=True)
class Fetch:
    """One `fetch` that a cache has received whole."""

    at: float
    cache: str
    id: str
    fields: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    is_given_up: bool = False  # aborted, or its connection has ended
    ended_at: float | None = None

    def answer(self, word: str, body: bytes = b"", **fields: object) -> None:
        """Writes the answer, unless the front has given the fetch up."""
        if self.is_given_up:
            return
        self.ended_at = time.time()
        text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.write(f"{self.id} {word} {text} {len(body)}\r\n".encode() + body + b"\r\n")


class Cache:
    """A cache, a parent or the origin. `serve` answers a fetch; each fetch runs in a task of its own."""

    def __init__(self, name: str, kind: str, zone: str, record: Record, **entry: Any) -> None:
        self.name = name
        self.kind = kind
        self.zone = zone
        self.port = free_port()
        self.entry = entry
        self.fetches: list[Fetch] = []
        self.serve: Callable[[Fetch], Awaitable[None]] = answer_at_once
        self.bytes_of: Callable[[str, str], bytes] = bytes_of
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens."""
        self._server, self.port = await listen(self._talk, self.port)

    def stop(self) -> None:
        """Ends as a process does: it listens no more and resets its connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def listed(self, state: str = "in_service", **more: Any) -> dict[str, Any]:
        """Returns the cache's entry in the coordinator's list."""
        entry = {
            "id": self.name,
            "addr": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "kind": self.kind,
            "cell": 0,
            "state": state,
            "weight": 8,
            "started_ms": 0,
        }
        return {**entry, **self.entry, **more}

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        is_open: dict[str, Fetch] = {}
        try:
            while line := await reader.readline():
                words = line.decode("ascii").split()
                if words[0] == "alive":
                    writer.write(f"{words[1]} PONG\r\n".encode())
                elif words[0] == "abort":
                    self._record.add(f"{self.name} abort {words[1]}")
                    if words[1] in is_open:
                        is_open[words[1]].is_given_up = True
                else:
                    fetch = await self._read_fetch(words, reader, writer)
                    is_open[fetch.id] = fetch
                    task = asyncio.create_task(self._run(fetch))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for fetch in is_open.values():
                fetch.is_given_up = True
            self._writers.discard(writer)
            writer.close()

    async def _read_fetch(
        self, words: list[str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Fetch:
        at = time.time()
        _, request_id, text, length = words
        body = (await reader.readexactly(int(length) + 2))[:-2]
        fields = {} if text == "-" else dict(item.split("=", 1) for item in text.split(","))
        fetch = Fetch(at, self.name, request_id, fields, body, writer)
        self.fetches.append(fetch)
        self._record.add(f"{self.name} fetch {request_id} {text}", at)
        return fetch

    async def _run(self, fetch: Fetch) -> None:
        await self.serve(fetch)


def bytes_of(name: str, part: str) -> bytes:
    """Returns the bytes of an object's part."""
    return f"{name}/{part};".encode() * 40


async def answer_at_once(fetch: Fetch) -> None:
    """Serves a fetch as a warm cache does that has every object, with a copy made just now."""
    await asyncio.sleep(0.02)
    name = fetch.fields["name"]
    fetch.answer(
        "HIT",
        bytes_of(name, fetch.fields["piece"]),
        entity=name[:8],
        issued=int(time.time() * MS),
        why="warm",
    )


@dataclass(frozen=True, slots=True)
class Poll:
    """One call of a front for events."""

    number: int
    came_at: float
    wait_s: float
    index: int  # the last event of the composed answer


class Coordinator:
    """Service discovery: numbered events by long poll. `hold` may delay or withhold an answer."""

    def __init__(self, record: Record, name: str = "coordinator") -> None:
        self.name = name
        self.port = free_port()
        self.events: list[dict[str, Any]] = []
        self.polls = 0
        # Called with a composed answer before it is sent; the answer is not sent if it returns False.
        self.hold: Callable[[Poll], Awaitable[bool]] = send_at_once
        self._record = record
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._is_stopped = False

    async def start(self) -> None:
        """Listens."""
        self._server, self.port = await listen(self._talk, self.port)

    def stop(self) -> None:
        """Accepts no new connection and tells nothing more; closes the open connections after 1.5 s."""
        if self._server is not None:
            self._server.close()
        self._is_stopped = True
        asyncio.get_running_loop().call_later(1.5, self._close_connections)

    def _close_connections(self) -> None:
        for writer in list(self._writers):
            writer.close()

    async def add(self, **event: Any) -> float:
        """Publishes an event; returns the time from which it is in the coordinator."""
        async with self._changed:
            index = len(self.events) + 1
            self.events.append({"index": index, **event})
            at = time.time()
            self._record.add(f"{self.name} has event {index}: {json.dumps(event)[:200]}", at)
            self._changed.notify_all()
        return at

    def known(self) -> dict[str, Any]:
        """Returns all events so far in the form of `known`."""
        return {"index": len(self.events), "updates": list(self.events)}

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                query = line.split()[1].decode().partition("?")[2]
                parameters = dict(item.split("=") for item in query.split("&"))
                await self._answer(int(parameters["follow"]), int(parameters["wait_ms"]) / MS, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, after: int, wait_s: float, writer: asyncio.StreamWriter) -> None:
        self.polls += 1
        poll = self.polls
        came_at = time.time()
        self._record.add(f"{self.name} poll {poll}: follow={after} wait={wait_s:.1f}")
        with contextlib.suppress(asyncio.TimeoutError):
            async with self._changed:
                await asyncio.wait_for(
                    self._changed.wait_for(lambda: len(self.events) > after), min(5.0, wait_s)
                )
        index = len(self.events)
        body = json.dumps({"index": index, "updates": self.events[after:]}).encode()
        if self._is_stopped:
            return
        if not await self.hold(Poll(poll, came_at, wait_s, index)):
            self._record.add(f"{self.name} leaves poll {poll} unanswered and open")
            await asyncio.sleep(1_000)
        if not writer.transport.is_closing():
            self._record.add(f"{self.name} answers poll {poll} up to event {index}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()


async def send_at_once(_poll: Poll) -> bool:
    """Delays no answer."""
    return True


def _die_with_case() -> None:
    """Has the kernel kill the process that is about to start if the case ends without ending it."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Front:
    """One proxy, started by the line `run` of the deploy file which is killed if the case dies."""

    def __init__(
        self, name: str, folder: Path, config: dict[str, Any], operator: dict[str, Any] | None = None
    ) -> None:
        self.name = name
        self.port = free_port()
        self._folder = folder
        self._config_path = folder / f"{name}.json"
        self._environment = dict(os.environ)
        self._environment.update(
            BALANCER_NAME=name,
            BALANCER_LISTEN=f"{LOOPBACK}:{self.port}",
            BALANCER_CONFIG=str(self._config_path),
            TMPDIR=str(folder),
        )
        if operator is not None:
            operator_path = folder / f"{name}.yaml"
            operator_path.write_text(json.dumps(operator))  # JSON is YAML
            self._environment["OLIVEPOST_OPERATOR"] = str(operator_path)
        self.write_config(config)
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / f"{name}.log"

    def write_config(self, config: dict[str, Any]) -> None:
        """Replaces the configuration file."""
        own = {**config, "name": self.name, "listen": f"{LOOPBACK}:{self.port}"}
        temporary = self._config_path.with_suffix(".new")
        temporary.write_text(json.dumps(own))
        temporary.replace(self._config_path)

    async def start(self) -> None:
        """Starts the process, and waits until its health check answers 200."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_die_with_case,
            )
        deadline = time.time() + 30
        while time.time() < deadline:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(b"GET /-/healthy HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} did not get ready:\n{self.log_path.read_text()[-2000:]}")

    def signal(self, number: int) -> None:
        """Sends a signal to the program that `run` started."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def check_running(self) -> None:
        """Raises RuntimeError if the process has ended by itself."""
        if self.process is None or self.process.poll() is not None:
            raise RuntimeError(f"{self.name} has ended: {self.log_path.read_text()[-1000:]}")

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


@dataclass(frozen=True, slots=True)
class Question:
    """One request of a client."""

    class_name: str
    name: str
    patience_ms: int
    part: int = 0
    group: int = 0
    method: str = "GET"
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def encode(self, request_id: str) -> bytes:
        """Returns the request as HTTP/1.1."""
        lines = [
            f"{self.method} /api/v2/{self.class_name}/{self.name}/slice-{self.part} HTTP/1.1",
            "Host: backend.local",
            f"X-Call-Id: {request_id}",
            f"X-Patience-Ms: {self.patience_ms}",
            f"X-Set: {self.group}",
            *(f"{key}: {value}" for key, value in self.headers.items()),
        ]
        if self.body:
            lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + self.body


@dataclass(slots=True)
class Answer:
    """What a client got for one request; `status` is None if the connection ended without a whole answer."""

    id: str
    sent_at: float
    status: int | None
    ended_at: float
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Client:
    """A client that sends one request at a time and keeps its connection alive."""

    _count = 0

    def __init__(self, front: Front, record: Record) -> None:
        self._front = front
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._used_at = 0.0

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def ask(self, question: Question) -> Answer:
        """Sends one request and waits for its answer, for half a second longer than its time."""
        Client._count += 1
        request_id = f"{Client._count:016x}"
        data = question.encode(request_id)
        is_ended = self._reader is not None and self._reader.at_eof()
        if is_ended or time.time() - self._used_at > 4:
            self.close()
        sent_at = time.time()
        try:
            answer = await asyncio.wait_for(self._exchange(request_id, data), question.patience_ms / MS + 0.5)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            answer = Answer(request_id, sent_at, None, time.time())
        answer.sent_at = sent_at
        self._used_at = time.time()
        self._record.add(
            f"{self._front.name} asked {request_id} {question.class_name} {question.name}", sent_at
        )
        self._record.add(
            f"{self._front.name} answered {request_id}: {answer.status} {len(answer.body)} bytes",
            answer.ended_at,
        )
        return answer

    async def _exchange(self, request_id: str, data: bytes) -> Answer:
        if self._writer is None or self._writer.transport.is_closing():
            self._reader, self._writer = await asyncio.open_connection(LOOPBACK, self._front.port)
        reader = self._reader
        assert reader is not None
        self._writer.write(data)
        status_line = await reader.readline()
        status = int(status_line.split()[1]) if status_line else None
        headers: dict[str, str] = {}
        while line := (await reader.readline()).strip():
            key, _, value = line.decode("latin-1").partition(":")
            headers[key.lower()] = value.strip()
        body = b""
        if status is not None and status != 304:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close" or status is None:
            self.close()
        return Answer(request_id, 0.0, status, time.time(), headers, body)


def settings(zone: str = "edge-1", fronts: int = 1, **more: Any) -> dict[str, Any]:
    """Returns settings as of `bengal-service`, for a branch `edge-1` at the hub `north`."""
    result: dict[str, Any] = {
        "classes": [
            {
                "aim": NS // 2,
                "aim-stretch": 1.6,
                "deadline": 6 * NS,
                "effect": "read_like",
                "gain": 2.0,
                "group": "all",
                "late-worth": 0.15,
                "name": "large",
                "streaming": False,
                "window": 5 * NS,
            },
            {
                "aim": 3 * NS // 10,
                "aim-stretch": 2.0,
                "deadline": 5 * NS // 2,
                "effect": "read_like",
                "gain": 1.0,
                "group": "all",
                "late-worth": 0.2,
                "name": "small",
                "streaming": False,
                "window": 5 * NS,
            },
        ],
        "clients": {"marks-retry": True},
        "contract": {
            "ask-within": 10 * NS,
            "cold-from": 0.19,
            "drain-grace": NS // 2,
            "fall": 2 * NS,
            "fall-multiple": 3.0,
            "grace-to-answer": 8_000_000,
            "warm-within": 12 * NS,
        },
        "failure-domains": ["north", "edge-1"],
        "family-info": {
            "can-join": True,
            "class-stale-worth": [0.7, 0.7],
            "direct": False,
            "gone-everywhere": 6 * NS,
            "hub-of": [0, 0],
            "in-pieces": [False, False],
            "inlet-cost": 0.06,
            "inlet-kb-per-s": [0.0, 60335.0],
            "lateral": "off",
            "max-age": [0, 8 * NS],
            "notice-time": 3 * NS // 10,
            "origin-over-for": 3 * NS,
            "pace-kb-per-s": 6000.0,
            "parent-breaks-at": 2.0,
            "parent-cold": 22 * NS,
            "parent-floor": 0.078,
            "parent-kind": 1,
            "pass-on": [False, False],
            "root-fall-multiple": 0.0,
            "store-kind": 2,
            "tells": "hit",
            "usable-after": [0, 30 * NS],
            "zone-balancers": [0, fronts],
        },
        "kind-of-service": "edge",
        "kinds": ["standard", "parent", "origin"],
        "limits": {
            "attempts-cap": 6,
            "cancel": True,
            "conn-idle": 30 * NS,
            "connect-timeout": 4 * NS // 10,
            "cpu-us-per-s": 666_666,
            "max-retry-after": NS,
            "max-streams": 32,
            "most-held": 26_666,
            "peers": False,
            "probing": False,
            "retry-after": True,
            "second-copies": True,
        },
        "load-report": {"fields": [], "how": "off"},
        "my-number": 0,
        "registry-mode": "push",
        "siblings": fronts,
        "tenants": [],
        "tick": 2_000_000,
        "tier": 0,
        "tiers": ["doc-cache"],
        "weights": "rough",
        "worth-by": "request",
        "zone": zone,
    }
    result.update(more)
    return result


def configuration(
    coordinator: Coordinator, own_settings: dict[str, Any], *, has_own_copies: bool = False
) -> dict[str, Any]:
    """Returns a front's configuration with the coordinator's events so far."""
    config: dict[str, Any] = {
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "coordinator": f"{LOOPBACK}:{coordinator.port}",
        "known": coordinator.known(),
        "settings": own_settings,
    }
    if has_own_copies:
        config.update(flow_bytes_per_s=310_000, link_bytes_per_s=1_240_000)
    return config
