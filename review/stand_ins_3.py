"""Stand-ins of the platform for the cases 9 and later: caches, the coordinator, clients, and started fronts.

They follow the protocol page and use the standard library only. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
MS = 1_000_000  # nanoseconds
READY_TIMEOUT_S = 30.0
HELD, BROKEN, UNABLE = 0, 1, 2  # exit codes of a case's script
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_LINE = 4_096


def now_ms() -> float:
    """Returns the Unix time in milliseconds."""
    return time.time_ns() / MS


class Record:
    """Writes what happens to a file, one line an event, with the Unix time in milliseconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = now_ms()

    def note(self, text: str) -> None:
        """Writes one line."""
        at = now_ms()
        self._file.write(f"{at:.1f} +{(at - self._began) / 1000:8.3f}s {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


@dataclass
class Fetch:
    """One `fetch` that a cache, a parent or the origin has received."""

    endpoint: str
    id: str
    fields: dict[str, str]
    body: bytes
    first_byte_ms: float  # when its first byte was read
    whole_ms: float  # when it had come whole
    writer: asyncio.StreamWriter

    async def answer(self, word: str, body: bytes = b"", **fields: str) -> None:
        """Writes an answer to the fetch."""
        text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        with contextlib.suppress(OSError):
            self.writer.write(f"{self.id} {word} {text} {len(body)}\r\n".encode() + body + b"\r\n")
            await self.writer.drain()


Handler = Callable[["Endpoint", Fetch], Awaitable[None]]


class Endpoint:
    """A cache, a parent or the origin, which speaks the line protocol and records what it gets."""

    def __init__(self, endpoint_id: str, kind: str, zone: str, record: Record, handler: Handler) -> None:
        self.id = endpoint_id
        self.kind = kind
        self.zone = zone
        self.weight = 6.0
        self.started_ms = 0
        self.state = "in_service"
        self.fetches: list[Fetch] = []
        self.aborted: set[str] = set()
        self.handler = handler
        self.address = ""
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def entry(self) -> dict[str, Any]:
        """Returns the entry in the list of caches."""
        return {
            "id": self.id,
            "addr": self.address,
            "zone": self.zone,
            "kind": self.kind,
            "cell": 0,
            "state": self.state,
            "weight": self.weight,
            "started_ms": self.started_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._read_command(reader, writer):
                pass
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read_command(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        first = await reader.read(1)
        if not first:
            return False
        first_byte_ms = now_ms()
        line = first + await reader.readline()
        words = line.decode("ascii").split()
        if not words:
            return False
        if words[0] == "alive":
            writer.write(f"{words[1]} PONG\r\n".encode())
        elif words[0] == "abort":
            self.aborted.add(words[1])
        elif words[0] == "fetch":
            size = int(words[3])
            body = (await reader.readexactly(size + 2))[:size]
            pairs = [] if words[2] == "-" else words[2].split(",")
            fields = dict(pair.split("=", 1) for pair in pairs)
            fetch = Fetch(self.id, words[1], fields, body, first_byte_ms, now_ms(), writer)
            self.fetches.append(fetch)
            self._record.note(f"{self.id} got fetch {fetch.id} {words[2]} body={size}")
            task = asyncio.create_task(self.handler(self, fetch))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return True


class Coordinator:
    """The coordinator of one front: numbered events by long poll.

    `hold_s` is how long each answer is held back once it is due; 0 is a prompt coordinator.
    """

    def __init__(self, record: Record, name: str = "coordinator") -> None:
        self.name = name
        self.events: list[dict[str, Any]] = []
        self.hold_s = 0.0
        self.address = ""
        self.told_ms: dict[
            int, float
        ] = {}  # when an answer with the event was written, by the event's number
        self.polls = 0
        self.is_silent = False
        self.is_chunked = False  # whether answers come in chunks, as HTTP/1.1 allows, and not with a length
        self._record = record
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def add(self, **event: Any) -> int:
        """Adds an event, and returns its number."""
        number = len(self.events) + 1
        self.events.append({"index": number, **event})
        self._record.note(f"{self.name} has event {number}: {json.dumps(event)[:300]}")
        self._changed.set()
        self._changed = asyncio.Event()
        return number

    def known(self) -> dict[str, Any]:
        """Returns the events so far, in the form of an answer."""
        return {"index": len(self.events), "updates": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                await self._answer(line.decode("ascii"), reader, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close_listener(self) -> None:
        """Accepts no further connection."""
        if self._server is not None:
            self._server.close()
        self._record.note(f"{self.name} accepts no new connection and tells nothing more")
        self.is_silent = True

    def close_connections(self) -> None:
        """Closes the open connections."""
        for writer in list(self._writers):
            writer.close()

    async def _answer(self, line: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        match = re.search(r"follow=(\d+)&wait_ms=(\d+)", line)
        if match is None:
            raise ValueError(line)
        follow, wait_s = int(match[1]), min(5_000, int(match[2])) / 1000
        self.polls += 1
        poll = self.polls
        self._record.note(f"{self.name} got poll {poll} follow={follow} wait={wait_s}s")
        until = time.monotonic() + wait_s
        while len(self.events) <= follow and (left := until - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        if self.hold_s:
            self._record.note(f"{self.name}: answer to poll {poll} is due, it leaves in {self.hold_s} s")
            await asyncio.sleep(self.hold_s)
        if reader.at_eof():
            self._record.note(f"{self.name}: the front has closed the connection of poll {poll}")
            raise ValueError("closed")
        if self.is_silent:
            await asyncio.sleep(3600)
        body = json.dumps({"index": len(self.events), "updates": self.events[follow:]}).encode()
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        if self.is_chunked:
            head += "Transfer-Encoding: chunked\r\n\r\n"
            body = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
        else:
            head += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        for event in self.events[follow:]:
            self.told_ms.setdefault(event["index"], now_ms())
        self._record.note(f"{self.name} answered poll {poll} with {len(self.events) - follow} events")


def free_port() -> int:
    """Returns a free port."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


@dataclass
class Front:
    """One front, started as the deploy file says."""

    name: str
    config: dict[str, Any]
    folder: Path
    record: Record
    address: tuple[str, int] = (LOOPBACK, 0)
    process: subprocess.Popen[bytes] | None = None
    _log: Any = field(default=None)

    def write_config(self) -> Path:
        """Writes the configuration, replacing the file whole."""
        path = self.folder / f"{self.name}.json"
        part = path.with_suffix(".part")
        part.write_text(json.dumps(self.config))
        part.replace(path)
        return path

    def start(self) -> None:
        """Starts the process, by `run` of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        if not self.address[1]:
            self.address = (LOOPBACK, free_port())
        listen = f"{self.address[0]}:{self.address[1]}"
        self.config["listen"] = listen
        scratch = Path(tempfile.mkdtemp(dir=self.folder))
        environment = {
            **{name: value for name, value in os.environ.items() if name != "PYTHONPATH"},
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": listen,
            "BALANCER_CONFIG": str(self.write_config()),
            "TMPDIR": str(scratch),
        }
        self._log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )
        self.record.note(f"started {self.name} pid {self.process.pid} on {listen}")

    async def wait_ready(self) -> None:
        """Waits until the health check is answered with 200."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /-/healthy HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if line.split()[1:2] == [b"200"]:
                    self.record.note(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready after {READY_TIMEOUT_S} s")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the program that `run` started."""
        assert self.process is not None
        self.process.send_signal(number)
        self.record.note(f"sent {number.name} to {self.name}")

    def end(self) -> None:
        """Kills the process, if it still runs, and waits for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
        if self._log is not None:
            self._log.close()
            log = (self.folder / f"{self.name}.log").read_text(errors="replace")
            for line in log.splitlines()[-40:]:
                self.record.note(f"log of {self.name}: {line[:400]}")


@dataclass
class Answer:
    """What a client got for one request. Status 0: the connection ended with no whole answer."""

    id: str
    sent_ms: float
    done_ms: float
    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """A client with one connection that is kept alive, one request at a time."""

    _count = int(time.time_ns())

    def __init__(self, front: Front, record: Record, address: tuple[str, int] | None = None) -> None:
        self._front = front
        self._address = address  # of a proxy between the client and the front, or None if there is none
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @classmethod
    def new_id(cls) -> str:
        """Returns an id that no request has had before."""
        Client._count += 1
        return f"{Client._count & 0xFFFFFFFFFFFFFFFF:016x}"

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def request(
        self, target: str, patience_ms: int, group: int, method: str = "GET", body: bytes = b"", **more: str
    ) -> Answer:
        """Sends one request and reads its answer, until 0.6 s after the client's patience has ended."""
        call_id = self.new_id()
        headers = {
            "Host": "backend.local",
            "X-Call-Id": call_id,
            "X-Patience-Ms": str(patience_ms),
            "X-Set": str(group),
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        if method != "GET":
            headers["Content-Length"] = str(len(body))
        head = f"{method} /api/v2/{target} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if self._writer is None:
            address = self._address or self._front.address
            self._reader, self._writer = await asyncio.open_connection(*address)
        self._writer.write(head.encode() + b"\r\n" + body)
        sent = now_ms()
        self._record.note(
            f"client sent {method} {target} id={call_id} patience={patience_ms} to {self._front.name}"
        )
        answer = Answer(call_id, sent, sent, 0, {}, b"")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            await asyncio.wait_for(self._read(answer), patience_ms / 1000 + 0.6)
        answer.done_ms = now_ms()
        if answer.status == 0 or answer.headers.get("connection", "").lower() == "close":
            self.close()
        took = answer.done_ms - sent
        self._record.note(f"client got {answer.status} for id={call_id} after {took:.1f} ms")
        return answer

    async def _read(self, answer: Answer) -> None:
        assert self._reader is not None
        status = int((await self._reader.readline()).split()[1])
        headers: dict[str, str] = {}
        while line := (await self._reader.readline()).strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        length = 0 if status == 304 else int(headers.get("content-length", "0"))
        body = await self._reader.readexactly(length)
        answer.status, answer.headers, answer.body = status, headers, body


def settings(**changes: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment, with the figures of bengal-service where it has one.

    `changes` replace whole sections or single keys at the top.
    """
    second = 1_000_000_000
    base: dict[str, Any] = {
        "classes": [
            {
                "name": "large",
                "aim": second // 2,
                "aim-stretch": 1.6,
                "deadline": 6 * second,
                "effect": "read_like",
                "gain": 2.0,
                "group": "all",
                "late-worth": 0.15,
                "streaming": False,
                "window": 5 * second,
            },
            {
                "name": "small",
                "aim": 3 * second // 10,
                "aim-stretch": 2.0,
                "deadline": 5 * second // 2,
                "effect": "read_like",
                "gain": 1.0,
                "group": "all",
                "late-worth": 0.2,
                "streaming": False,
                "window": 5 * second,
            },
        ],
        "clients": {"marks-retry": True},
        "contract": {
            "ask-within": 10 * second,
            "cold-from": 0.19,
            "drain-grace": second // 2,
            "fall": 2 * second,
            "fall-multiple": 3.0,
            "grace-to-answer": 8_000_000,
            "warm-within": 12 * second,
        },
        "failure-domains": ["north", "edge-1"],
        "family-info": {
            "can-join": True,
            "class-stale-worth": [0.7, 0.7],
            "direct": False,
            "gone-everywhere": 6 * second,
            "hub-of": [0, 0],
            "in-pieces": [False, False],
            "inlet-cost": 0.06,
            "inlet-kb-per-s": [0.0, 60335.0],
            "lateral": "off",
            "max-age": [0, 8 * second],
            "notice-time": 3 * second // 10,
            "origin-over-for": 3 * second,
            "pace-kb-per-s": 6000.0,
            "parent-breaks-at": 2.0,
            "parent-cold": 22 * second,
            "parent-floor": 0.078,
            "parent-kind": 1,
            "pass-on": [False, False],
            "root-fall-multiple": 0.0,
            "store-kind": 2,
            "tells": "hit",
            "usable-after": [0, 30 * second],
            "zone-balancers": [0, 1],
        },
        "kind-of-service": "edge",
        "kinds": ["standard", "parent", "origin"],
        "limits": {
            "attempts-cap": 6,
            "cancel": True,
            "conn-idle": 30 * second,
            "connect-timeout": 2 * second // 5,
            "max-retry-after": second,
            "max-streams": 32,
            "most-held": 26666,
            "peers": False,
            "probing": False,
            "retry-after": True,
            "second-copies": True,
        },
        "load-report": {"fields": [], "how": "off"},
        "my-number": 0,
        "registry-mode": "push",
        "siblings": 1,
        "tenants": [],
        "tick": 2_000_000,
        "tier": 0,
        "tiers": ["doc-cache"],
        "weights": "rough",
        "worth-by": "request",
        "zone": "edge-1",
    }
    return {**base, **changes}


def front_config(coordinator: Coordinator, info: dict[str, Any], seed: int) -> dict[str, Any]:
    """Returns the configuration of one front."""
    return {
        "name": "n0",
        "listen": "",
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "coordinator": coordinator.address,
        "flow_bytes_per_s": 310_000,
        "link_bytes_per_s": 1_240_000,
        "known": coordinator.known(),
        "settings": info,
    }


async def serve_all(_endpoint: Endpoint, fetch: Fetch) -> None:
    """Answers a fetch as a sound cache that has every object."""
    await asyncio.sleep(0.02)
    name = fetch.fields["name"] + fetch.fields["piece"]
    issued = str(int(now_ms()) - 100)
    await fetch.answer("HIT", (name * 100).encode(), entity=f"t{name}", issued=issued, why="warm")


async def ask_for_objects(
    front: Front, record: Record, seed: int, seconds: float, statuses: list[int]
) -> None:
    """Asks for one object after another, five a second, each of them a new one."""
    source = random.Random(seed)
    client = Client(front, record)
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        target = f"large/{source.getrandbits(64):016x}/slice-0"
        try:
            answer = await client.request(target, 3_000, source.randrange(256))
            statuses.append(answer.status)
        except OSError:
            statuses.append(0)
            client.close()
        await asyncio.sleep(0.2 * source.uniform(0.5, 1.5))
    client.close()


async def start_endpoints(record: Record, caches: int = 4, parents: int = 2) -> list[Endpoint]:
    """Starts the caches of one branch, the parents and the origin."""
    endpoints = [Endpoint(f"cache-{n}", "standard", "edge-1", record, serve_all) for n in range(caches)]
    endpoints += [Endpoint(f"hub-{n}", "parent", "north", record, serve_all) for n in range(parents)]
    endpoints.append(Endpoint("library", "origin", "north", record, serve_all))
    for endpoint in endpoints:
        await endpoint.start()
    return endpoints


def late_sends(
    record: Record, endpoints: list[Endpoint], drained: str, told_ms: float, grace_ms: float
) -> int:
    """Counts the requests to a drained cache, or with it as source, that began after the grace."""
    late = [
        fetch
        for endpoint in endpoints
        for fetch in endpoint.fetches
        if fetch.first_byte_ms > told_ms + grace_ms
        and (endpoint.id == drained or fetch.fields.get("miss") == drained)
    ]
    for fetch in late:
        after = fetch.first_byte_ms - told_ms
        record.note(f"RULE BROKEN: {fetch.endpoint} got {fetch.id} {after:.0f} ms after the drain was told")
    record.note(
        f"{len(late)} requests to {drained} began later than {grace_ms:.0f} ms after its drain was told"
    )
    return len(late)


def run_case(
    folder: Path, title: str, play: Callable[[Record, Path], Awaitable[int]], limit_s: float = 100
) -> int:
    """Runs a case; returns the exit code of its script: 1 broken, 0 held, 2 it could not run."""
    record = Record(folder / "record.txt")
    record.note(title)

    async def limited(scratch: Path) -> int:
        async with asyncio.timeout(limit_s):
            return await play(record, scratch)

    try:
        with tempfile.TemporaryDirectory() as scratch:
            code = asyncio.run(limited(Path(scratch)))
    except Exception as error:  # noqa: BLE001 - whatever kept the case from running
        record.note(f"the case could not run: {error!r}")
        code = UNABLE
    record.note(f"exit {code}")
    record.close()
    return code
