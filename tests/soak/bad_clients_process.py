"""Clients that misbehave, in a process of their own.

`python -m tests.soak.bad_clients_process HOST PORT CLIENTS SEED`.

Each of its threads connects again and again, and does one of: pipeline requests and never read, send half a
head or half a body, ask and leave at once, send a head without end, connect and say nothing, read an answer
slowly. They go on until the process is killed.
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

CONNECTION_TIMEOUT_S = 5.0
PAUSE_S = 0.02  # between two connections of one thread
HOLD_S = 0.5  # for which a silent client stays
PIPELINED_REQUESTS = 200
SLOW_READS = 40
NARROW_BUFFER = 4_096


class BadClientsProcess(ChildProcess):
    """A crowd of bad clients."""

    def __init__(self, address: Address, clients: int, seed: int) -> None:
        arguments = [address.host, str(address.port), str(clients), str(seed)]
        super().__init__("tests.soak.bad_clients_process", arguments)


def request(draw: random.Random) -> bytes:
    """A request that could be served."""
    return (
        f"GET /api/v2/segment/{draw.getrandbits(64):016x}/slice-0 HTTP/1.1\r\nHost: b\r\n"
        f"X-Call-Id: {draw.getrandbits(64):016x}\r\nX-Patience-Ms: 2000\r\nX-Set: 3\r\n\r\n"
    ).encode()


def pipeline(sock: socket.socket, draw: random.Random) -> None:
    """Sends many requests at once and reads no answer."""
    sock.sendall(b"".join(request(draw) for _ in range(PIPELINED_REQUESTS)))
    time.sleep(HOLD_S)


def send_half_a_head(sock: socket.socket, draw: random.Random) -> None:
    """Leaves within a request's head."""
    sock.sendall(request(draw)[:60])
    time.sleep(draw.random() * HOLD_S)


def send_half_a_body(sock: socket.socket, draw: random.Random) -> None:
    """Leaves within a request's body."""
    sock.sendall(request(draw).replace(b"\r\n\r\n", b"\r\nContent-Length: 16000\r\n\r\n") + b"x" * 8_000)
    time.sleep(draw.random() * HOLD_S)


def ask_and_leave(sock: socket.socket, draw: random.Random) -> None:
    """Resets or closes right behind a request."""
    sock.sendall(request(draw))
    if draw.random() < 0.5:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")


def send_an_endless_head(sock: socket.socket, draw: random.Random) -> None:
    """Sends a head that is longer than any proxy takes."""
    sock.sendall(b"GET /api/v2/segment/0 HTTP/1.1\r\n" + b"X-Filler: y\r\n" * 4_000)
    sock.recv(NARROW_BUFFER)


def say_nothing(sock: socket.socket, draw: random.Random) -> None:
    """Holds a connection."""
    time.sleep(draw.random() * 2 * HOLD_S)


def read_slowly(sock: socket.socket, draw: random.Random) -> None:
    """Takes an answer byte by byte."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NARROW_BUFFER)
    sock.sendall(request(draw))
    for _ in range(SLOW_READS):
        if not sock.recv(1):
            return
        time.sleep(PAUSE_S)


MISBEHAVIOURS: list[Callable[[socket.socket, random.Random], None]] = [
    pipeline,
    send_half_a_head,
    send_half_a_body,
    ask_and_leave,
    send_an_endless_head,
    say_nothing,
    read_slowly,
]


def misbehave(address: Address, seed: int) -> None:
    """One client, for ever."""
    draw = random.Random(seed)
    while True:
        with (
            contextlib.suppress(OSError),
            socket.create_connection(address, CONNECTION_TIMEOUT_S) as sock,
        ):
            draw.choice(MISBEHAVIOURS)(sock, draw)
        time.sleep(PAUSE_S)


def main(address: Address, clients: int, seed: int) -> None:
    """Runs all clients until the process is killed."""
    for number in range(clients):
        client_seed = seed * clients + number
        threading.Thread(target=misbehave, args=(address, client_seed), daemon=True).start()
    threading.Event().wait()


if __name__ == "__main__":
    main(Address(sys.argv[1], int(sys.argv[2])), int(sys.argv[3]), int(sys.argv[4]))
