"""Tests of upstream connections: many requests on each connection, and races with aborts and closes."""

from __future__ import annotations

import dataclasses
import socket
import threading
from typing import Any

import pytest

from examples.toy_server import Command, ToyEndpoint, body_of, respond_normally
from olivepost import interface as api
from olivepost.proxy.upstream.request import UpstreamRequest
from olivepost.units import MILLISECOND, SECOND
from tests.proxy.fakes import (
    MS,
    UNCACHED_NAME,
    DelayedConnects,
    only_connection,
    settings_with_idempotency,
)
from tests.proxy_harness import (
    OBJECT_NAME,
    WAIT_TIMEOUT_S,
    HttpClient,
    ProxyHarness,
    running_proxy,
)


def test_responses_on_one_connection_may_come_in_any_order() -> None:
    received: list[Command] = []

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        received.append(command)
        if len(received) == 6:
            for earlier_command in reversed(received):
                respond_normally(endpoint, earlier_command)

    with running_proxy(reply) as proxy:
        clients = [proxy.connect() for _ in range(6)]
        for part, client in enumerate(clients):
            client.send(HttpClient.encode_request(part=part, timeout_ms=15_000))
        for part, client in enumerate(clients):
            assert client.read_response().body == body_of(OBJECT_NAME, str(part))
            client.sock.close()


def test_responses_to_unknown_requests_are_dropped_and_the_connection_goes_on() -> None:
    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            Command(command.sock, "fetch", "0" * 16, {}, b"").respond("HIT", b"y" * 70_000, why="warm")
            respond_normally(endpoint, command)
            command.sock.sendall(b"0000000000000001 FAULT - 0\r\n\r\n")
            respond_normally(endpoint, command)

    with running_proxy(reply) as proxy, proxy.connect() as client:
        for part in range(12):
            assert client.request(part=part).body == body_of(OBJECT_NAME, str(part))
        assert proxy.counter("upstream_connections_lost") == 0
        assert proxy.counter("unmatched_responses") >= 12
        assert proxy.wait_until(lambda: proxy.counter("duplicate_responses") >= 11)
        assert sum(len(cache.connections) for cache in proxy.caches) == 2


def test_duplicate_response_is_not_taken_for_the_next_attempt() -> None:
    """Guards against a fill that ends because a duplicate response is taken for the response to the fill.

    The endpoint responds with NONE twice to the lookup before the fill, and the lookup and the fill have the
    same request id.
    """

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        respond_normally(endpoint, command)
        if command.verb == "fetch" and "miss" not in command.fields:
            command.respond("NONE")

    with running_proxy(reply) as proxy, proxy.connect() as client:
        for part in range(6):
            assert client.request(UNCACHED_NAME, part=part).body == body_of(UNCACHED_NAME, str(part))
        assert len(proxy.wait_for_fetches(12)) == 12
        assert proxy.counter("attempts_not_cached") == 6


def test_slow_endpoint_that_is_alive_keeps_its_connection() -> None:
    has_been_checked = threading.Event()
    received: list[Command] = []

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            received.append(command)
            if has_been_checked.is_set():
                respond_normally(endpoint, command)
        else:
            respond_normally(endpoint, command)
            if len(endpoint.received("alive")) >= 2:
                has_been_checked.set()
                for earlier_command in received:
                    respond_normally(endpoint, earlier_command)

    with (
        running_proxy(reply, bounds={"liveness_check_delay": 100 * MILLISECOND}) as proxy,
        proxy.connect() as client,
    ):
        assert client.request(timeout_ms=15_000).body == body_of(OBJECT_NAME, "3")
        assert proxy.counter("liveness_checks_sent") >= 2
        assert proxy.counter("upstream_connections_lost") == 0


def test_response_that_crosses_its_abort_is_dropped() -> None:
    received: list[Command] = []

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch" and not received:
            received.append(command)
        elif command.verb == "abort":
            respond_normally(endpoint, received[0])
        else:
            respond_normally(endpoint, command)

    with running_proxy(reply) as proxy:
        with proxy.connect() as client:
            client.send(HttpClient.encode_request())
            proxy.wait_for_fetches()
        assert proxy.wait_until(lambda: any(cache.received("abort") for cache in proxy.caches))
        with proxy.connect() as client:
            assert client.request().status == 200
        assert proxy.counter("upstream_connections_lost") == 0


def test_all_upstream_connections_together_are_bounded() -> None:
    with running_proxy(bounds={"max_upstream_connections": 1}) as proxy, proxy.connect() as client:
        assert {client.request(part=part, timeout_ms=15_000).status for part in range(12)} <= {200, 503}
        assert proxy.counter("upstream_connections_opened") == 1
        assert proxy.counter("upstream_connections_full") >= 1


class ClosingEndpoint(ToyEndpoint):
    """An endpoint that closes its first connection at once."""

    def serve(self, sock: socket.socket, lines: Any) -> None:
        if len(self.connections) > 1:
            super().serve(sock, lines)


def test_request_is_not_written_to_a_connection_that_its_endpoint_has_closed(
    may_notice_close: threading.Event, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the failure of a non-idempotent request that is written to a closed connection.

    A request that has been written may have been executed, so a non-idempotent one is not retried.
    """
    monkeypatch.setattr("tests.proxy_harness.ToyEndpoint", ClosingEndpoint)
    with (
        running_proxy(settings=settings_with_idempotency("non_idempotent")) as proxy,
        proxy.connect() as client,
    ):
        threading.Timer(0, may_notice_close.wait, (0.2,)).start()
        data = HttpClient.encode_request(timeout_ms=15_000)
        sending = threading.Thread(target=client.send, args=(data,))
        sending.start()
        assert proxy.wait_until(
            lambda: (
                proxy.counter("upstream_connections_lost") >= 1
                or proxy.counter("upstream_connections_opened") >= 1
            )
        )
        may_notice_close.set()
        assert client.read_response().status == 200
        sending.join(WAIT_TIMEOUT_S)


def test_retry_whose_connection_is_established_after_its_window_is_not_sent(
    delayed_connects: DelayedConnects,
) -> None:
    """Checks that a retry is not sent if the idempotency window ends before the retry can be written."""
    with (
        running_proxy(settings=settings_with_idempotency("idempotency_key", window=5 * SECOND)) as proxy,
        proxy.connect() as client,
    ):
        forward = proxy.parts.upstream.forward

        def forward_with_bound(request: UpstreamRequest) -> None:
            proxy.parts.upstream.forward = forward  # type: ignore[method-assign]
            # For a retry, the router sets this latest time at which the attempt may be sent.
            request.start_before = proxy.parts.clock.now() + 50 * MS
            forward(request)

        proxy.parts.upstream.forward = forward_with_bound  # type: ignore[method-assign]
        client.send(HttpClient.encode_request(timeout_ms=3000))
        assert delayed_connects.has_started.wait(WAIT_TIMEOUT_S)
        window_end = proxy.parts.clock.now() + 60 * MS
        assert proxy.wait_until(lambda: proxy.parts.clock.now() > window_end)
        delayed_connects.may_connect.set()
        assert proxy.wait_for_outcomes("NOT_SENT", 1)
        # The attempt that was not sent was not executed either, so the request may be retried.
        assert client.read_response().status == 200
        assert len(proxy.wait_for_fetches()) == 1


def test_rerouted_request_is_not_sent_to_a_draining_endpoint() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        request = forwarded_request(proxy, client)
        draining = [
            dataclasses.replace(endpoint.address, state=api.EndpointState.DRAINING)
            for endpoint in proxy.parts.upstream._endpoints.values()
        ]
        fetch_count = len(proxy.wait_for_fetches())
        request.is_rerouted = True
        posted: list[Any] = []
        resources = proxy.parts.upstream._resources
        post = resources.post
        resources.post = posted.append

        proxy.parts.upstream.update(draining, False)
        proxy.parts.upstream.forward(request)
        resources.post = post

        assert [event.status for event in posted] == [api.AttemptStatus.CONNECT_FAILED]
        assert len(proxy.wait_for_fetches()) == fetch_count


def forwarded_request(proxy: ProxyHarness, client: HttpClient) -> UpstreamRequest:
    """Sends a client's request and returns the upstream request that was forwarded for it."""
    forwarded: list[UpstreamRequest] = []
    forward = proxy.parts.upstream.forward

    def record_and_forward(request: UpstreamRequest) -> None:
        forwarded.append(request)
        forward(request)

    proxy.parts.upstream.forward = record_and_forward  # type: ignore[method-assign]
    assert client.request(part=9).status == 200
    proxy.parts.upstream.forward = forward  # type: ignore[method-assign]
    return forwarded[0]


def test_every_socket_sends_small_writes_at_once() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        assert proxy.coordinator.wait_for_poll(1)
        long_poll = proxy.parts.discovery._long_poll
        upstream = [
            connection
            for endpoint in proxy.parts.upstream._endpoints.values()
            for connection in endpoint.connections
        ]
        assert long_poll is not None
        (poll,) = long_poll._schedule.open_polls
        assert upstream
        for sock in (
            only_connection(proxy).sock,
            poll.connection.sock,
            *(connection._context.sock for connection in upstream),
        ):
            assert sock is not None
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
