"""A load of Zipf names at a fixed rate, on kept connections, and the latency that clients see.

The calling thread queues jobs as they become due; worker threads send the requests, so that a slow response
delays no other request. Latency counts from the time at which a job was due.
"""

from __future__ import annotations

import itertools
import queue
import random
import socket
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from benchmarks.caches import group_of
from benchmarks.fleet import Address

LATENCY_OBJECTIVE_S = 1.0  # a slower response does not count as served in time
TIMEOUT_MS = 3000  # that clients send with a request
SOCKET_TIMEOUT_S = 4.0
WORKERS = 48  # connections to each proxy at most
WORKER_JOIN_S = 10.0
ZIPF_EXPONENT = 0.8
NAME_MULTIPLIER = 2_654_435_761  # Knuth's multiplicative hash: names of all ranks spread over the groups
NAME_RANGE = 2**64
FIRST_ID_BITS = 32  # below the seed in a request's id, so that seeds share no ids
ATTEMPTS = 2  # since a kept connection may have been closed
RECEIVE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """A load; equal options give equal requests."""

    seed: int
    rate: float  # requests a second
    duration_s: float
    names: int


class Step(NamedTuple):
    """An action at a time of the load."""

    at_s: float
    action: Callable[[], object]


class Job(NamedTuple):
    """A request to make."""

    due: float  # monotonic
    proxy: int
    name: str


@dataclass
class LoadResult:
    """The latencies that clients saw. The lock guards the other fields while the load runs."""

    latencies_s: list[float] = field(default_factory=list)  # of requests that were served
    request_count: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def service_share(self) -> float:
        """The share of requests served in time."""
        in_time = sum(latency <= LATENCY_OBJECTIVE_S for latency in self.latencies_s)
        return in_time / max(1, self.request_count)

    def quantile_ms(self, share: float) -> float:
        """A quantile of the latencies; not a number if no request was served."""
        if not self.latencies_s:
            return float("nan")
        ordered = sorted(self.latencies_s)
        return 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Client:
    """One worker's connections, one to each proxy. A context manager, which closes them. Not thread-safe."""

    def __init__(self, addresses: Sequence[Address]) -> None:
        self._addresses = addresses
        self._sockets: dict[int, socket.socket] = {}

    def __enter__(self) -> Client:
        return self

    def __exit__(self, *_: object) -> None:
        for sock in self._sockets.values():
            sock.close()

    def request(self, proxy: int, name: str, request_id: int) -> bool:
        """Makes one request; returns whether its response was complete, with status 200."""
        text = (
            f"GET /api/v2/segment/{name}/slice-0 HTTP/1.1\r\nHost: b\r\nX-Call-Id: {request_id:016x}\r\n"
            f"X-Patience-Ms: {TIMEOUT_MS}\r\nX-Set: {group_of(name)}\r\n\r\n"
        )
        for _ in range(ATTEMPTS):
            try:
                sock = self._connect(proxy)
                sock.sendall(text.encode())
                return read_response(sock)
            except OSError:
                self._close(proxy)
        return False

    def _connect(self, proxy: int) -> socket.socket:
        if proxy not in self._sockets:
            self._sockets[proxy] = socket.create_connection(self._addresses[proxy], SOCKET_TIMEOUT_S)
        return self._sockets[proxy]

    def _close(self, proxy: int) -> None:
        sock = self._sockets.pop(proxy, None)
        if sock is not None:
            sock.close()


def read_response(sock: socket.socket) -> bool:
    """Reads one response; returns whether its status is 200. Raises OSError if it is not complete."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    length = content_length(head)
    while len(body) < length:
        body += receive(sock)
    return head.startswith(b"HTTP/1.1 200")


def content_length(head: bytes) -> int:
    """The Content-Length of a response's head; 0 if it has none."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length"):
            return int(line.split(b":")[1])
    return 0


def receive(sock: socket.socket) -> bytes:
    """Reads some bytes; raises ConnectionError if the connection was closed."""
    data = sock.recv(RECEIVE_BYTES)
    if not data:
        raise ConnectionError("closed")
    return data


def run_load(addresses: Sequence[Address], options: LoadOptions, steps: Sequence[Step]) -> LoadResult:
    """Makes requests to proxies that are sampled evenly; takes the steps as they become due."""
    result = LoadResult()
    jobs = queue.SimpleQueue[Job | None]()
    ids = itertools.count(options.seed << FIRST_ID_BITS)

    def work() -> None:
        with Client(addresses) as client:
            while (job := jobs.get()) is not None:
                is_served = client.request(job.proxy, job.name, next(ids))
                if is_served:
                    with result.lock:
                        result.latencies_s.append(time.monotonic() - job.due)

    workers = [threading.Thread(target=work, name="client", daemon=True) for _ in range(WORKERS)]
    for worker in workers:
        worker.start()
    result.request_count = put_jobs(jobs, len(addresses), options, steps)
    for _ in workers:
        jobs.put(None)
    for worker in workers:
        worker.join(WORKER_JOIN_S)
    return result


def put_jobs(
    jobs: queue.SimpleQueue[Job | None], proxies: int, options: LoadOptions, steps: Sequence[Step]
) -> int:
    """Queues jobs and takes steps as they become due; returns the number of jobs."""
    draw = random.Random(options.seed)
    ranks = range(options.names)
    weights = list(itertools.accumulate(1 / (rank + 1) ** ZIPF_EXPONENT for rank in ranks))
    remaining = sorted(steps, key=lambda step: step.at_s)
    count = 0
    start = time.monotonic()
    now = start
    while now < start + options.duration_s:
        while remaining and now >= start + remaining[0].at_s:
            remaining.pop(0).action()
        (rank,) = draw.choices(ranks, cum_weights=weights)
        name = f"{rank * NAME_MULTIPLIER % NAME_RANGE:016x}"
        jobs.put(Job(now, draw.randrange(proxies), name))
        count += 1
        now += draw.expovariate(options.rate)
        time.sleep(max(0.0, now - time.monotonic()))
    return count
