"""Misbehaving clients in a separate process.

    python -m tests.soak.misbehaving_clients_process HOST PORT CLIENTS SEED [MISBEHAVIOR]

Each client has a thread that connects repeatedly until the process is killed. On each connection, it
misbehaves in one random way: it pipelines requests and never reads, sends a partial head or body, disconnects
right after a request, sends a head that is too long, stays idle, or reads a response slowly. If a misbehavior
is named, all clients always misbehave in that way.
"""

from __future__ import annotations

import contextlib
import random
import socket
import sys
import threading
import time
from collections.abc import Callable

from olivepost.config import Address
from tests.soak.child_process import ChildProcess
from tests.soak.traffic import reset_on_close

CONNECTION_TIMEOUT_S = 5.0
RECONNECT_PAUSE_S = 0.02  # pause of a client between two connections, or between two slow reads
MAX_IDLE_S = 0.5  # longest wait of a client before it disconnects; clients that stay idle wait twice as long
PIPELINED_REQUESTS = 200
SLOW_READS = 40  # bytes that a slow reader reads one by one before it disconnects
SMALL_BUFFER_BYTES = 4_096
LARGE_BUFFER_BYTES = 262_144
SLOW_CHUNK_BYTES = 400
SLOW_CHUNK_INTERVAL_S = 0.1
FULL_SPEED_S = 3.0  # time for which a client sends at full speed on one connection


class MisbehavingClientsProcess(ChildProcess):
    """A process that runs misbehaving clients."""

    def __init__(self, address: Address, clients: int, seed: int, misbehavior: str | None = None) -> None:
        arguments = [address.host, str(address.port), str(clients), str(seed)]
        if misbehavior is not None:
            arguments.append(misbehavior)
        super().__init__(["-m", "tests.soak.misbehaving_clients_process", *arguments])


def request(random_source: random.Random) -> bytes:
    """Returns a valid request with a random name and id."""
    return (
        f"GET /api/v2/segment/{random_source.getrandbits(64):016x}/slice-0 HTTP/1.1\r\nHost: b\r\n"
        f"X-Call-Id: {random_source.getrandbits(64):016x}\r\nX-Patience-Ms: 2000\r\nX-Set: 3\r\n\r\n"
    ).encode()


def pipeline(sock: socket.socket, random_source: random.Random) -> None:
    """Sends many requests at once and reads no response."""
    sock.sendall(b"".join(request(random_source) for _ in range(PIPELINED_REQUESTS)))
    time.sleep(MAX_IDLE_S)


def send_partial_head(sock: socket.socket, random_source: random.Random) -> None:
    """Sends part of a request's head, waits and disconnects."""
    sock.sendall(request(random_source)[:60])
    time.sleep(random_source.random() * MAX_IDLE_S)


def send_partial_body(sock: socket.socket, random_source: random.Random) -> None:
    """Sends half of a request's body, waits and disconnects."""
    sock.sendall(
        request(random_source).replace(b"\r\n\r\n", b"\r\nContent-Length: 16000\r\n\r\n") + b"x" * 8_000
    )
    time.sleep(random_source.random() * MAX_IDLE_S)


def request_and_disconnect(sock: socket.socket, random_source: random.Random) -> None:
    """Sends a request and disconnects without waiting; about half of the connections are reset."""
    sock.sendall(request(random_source))
    if random_source.random() < 0.5:
        reset_on_close(sock)


def send_endless_head(sock: socket.socket, random_source: random.Random) -> None:
    """Sends a head that is longer than the proxy accepts, then waits for the proxy's reaction."""
    sock.sendall(b"GET /api/v2/segment/0 HTTP/1.1\r\n" + b"X-Filler: y\r\n" * 4_000)
    sock.recv(SMALL_BUFFER_BYTES)


def stay_idle(sock: socket.socket, random_source: random.Random) -> None:
    """Keeps a connection open without sending anything."""
    time.sleep(random_source.random() * 2 * MAX_IDLE_S)


def read_slowly(sock: socket.socket, random_source: random.Random) -> None:
    """Reads the first bytes of a response one by one."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.sendall(request(random_source))
    for _ in range(SLOW_READS):
        if not sock.recv(1):
            return
        time.sleep(RECONNECT_PAUSE_S)


def send_many_fields(sock: socket.socket, random_source: random.Random) -> None:
    """Sends a request with very many short fields, and reads the response."""
    sock.sendall(request(random_source).replace(b"\r\n\r\n", b"\r\n" + b"a: b\r\n" * 900 + b"\r\n"))
    sock.recv(SMALL_BUFFER_BYTES)


def write_slowly(sock: socket.socket, random_source: random.Random) -> None:
    """Sends a long head in small chunks."""
    data = request(random_source).replace(b"\r\n\r\n", b"\r\nX-Filler: " + b"y" * 7_000 + b"\r\n\r\n")
    for start in range(0, len(data), SLOW_CHUNK_BYTES):
        sock.sendall(data[start : start + SLOW_CHUNK_BYTES])
        time.sleep(SLOW_CHUNK_INTERVAL_S)


def stop_within_large_body(sock: socket.socket, random_source: random.Random) -> None:
    """Sends half of a large write, and waits until the proxy gives it up."""
    head = request(random_source).replace(b"GET", b"PUT", 1)
    sock.sendall(head.replace(b"\r\n\r\n", b"\r\nContent-Length: 240000\r\n\r\n") + b"x" * 120_000)
    sock.recv(SMALL_BUFFER_BYTES)


def send_health_checks(sock: socket.socket, random_source: random.Random) -> None:
    """Sends small requests at full speed for some seconds, and reads the responses."""
    threading.Thread(target=read_until_closed, args=(sock,), daemon=True).start()
    send_for_some_seconds(sock, b"GET /-/healthy HTTP/1.1\r\nHost: b\r\n\r\n" * PIPELINED_REQUESTS)


def send_garbage(sock: socket.socket, random_source: random.Random) -> None:
    """Sends bytes that are no request at full speed for some seconds."""
    send_for_some_seconds(sock, random_source.randbytes(SMALL_BUFFER_BYTES) * 16)


def send_new_names(sock: socket.socket, random_source: random.Random) -> None:
    """Sends pipelined requests under ever new names and ids at full speed for some seconds."""
    until = time.monotonic() + FULL_SPEED_S
    while time.monotonic() < until:
        sock.sendall(b"".join(request(random_source) for _ in range(PIPELINED_REQUESTS)))


def request_new_names_in_turn(sock: socket.socket, random_source: random.Random) -> None:
    """Sends one request after another under ever new names, as fast as they are answered."""
    until = time.monotonic() + FULL_SPEED_S
    while time.monotonic() < until:
        sock.sendall(request(random_source))
        if not sock.recv(LARGE_BUFFER_BYTES):
            return


def send_for_some_seconds(sock: socket.socket, data: bytes) -> None:
    """Sends the same bytes again and again."""
    until = time.monotonic() + FULL_SPEED_S
    while time.monotonic() < until:
        sock.sendall(data)


def read_until_closed(sock: socket.socket) -> None:
    """Reads and drops what arrives."""
    with contextlib.suppress(OSError):
        while sock.recv(LARGE_BUFFER_BYTES):
            pass


MISBEHAVIORS: list[Callable[[socket.socket, random.Random], None]] = [
    pipeline,
    send_partial_head,
    send_partial_body,
    request_and_disconnect,
    send_endless_head,
    stay_idle,
    read_slowly,
]
# Misbehaviors that clients show only if they are named.
NAMED_MISBEHAVIORS: dict[str, Callable[[socket.socket, random.Random], None]] = {
    function.__name__: function
    for function in (
        send_many_fields,
        write_slowly,
        stop_within_large_body,
        send_health_checks,
        send_garbage,
        send_new_names,
        request_new_names_in_turn,
    )
}


def misbehave(
    address: Address, seed: int, choices: list[Callable[[socket.socket, random.Random], None]]
) -> None:
    """Runs one client, which misbehaves in one of the ways of `choices` each time, until the process ends."""
    random_source = random.Random(seed)
    while True:
        with (
            contextlib.suppress(OSError),
            socket.create_connection(address, CONNECTION_TIMEOUT_S) as sock,
        ):
            random_source.choice(choices)(sock, random_source)
        time.sleep(RECONNECT_PAUSE_S)


def main(address: Address, clients: int, seed: int, misbehavior: str | None = None) -> None:
    """Runs all clients until the process is killed."""
    choices = MISBEHAVIORS if misbehavior is None else [NAMED_MISBEHAVIORS[misbehavior]]
    for number in range(clients):
        client_seed = seed * clients + number
        threading.Thread(target=misbehave, args=(address, client_seed, choices), daemon=True).start()
    threading.Event().wait()


if __name__ == "__main__":
    main(Address(sys.argv[1], int(sys.argv[2])), int(sys.argv[3]), int(sys.argv[4]), *sys.argv[5:])
