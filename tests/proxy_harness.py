"""A proxy in the test's process, an HTTP client, and stand-ins: toy endpoints and a toy coordinator."""

from __future__ import annotations

import itertools
import json
import os
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any, NamedTuple

from examples.toy_server import (
    CONFIG,
    Command,
    Coordinator,
    Reply,
    ToyEndpoint,
    listed_endpoint,
    respond_normally,
)
from olivepost import interface as api
from olivepost.config import read_config
from olivepost.proxy.messages import StopEventLoop
from olivepost.proxy.server import ProxyServer
from olivepost.router import Router
from tests.closed_at_exit import ClosedAtExit

OBJECT_NAME = "7f3a9c21e0b4d655"
WAIT_TIMEOUT_S = 20.0  # longest time that a test waits for a condition or for data
CHECK_INTERVAL_S = 0.005  # interval between two checks of a condition


def toy_config(**changes: Any) -> dict[str, Any]:
    """Returns the example configuration, but with an ephemeral port, less memory and the given changes."""
    data: dict[str, Any] = json.loads(CONFIG.read_text())
    return {**data, "listen": "127.0.0.1:0", "limits": {"memory_mb": 64, "sockets": 1024}, **changes}


class HttpResponse(NamedTuple):
    """A response that the client has read. Header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient(ClosedAtExit):
    """An HTTP/1.1 client with one connection to a proxy."""

    _ids = itertools.count(1)

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, WAIT_TIMEOUT_S)
        self._data = b""

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()

    @classmethod
    def encode_request(
        cls,
        name: str = OBJECT_NAME,
        class_name: str = "segment",
        part: int = 3,
        timeout_ms: int = 1500,
        **headers: str,
    ) -> bytes:
        """Returns an encoded request. A header with the value '' is omitted."""
        lines = {
            "Host": "backend.local",
            "X-Call-Id": f"{next(cls._ids):016x}",
            "X-Patience-Ms": str(timeout_ms),
            "X-Set": "17",
        }
        lines |= {key.replace("_", "-"): value for key, value in headers.items()}
        text = "".join(f"{key}: {value}\r\n" for key, value in lines.items() if value)
        return f"GET /api/v2/{class_name}/{name}/slice-{part} HTTP/1.1\r\n{text}\r\n".encode()

    def send(self, data: bytes) -> None:
        """Sends raw bytes."""
        self.sock.sendall(data)

    def read_response(self) -> HttpResponse:
        """Reads the next response."""
        while b"\r\n\r\n" not in self._data:
            self._receive()
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        first, *rest = head.decode().split("\r\n")
        headers = {key.lower(): value for key, value in (line.split(": ", 1) for line in rest)}
        length = int(headers.get("content-length", 0))
        while len(self._data) < length:
            self._receive()
        body = self._data[:length]
        self._data = self._data[length:]
        return HttpResponse(int(first.split()[1]), headers, body)

    def _receive(self) -> None:
        data = self.sock.recv(65_536)
        if not data:
            raise ConnectionError("the proxy closed the connection")
        self._data += data

    def request(self, *args: Any, **kwargs: Any) -> HttpResponse:
        """Sends one request and reads its response."""
        self.send(self.encode_request(*args, **kwargs))
        return self.read_response()

    def is_closed_by_proxy(self) -> bool:
        """Waits until the proxy closes the connection; returns False if data is unread or comes first."""
        try:
            return not self._data and not self.sock.recv(1)
        except ConnectionResetError:
            return True


def reply_with_large_body(endpoint: ToyEndpoint, command: Command) -> None:
    """Responds to a fetch with a body of 240,000 bytes."""
    if command.verb == "fetch":
        command.respond("HIT", b"x" * 240_000, why="warm", entity="x", issued="1")


class ProxyHarness:
    """A running proxy with a coordinator, the caches `a` and `b`, a parent and an origin.

    `bounds` replaces resource limits, and `changes` replaces keys of the configuration.
    """

    def __init__(
        self, reply: Reply = respond_normally, bounds: dict[str, Any] | None = None, **changes: Any
    ) -> None:
        self.coordinator = Coordinator()
        self.caches = [ToyEndpoint("a", reply=reply), ToyEndpoint("b", reply=reply)]
        self.parent = ToyEndpoint("p", reply=reply)
        self.origin = ToyEndpoint("o", reply=reply)
        self.endpoints = [*self.caches, self.parent, self.origin]
        self.listed_endpoints = [listed_endpoint(cache) for cache in self.caches]
        self.listed_endpoints += [
            listed_endpoint(self.parent, "parent", "hub"),
            listed_endpoint(self.origin, "origin", "hub"),
        ]
        self.coordinator.add(endpoints={"version": 1, "full": True, "servers": self.listed_endpoints})
        config = toy_config(coordinator=self.coordinator.address, known=self.coordinator.listed(), **changes)
        self._devnull = os.open(os.devnull, os.O_WRONLY)
        read = read_config(config, {})
        limits = replace(read.limits, **(bounds or {}))
        self.server = ProxyServer(replace(read, limits=limits), self._devnull)
        self.parts = self.server.parts
        # The proxy shares its process with the test, so the process's resident memory would overstate the
        # proxy's. The memory monitor therefore always reads 0.
        self.parts.memory_monitor.read_resident_bytes = lambda: 0
        self.attempt_outcomes: list[api.AttemptOutcome] = []
        self._record_outcomes(self.parts.event_loop._router)
        self.address = self.server.start()

    def _record_outcomes(self, router: Router) -> None:
        handle = router.handle

        def record_and_handle(now: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.AttemptOutcome):
                self.attempt_outcomes.append(event)
            return handle(now, event)

        router.handle = record_and_handle  # type: ignore[method-assign]

    def connect(self) -> HttpClient:
        """Opens a new connection to the proxy."""
        return HttpClient(self.address)

    def wait_for_fetches(self, count: int = 1) -> list[Any]:
        """Waits until the caches have received at least `count` fetch commands; returns all of them."""
        if not self.wait_until(lambda: len(self._received_fetches()) >= count):
            raise AssertionError(f"the caches received fewer than {count} fetches")
        return self._received_fetches()

    def _received_fetches(self) -> list[Any]:
        return [command for cache in self.caches for command in cache.received()]

    def wait_until(self, condition: Callable[[], object]) -> bool:
        """Waits until a condition is true; returns false if it is not true within `WAIT_TIMEOUT_S`."""
        pause = threading.Event()
        for _ in range(int(WAIT_TIMEOUT_S / CHECK_INTERVAL_S)):
            if condition():
                return True
            pause.wait(CHECK_INTERVAL_S)
        return False

    def wait_for_outcomes(self, status: str, count: int) -> list[api.AttemptOutcome]:
        """Waits until the router has received `count` or more outcomes with a status; returns them all."""
        assert self.wait_until(lambda: len(self._outcomes_of(status)) >= count)
        return self._outcomes_of(status)

    def _outcomes_of(self, status: str) -> list[api.AttemptOutcome]:
        return [outcome for outcome in self.attempt_outcomes if outcome.status.name == status]

    def counter(self, name: str) -> int:
        """Returns the value of a counter of the proxy's event log, or 0 if nothing was counted."""
        return self.parts.log.counters().get(name, 0)

    def close(self) -> None:
        """Closes the proxy and its endpoints immediately, without a graceful shutdown."""
        self.parts.discovery.stop()
        self.parts.downstream.stop_accepting()
        self.parts.downstream.stop_watching()
        self.parts.upstream.close()
        self.parts.event_loop.post(StopEventLoop())
        for server in (*self.endpoints, self.coordinator):
            server.close()
        self.parts.log.close(WAIT_TIMEOUT_S)
        os.close(self._devnull)


def request_with_small_receive_buffer(proxy: ProxyHarness, **more: Any) -> socket.socket:
    """Sends a request on a new socket with a receive buffer of 4 KiB, and returns the socket."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.connect(proxy.address)
    sock.sendall(HttpClient.encode_request(**more))
    return sock


@contextmanager
def running_proxy(
    reply: Reply = respond_normally, bounds: dict[str, Any] | None = None, **changes: Any
) -> Iterator[ProxyHarness]:
    """Runs a proxy under test. Fails if a request is still pending or a buffer still in use at the end."""
    proxy = ProxyHarness(reply, bounds, **changes)
    try:
        yield proxy
        assert proxy.wait_until(lambda: proxy.parts.event_loop.pending_count == 0), (
            "a request is still pending"
        )
    finally:
        proxy.close()
    assert proxy.wait_until(lambda: proxy.parts.body_buffers.in_use == 0), "a body buffer is still in use"
    assert proxy.wait_until(lambda: proxy.parts.read_buffers.in_use == 0), "a read buffer is still in use"
