"""Clients of a soak: usual ones, and such that leave, rest, flood, trickle or send half a request."""

from __future__ import annotations

import contextlib
import itertools
import random
import socket
import threading
import time

from olivepost.config import Address
from tests.soak.oracle import ClientRequest, Oracle, Outcome

SOCKET_TIMEOUT_S = 8.0
RESET = b"\1\0\0\0\0\0\0\0"  # SO_LINGER: close with a reset
NAMES = 400
NAME_MULTIPLIER = 2_654_435_761
MIN_TIMEOUT_S = 1.2
TIMEOUT_RANGE_S = 1.3
CLASSES = ("segment", "image", "order")  # the last one must not run twice
RESTING_CLIENTS = 30
RECONNECT_PAUSE_S = 0.05


class SoakClients:
    """All clients of one run; `stop` ends them once what they wait for is answered."""

    def __init__(self, address: Address, oracle: Oracle, seed: int) -> None:
        self._address = address
        self._oracle = oracle
        self._seed = seed
        self._ids = itertools.count(1)
        self._is_stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._resting: list[socket.socket] = []

    def start(self, usual: int, leaving: int, bad: int) -> None:
        """Starts so many clients of each kind."""
        kinds = [self._ask_usually] * usual + [self._ask_and_leave] * leaving + [self._misbehave] * bad
        for number, run in enumerate(kinds):
            draw = random.Random(self._seed * 1_000 + number)
            thread = threading.Thread(target=run, args=(draw,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def rest(self, count: int = RESTING_CLIENTS) -> None:
        """Opens connections that say nothing until the proxy ends them."""
        for _ in range(count):
            with contextlib.suppress(OSError):
                self._resting.append(socket.create_connection(self._address, SOCKET_TIMEOUT_S))

    def stop(self) -> None:
        """Ends all clients; what they have sent is answered or runs into their timeout."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(SOCKET_TIMEOUT_S)
        for sock in self._resting:
            sock.close()

    def new_request(self, draw: random.Random) -> ClientRequest:
        """A request, not sent yet."""
        with self._oracle.lock:
            id_ = f"{self._seed:04x}{next(self._ids):012x}"
        # A few names are wanted by many.
        number = min(draw.randrange(NAMES), draw.randrange(NAMES))
        name = f"{number * NAME_MULTIPLIER % 2**64:016x}"
        timeout_s = MIN_TIMEOUT_S + draw.random() * TIMEOUT_RANGE_S
        return ClientRequest(id_, name, draw.choice(CLASSES), 0.0, timeout_s)

    # Usual clients.

    def _ask_usually(self, draw: random.Random) -> None:
        sock: socket.socket | None = None
        while not self._is_stopped.wait(draw.random() * 0.05):
            is_first = sock is None
            if sock is None:
                sock = self._connect()
                if sock is None:
                    self._is_stopped.wait(RECONNECT_PAUSE_S)
                    continue
            request = self.new_request(draw)
            request.is_first_on_connection = is_first
            keeps_open = send_request(self._oracle, sock, request) and read_answer(sock, request)
            if not keeps_open:
                sock.close()
                sock = None
        if sock is not None:
            sock.close()

    def _connect(self) -> socket.socket | None:
        if not self._oracle.accepts_new_connections():
            return None
        try:
            sock = socket.create_connection(self._address, SOCKET_TIMEOUT_S)
        except OSError:
            return None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    # Clients that stop waiting.

    def _ask_and_leave(self, draw: random.Random) -> None:
        while not self._is_stopped.wait(draw.random() * 0.1):
            sock = self._connect()
            if sock is None:
                self._is_stopped.wait(RECONNECT_PAUSE_S)
                continue
            request = self.new_request(draw)
            send_request(self._oracle, sock, request)
            time.sleep(draw.choice((0.0, 0.0, 0.002, 0.02, 0.2)))
            if draw.random() < 0.5:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            request.outcome = Outcome.LEFT
            sock.close()
            request.ended_at = time.monotonic()

    # Bad clients.

    def _misbehave(self, draw: random.Random) -> None:
        while not self._is_stopped.wait(draw.random() * 0.2):
            sock = self._connect()
            if sock is None:
                self._is_stopped.wait(RECONNECT_PAUSE_S)
                continue
            with contextlib.suppress(OSError), sock:
                draw.choice((self._send_half, self._flood, self._trickle))(sock, draw)

    def _send_half(self, sock: socket.socket, draw: random.Random) -> None:
        text = encode_request(self.new_request(draw))
        sock.sendall(text[: draw.randrange(1, len(text) - 1)])
        time.sleep(draw.random() * 0.3)

    def _flood(self, sock: socket.socket, draw: random.Random) -> None:
        """Pipelines requests; the first is answered, and then the connection ends."""
        requests = [self.new_request(draw) for _ in range(50)]
        for request in requests:
            request.outcome = Outcome.LEFT
            request.ended_at = float("inf")
            self._oracle.add_request(request)
        sock.sendall(b"".join(encode_request(request) for request in requests))
        time.sleep(draw.random() * 0.3)

    def _trickle(self, sock: socket.socket, draw: random.Random) -> None:
        """Writes a request in small pieces, and waits for its answer."""
        request = self.new_request(draw)
        text = encode_request(request)
        for start in range(0, len(text) - 1, 20):
            sock.sendall(text[start : min(start + 20, len(text) - 1)])
            time.sleep(0.01)
        request.is_first_on_connection = True
        if send_request(self._oracle, sock, request, text[-1:]):
            read_answer(sock, request)


def encode_request(request: ClientRequest) -> bytes:
    """A request as clients write it."""
    method = "PUT" if request.class_name == "order" else "GET"
    return (
        f"{method} /api/v2/{request.class_name}/{request.name}/slice-0 HTTP/1.1\r\nHost: b\r\n"
        f"X-Call-Id: {request.id}\r\nX-Patience-Ms: {int(request.timeout_s * 1_000)}\r\nX-Set: 17\r\n\r\n"
    ).encode()


def send_request(oracle: Oracle, sock: socket.socket, request: ClientRequest, data: bytes = b"") -> bool:
    """Sends a request, or its last bytes; false, and not owed, where the connection did not take it."""
    request.sent_at = time.monotonic()
    oracle.add_request(request)
    try:
        sock.sendall(data or encode_request(request))
    except OSError:
        request.outcome = Outcome.LEFT
        request.ended_at = time.monotonic()
        return False
    request.sent_at = time.monotonic()
    return True


def read_answer(sock: socket.socket, request: ClientRequest) -> bool:
    """Reads the final answer; whether the connection stays open."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            data += receive(sock)
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {key.lower(): value for key, value in (line.split(": ", 1) for line in lines[1:])}
        length = int(headers.get("content-length", "0"))
        while len(body) < length:
            body += receive(sock)
    except TimeoutError:
        return False  # it stays pending
    except OSError:
        request.ended_at = time.monotonic()
        # A head that came says that the answer was begun: the client can tell that it is not whole.
        request.outcome = Outcome.ANSWERED if data else Outcome.CLOSED
        return False
    request.ended_at = time.monotonic()
    request.status = int(lines[0].split()[1])
    request.etag = headers.get("etag", "").strip('"')
    request.body = body
    request.outcome = Outcome.ANSWERED
    return headers.get("connection") != "close"


def receive(sock: socket.socket) -> bytes:
    """The next bytes; ConnectionError at the connection's end."""
    data = sock.recv(65_536)
    if not data:
        raise ConnectionError("closed by the proxy")
    return data
