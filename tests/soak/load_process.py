"""Clients in a separate process: `python -m tests.soak.load_process HOST PORT OPTIONS`.

OPTIONS is a JSON object with the fields of `LoadOptions`. The process prints a `LoadReport` as one JSON line
when the load's duration is over or its standard input ends. After a line on its standard input, the process
opens no further connections.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import selectors
import socket
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass, field

import orjson

from olivepost.config import Address
from tests.soak.child_process import ChildProcess
from tests.soak.traffic import object_name

EXIT_TIMEOUT_S = 60.0  # longest wait for the process's report, in addition to the load's duration
RECEIVE_BYTES = 262_144
END_OF_HEAD = b"\r\n\r\n"
CONNECT_TIMEOUT_S = 5.0
RECONNECT_PAUSE_S = 0.05  # time until a client whose connection was refused tries to connect again
SELECT_TIMEOUT_S = 0.02
# Number of low bits of a request id that hold the request's number; the bits above them hold the load's seed.
REQUEST_NUMBER_BITS = 40
LATE_SHARE = 0.5  # a request that takes longer than this share of its timeout is reported


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """Options of a closed-loop load: each client waits for a response and a think time between requests."""

    seed: int
    duration_s: float
    connections: int
    names: int  # number of objects, which are requested with equal probability
    class_name: str = "segment"
    timeout_ms: int = 3_000
    think_time_s: float = 0.0

    @property
    def first_request_id(self) -> int:
        """The id of the load's first request, as a number."""
        return (self.seed << REQUEST_NUMBER_BITS) + 1

    @property
    def id_prefix(self) -> str:
        """The characters with which the ids of all requests of the load begin."""
        return f"{self.first_request_id:016x}"[: -REQUEST_NUMBER_BITS // 4]


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """A request whose response was late or missing; times are monotonic seconds."""

    id: str
    name: str
    sent_at: float
    ended_at: float | None  # None if the request was pending at the end of the load
    is_closed: bool  # whether the connection ended before a complete response
    is_first_on_connection: bool


@dataclass(slots=True)
class LoadReport:
    """Observations of a load's clients."""

    # Number of responses by status. The keys `closed` and `refused` count connections that the proxy closed
    # or refused.
    statuses: Counter[str] = field(default_factory=Counter)
    # Longest wait for the first response on a connection, including waits that ended without a response.
    longest_first_wait_s: float = 0.0
    late_requests: list[LoadRequest] = field(default_factory=list)

    @classmethod
    def from_json(cls, text: str | bytes) -> LoadReport:
        """Reads the report that a load process has printed."""
        data = json.loads(text)
        late_requests = [LoadRequest(**request) for request in data["late_requests"]]
        return cls(Counter(data["statuses"]), data["longest_first_wait_s"], late_requests)


class LoadProcess(ChildProcess):
    """A load in a separate process."""

    def __init__(self, address: Address, options: LoadOptions) -> None:
        arguments = [address.host, str(address.port), json.dumps(asdict(options))]
        super().__init__(["-m", "tests.soak.load_process", *arguments], has_pipes=True)
        self._timeout_s = options.duration_s + EXIT_TIMEOUT_S

    def stop_connecting(self) -> None:
        """Stops the clients from opening connections; they continue to use the open ones."""
        assert self.process.stdin is not None
        self.process.stdin.write(b"stop connecting\n")
        self.process.stdin.flush()

    def wait_for_report(self) -> LoadReport:
        """Ends the load, waits for its process to exit, and returns its report."""
        output, _ = self.process.communicate(timeout=self._timeout_s)
        return LoadReport.from_json(output)

    def wait_for_end(self) -> LoadReport:
        """Waits until the load's duration is over; returns its report."""
        assert self.process.stdout is not None
        # `communicate` would close standard input and so end the load early.
        output = self.process.stdout.read()
        return LoadReport.from_json(output)


class LoadConnection:
    """A client connection, which has at most one request in flight."""

    def __init__(self, address: Address) -> None:
        self.sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.request_id = ""
        self.name = ""
        self.sent_at: float | None = None  # None if no request is in flight
        self.response_count = 0
        self.is_kept_open = True  # becomes False with the header `Connection: close`
        self._received = bytearray()

    def send(self, name: int, request_id: int, options: LoadOptions) -> None:
        """Sends the next request."""
        self.name = object_name(name)
        self.request_id = f"{request_id:016x}"
        head = (
            f"GET /api/v2/{options.class_name}/{self.name}/slice-0 HTTP/1.1\r\nHost: b\r\n"
            f"X-Call-Id: {self.request_id}\r\nX-Patience-Ms: {options.timeout_ms}\r\nX-Set: 17\r\n\r\n"
        )
        self.sent_at = time.monotonic()
        self.sock.sendall(head.encode())

    def receive(self) -> str | None:
        """Receives bytes; returns the status of the response if it is complete, None otherwise.

        Raises ConnectionError at the end of the stream.
        """
        data = self.sock.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionError("closed by the proxy")
        self._received += data
        head, end, _ = self._received.partition(END_OF_HEAD)
        if not end:
            return None
        _, _, length = bytes(head).lower().partition(b"content-length: ")
        size = len(head) + len(end) + int(length.split(b"\r\n")[0] or b"0")
        if len(self._received) < size:
            return None
        status = bytes(head).split()[1].decode()
        self.is_kept_open = b"connection: close" not in bytes(head).lower()
        del self._received[:size]
        self.response_count += 1
        return status


class Load:
    """The clients of one load, which run on one thread."""

    def __init__(self, address: Address, options: LoadOptions) -> None:
        self._address = address
        self._options = options
        self._random_source = random.Random(options.seed)
        self._request_ids = itertools.count(options.first_request_id)
        self._sequence_numbers = itertools.count()
        # Heap of waiting clients. An entry has the time at which the client sends or connects, a sequence
        # number that orders equal times, and the client's connection, or None if the client has to connect.
        self._waiting: list[tuple[float, int, LoadConnection | None]] = []
        self._selector = selectors.DefaultSelector()
        self._may_connect = True
        self._is_over = False
        self._report = LoadReport()

    def run(self) -> LoadReport:
        """Runs all clients until the duration is over or standard input ends; returns the report."""
        end_at = time.monotonic() + self._options.duration_s
        self._selector.register(sys.stdin, selectors.EVENT_READ)
        for _ in range(self._options.connections):
            self._schedule(0.0, None)
        while time.monotonic() < end_at and not self._is_over:
            self._resume_waiting()
            for key, _ in self._selector.select(SELECT_TIMEOUT_S):
                if key.data is None:
                    self._read_command()
                else:
                    self._receive(key.data)
        self._record_pending()
        return self._report

    def _schedule(self, delay_s: float, connection: LoadConnection | None) -> None:
        heapq.heappush(self._waiting, (time.monotonic() + delay_s, next(self._sequence_numbers), connection))

    def _resume_waiting(self) -> None:
        """Connects the clients that wait to connect, and sends the requests whose think time is over."""
        while self._waiting and self._waiting[0][0] <= time.monotonic():
            _, _, connection = heapq.heappop(self._waiting)
            if connection is None:
                self._connect()
            else:
                self._send(connection)

    def _connect(self) -> None:
        if not self._may_connect:
            return
        try:
            connection = LoadConnection(self._address)
        except OSError:
            self._report.statuses["refused"] += 1
            self._schedule(RECONNECT_PAUSE_S, None)
            return
        self._selector.register(connection.sock, selectors.EVENT_READ, connection)
        self._send(connection)

    def _send(self, connection: LoadConnection) -> None:
        name = self._random_source.randrange(self._options.names)
        try:
            connection.send(name, next(self._request_ids), self._options)
        except OSError:
            self._close(connection)

    def _receive(self, connection: LoadConnection) -> None:
        try:
            status = connection.receive()
        except OSError:
            self._report.statuses["closed"] += 1
            self._close(connection)
            return
        if status is None:
            return
        self._report.statuses[status] += 1
        self._record(connection, time.monotonic(), is_closed=False)
        if connection.is_kept_open:
            self._schedule(self._options.think_time_s, connection)
        else:
            self._close(connection)

    def _close(self, connection: LoadConnection) -> None:
        """Closes a connection; its client connects again after the think time."""
        if connection.sent_at is not None:
            self._record(connection, time.monotonic(), is_closed=True)
        self._waiting = [entry for entry in self._waiting if entry[2] is not connection]
        heapq.heapify(self._waiting)
        self._selector.unregister(connection.sock)
        connection.sock.close()
        self._schedule(self._options.think_time_s, None)

    def _record(self, connection: LoadConnection, ended_at: float | None, *, is_closed: bool) -> None:
        """Records what became of the connection's request, and reports the request if it was late or failed.

        `ended_at` is None if the request was still pending at the end of the load. `is_closed` is True if the
        connection ended before a complete response.
        """
        sent_at = connection.sent_at
        assert sent_at is not None
        connection.sent_at = None
        waited_s = (ended_at or time.monotonic()) - sent_at
        has_response = ended_at is not None and not is_closed
        is_first = connection.response_count == int(has_response)
        if is_first:
            self._report.longest_first_wait_s = max(self._report.longest_first_wait_s, waited_s)
        is_late = waited_s > LATE_SHARE * self._options.timeout_ms / 1_000
        if is_late or not has_response:
            self._report.late_requests.append(
                LoadRequest(connection.request_id, connection.name, sent_at, ended_at, is_closed, is_first)
            )

    def _record_pending(self) -> None:
        for key in list(self._selector.get_map().values()):
            if key.data is not None and key.data.sent_at is not None:
                self._record(key.data, None, is_closed=False)

    def _read_command(self) -> None:
        if sys.stdin.readline():
            self._may_connect = False
        else:
            self._is_over = True


def main(address: Address, options: LoadOptions) -> None:
    """Runs a load and prints its report."""
    print(orjson.dumps(Load(address, options).run()).decode())


if __name__ == "__main__":
    main(Address(sys.argv[1], int(sys.argv[2])), LoadOptions(**json.loads(sys.argv[3])))
