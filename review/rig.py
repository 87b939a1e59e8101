"""Stand-ins and helpers of the review's cases: front processes, coordinator, caches, clients and a record.

Everything listens on 127.0.0.1 at ports that the system chooses, and uses the standard library alone.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
LOOPBACK = "127.0.0.1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
RUN_LIMIT_S = 110
READY_LIMIT_S = 30
NS = 1_000_000_000
MS = 1_000_000


class CannotRunError(Exception):
    """Error: the case can't run here, which says nothing about the rule."""


def has_trouble() -> bool:
    """Whether the case's disruption is on; `TROUBLE=0` in the environment turns it off."""
    return os.environ.get("TROUBLE", "1") != "0"


def unix_ms() -> int:
    """Returns the Unix time in milliseconds."""
    return time.time_ns() // MS


class Record:
    """The file `record.txt`: one line for each thing that was sent, answered or run. Thread-safe."""

    def __init__(self, folder: Path) -> None:
        self.began = time.time()
        self._lock = threading.Lock()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def line(self, text: str) -> None:
        """Writes one line with the seconds since the start of the case."""
        with self._lock:
            self._file.write(f"{time.time() - self.began:8.3f} {text}\n")
            self._file.flush()


def listen(port: int = 0) -> socket.socket:
    """Returns a listener on loopback."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, port))
    listener.listen(256)
    return listener


def address_of(listener: socket.socket) -> str:
    """Returns the address of a listener as HOST:PORT."""
    host, port = listener.getsockname()
    return f"{host}:{port}"


def free_address() -> str:
    """Returns an address that was free a moment ago."""
    with listen() as listener:
        return address_of(listener)


class Server:
    """A server with one thread for each connection."""

    def __init__(self) -> None:
        self._listener = listen()
        self.address = address_of(self._listener)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            with sock, sock.makefile("rb") as lines:
                self.serve(sock, lines)
        except (OSError, ValueError):
            return

    def serve(self, sock: socket.socket, lines: Any) -> None:
        """Serves one connection until it ends."""
        raise NotImplementedError


class Coordinator(Server):
    """The coordinator of the protocol page: numbered events by long poll over HTTP/1.1."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        # Answers with larger bodies are sent in the chunked transfer coding, as servers do that write an
        # answer before they know its length. The body of a smaller one fits into such a server's buffer.
        self.chunked_above = 1 << 30
        self.polls = 0
        self.changed = threading.Condition()
        super().__init__()

    def add(self, **event: Any) -> None:
        """Puts an event with the next number into the coordinator."""
        with self.changed:
            self.events.append({"index": len(self.events) + 1, **event})
            self.changed.notify_all()

    def known(self) -> dict[str, Any]:
        """Returns the events so far, in the form of `known` in a configuration."""
        with self.changed:
            return {"index": len(self.events), "updates": list(self.events)}

    def serve(self, sock: socket.socket, lines: Any) -> None:
        """Answers each poll once there are later events, or after the wait that it asks for."""
        while line := lines.readline():
            while lines.readline().strip():
                pass
            query = line.split()[1].decode().partition("?")[2]
            asked = dict(item.split("=", 1) for item in query.split("&"))
            after, wait_s = int(asked["follow"]), min(5.0, int(asked["wait_ms"]) / 1000)
            with self.changed:
                self.polls += 1
                self.changed.wait_for(lambda after=after: len(self.events) > after, wait_s)
                body = json.dumps({"index": len(self.events), "updates": self.events[after:]}).encode()
            sock.sendall(self.encode(body))

    def encode(self, body: bytes) -> bytes:
        """Returns a whole HTTP/1.1 answer with this body."""
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        if len(body) <= self.chunked_above:
            return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        size = self.chunked_above
        parts = [body[start : start + size] for start in range(0, len(body), size)]
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


@dataclass(eq=False)
class Command:
    """One `fetch` that came whole to a cache, parent or origin."""

    server: LineServer
    sock: socket.socket
    id: str
    fields: dict[str, str]
    body: bytes
    is_aborted: bool = False

    def answer(self, word: str, body: bytes = b"", **fields: Any) -> None:
        """Writes an answer, unless the request was given up."""
        text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        data = f"{self.id} {word} {text} {len(body)}\r\n".encode() + body + b"\r\n"
        with self.server.lock:
            if not self.is_aborted:
                self.sock.sendall(data)


class LineServer(Server):
    """A cache, parent or origin: reads commands and gives each `fetch` to `handle` on a thread of its own."""

    def __init__(self, name: str, handle: Callable[[Command], None]) -> None:
        self.name = name
        self.handle = handle
        self.lock = threading.Lock()
        super().__init__()

    def serve(self, sock: socket.socket, lines: Any) -> None:
        """Reads the commands of one connection."""
        open_commands: dict[str, Command] = {}
        try:
            while line := lines.readline():
                self._take(sock, lines, line.decode().split(), open_commands)
        finally:
            for command in open_commands.values():
                command.is_aborted = True

    def _take(self, sock: socket.socket, lines: Any, words: list[str], known: dict[str, Command]) -> None:
        if words[0] == "alive":
            with self.lock:
                sock.sendall(f"{words[1]} PONG\r\n".encode())
        elif words[0] == "abort" and words[1] in known:
            known[words[1]].is_aborted = True
        elif words[0] == "fetch":
            _, call_id, text, length = words
            fields = {} if text == "-" else dict(item.split("=", 1) for item in text.split(","))
            body = lines.read(int(length) + 2)[:-2]
            command = Command(self, sock, call_id, fields, body)
            known[call_id] = command
            threading.Thread(target=self._handle, args=(command,), daemon=True).start()

    def _handle(self, command: Command) -> None:
        try:
            self.handle(command)
        except OSError:
            return

    def entry(self, kind: str, zone: str, **more: Any) -> dict[str, Any]:
        """Returns this server's entry in the list of caches."""
        entry = {"id": self.name, "addr": self.address, "zone": zone, "kind": kind, "cell": 0}
        return {**entry, "state": "in_service", "weight": 4, "started_ms": 0, **more}


@dataclass
class Answer:
    """What a client got; the status is 0 if no whole answer came before the end or in time."""

    status: int
    headers: dict[str, str]
    body: bytes
    took_s: float


def call(address: str, target: str, patience_ms: int, **headers: str) -> Answer:
    """Sends one GET on a new connection and returns the answer."""
    return send(address, "GET", target, patience_ms, b"", headers)


def send(  # noqa: PLR0913 - the parts of one request
    address: str, method: str, target: str, patience_ms: int, body: bytes, headers: dict[str, str]
) -> Answer:
    """Sends one request on a new connection; waits for its patience and half a second more."""
    began = time.monotonic()
    host, _, port = address.rpartition(":")
    lines = [f"{method} {target} HTTP/1.1", "Host: backend.local", f"X-Patience-Ms: {patience_ms}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}"] if body else []
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    try:
        with socket.create_connection((host, int(port)), 2.0) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(data)
            sock.settimeout(patience_ms / 1000 + 0.5)
            return _read_answer(sock, began)
    except (OSError, ValueError, IndexError):
        return Answer(0, {}, b"", time.monotonic() - began)


def _read_answer(sock: socket.socket, began: float) -> Answer:
    with sock.makefile("rb") as lines:
        status = int(lines.readline().split()[1])
        headers: dict[str, str] = {}
        while text := lines.readline().strip().decode():
            name, _, value = text.partition(":")
            headers[name.lower()] = value.strip()
        body = lines.read(int(headers.get("content-length", "0")))
    return Answer(status, headers, body, time.monotonic() - began)


@dataclass
class Front:
    """One real front: the command `run` of the deploy file, started by `/bin/sh -c` from the root."""

    name: str
    config: dict[str, Any]
    folder: Path
    more: dict[str, str] = field(default_factory=dict)
    address: str = ""
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Writes the configuration, starts the front and waits until it is ready."""
        self.address = free_address()
        path = self.folder / f"{self.name}.json"
        self.write_config(path)
        temporary = self.folder / f"tmp-{self.name}"
        temporary.mkdir(exist_ok=True)
        told = {"BALANCER_NAME": self.name, "BALANCER_LISTEN": self.address, "BALANCER_CONFIG": str(path)}
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        log = (self.folder / f"{self.name}.log").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]],
            cwd=ROOT,
            env={**os.environ, **told, **self.more, "TMPDIR": str(temporary)},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self._wait_until_ready()

    def write_config(self, path: Path) -> None:
        """Writes the configuration of this front."""
        data = {"name": self.name, "listen": self.address, **self.config}
        path.with_suffix(".new").write_text(json.dumps(data))
        path.with_suffix(".new").replace(path)

    def _wait_until_ready(self) -> None:
        until = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < until:
            if self.process is None or self.process.poll() is not None:
                break
            if call(self.address, "/-/healthy", 500).status == 200:
                return
            time.sleep(0.05)
        raise CannotRunError(f"{self.name} did not become ready; see its log: {self.log_text()[-400:]}")

    def log_text(self) -> str:
        """Returns the log of the front so far."""
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    def stop(self) -> None:
        """Kills the front, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)


def configuration(coordinator: str, known: dict[str, Any], settings: dict[str, Any]) -> dict[str, Any]:
    """Returns what a front's configuration holds besides its name and address."""
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    rates = {"flow_bytes_per_s": 310_000, "link_bytes_per_s": 1_240_000}
    return {
        "seed": "8c1f30d27a5be964",
        "limits": limits,
        "coordinator": coordinator,
        **rates,
        "known": known,
        "settings": settings,
    }


def run_case(case: Callable[[Path, Record], int], folder: Path) -> int:
    """Runs a case under a limit of time and returns the exit code of its script.

    Whatever keeps the case from its end, be it an error or a signal from outside, gives `CANNOT_RUN`.
    """
    numbers = (signal.SIGALRM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    def give_up(_number: int, _frame: object) -> None:
        for number in numbers:  # nothing interrupts the end of the processes that the case started
            signal.signal(number, signal.SIG_IGN)
        raise CannotRunError("the limit of time was reached, or the case was ended from outside")

    for number in numbers:
        signal.signal(number, give_up)
    signal.alarm(RUN_LIMIT_S)
    try:
        code = _play(case, folder)
    except Exception as error:  # noqa: BLE001 - an error of the case says nothing about the rule
        sys.stdout.write(f"{type(error).__name__}: {error}\n")
        code = CANNOT_RUN
    sys.stdout.write(f"exit code {code}: {('the rule held', 'the rule was broken', 'could not run')[code]}\n")
    return code


def _play(case: Callable[[Path, Record], int], folder: Path) -> int:
    """Runs a case in a temporary folder and records its exit code, or the error that ended it."""
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        code = case(temporary, record)
        record.line(f"exit code {code}")
    except Exception as error:
        record.line(f"can't run: {type(error).__name__}: {error}")
        raise
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    return code
