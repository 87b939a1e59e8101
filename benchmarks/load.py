"""A load at a fixed mean rate with Zipf-distributed names on persistent connections, and its latencies.

The calling thread queues each request as a job when the request is due. Worker threads send the requests, so
that a slow response delays no other request. A latency is measured from the time at which the job was due.
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

LATENCY_OBJECTIVE_S = 1.0  # longest latency of a response that is served in time
TIMEOUT_MS = 3000  # deadline that clients send with a request
SOCKET_TIMEOUT_S = 4.0
WORKERS = 48  # number of threads; each has at most one connection to each proxy
WORKER_JOIN_S = 10.0
ZIPF_EXPONENT = 0.8
# Multiplier of Knuth's multiplicative hash. The hash spreads popular and unpopular names over all groups, the
# sets of names that are invalidated together.
NAME_MULTIPLIER = 2_654_435_761
NAME_RANGE = 2**64
# Number of low bits of a request's id that hold the request's number within the load. The bits above them
# hold the load's seed, so that two loads with different seeds share no ids.
FIRST_ID_BITS = 32
ATTEMPTS = 2  # attempts of a request; the second is needed if the proxy closed the connection
RECEIVE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """Parameters of a load. Equal options produce the same sequence of requests."""

    seed: int
    rate: float  # requests per second
    duration_s: float
    names: int


class Step(NamedTuple):
    """A timed action of a run, such as a cache's restart, due `at_s` seconds after the load's start."""

    at_s: float
    action: Callable[[], object]


class Job(NamedTuple):
    """A request that a worker must send."""

    due: float  # time at which to send the request, on the monotonic clock
    proxy: int
    name: str


@dataclass
class LoadResult:
    """The latencies that clients saw. The lock guards the other fields while the load runs."""

    latencies_s: list[float] = field(default_factory=list)  # latencies of the requests that were served
    request_count: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def service_share(self) -> float:
        """Returns the share of requests that were served in time."""
        in_time = sum(latency <= LATENCY_OBJECTIVE_S for latency in self.latencies_s)
        return in_time / max(1, self.request_count)

    def quantile_ms(self, share: float) -> float:
        """Returns a quantile of the latencies in milliseconds, or NaN if no request was served."""
        if not self.latencies_s:
            return float("nan")
        ordered = sorted(self.latencies_s)
        return 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Client:
    """One worker's connections, one to each proxy. Not thread-safe.

    It is a context manager, which closes the connections when the `with` block ends.
    """

    def __init__(self, addresses: Sequence[Address]) -> None:
        self._addresses = addresses
        self._sockets: dict[int, socket.socket] = {}

    def __enter__(self) -> Client:
        return self

    def __exit__(self, *_: object) -> None:
        for sock in self._sockets.values():
            sock.close()

    def request(self, proxy: int, name: str, request_id: int) -> bool:
        """Sends one request; returns whether its response was complete and had status 200."""
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
    """Reads one response; returns whether its status is 200. Raises OSError if it is incomplete."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    length = content_length(head)
    while len(body) < length:
        body += receive(sock)
    return head.startswith(b"HTTP/1.1 200")


def content_length(head: bytes) -> int:
    """Returns the Content-Length in a response's head, or 0 if there is none."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length"):
            return int(line.split(b":")[1])
    return 0


def receive(sock: socket.socket) -> bytes:
    """Reads the next bytes of a response; raises ConnectionError if the connection was closed."""
    data = sock.recv(RECEIVE_BYTES)
    if not data:
        raise ConnectionError("the proxy closed the connection before its response was complete")
    return data


def run_load(addresses: Sequence[Address], options: LoadOptions, steps: Sequence[Step]) -> LoadResult:
    """Sends requests to random proxies with equal chances, and runs each step (timed action) when due."""
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
    """Queues a job for each request when the request is due, and returns the number of jobs.

    Between two jobs, runs the steps (timed actions) that have become due.
    """
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
