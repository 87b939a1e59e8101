"""A toy coordinator and toy members, to try a front with: loopback only, plainly written.

    python examples/toy_server.py

Members hold every object: its bytes follow from its name. Objects whose name begins with `0` are not kept
by caches (a parent has them), those that begin with `f` are turned away everywhere.
"""

from __future__ import annotations

import contextlib
import json
import socket
import sys
import threading
import time
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import Any

CONFIG = Path(__file__).with_name("config.json")


def body_of(name: str, piece: str) -> bytes:
    """The bytes of a part: up to 64 KB, every value of a byte among them."""
    seed = blake2b(f"{name} {piece}".encode()).digest()
    return (seed + bytes(range(256))) * (1 + seed[0] % 200)


def tag_of(name: str, piece: str) -> str:
    return blake2b(body_of(name, piece), digest_size=8).hexdigest()


def listen(port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(64)
    return listener


def address_of(listener: socket.socket) -> str:
    host, port = listener.getsockname()
    return f"{host}:{port}"


class Server:
    """Accepts connections; each is served by a thread."""

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
        raise NotImplementedError

    def close(self) -> None:
        """Ends the listener and all connections, as a process that dies does."""
        for sock in (self._listener, *self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


Reply = Callable[["Member", "Command"], None]


class Command:
    """One command of a front, and the way to answer it."""

    def __init__(self, sock: socket.socket, verb: str, id_: str, fields: dict[str, str], body: bytes) -> None:
        self.sock, self.verb, self.id, self.fields, self.body = sock, verb, id_, fields, body

    def answer(self, word: str, body: bytes = b"", /, **fields: str) -> None:
        listed = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        self.sock.sendall(f"{self.id} {word} {listed} {len(body)}\r\n".encode() + body + b"\r\n")


def serve_all(member: Member, command: Command) -> None:
    """What a toy member answers of itself."""
    if command.verb == "alive":
        command.sock.sendall(f"{command.id} PONG\r\n".encode())
    if command.verb != "fetch":
        return
    name, piece = command.fields["name"], command.fields["piece"]
    fields = {"entity": tag_of(name, piece), "issued": str(time.time_ns() // 1_000_000)}
    if name.startswith("f"):
        command.answer("SHED")
    elif name.startswith("0") and "miss" not in command.fields:
        command.answer("NONE")
    elif command.fields.get("mine") == fields["entity"]:
        command.answer("VALID", why="warm", **fields)
    else:
        why = "fill" if name.startswith("0") else "warm"
        command.answer("HIT", body_of(name, piece), why=why, **fields)


class Member(Server):
    """A cache, parent or origin."""

    def __init__(self, id_: str, port: int = 0, reply: Reply = serve_all) -> None:
        self.id, self.reply = id_, reply
        self.commands: list[Command] = []
        self.came = threading.Condition()
        super().__init__(port)

    def serve(self, sock: socket.socket, lines: Any) -> None:
        while line := lines.readline():
            words = line.decode().split()
            fields, body = {}, b""
            if len(words) == 4:
                fields = dict(item.split("=", 1) for item in words[2].split(",")) if words[2] != "-" else {}
                body = lines.read(int(words[3]) + 2)[:-2]
            command = Command(sock, words[0], words[1], fields, body)
            with self.came:
                self.commands.append(command)
                self.came.notify_all()
            self.reply(self, command)

    def wait_for(self, count: int, verb: str = "fetch", within: float = 20.0) -> list[Command]:
        """The commands of a kind, once there are so many."""
        with self.came:
            self.came.wait_for(lambda: len(self.seen(verb)) >= count, within)
            return self.seen(verb)

    def seen(self, verb: str = "fetch") -> list[Command]:
        return [command for command in self.commands if command.verb == verb]


class Coordinator(Server):
    """Keeps numbered events and tells them by long poll."""

    def __init__(self, port: int = 0) -> None:
        self.events: list[dict[str, Any]] = []
        self.polls, self.follows = 0, list[int]()
        self._change = threading.Condition()
        super().__init__(port)

    def add(self, **event: Any) -> None:
        with self._change:
            self.events.append({"index": len(self.events) + 1, **event})
            self._change.notify_all()

    def listed(self) -> dict[str, Any]:
        """All events so far, as `known` has them."""
        return {"index": len(self.events), "updates": list(self.events)}

    def serve(self, sock: socket.socket, lines: Any) -> None:
        while line := lines.readline():
            while lines.readline().strip():
                pass
            _, _, query = line.split()[1].decode().partition("?")
            asked = dict(item.split("=") for item in query.split("&"))
            after, wait = int(asked["follow"]), min(5.0, int(asked["wait_ms"]) / 1000)
            with self._change:
                self.polls += 1
                self.follows.append(after)
                self._change.notify_all()
                self._wait(after, wait)
                body = json.dumps({"index": len(self.events), "updates": self.events[after:]}).encode()
            self.reply(sock, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def reply(self, sock: socket.socket, data: bytes) -> None:
        sock.sendall(data)

    def _wait(self, after: int, wait: float) -> None:
        self._change.wait_for(lambda: len(self.events) > after, wait)

    def wait_for_poll(self, count: int, within: float = 20.0) -> bool:
        with self._change:
            return self._change.wait_for(lambda: self.polls >= count, within)


def entry(member: Member, kind: str = "standard", zone: str = "west", **more: Any) -> dict[str, Any]:
    """A member as the list has it."""
    listed = {
        "id": member.id,
        "addr": member.address,
        "zone": zone,
        "kind": kind,
        "cell": 0,
        "state": "in_service",
        "weight": 4,
        "started_ms": 0,
    }
    return {**listed, **more}


def main() -> int:
    config = json.loads(CONFIG.read_text())
    known = config["known"]["updates"][0]["endpoints"]["servers"]
    members = [Member(item["id"], int(item["addr"].rpartition(":")[2])) for item in known]
    coordinator = Coordinator(int(config["coordinator"].rpartition(":")[2]))
    coordinator.events = config["known"]["updates"]
    print(f"coordinator at {coordinator.address}")
    for member in members:
        print(f"member {member.id} at {member.address}", flush=True)
    threading.Event().wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
