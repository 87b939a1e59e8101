"""Endpoints and coordinator of a soak, which run in the test's process and misbehave as the seed decides."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from examples.toy_server import (
    Coordinator,
    Server,
    encode_poll_response,
    listed_endpoint,
    read_poll,
    skip_headers,
)
from tests.soak.faults import DiscoveryMode, EndpointFault, FaultPlan
from tests.soak.oracle import Arrival, Execution, Oracle
from tests.soak.traffic import object_name, reset_on_close

ENDPOINT_IDS = ("c0", "c1", "c2", "c3", "p0", "p1", "o0")  # four caches, two parents, the origin
BODY_REPEATS = 40
LARGE_BODY_REPEATS = 15_000  # a large body is its object's 16-byte name, repeated to 240 KB
LARGE_NAMES = frozenset(object_name(number) for number in range(1_000, 1_010))
# Longest delay until an endpoint applies an invalidation. The proxy's settings keep an invalidation longer.
MAX_INVALIDATION_DELAY_S = 5.5
MODE_POLL_S = 0.05  # interval at which an unresponsive coordinator checks its mode
TRUNCATED_BYTES = 60  # length of a truncated response
STATUS_WORDS = {
    EndpointFault.ERROR: "FAULT",
    EndpointFault.REJECT: "SHED",
    EndpointFault.REJECT_AS_LATE: "LATE",
}


class SoakEndpoint(Server):
    """A cache, a parent or the origin.

    `_stored_ms` maps the name of each stored response to the Unix time in ms at which the response was
    generated. `_stored_lock` guards it.
    """

    def __init__(self, endpoint_id: str, oracle: Oracle, plan: FaultPlan) -> None:
        self.id = endpoint_id
        self._oracle = oracle
        self._plan = plan
        self._stored_ms: dict[str, int] = {}
        self._stored_lock = threading.Lock()
        super().__init__()

    def serve(self, sock: socket.socket, lines: Any) -> None:
        """Responds to the commands of one connection until it ends or a fault closes it."""
        while True:
            first = lines.read(1)
            began_at = time.monotonic()
            line = first + lines.readline()
            if not line.endswith(b"\r\n"):
                return
            words = line.decode().split()
            if words[0] == "alive":
                self._respond_to_liveness_check(sock, words[1])
            elif words[0] == "fetch":
                lines.read(int(words[3]) + 2)
                fields = dict(item.split("=", 1) for item in words[2].split(","))
                if not self._fetch(sock, words[1], fields, began_at):
                    return

    def drop_older_than(self, name: str, unix_ms: int) -> None:
        """Drops the stored response for a name if it was generated before an invalidation's time."""
        with self._stored_lock:
            if self._stored_ms.get(name, unix_ms) < unix_ms:
                del self._stored_ms[name]

    def _respond_to_liveness_check(self, sock: socket.socket, check_id: str) -> None:
        if self._plan.fault is not EndpointFault.HANG:
            sock.sendall(f"{check_id} PONG\r\n".encode())

    def _fetch(self, sock: socket.socket, request_id: str, fields: dict[str, str], began_at: float) -> bool:
        """Handles one `fetch` command; returns False if a fault closes the connection."""
        name = fields["name"]
        arrival = Arrival(request_id, self.id, fields.get("miss", self.id), name, began_at)
        self._oracle.add_arrival(arrival)
        fault = self._plan.sample()
        match fault:
            case EndpointFault.TRUNCATE:
                sock.sendall(self._response(request_id, name, fields)[:TRUNCATED_BYTES])
                return False
            case EndpointFault.RESET:
                reset_on_close(sock)
                return False
            case EndpointFault.HANG:
                return True
            case EndpointFault.REJECT | EndpointFault.REJECT_AS_LATE:
                arrival.execution = Execution.NONE
                sock.sendall(empty_response(request_id, STATUS_WORDS[fault]))
                return True
        response = self._response(request_id, name, fields)
        if response.split(b" ", 2)[1] == b"NONE":
            arrival.execution = Execution.NONE
        if fault is EndpointFault.DELAY:
            # A separate thread waits, so that this thread reads the next commands when they arrive.
            threading.Timer(random.random(), send_if_open, (sock, response)).start()
        else:
            sock.sendall(faulty_response(fault, request_id, response))
        return True

    def _response(self, request_id: str, name: str, fields: dict[str, str]) -> bytes:
        """Returns the response of an endpoint without a fault.

        The endpoint uses a stored response if it has one that is fresh enough. Otherwise, a parent or the
        origin fills a new response. A cache does so only if the command names a source; if the command names
        none, the cache responds with `NONE`.
        """
        now_ms = time.time_ns() // 1_000_000
        max_age_ms = int(fields.get("within", "0"))
        with self._stored_lock:
            issued_ms = self._stored_ms.get(name)
            is_usable = issued_ms is not None and not (max_age_ms and now_ms - issued_ms > max_age_ms)
            if not is_usable and "miss" not in fields and self.id.startswith("c"):
                return empty_response(request_id, "NONE")
            if issued_ms is None or not is_usable:
                issued_ms = now_ms
                self._stored_ms[name] = issued_ms
        reason = "warm" if is_usable else "fill"
        body = name.encode() * (LARGE_BODY_REPEATS if name in LARGE_NAMES else BODY_REPEATS)
        head = f"{request_id} HIT entity={name}-{issued_ms},issued={issued_ms},why={reason} {len(body)}\r\n"
        return head.encode() + body + b"\r\n"


def empty_response(request_id: str, status_word: str) -> bytes:
    """Returns a response without fields and without a body."""
    return f"{request_id} {status_word} - 0\r\n\r\n".encode()


def faulty_response(fault: EndpointFault | None, request_id: str, response: bytes) -> bytes:
    """Returns the bytes that an endpoint with this fault sends; without a fault, these are `response`."""
    match fault:
        case EndpointFault.ERROR:
            return empty_response(request_id, STATUS_WORDS[fault])
        case EndpointFault.GARBLE:
            return b"\xff\x00 nonsense \r\n" + response
        case EndpointFault.ENDLESS:
            return f"{request_id} HIT entity=x,issued=1 3000000000\r\n".encode() + b"x" * 1_000
        case EndpointFault.DUPLICATE:
            return response + response
        case EndpointFault.UNKNOWN_REQUEST:
            return f"{'f' * 16} HIT entity=x,issued=1 3\r\nabc\r\n".encode() + response
        case _:
            return response


def send_if_open(sock: socket.socket, data: bytes) -> None:
    """Sends bytes, unless the connection has ended."""
    with contextlib.suppress(OSError):
        sock.sendall(data)


class SoakCoordinator(Coordinator):
    """A coordinator that reacts to polls as its `mode` says; the soak run changes the mode."""

    def __init__(self) -> None:
        self.mode = DiscoveryMode.NORMAL
        super().__init__()

    def serve(self, sock: socket.socket, lines: Any) -> None:
        """Responds to the polls of one connection as the current mode says."""
        while line := lines.readline():
            skip_headers(lines)
            if self.mode is DiscoveryMode.DOWN:
                return
            while self.mode is DiscoveryMode.UNRESPONSIVE:
                time.sleep(MODE_POLL_S)
            after, wait_s = read_poll(line)
            with self._change:
                self._wait(after, wait_s)
                data = encode_poll_response({"index": len(self.events), "updates": self.events[after:]})
            sock.sendall(data)


class SoakEnvironment:
    """The caches, parents, origin and coordinator of one run.

    `plans` has each endpoint's fault plan, and `entries` its entry in the endpoint list; both are by id.
    """

    def __init__(self, seed: int, oracle: Oracle) -> None:
        self.oracle = oracle
        self.coordinator = SoakCoordinator()
        self.plans: dict[str, FaultPlan] = {}
        self.endpoints: list[SoakEndpoint] = []
        for number, endpoint_id in enumerate(ENDPOINT_IDS):
            plan = FaultPlan(seed * 100 + number)
            self.plans[endpoint_id] = plan
            self.endpoints.append(SoakEndpoint(endpoint_id, oracle, plan))
        self.entries = {endpoint.id: endpoint_entry(endpoint) for endpoint in self.endpoints}
        self.publish(list(self.entries.values()), is_full=True)

    def publish(self, entries: list[dict[str, Any]], is_full: bool) -> None:
        """Publishes a complete endpoint list if `is_full` is set, and only changed entries otherwise."""
        version = len(self.coordinator.events) + 1
        self.coordinator.add(endpoints={"version": version, "full": is_full, "servers": entries})

    def publish_all(self) -> None:
        """Publishes the complete endpoint list."""
        self.publish(list(self.entries.values()), is_full=True)

    def drainable_ids(self) -> list[str]:
        """Returns the ids of the caches and parents that are not draining."""
        return [
            endpoint_id
            for endpoint_id, entry in self.entries.items()
            if entry["state"] == "in_service" and endpoint_id != "o0"
        ]

    def drain(self, endpoint_id: str) -> None:
        """Publishes that an endpoint is draining; it drains until the end of the run."""
        self.entries[endpoint_id]["state"] = "terminating"
        self.publish([self.entries[endpoint_id]], is_full=False)
        self.oracle.record_drain(endpoint_id)

    def invalidate(self, name: str) -> None:
        """Publishes an invalidation of a name; each endpoint applies it after a random delay."""
        unix_ms = time.time_ns() // 1_000_000
        self.coordinator.add(evict={"ref": name, "unix_ms": unix_ms})
        self.oracle.record_invalidation(name, unix_ms)
        for endpoint in self.endpoints:
            delay_s = random.random() * MAX_INVALIDATION_DELAY_S
            threading.Timer(delay_s, endpoint.drop_older_than, (name, unix_ms)).start()

    def close(self) -> None:
        """Closes all endpoints and the coordinator."""
        closers: list[Callable[[], None]] = [endpoint.close for endpoint in self.endpoints]
        self.coordinator.mode = DiscoveryMode.NORMAL
        for close in (*closers, self.coordinator.close):
            with contextlib.suppress(OSError):
                close()


def endpoint_entry(endpoint: SoakEndpoint) -> dict[str, Any]:
    """Returns an endpoint's entry in the endpoint list; the id's first letter decides its kind and zone."""
    kinds = {"c": ("standard", "west"), "p": ("parent", "hub"), "o": ("origin", "hub")}
    kind, zone = kinds[endpoint.id[0]]
    return listed_endpoint(endpoint, kind, zone, weight=40)
