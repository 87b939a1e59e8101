"""Tests of real proxy processes whose clients disconnect: none of their requests is forwarded then."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
import time
from pathlib import Path

from examples.toy_server import Command, ToyEndpoint, listed_endpoint, respond_normally
from olivepost.config import Address
from tests.proxy_harness import HttpClient
from tests.soak.load_process import LoadOptions, LoadProcess
from tests.soak.proxy_process import ProxyProcess
from tests.soak.test_memory_limit import process_config

MEMORY_MB = 32
DISCONNECTING_CLIENTS = 20
REQUESTS_PER_CLIENT = 10
BYTES_BEHIND = 1 << 20  # bytes behind each request that are unread when its client disconnects
LOAD_S = 4.0
# An attempt that is sent later than this after its client has disconnected breaks the operators' rule.
MAX_DELAY_S = 0.1
# Share of requests that may break the rule: the test's threads may be late themselves.
MAX_LATE_SHARE = 0.02


class RecordingEndpoint(ToyEndpoint):
    """An endpoint that records when each request arrives."""

    def __init__(self, endpoint_id: str) -> None:
        self.arrived_at: list[tuple[str, float]] = []
        super().__init__(endpoint_id, reply=self._record_and_respond)

    def _record_and_respond(self, endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            self.arrived_at.append((command.id, time.monotonic()))
        respond_normally(endpoint, command)


def disconnect_with_bytes_unread(
    address: Address, disconnected_at: dict[str, float], ids: itertools.count[int]
) -> None:
    """Sends requests with many bytes behind each of them, and disconnects at once, each time."""
    for _ in range(REQUESTS_PER_CLIENT):
        request_id = f"{next(ids):016x}"
        with contextlib.suppress(OSError), socket.create_connection(address) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * BYTES_BEHIND)
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.send(HttpClient.encode_request(X_Call_Id=request_id) + b"x" * BYTES_BEHIND)
        disconnected_at[request_id] = time.monotonic()


def test_requests_of_clients_that_disconnected_with_much_unread_are_not_forwarded(tmp_path: Path) -> None:
    """Guards against attempts for clients whose close is hidden behind bytes that have not been read."""
    endpoints = [RecordingEndpoint("a"), RecordingEndpoint("b")]
    listed = [listed_endpoint(endpoint, weight=100) for endpoint in endpoints]
    disconnected_at: dict[str, float] = {}
    ids = itertools.count(1)
    with ProxyProcess(process_config(listed, MEMORY_MB), tmp_path) as proxy:
        load = LoadProcess(proxy.address, LoadOptions(7, LOAD_S, connections=8, names=100))
        threads = [
            threading.Thread(target=disconnect_with_bytes_unread, args=(proxy.address, disconnected_at, ids))
            for _ in range(DISCONNECTING_CLIENTS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        load.wait_for_end()
        assert proxy.exit_code is None
    late = [
        arrived_at - disconnected_at[request_id]
        for endpoint in endpoints
        for request_id, arrived_at in endpoint.arrived_at
        if arrived_at - disconnected_at.get(request_id, arrived_at) > MAX_DELAY_S
    ]
    assert len(disconnected_at) == DISCONNECTING_CLIENTS * REQUESTS_PER_CLIENT
    assert len(late) <= MAX_LATE_SHARE * len(disconnected_at), sorted(late)
    for endpoint in endpoints:
        endpoint.close()
