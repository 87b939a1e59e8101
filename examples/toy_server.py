"""Toy coordinator and toy endpoints for trials of a proxy, on loopback, with one thread per connection.

    python examples/toy_server.py

Endpoints have every object, since they compute an object's bytes from its name. Caches don't keep objects
whose name begins with `0`, so that such objects are filled from a parent. Every endpoint rejects requests for
objects whose name begins with `f`.
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
from typing import Any, NamedTuple, Protocol

CONFIG = Path(__file__).with_name("config.json")
LOOPBACK = "127.0.0.1"
LINE_END = b"\r\n"
BACKLOG = 64  # largest number of connections that may wait to be accepted
MAX_POLL_WAIT_S = 5.0
NO_FIELDS = "-"
NANOSECONDS_PER_MS = 1_000_000
MS_PER_SECOND = 1_000
NOT_CACHED_PREFIX = "0"  # first character of the names of objects that caches don't keep
REJECTED_PREFIX = "f"  # first character of the names of objects that every endpoint rejects


def body_of(name: str, part: str) -> bytes:
    """Returns the bytes of an object's part: up to 64 KB, which include every byte value."""
    digest = blake2b(f"{name} {part}".encode()).digest()
    repeats = 1 + digest[0] % 200
    return (digest + bytes(range(256))) * repeats


def tag_of(name: str, part: str) -> str:
    """Returns the entity tag of an object's part."""
    return blake2b(body_of(name, part), digest_size=8).hexdigest()


def listen(port: int) -> socket.socket:
    """Returns a listener on loopback; with port 0 the system chooses the port."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, port))
    listener.listen(BACKLOG)
    return listener


def address_of(listener: socket.socket) -> str:
    """Returns a listener's address as HOST:PORT, the form that configurations use."""
    host, port = listener.getsockname()
    return f"{host}:{port}"


class Server:
    """A TCP server that serves each connection in its own thread."""

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
        """Serves one connection until it ends; `lines` is a file object that reads from the connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the listener and all connections, as happens when a process ends."""
        for sock in (self._listener, *self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


Reply = Callable[["ToyEndpoint", "Command"], None]


@dataclass(slots=True, eq=False)
class Command:
    """A proxy's command, with the connection on which its response is sent."""

    sock: socket.socket
    verb: str
    id: str
    fields: dict[str, str]
    body: bytes

    def respond(self, status_word: str, body: bytes = b"", /, **fields: str) -> None:
        """Sends a response with a status word, fields and a body."""
        fields_text = ",".join(f"{name}={value}" for name, value in fields.items()) or NO_FIELDS
        self.sock.sendall(f"{self.id} {status_word} {fields_text} {len(body)}\r\n".encode() + body + b"\r\n")


def respond_normally(_endpoint: ToyEndpoint, command: Command) -> None:
    """Sends an endpoint's usual response to an `alive` or `fetch` command; ignores other commands."""
    if command.verb == "alive":
        command.sock.sendall(f"{command.id} PONG\r\n".encode())
    if command.verb == "fetch":
        respond_to_fetch(command)


def respond_to_fetch(command: Command) -> None:
    """Responds to a fetch; the first character of the object's name can cause a rejection or a cache miss."""
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
    """Returns the next command of a connection, or None if the connection has ended."""
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
    """An endpoint, which may act as a cache, a parent or an origin.

    The condition `_received` guards `commands`.
    """

    def __init__(self, endpoint_id: str, port: int = 0, reply: Reply = respond_normally) -> None:
        self.id = endpoint_id
        self.reply = reply
        self.commands: list[Command] = []
        self._received = threading.Condition()
        super().__init__(port)

    def serve(self, sock: socket.socket, lines: Any) -> None:
        """Records each command, then calls `reply` to respond to it."""
        while (command := read_command(sock, lines)) is not None:
            with self._received:
                self.commands.append(command)
                self._received.notify_all()
            self.reply(self, command)

    def wait_for(self, count: int, verb: str = "fetch", timeout_s: float = 20.0) -> list[Command]:
        """Returns the commands with this verb, once there are `count` of them or `timeout_s` has passed."""
        with self._received:
            self._received.wait_for(lambda: len(self.received(verb)) >= count, timeout_s)
            return self.received(verb)

    def received(self, verb: str = "fetch") -> list[Command]:
        """Returns the commands with this verb that have been received so far."""
        return [command for command in self.commands if command.verb == verb]


class PollQuery(NamedTuple):
    """The query of a poll: the index after which it asks for events, and the longest wait for them."""

    after: int
    wait_s: float


def read_poll(line: bytes) -> PollQuery:
    """Parses the request line of a poll."""
    query = line.split()[1].decode().partition("?")[2]
    parameters = dict(item.split("=") for item in query.split("&"))
    return PollQuery(int(parameters["follow"]), int(parameters["wait_ms"]) / MS_PER_SECOND)


def encode_poll_response(events: dict[str, Any]) -> bytes:
    """Encodes a coordinator's response; `events` has the keys `index` and `updates`."""
    body = json.dumps(events).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class Coordinator(Server):
    """Service discovery that serves numbered events by long poll.

    The condition `_change` guards the other fields.
    """

    def __init__(self, port: int = 0) -> None:
        self.events: list[dict[str, Any]] = []
        self.polls = 0
        self.follows: list[int] = []  # for each poll, the index after which it asked for events
        self._change = threading.Condition()
        super().__init__(port)

    def add(self, **event: Any) -> None:
        """Publishes an event with the next index."""
        with self._change:
            self.events.append({"index": len(self.events) + 1, **event})
            self._change.notify_all()

    def listed(self) -> dict[str, Any]:
        """Returns all events so far, in the form that a configuration has under its key `known`."""
        return {"index": len(self.events), "updates": list(self.events)}

    def serve(self, sock: socket.socket, lines: Any) -> None:
        """Responds to each poll with the events after the index that the poll names."""
        while line := lines.readline():
            skip_headers(lines)
            after, wait_s = read_poll(line)
            with self._change:
                self.polls += 1
                self.follows.append(after)
                self._change.notify_all()
                self._wait(after, min(MAX_POLL_WAIT_S, wait_s))
                data = encode_poll_response({"index": len(self.events), "updates": self.events[after:]})
            self.reply(sock, data)

    def reply(self, sock: socket.socket, data: bytes) -> None:
        """Sends a complete response to a poll; tests override this method."""
        sock.sendall(data)

    def _wait(self, after: int, wait_s: float) -> None:
        self._change.wait_for(lambda: len(self.events) > after, wait_s)

    def wait_for_poll(self, count: int, timeout_s: float = 20.0) -> bool:
        """Waits for `count` polls in total; returns whether they arrived within `timeout_s`."""
        with self._change:
            return self._change.wait_for(lambda: self.polls >= count, timeout_s)


def skip_headers(lines: Any) -> None:
    """Reads up to the empty line that ends a request's headers."""
    while lines.readline().strip():
        pass


class ListedServer(Protocol):
    """Attributes of an endpoint that its entry in an endpoint list needs."""

    id: str
    address: str


def listed_endpoint(
    endpoint: ListedServer, kind: str = "standard", zone: str = "west", **more: Any
) -> dict[str, Any]:
    """Returns an endpoint's entry in the coordinator's endpoint list."""
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
    """Returns the port of an address like 127.0.0.1:7371."""
    return int(address.rpartition(":")[2])


def main() -> int:
    """Runs the coordinator and the endpoints of the example's configuration until the process is ended."""
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
