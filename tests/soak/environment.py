"""Endpoints and coordinator of a soak, in the test's process, with faults that a seed draws."""

from __future__ import annotations

import contextlib
import json
import random
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from examples.toy_server import Coordinator, Server, listed_endpoint, skip_headers
from tests.soak.oracle import Arrival, Execution, Oracle

NOT_RUN_ANSWERS = ("NONE", "SHED", "LATE")
BODY_REPEATS = 40
CARRIED_OUT_WITHIN_S = 5.5  # an invalidation everywhere, less than the settings say
RESET = b"\1\0\0\0\0\0\0\0"  # SO_LINGER: close with a reset


class FaultPlan:
    """Which fault an endpoint shows now; `kind` is changed by the run, and drawn from for each command."""

    def __init__(self, seed: int) -> None:
        self.kind = ""
        self.share = 0.0
        self._draw = random.Random(seed)
        self._lock = threading.Lock()

    def draw(self) -> str:
        """The fault of one command; empty: none."""
        with self._lock:
            return self.kind if self._draw.random() < self.share else ""


class SoakEndpoint(Server):
    """A cache, a parent or the origin: holds copies by name, each with the time at which it was generated."""

    def __init__(self, id_: str, oracle: Oracle, plan: FaultPlan) -> None:
        self.id = id_
        self._oracle = oracle
        self._plan = plan
        self._copies: dict[str, int] = {}
        self._copies_lock = threading.Lock()
        super().__init__()

    def serve(self, sock: socket.socket, lines: Any) -> None:
        """Answers the commands of one connection."""
        while True:
            first = lines.read(1)
            began_at = time.monotonic()
            line = first + lines.readline()
            if not line.endswith(b"\r\n"):
                return
            words = line.decode().split()
            if words[0] == "alive":
                if self._plan.kind != "hang":
                    sock.sendall(f"{words[1]} PONG\r\n".encode())
            elif words[0] == "fetch":
                lines.read(int(words[3]) + 2)
                fields = dict(item.split("=", 1) for item in words[2].split(","))
                if not self._fetch(sock, words[1], fields, began_at):
                    return

    def drop_older(self, name: str, unix_ms: int) -> None:
        """Carries out an invalidation."""
        with self._copies_lock:
            if self._copies.get(name, unix_ms) < unix_ms:
                del self._copies[name]

    def _fetch(self, sock: socket.socket, id_: str, fields: dict[str, str], began_at: float) -> bool:
        """Answers one command, or does not; False where the connection ends."""
        name = fields["name"]
        arrival = Arrival(id_, self.id, fields.get("miss", self.id), name, began_at)
        self._oracle.add_arrival(arrival)
        fault = self._plan.draw()
        if fault in ("cut", "reset"):
            if fault == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            else:
                sock.sendall(self._answer(id_, name, fields)[:60])
            return False
        if fault == "hang":
            return True
        if fault in NOT_RUN_ANSWERS:
            arrival.execution = Execution.NONE
            sock.sendall(f"{id_} {fault} - 0\r\n\r\n".encode())
            return True
        answer = self._answer(id_, name, fields)
        if answer.split(b" ", 2)[1] == b"NONE":
            arrival.execution = Execution.NONE
        answers = {
            "FAULT": f"{id_} FAULT - 0\r\n\r\n".encode(),
            "garbled": b"\xff\x00 nonsense \r\n" + answer,
            "endless": f"{id_} HIT entity=x,issued=1 3000000000\r\n".encode() + b"x" * 1_000,
            "doubled": answer + answer,
            "unknown": f"{'f' * 16} HIT entity=x,issued=1 3\r\nabc\r\n".encode() + answer,
        }
        if fault == "late":
            # Not here: commands behind this one are to be read when they come.
            threading.Timer(random.random(), send_if_open, (sock, answer)).start()
        else:
            sock.sendall(answers.get(fault, answer))
        return True

    def _answer(self, id_: str, name: str, fields: dict[str, str]) -> bytes:
        """The answer of an endpoint without a fault: from its copy, or a fill where a source is named."""
        now_ms = time.time_ns() // 1_000_000
        max_age_ms = int(fields.get("within", "0"))
        with self._copies_lock:
            issued = self._copies.get(name)
            is_usable = issued is not None and not (max_age_ms and now_ms - issued > max_age_ms)
            if not is_usable and "miss" not in fields and self.id.startswith("c"):
                return f"{id_} NONE - 0\r\n\r\n".encode()
            if issued is None or not is_usable:
                issued = now_ms
                self._copies[name] = issued
        status = "warm" if is_usable else "fill"
        body = name.encode() * BODY_REPEATS
        head = f"{id_} HIT entity={name}-{issued},issued={issued},why={status} {len(body)}\r\n"
        return head.encode() + body + b"\r\n"


def send_if_open(sock: socket.socket, data: bytes) -> None:
    """Sends bytes, unless the connection has ended."""
    with contextlib.suppress(OSError):
        sock.sendall(data)


class SoakCoordinator(Coordinator):
    """Service discovery that can fall silent or go down. `mode` is empty, `silent` or `down`."""

    def __init__(self) -> None:
        self.mode = ""
        super().__init__()

    def serve(self, sock: socket.socket, lines: Any) -> None:
        """Answers polls as the mode says."""
        while line := lines.readline():
            skip_headers(lines)
            if self.mode == "down":
                return
            while self.mode == "silent":
                time.sleep(0.05)
            query = line.split()[1].decode().partition("?")[2]
            parameters = dict(item.split("=") for item in query.split("&"))
            after = int(parameters["follow"])
            with self._change:
                self._wait(after, int(parameters["wait_ms"]) / 1_000)
                body = json.dumps({"index": len(self.events), "updates": self.events[after:]}).encode()
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class SoakEnvironment:
    """The caches, parents, origin and coordinator that one run's proxy meets."""

    def __init__(self, seed: int, oracle: Oracle) -> None:
        self.oracle = oracle
        self.coordinator = SoakCoordinator()
        self.plans: dict[str, FaultPlan] = {}
        self.endpoints: list[SoakEndpoint] = []
        for number, id_ in enumerate(("c0", "c1", "c2", "c3", "p0", "p1", "o0")):
            plan = FaultPlan(seed * 100 + number)
            self.plans[id_] = plan
            self.endpoints.append(SoakEndpoint(id_, oracle, plan))
        self.rows = {endpoint.id: self._row(endpoint) for endpoint in self.endpoints}
        self.publish(list(self.rows.values()), is_full=True)

    def _row(self, endpoint: SoakEndpoint) -> dict[str, Any]:
        kinds: dict[str, tuple[str, str]] = {"c": ("standard", "west"), "p": ("parent", "hub")}
        kind, zone = kinds.get(endpoint.id[0], ("origin", "hub"))
        toy_endpoint: Any = endpoint  # `listed_endpoint` reads its id and address alone
        return listed_endpoint(toy_endpoint, kind, zone, weight=40)

    def publish(self, rows: list[dict[str, Any]], is_full: bool) -> None:
        """Tells an endpoint list."""
        version = len(self.coordinator.events) + 1
        self.coordinator.add(endpoints={"version": version, "full": is_full, "servers": rows})

    def drain(self, id_: str) -> None:
        """Tells that an endpoint drains, for good."""
        self.rows[id_]["state"] = "terminating"
        self.publish([self.rows[id_]], is_full=False)
        self.oracle.drain(id_)

    def invalidate(self, name: str) -> None:
        """Tells that an object is invalid."""
        unix_ms = time.time_ns() // 1_000_000
        self.coordinator.add(evict={"ref": name, "unix_ms": unix_ms})
        self.oracle.invalidate(name, unix_ms)
        for endpoint in self.endpoints:
            delay_s = random.random() * CARRIED_OUT_WITHIN_S
            threading.Timer(delay_s, endpoint.drop_older, (name, unix_ms)).start()

    def close(self) -> None:
        """Ends all endpoints and the coordinator."""
        closers: list[Callable[[], None]] = [endpoint.close for endpoint in self.endpoints]
        self.coordinator.mode = ""
        for close in (*closers, self.coordinator.close):
            with contextlib.suppress(OSError):
                close()
