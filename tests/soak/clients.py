"""Clients of a soak, which run on threads of the test's process.

Regular clients send valid requests and read the responses. The others disconnect early, stay idle, pipeline
requests, read or write slowly, send a request after a response with `Connection: close`, or repeat a write
that was rejected or failed.
"""

from __future__ import annotations

import contextlib
import itertools
import random
import socket
import threading
import time
from collections.abc import Callable

from olivepost.config import Address
from tests.soak.environment import LARGE_NAMES
from tests.soak.http_client import encode_request, read_response, send_request
from tests.soak.oracle import REJECTED, SCHEDULING_SLACK_S, ClientRequest, Oracle, Outcome
from tests.soak.traffic import object_name, reset_on_close

SOCKET_TIMEOUT_S = 8.0
NAMES = 400  # number of objects that clients request
MIN_TIMEOUT_S = 1.2
TIMEOUT_RANGE_S = 1.3  # a request's timeout is `MIN_TIMEOUT_S` plus a random time of up to this length
CLASSES = ("segment", "image", "order")  # request classes; requests of the last one are writes
IDLE_CLIENTS = 30
RECONNECT_PAUSE_S = 0.05
SLOW_READ_BYTES = 3_000
SLOW_READ_INTERVAL_S = 0.25
SLOW_READER_TIMEOUT_S = 15.0
SMALL_RECEIVE_BUFFER_BYTES = 4_096
PERSISTENT_CLIENT_INTERVAL_S = 0.1  # time between two requests on the same connection
WRITE_DEADLINE_S = 2.5  # longest wait of a client for a write, over all tries
FIRST_TRY_TIMEOUTS_S = (0.1, 0.4, 1.2)
MAX_RETRY_PAUSE_S = 0.9  # more than the longest wait that the proxy advises


class SoakClients:
    """All clients of one run, except those in other processes."""

    def __init__(self, address: Address, oracle: Oracle, seed: int) -> None:
        self._address = address
        self._oracle = oracle
        self._seed = seed
        self._ids = itertools.count(1)
        self._is_stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._idle_sockets: list[socket.socket] = []

    def start(
        self, regular: int, disconnecting: int, misbehaving: int, slow: int = 0, persistent: int = 0
    ) -> None:
        """Starts one thread for each client; the parameters are the numbers of clients of each kind."""
        kinds = [
            *itertools.repeat(self._run_regular_client, regular),
            *itertools.repeat(self._run_disconnecting_client, disconnecting),
            *itertools.repeat(self._run_misbehaving_client, misbehaving),
            *itertools.repeat(self._run_slow_reader, slow),
            *itertools.repeat(self._run_persistent_client, persistent),
        ]
        for run in kinds:
            self._start_thread(run)

    def start_retrying(self, count: int) -> None:
        """Starts `count` clients that send writes with keys, and repeat those that were not served."""
        for _ in range(count):
            self._start_thread(self._run_retrying_client)

    def _start_thread(self, run: Callable[[random.Random], None]) -> None:
        random_source = random.Random(self._seed * 1_000 + len(self._threads))
        thread = threading.Thread(target=run, args=(random_source,), daemon=True)
        thread.start()
        self._threads.append(thread)

    def open_idle_connections(self, count: int = IDLE_CLIENTS) -> None:
        """Opens connections that send nothing until the proxy closes them."""
        for _ in range(count):
            with contextlib.suppress(OSError):
                self._idle_sockets.append(socket.create_connection(self._address, SOCKET_TIMEOUT_S))

    def stop(self) -> None:
        """Ends all clients after their requests in flight have completed or timed out.

        Waits at most `SOCKET_TIMEOUT_S` for each client.
        """
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(SOCKET_TIMEOUT_S)
        for sock in self._idle_sockets:
            sock.close()

    def new_request(self, random_source: random.Random) -> ClientRequest:
        """Returns a request that has not been sent, with a new id and a random name, class and timeout."""
        with self._oracle.lock:
            request_id = f"{self._seed:04x}{next(self._ids):012x}"
        # Chooses the smaller of two random numbers, so that some names are requested more often than others.
        number = min(random_source.randrange(NAMES), random_source.randrange(NAMES))
        name = object_name(number)
        timeout_s = MIN_TIMEOUT_S + random_source.random() * TIMEOUT_RANGE_S
        return ClientRequest(request_id, name, random_source.choice(CLASSES), 0.0, timeout_s)

    def _run_regular_client(self, random_source: random.Random) -> None:
        sock: socket.socket | None = None
        while not self._is_stopped.wait(random_source.random() * 0.05):
            is_first = sock is None
            if sock is None:
                sock = self._connect()
                if sock is None:
                    self._is_stopped.wait(RECONNECT_PAUSE_S)
                    continue
            request = self.new_request(random_source)
            request.is_first_on_connection = is_first
            keeps_open = send_request(self._oracle, sock, request) and read_response(sock, request)
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

    def _run_disconnecting_client(self, random_source: random.Random) -> None:
        while not self._is_stopped.wait(random_source.random() * 0.1):
            sock = self._connect()
            if sock is None:
                self._is_stopped.wait(RECONNECT_PAUSE_S)
                continue
            request = self.new_request(random_source)
            send_request(self._oracle, sock, request)
            time.sleep(random_source.choice((0.0, 0.0, 0.002, 0.02, 0.2)))
            if random_source.random() < 0.5:
                reset_on_close(sock)
            request.outcome = Outcome.DISCONNECTED
            sock.close()
            request.ended_at = time.monotonic()

    def _run_slow_reader(self, random_source: random.Random) -> None:
        """Requests one large response after another, and reads each in small pieces."""
        while not self._is_stopped.wait(RECONNECT_PAUSE_S):
            if not self._oracle.accepts_new_connections():
                continue
            with contextlib.suppress(OSError), socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
                sock.settimeout(SOCKET_TIMEOUT_S)
                sock.connect(self._address)
                request = self.new_request(random_source)
                request.name = random_source.choice(sorted(LARGE_NAMES))
                request.class_name = "segment"
                request.timeout_s = SLOW_READER_TIMEOUT_S
                # The proxy may cut off the response at its write timeout or at its exit. The oracle must not
                # expect a complete response.
                request.outcome = Outcome.DISCONNECTED
                request.ended_at = float("inf")
                send_request(self._oracle, sock, request)
                while sock.recv(SLOW_READ_BYTES):
                    self._is_stopped.wait(SLOW_READ_INTERVAL_S)

    def _run_persistent_client(self, random_source: random.Random) -> None:
        """Sends requests on one connection until the proxy closes it, then opens the next connection.

        Also sends a request after a response with `Connection: close`.
        """
        while not self._is_stopped.wait(RECONNECT_PAUSE_S):
            sock = self._connect()
            if sock is None:
                continue
            with contextlib.suppress(OSError), sock:
                self._use_until_closed(sock, random_source)

    def _use_until_closed(self, sock: socket.socket, random_source: random.Random) -> None:
        is_first = True
        is_open = True
        while not self._is_stopped.is_set():
            request = self.new_request(random_source)
            request.is_first_on_connection = is_first
            request.is_after_announced_close = not is_open
            if not send_request(self._oracle, sock, request):
                return
            is_open = read_response(sock, request)
            if request.outcome is not Outcome.COMPLETED:
                return
            is_first = False
            self._is_stopped.wait(PERSISTENT_CLIENT_INTERVAL_S)

    def _run_retrying_client(self, random_source: random.Random) -> None:
        """Sends writes in sequence; each has a key, and its retries use the connection of its first try."""
        while not self._is_stopped.wait(PERSISTENT_CLIENT_INTERVAL_S):
            sock = self._connect()
            if sock is None:
                continue
            with contextlib.suppress(OSError), sock:
                self._write_with_retries(sock, random_source)

    def _write_with_retries(self, sock: socket.socket, random_source: random.Random) -> None:
        """Sends a write until it is served, as long as its client waits and the connection stays open.

        A failed write is repeated only while its key is remembered, a rejected one at any time.
        """
        request = self.new_request(random_source)
        request.class_name = self._oracle.write_class
        request.timeout_s = random_source.choice(FIRST_TRY_TIMEOUTS_S)
        request.key = request.id
        began_at = time.monotonic()
        while send_request(self._oracle, sock, request) and read_response(sock, request):
            if request.status == 200 or self._is_stopped.wait(random_source.random() * MAX_RETRY_PAUSE_S):
                return
            waited_s = time.monotonic() - began_at
            if request.status != REJECTED and waited_s > self._oracle.key_window_s - SCHEDULING_SLACK_S:
                return
            retry = self.new_request(random_source)
            retry.name = request.name
            retry.class_name = request.class_name
            retry.timeout_s = WRITE_DEADLINE_S - waited_s
            retry.key = request.key
            retry.is_retry = True
            retry.is_first_on_connection = False
            if retry.timeout_s <= 0:
                return
            request = retry

    def _run_misbehaving_client(self, random_source: random.Random) -> None:
        while not self._is_stopped.wait(random_source.random() * 0.2):
            sock = self._connect()
            if sock is None:
                self._is_stopped.wait(RECONNECT_PAUSE_S)
                continue
            with contextlib.suppress(OSError), sock:
                random_source.choice(
                    (self._send_partial_request, self._pipeline_requests, self._write_slowly)
                )(sock, random_source)

    def _send_partial_request(self, sock: socket.socket, random_source: random.Random) -> None:
        text = encode_request(self.new_request(random_source))
        sock.sendall(text[: random_source.randrange(1, len(text) - 1)])
        time.sleep(random_source.random() * 0.3)

    def _pipeline_requests(self, sock: socket.socket, random_source: random.Random) -> None:
        """Pipelines 50 requests, and disconnects without reading a response."""
        requests = [self.new_request(random_source) for _ in range(50)]
        for request in requests:
            request.outcome = Outcome.DISCONNECTED
            request.ended_at = float("inf")
            self._oracle.add_request(request)
        sock.sendall(b"".join(encode_request(request) for request in requests))
        time.sleep(random_source.random() * 0.3)

    def _write_slowly(self, sock: socket.socket, random_source: random.Random) -> None:
        """Writes a request in chunks of 20 bytes, 10 ms apart, and reads its response."""
        request = self.new_request(random_source)
        text = encode_request(request)
        for start in range(0, len(text) - 1, 20):
            sock.sendall(text[start : min(start + 20, len(text) - 1)])
            time.sleep(0.01)
        request.is_first_on_connection = True
        if send_request(self._oracle, sock, request, text[-1:]):
            read_response(sock, request)
