"""Clients in a process of their own: `python -m tests.soak.load_process HOST PORT OPTIONS`.

OPTIONS is the JSON of `LoadOptions`. Prints the number of responses by status as one JSON line.
"""

from __future__ import annotations

import json
import random
import selectors
import socket
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass

from olivepost.config import Address
from tests.soak.child_process import ChildProcess
from tests.soak.traffic import object_name

EXIT_TIMEOUT_S = 60.0  # beyond the load's duration
RECEIVE_BYTES = 262_144
END_OF_HEAD = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """A closed-loop load: each connection sends its next request once the response is complete."""

    seed: int
    duration_s: float
    connections: int
    names: int  # objects requested, uniformly
    class_name: str = "segment"
    timeout_ms: int = 3_000


class LoadProcess(ChildProcess):
    """A load in a process of its own."""

    def __init__(self, address: Address, options: LoadOptions) -> None:
        arguments = [address.host, str(address.port), json.dumps(asdict(options))]
        super().__init__(["-m", "tests.soak.load_process", *arguments], has_pipes=True)
        self._timeout_s = options.duration_s + EXIT_TIMEOUT_S

    def wait_for_statuses(self) -> Counter[str]:
        """Waits for the end of the load; returns the number of responses by status."""
        output, _ = self.process.communicate(timeout=self._timeout_s)
        return Counter(json.loads(output))


class LoadConnection:
    """One connection, with its one request in flight."""

    def __init__(self, address: Address) -> None:
        self.sock = socket.create_connection(address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._received = bytearray()

    def send(self, name: int, request_id: int, options: LoadOptions) -> None:
        """Sends the next request."""
        text = object_name(name)
        head = (
            f"GET /api/v2/{options.class_name}/{text}/slice-0 HTTP/1.1\r\nHost: b\r\n"
            f"X-Call-Id: {request_id:016x}\r\nX-Patience-Ms: {options.timeout_ms}\r\nX-Set: 17\r\n\r\n"
        )
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
        del self._received[:size]
        return status


def main(address: Address, options: LoadOptions) -> None:
    """Keeps a request in flight on each connection until the time is over."""
    random_source = random.Random(options.seed)
    request_id = options.seed << 40
    statuses: Counter[str] = Counter()
    selector = selectors.DefaultSelector()

    def send_request(connection: LoadConnection) -> None:
        nonlocal request_id
        request_id += 1
        connection.send(random_source.randrange(options.names), request_id, options)

    def connect() -> None:
        connection = LoadConnection(address)
        selector.register(connection.sock, selectors.EVENT_READ, connection)
        send_request(connection)

    for _ in range(options.connections):
        connect()
    end_at = time.monotonic() + options.duration_s
    while time.monotonic() < end_at:
        for key, _ in selector.select(0.1):
            connection: LoadConnection = key.data
            try:
                status = connection.receive()
                if status is not None:
                    statuses[status] += 1
                    send_request(connection)
            except OSError:
                statuses["closed"] += 1
                selector.unregister(connection.sock)
                connection.sock.close()
                connect()
    print(json.dumps(statuses))


if __name__ == "__main__":
    main(Address(sys.argv[1], int(sys.argv[2])), LoadOptions(**json.loads(sys.argv[3])))
