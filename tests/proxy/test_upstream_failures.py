"""Endpoints that fail, stall or fall silent."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from examples.toy_server import Command, ToyEndpoint, body_of, respond_normally
from tests.proxy.fakes import never_reply
from tests.proxy_harness import OBJECT_NAME, WAIT_TIMEOUT_S, HttpClient, running_proxy


def test_silent_upstream_gets_a_final_response_within_the_timeout() -> None:
    with running_proxy(never_reply) as proxy, proxy.connect() as client:
        began = time.monotonic()
        assert client.request(timeout_ms=300)[0] == 503
        assert time.monotonic() - began < WAIT_TIMEOUT_S
        assert proxy.wait_until(lambda: any(cache.received("abort") for cache in proxy.caches))


@pytest.mark.parametrize(
    ("word", "status"),
    [
        ("NONE", 503),
        ("SHED", 503),
        ("FAULT", 503),
        ("LATE", 503),
        ("RIDDLE", 503),
        ("VALID", 503),
    ],
)
def test_every_failure_of_upstream_ends_in_a_rejection(word: str, status: int) -> None:
    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            command.respond(word)

    with running_proxy(reply) as proxy, proxy.connect() as client:
        assert client.request()[0] == status
        assert len(proxy.wait_for_fetches()) >= 1


@pytest.mark.parametrize(
    "line",
    [
        b"who knows\r\n",
        b"{id} HIT - 3000000000\r\nxx",
        b"x" * 2_000,
        b"{id} HIT - 240001\r\n",
        b"{id} HIT - 3\r\nabcd\r\n",
    ],
)
def test_connection_with_malformed_frames_is_closed(line: bytes) -> None:
    """Its attempt counts as lost; the request is retried or gets its final response."""

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            command.sock.sendall(line.replace(b"{id}", command.id.encode()))

    with running_proxy(reply) as proxy, proxy.connect() as client:
        assert client.request()[0] == 503
        assert proxy.counter("upstream_connections_lost") >= 1


PARTIAL_RESPONSES = [b"{id} HIT why=warm,entity=x,issued=1 100000\r\n" + b"x" * 30_000, b"{id} HI", b""]


@pytest.mark.parametrize("begun", PARTIAL_RESPONSES)
def test_stalled_connection_is_closed_and_its_requests_are_retried(begun: bytes) -> None:
    """Within a response, or for good: `alive` gets no response either. Its requests are retried in time."""
    stopped: list[socket.socket] = []

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.sock in stopped:
            return
        if endpoint.id == "a" and len(stopped) == 0 and command.verb == "fetch":
            stopped.append(command.sock)
            command.sock.sendall(begun.replace(b"{id}", command.id.encode()))
        else:
            respond_normally(endpoint, command)

    with running_proxy(reply) as proxy:
        clients = [proxy.connect() for _ in range(16)]
        for piece, client in enumerate(clients):
            client.send(HttpClient.encode_request(part=piece, timeout_ms=15_000))
        for piece, client in enumerate(clients):
            assert client.read_response()[2] == body_of(OBJECT_NAME, str(piece))
            client.sock.close()
        assert proxy.counter("upstream_connections_lost") == 1
        assert proxy.counter("attempts_timed_out") == 0
        assert (proxy.counter("liveness_checks_sent") == 1) is (begun == b"")


def test_response_that_comes_too_slowly_closes_its_connection() -> None:
    over = threading.Event()
    begun: list[socket.socket] = []

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if begun or command.verb != "fetch":
            respond_normally(endpoint, command)
            return
        begun.append(command.sock)
        command.sock.sendall(f"{command.id} HIT why=warm,entity=x,issued=1 100000\r\n".encode())
        try:
            while not over.wait(0.02):
                command.sock.sendall(b"x")
        except OSError:
            pass

    with running_proxy(reply, bounds={"response_timeout": 300_000_000}) as proxy, proxy.connect() as client:
        assert client.request(timeout_ms=15_000)[2] == body_of(OBJECT_NAME, "3")
        assert proxy.counter("upstream_connections_lost") == 1
        over.set()


def test_lost_connection_counts_as_one_failure_for_all_its_requests() -> None:
    cut = threading.Event()

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if cut.is_set():
            respond_normally(endpoint, command)
        elif len(proxy.wait_for_fetches()) >= 24:
            cut.set()
            for cache in proxy.caches:
                for sock in cache.connections:
                    sock.shutdown(socket.SHUT_RDWR)

    with running_proxy(reply) as proxy:
        clients = [proxy.connect() for _ in range(24)]
        for piece, client in enumerate(clients):
            client.send(HttpClient.encode_request(part=piece, timeout_ms=15_000))
        outcomes = proxy.wait_for_outcomes("CONNECTION_LOST", 24)
        assert (
            sum(not outcome.is_repeated_loss for outcome in outcomes)
            == proxy.counter("upstream_connections_lost")
            == 2
        )
        for client in clients:
            assert client.read_response()[0] in (200, 503)
            client.sock.close()


def test_attempt_cancelled_within_its_body_releases_its_buffers() -> None:
    over = threading.Event()

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            command.sock.sendall(f"{command.id} HIT why=warm,entity=x,issued=1 200000\r\n".encode())
            command.sock.sendall(b"x" * 100_000)
            over.wait(WAIT_TIMEOUT_S)
            command.sock.sendall(b"x" * 100_000 + b"\r\n")

    bounds = {"response_pause_timeout": 60 * 10**9, "response_timeout": 60 * 10**9}
    with running_proxy(reply, bounds=bounds) as proxy:
        with proxy.connect() as client:
            client.send(HttpClient.encode_request(timeout_ms=15_000))
            proxy.wait_for_fetches()
            assert proxy.wait_until(lambda: proxy.parts.body_buffers.in_use > 15)
        assert proxy.wait_until(lambda: proxy.parts.event_loop.pending_count == 0)
        assert proxy.wait_until(lambda: proxy.parts.body_buffers.in_use < 10)
        over.set()


def test_connection_lost_within_a_body_gives_no_response() -> None:
    cut: list[str] = []

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if not cut:
            cut.append(endpoint.id)
            head = f"{command.id} HIT why=warm,entity=x,issued=1 100000\r\n"
            command.sock.sendall(head.encode() + b"x" * 30_000)
            command.sock.shutdown(socket.SHUT_RDWR)
        else:
            respond_normally(endpoint, command)

    with running_proxy(reply) as proxy, proxy.connect() as client:
        assert client.request(timeout_ms=15_000)[2] == body_of(OBJECT_NAME, "3")
        assert proxy.counter("upstream_connections_lost") == 1


def test_refused_connection_counts_as_not_executed() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        for cache in proxy.caches:
            cache.close()
        assert client.request()[0] == 503
        assert proxy.counter("connect_failed") >= 1


def test_silent_endpoint_delays_no_other() -> None:
    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if endpoint.id == "b":
            respond_normally(endpoint, command)

    with running_proxy(reply) as proxy, proxy.connect() as client:
        for piece in range(12):
            assert client.request(part=piece, timeout_ms=15_000)[0] == 200
