"""Clients in a process of their own: `python -m tests.soak.load_process HOST PORT OPTIONS`.

OPTIONS is the JSON of `LoadOptions`. Prints a `LoadReport` as one JSON line, once the load's time is over or
its standard input ends. A line on standard input ends the opening of further connections.
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

EXIT_TIMEOUT_S = 60.0  # beyond the load's duration
RECEIVE_BYTES = 262_144
END_OF_HEAD = b"\r\n\r\n"
CONNECT_TIMEOUT_S = 5.0
RECONNECT_PAUSE_S = 0.05  # after a connection that was refused
SELECT_TIMEOUT_S = 0.02
REQUEST_NUMBER_BITS = 40  # of a request's id; the load's seed stands above them
LATE_SHARE = 0.5  # of a request's timeout, from which a request is reported with its times


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """A closed-loop load: each connection sends its next request after a response, and a time to think."""

    seed: int
    duration_s: float
    connections: int
    names: int  # objects requested, uniformly
    class_name: str = "segment"
    timeout_ms: int = 3_000
    think_time_s: float = 0.0

    @property
    def first_request_id(self) -> int:
        """The number of the load's first request."""
        return (self.seed << REQUEST_NUMBER_BITS) + 1

    @property
    def id_prefix(self) -> str:
        """With which the ids of all of the load's requests begin."""
        return f"{self.first_request_id:016x}"[: -REQUEST_NUMBER_BITS // 4]


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """A request that took long or got no response; times are monotonic seconds."""

    id: str
    name: str
    sent_at: float
    ended_at: float | None  # None: still pending at the end of the load
    is_closed: bool  # its connection ended before a response
    is_first_on_connection: bool


@dataclass(slots=True)
class LoadReport:
    """What the clients of a load have seen."""

    statuses: Counter[str] = field(default_factory=Counter)  # responses by status, and connections `closed`
    longest_first_wait_s: float = 0.0  # for the first response on a connection, also where none came
    late_requests: list[LoadRequest] = field(default_factory=list)

    @classmethod
    def from_json(cls, text: str | bytes) -> LoadReport:
        """Reads what a load process printed."""
        data = json.loads(text)
        late_requests = [LoadRequest(**request) for request in data["late_requests"]]
        return cls(Counter(data["statuses"]), data["longest_first_wait_s"], late_requests)


class LoadProcess(ChildProcess):
    """A load in a process of its own."""

    def __init__(self, address: Address, options: LoadOptions) -> None:
        arguments = [address.host, str(address.port), json.dumps(asdict(options))]
        super().__init__(["-m", "tests.soak.load_process", *arguments], has_pipes=True)
        self._timeout_s = options.duration_s + EXIT_TIMEOUT_S

    def stop_connecting(self) -> None:
        """Lets the clients open no further connection; they go on using those that are open."""
        assert self.process.stdin is not None
        self.process.stdin.write(b"stop connecting\n")
        self.process.stdin.flush()

    def wait_for_report(self) -> LoadReport:
        """Ends the load, or waits for its end; returns what its clients have seen."""
        output, _ = self.process.communicate(timeout=self._timeout_s)
        return LoadReport.from_json(output)

    def wait_for_end(self) -> LoadReport:
        """Waits until the load's time is over; returns what its clients have seen."""
        assert self.process.stdout is not None
        output = self.process.stdout.read()  # not `communicate`, which closes the input and so ends the load
        return LoadReport.from_json(output)


class LoadConnection:
    """One connection, with its one request in flight."""

    def __init__(self, address: Address) -> None:
        self.sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.request_id = ""
        self.name = ""
        self.sent_at: float | None = None  # None: no request is in flight
        self.response_count = 0
        self.is_kept_open = True  # as the last response says
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
        """The status of the response once it is complete, None before.

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
    """The clients of one load, on one thread."""

    def __init__(self, address: Address, options: LoadOptions) -> None:
        self._address = address
        self._options = options
        self._random_source = random.Random(options.seed)
        self._request_ids = itertools.count(options.first_request_id)
        self._order = itertools.count()  # of entries that are due at the same time
        self._due: list[tuple[float, int, LoadConnection | None]] = []  # None: a client without a connection
        self._selector = selectors.DefaultSelector()
        self._may_connect = True
        self._is_over = False
        self._report = LoadReport()

    def run(self) -> LoadReport:
        """Keeps all clients going until the time is over or standard input ends."""
        end_at = time.monotonic() + self._options.duration_s
        self._selector.register(sys.stdin, selectors.EVENT_READ)
        for _ in range(self._options.connections):
            self._schedule(0.0, None)
        while time.monotonic() < end_at and not self._is_over:
            self._act_on_due()
            for key, _ in self._selector.select(SELECT_TIMEOUT_S):
                if key.data is None:
                    self._read_command()
                else:
                    self._receive(key.data)
        self._record_pending()
        return self._report

    def _schedule(self, delay_s: float, connection: LoadConnection | None) -> None:
        heapq.heappush(self._due, (time.monotonic() + delay_s, next(self._order), connection))

    def _act_on_due(self) -> None:
        """Connects clients, and sends the requests of those that have thought."""
        while self._due and self._due[0][0] <= time.monotonic():
            _, _, connection = heapq.heappop(self._due)
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
        """Closes a connection; its client thinks, and connects again."""
        if connection.sent_at is not None:
            self._record(connection, time.monotonic(), is_closed=True)
        self._due = [entry for entry in self._due if entry[2] is not connection]
        heapq.heapify(self._due)
        self._selector.unregister(connection.sock)
        connection.sock.close()
        self._schedule(self._options.think_time_s, None)

    def _record(self, connection: LoadConnection, ended_at: float | None, *, is_closed: bool) -> None:
        """Records how a request ended, or that it is still pending."""
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
    """Runs the load, and prints its report."""
    print(orjson.dumps(Load(address, options).run()).decode())


if __name__ == "__main__":
    main(Address(sys.argv[1], int(sys.argv[2])), LoadOptions(**json.loads(sys.argv[3])))
