"""Tests with endpoints that fail, stall or do not respond."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from examples.toy_server import Command, ToyEndpoint, body_of, respond_normally
from olivepost.units import MILLISECOND, SECOND
from tests.proxy.fakes import never_reply
from tests.proxy_harness import OBJECT_NAME, WAIT_TIMEOUT_S, HttpClient, running_proxy


def test_request_to_unresponsive_caches_gets_a_final_response_within_its_timeout() -> None:
    with running_proxy(never_reply) as proxy, proxy.connect() as client:
        started_at = time.monotonic()
        assert client.request(timeout_ms=300).status == 503
        assert time.monotonic() - started_at < WAIT_TIMEOUT_S
        assert proxy.wait_until(lambda: any(cache.received("abort") for cache in proxy.caches))


@pytest.mark.parametrize(
    ("status_word", "http_status"),
    [
        ("NONE", 503),
        ("SHED", 503),
        ("FAULT", 503),
        ("LATE", 503),
        ("RIDDLE", 503),
        ("VALID", 503),
    ],
)
def test_every_failure_of_an_endpoint_ends_in_a_rejection(status_word: str, http_status: int) -> None:
    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            command.respond(status_word)

    with running_proxy(reply) as proxy, proxy.connect() as client:
        assert client.request().status == http_status
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
    """Checks that the attempt is lost, and that its request is then retried or gets a final response."""

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            command.sock.sendall(line.replace(b"{id}", command.id.encode()))

    with running_proxy(reply) as proxy, proxy.connect() as client:
        assert client.request().status == 503
        assert proxy.counter("upstream_connections_lost") >= 1


PARTIAL_RESPONSES = [b"{id} HIT why=warm,entity=x,issued=1 100000\r\n" + b"x" * 30_000, b"{id} HI", b""]


@pytest.mark.parametrize("partial_response", PARTIAL_RESPONSES)
def test_stalled_connection_is_closed_and_its_requests_are_retried(partial_response: bytes) -> None:
    """Checks connections that stall before or within a response and do not reply to liveness checks."""
    stalled: list[socket.socket] = []

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.sock in stalled:
            return
        if endpoint.id == "a" and not stalled and command.verb == "fetch":
            stalled.append(command.sock)
            command.sock.sendall(partial_response.replace(b"{id}", command.id.encode()))
        else:
            respond_normally(endpoint, command)

    with running_proxy(reply) as proxy:
        clients = [proxy.connect() for _ in range(16)]
        for part, client in enumerate(clients):
            client.send(HttpClient.encode_request(part=part, timeout_ms=15_000))
        for part, client in enumerate(clients):
            assert client.read_response().body == body_of(OBJECT_NAME, str(part))
            client.sock.close()
        assert proxy.counter("upstream_connections_lost") == 1
        assert proxy.counter("attempts_timed_out") == 0
        assert (proxy.counter("liveness_checks_sent") == 1) is (partial_response == b"")


def test_connection_is_closed_where_a_response_takes_too_long() -> None:
    is_over = threading.Event()
    started: list[socket.socket] = []

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if started or command.verb != "fetch":
            respond_normally(endpoint, command)
            return
        started.append(command.sock)
        command.sock.sendall(f"{command.id} HIT why=warm,entity=x,issued=1 100000\r\n".encode())
        try:
            while not is_over.wait(0.02):
                command.sock.sendall(b"x")
        except OSError:
            pass

    with (
        running_proxy(reply, bounds={"response_timeout": 300 * MILLISECOND}) as proxy,
        proxy.connect() as client,
    ):
        assert client.request(timeout_ms=15_000).body == body_of(OBJECT_NAME, "3")
        assert proxy.counter("upstream_connections_lost") == 1
        is_over.set()


def test_lost_connection_counts_as_one_failure_for_all_its_requests() -> None:
    are_connections_closed = threading.Event()

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if are_connections_closed.is_set():
            respond_normally(endpoint, command)
        elif len(proxy.wait_for_fetches()) >= 24:
            are_connections_closed.set()
            for cache in proxy.caches:
                for sock in cache.connections:
                    sock.shutdown(socket.SHUT_RDWR)

    with running_proxy(reply) as proxy:
        clients = [proxy.connect() for _ in range(24)]
        for part, client in enumerate(clients):
            client.send(HttpClient.encode_request(part=part, timeout_ms=15_000))
        outcomes = proxy.wait_for_outcomes("CONNECTION_LOST", 24)
        first_losses = [outcome for outcome in outcomes if not outcome.is_repeated_loss]
        assert len(first_losses) == proxy.counter("upstream_connections_lost") == 2
        for client in clients:
            assert client.read_response().status in (200, 503)
            client.sock.close()


def test_attempt_cancelled_within_its_body_releases_its_buffers() -> None:
    is_over = threading.Event()

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            command.sock.sendall(f"{command.id} HIT why=warm,entity=x,issued=1 200000\r\n".encode())
            command.sock.sendall(b"x" * 100_000)
            is_over.wait(WAIT_TIMEOUT_S)
            command.sock.sendall(b"x" * 100_000 + b"\r\n")

    bounds = {"response_pause_timeout": 60 * SECOND, "response_timeout": 60 * SECOND}
    with running_proxy(reply, bounds=bounds) as proxy:
        with proxy.connect() as client:
            client.send(HttpClient.encode_request(timeout_ms=15_000))
            proxy.wait_for_fetches()
            assert proxy.wait_until(lambda: proxy.parts.body_buffers.in_use > 15)
        assert proxy.wait_until(lambda: proxy.parts.event_loop.pending_count == 0)
        assert proxy.wait_until(lambda: proxy.parts.body_buffers.in_use < 10)
        is_over.set()


def test_connection_lost_within_a_body_gives_no_response() -> None:
    failed_ids: list[str] = []

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if not failed_ids:
            failed_ids.append(endpoint.id)
            head = f"{command.id} HIT why=warm,entity=x,issued=1 100000\r\n"
            command.sock.sendall(head.encode() + b"x" * 30_000)
            command.sock.shutdown(socket.SHUT_RDWR)
        else:
            respond_normally(endpoint, command)

    with running_proxy(reply) as proxy, proxy.connect() as client:
        assert client.request(timeout_ms=15_000).body == body_of(OBJECT_NAME, "3")
        assert proxy.counter("upstream_connections_lost") == 1


def test_refused_connection_counts_as_not_executed() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        for cache in proxy.caches:
            cache.close()
        assert client.request().status == 503
        assert proxy.counter("connect_failed") >= 1


def test_unresponsive_endpoint_delays_no_other() -> None:
    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if endpoint.id == "b":
            respond_normally(endpoint, command)

    with running_proxy(reply) as proxy, proxy.connect() as client:
        for part in range(12):
            assert client.request(part=part, timeout_ms=15_000).status == 200
