"""A toy coordinator and toy endpoints, to try a proxy with: loopback only, one thread a connection.

    python examples/toy_server.py

Endpoints hold every object: its bytes follow from its name. Caches don't keep objects whose name begins with
`0`, so that they fill from a parent; objects whose name begins with `f` are rejected by every endpoint.
"""

from __future__ import annotations

import contextlib
import json
import socket
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any, Protocol

CONFIG = Path(__file__).with_name("config.json")
LOOPBACK = "127.0.0.1"
LINE_END = b"\r\n"
BACKLOG = 64  # connections
MAX_POLL_WAIT_S = 5.0
NO_FIELDS = "-"
NANOSECONDS_PER_MS = 1_000_000
NOT_CACHED_PREFIX = "0"  # of names that caches don't keep
REJECTED_PREFIX = "f"  # of names that every endpoint rejects


def body_of(name: str, part: str) -> bytes:
    """The bytes of an object's part: up to 64 KB, every value of a byte among them."""
    digest = blake2b(f"{name} {part}".encode()).digest()
    repeats = 1 + digest[0] % 200
    return (digest + bytes(range(256))) * repeats


def tag_of(name: str, part: str) -> str:
    """The entity tag of an object's part."""
    return blake2b(body_of(name, part), digest_size=8).hexdigest()


def listen(port: int) -> socket.socket:
    """A listener on loopback; port 0 lets the system choose."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, port))
    listener.listen(BACKLOG)
    return listener


def address_of(listener: socket.socket) -> str:
    """The listener's address as configurations have it."""
    host, port = listener.getsockname()
    return f"{host}:{port}"


class Server:
    """Accepts connections and serves each in a thread of its own."""

    def __init__(self, port: int = 0) -> None:
        self._listener = listen(port)
        self.address = address_of(self._listener)
        self.connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), sock.makefile("rb") as lines:
            self.serve(sock, lines)
        sock.close()

    def serve(self, sock: socket.socket, lines: Any) -> None:
        """Serves one connection until its end; `lines` reads from it."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the listener and all connections, as the end of a process does."""
        for sock in (self._listener, *self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


Reply = Callable[["ToyEndpoint", "Command"], None]


@dataclass(slots=True, eq=False)
class Command:
    """One command of a proxy, on the connection that takes its response."""

    sock: socket.socket
    verb: str
    id: str
    fields: dict[str, str]
    body: bytes

    def respond(self, status_word: str, body: bytes = b"", /, **fields: str) -> None:
        """Sends a response: its status word, fields and body."""
        fields_text = ",".join(f"{name}={value}" for name, value in fields.items()) or NO_FIELDS
        self.sock.sendall(f"{self.id} {status_word} {fields_text} {len(body)}\r\n".encode() + body + b"\r\n")


def respond_normally(_endpoint: ToyEndpoint, command: Command) -> None:
    """An endpoint's ordinary response to each command."""
    if command.verb == "alive":
        command.sock.sendall(f"{command.id} PONG\r\n".encode())
    if command.verb == "fetch":
        respond_to_fetch(command)


def respond_to_fetch(command: Command) -> None:
    """Responds to a fetch as its object's name asks for."""
    name = command.fields["name"]
    part = command.fields["piece"]
    is_cached = not name.startswith(NOT_CACHED_PREFIX)
    fields = {"entity": tag_of(name, part), "issued": str(time.time_ns() // NANOSECONDS_PER_MS)}
    if name.startswith(REJECTED_PREFIX):
        command.respond("SHED")
    elif not is_cached and "miss" not in command.fields:
        command.respond("NONE")
    elif command.fields.get("mine") == fields["entity"]:
        command.respond("VALID", why="warm", **fields)
    else:
        command.respond("HIT", body_of(name, part), why="warm" if is_cached else "fill", **fields)


def read_command(sock: socket.socket, lines: Any) -> Command | None:
    """The next command of a connection; None at its end."""
    line = lines.readline()
    if not line:
        return None
    words = line.decode().split()
    if len(words) != 4:
        return Command(sock, words[0], words[1], {}, b"")
    verb, request_id, fields_text, length = words
    fields = {} if fields_text == NO_FIELDS else dict(item.split("=", 1) for item in fields_text.split(","))
    size = int(length)
    body = lines.read(size + len(LINE_END))[:size]
    return Command(sock, verb, request_id, fields, body)


class ToyEndpoint(Server):
    """An endpoint: a cache, a parent or an origin. `_received` guards `commands`."""

    def __init__(self, endpoint_id: str, port: int = 0, reply: Reply = respond_normally) -> None:
        self.id = endpoint_id
        self.reply = reply
        self.commands: list[Command] = []
        self._received = threading.Condition()
        super().__init__(port)

    def serve(self, sock: socket.socket, lines: Any) -> None:
        """Records each command, then has `reply` respond to it."""
        while (command := read_command(sock, lines)) is not None:
            with self._received:
                self.commands.append(command)
                self._received.notify_all()
            self.reply(self, command)

    def wait_for(self, count: int, verb: str = "fetch", timeout_s: float = 20.0) -> list[Command]:
        """The commands with this verb, once there are `count` or after `timeout_s`."""
        with self._received:
            self._received.wait_for(lambda: len(self.received(verb)) >= count, timeout_s)
            return self.received(verb)

    def received(self, verb: str = "fetch") -> list[Command]:
        """The commands with this verb so far."""
        return [command for command in self.commands if command.verb == verb]


class Coordinator(Server):
    """Service discovery: numbered events by long poll. `_change` guards the other fields."""

    def __init__(self, port: int = 0) -> None:
        self.events: list[dict[str, Any]] = []
        self.polls = 0
        self.follows: list[int] = []  # the index that each poll asked to follow
        self._change = threading.Condition()
        super().__init__(port)

    def add(self, **event: Any) -> None:
        """Publishes an event under the next index."""
        with self._change:
            self.events.append({"index": len(self.events) + 1, **event})
            self._change.notify_all()

    def listed(self) -> dict[str, Any]:
        """All events so far, as a configuration's `known` has them."""
        return {"index": len(self.events), "updates": list(self.events)}

    def serve(self, sock: socket.socket, lines: Any) -> None:
        """Responds to each poll with the events after the index it asks for."""
        while line := lines.readline():
            skip_headers(lines)
            _, _, query = line.split()[1].decode().partition("?")
            parameters = dict(item.split("=") for item in query.split("&"))
            after = int(parameters["follow"])
            wait_s = min(MAX_POLL_WAIT_S, int(parameters["wait_ms"]) / 1_000)
            with self._change:
                self.polls += 1
                self.follows.append(after)
                self._change.notify_all()
                self._wait(after, wait_s)
                body = json.dumps({"index": len(self.events), "updates": self.events[after:]}).encode()
            self.reply(sock, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def reply(self, sock: socket.socket, data: bytes) -> None:
        """Sends a complete response; tests override it."""
        sock.sendall(data)

    def _wait(self, after: int, wait_s: float) -> None:
        self._change.wait_for(lambda: len(self.events) > after, wait_s)

    def wait_for_poll(self, count: int, timeout_s: float = 20.0) -> bool:
        """Whether there were so many polls within `timeout_s`."""
        with self._change:
            return self._change.wait_for(lambda: self.polls >= count, timeout_s)


def skip_headers(lines: Any) -> None:
    """Reads up to the empty line that ends a request's headers."""
    while lines.readline().strip():
        pass


class ListedServer(Protocol):
    """What an endpoint list needs of an endpoint."""

    id: str
    address: str


def listed_endpoint(
    endpoint: ListedServer, kind: str = "standard", zone: str = "west", **more: Any
) -> dict[str, Any]:
    """An endpoint as the coordinator's endpoint list has it."""
    defaults = {
        "id": endpoint.id,
        "addr": endpoint.address,
        "zone": zone,
        "kind": kind,
        "cell": 0,
        "state": "in_service",
        "weight": 4,
        "started_ms": 0,
    }
    return {**defaults, **more}


def port_of(address: str) -> int:
    """The port of an address like 127.0.0.1:7371."""
    return int(address.rpartition(":")[2])


def main() -> int:
    """Serves what the example's configuration names, until the process is ended."""
    config = json.loads(CONFIG.read_text())
    updates = config["known"]["updates"]
    servers = updates[0]["endpoints"]["servers"]
    endpoints = [ToyEndpoint(server["id"], port_of(server["addr"])) for server in servers]
    coordinator = Coordinator(port_of(config["coordinator"]))
    coordinator.events = updates
    print(f"coordinator at {coordinator.address}")
    for endpoint in endpoints:
        print(f"endpoint {endpoint.id} at {endpoint.address}", flush=True)
    threading.Event().wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
