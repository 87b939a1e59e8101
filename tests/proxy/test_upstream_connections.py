"""Upstream connections: many requests on each, and what may cross their close."""

from __future__ import annotations

import dataclasses
import socket
import threading
from typing import Any

import pytest

from examples.toy_server import Command, ToyEndpoint, body_of, respond_normally
from olivepost import interface as api
from olivepost.proxy import sockets
from olivepost.proxy.upstream.connection import UpstreamConnection
from olivepost.proxy.upstream.request import UpstreamCompleted, UpstreamRequest
from olivepost.units import SECOND
from tests.proxy.fakes import (
    MS,
    UNCACHED_NAME,
    DelayedAborts,
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
    toy_config,
)


def test_responses_may_come_in_any_order_on_one_connection() -> None:
    kept: list[Command] = []

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        kept.append(command)
        if len(kept) == 6:
            for held in reversed(kept):
                respond_normally(endpoint, held)

    with running_proxy(reply) as proxy:
        clients = [proxy.connect() for _ in range(6)]
        for piece, client in enumerate(clients):
            client.send(HttpClient.encode_request(part=piece, timeout_ms=15_000))
        for piece, client in enumerate(clients):
            assert client.read_response()[2] == body_of(OBJECT_NAME, str(piece))
            client.sock.close()


def test_responses_to_unknown_requests_are_dropped_and_the_connection_goes_on() -> None:
    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            Command(command.sock, "fetch", "0" * 16, {}, b"").respond("HIT", b"y" * 70_000, why="warm")
            respond_normally(endpoint, command)
            command.sock.sendall(b"0000000000000001 FAULT - 0\r\n\r\n")
            respond_normally(endpoint, command)

    with running_proxy(reply) as proxy, proxy.connect() as client:
        for piece in range(12):
            assert client.request(part=piece)[2] == body_of(OBJECT_NAME, str(piece))
        assert proxy.counter("upstream_connections_lost") == 0
        assert proxy.counter("unmatched_responses") >= 12
        assert proxy.wait_until(lambda: proxy.counter("duplicate_responses") >= 11)
        assert sum(len(cache.connections) for cache in proxy.caches) == 2


def test_duplicate_response_is_not_taken_for_the_next_attempt() -> None:
    """The fill has the id of the lookup before it; the lookup's second NONE must not end the fill."""

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        respond_normally(endpoint, command)
        if command.verb == "fetch" and "miss" not in command.fields:
            command.respond("NONE")

    with running_proxy(reply) as proxy, proxy.connect() as client:
        for piece in range(6):
            assert client.request(UNCACHED_NAME, part=piece)[2] == body_of(UNCACHED_NAME, str(piece))
        assert len(proxy.wait_for_fetches(12)) == 12
        assert proxy.counter("attempts_not_cached") == 6


def test_slow_endpoint_that_is_alive_keeps_its_connection() -> None:
    gate = threading.Event()
    held: list[Command] = []

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            held.append(command)
            if gate.is_set():
                respond_normally(endpoint, command)
        else:
            respond_normally(endpoint, command)
            if len(endpoint.received("alive")) >= 2:
                gate.set()
                for waiting in held:
                    respond_normally(endpoint, waiting)

    with (
        running_proxy(reply, bounds={"liveness_check_delay": 100_000_000}) as proxy,
        proxy.connect() as client,
    ):
        assert client.request(timeout_ms=15_000)[2] == body_of(OBJECT_NAME, "3")
        assert proxy.counter("liveness_checks_sent") >= 2
        assert proxy.counter("upstream_connections_lost") == 0


def test_response_that_crosses_its_abort_is_dropped() -> None:
    kept: list[Command] = []

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch" and not kept:
            kept.append(command)
        elif command.verb == "abort":
            respond_normally(endpoint, kept[0])
        else:
            respond_normally(endpoint, command)

    with running_proxy(reply) as proxy:
        with proxy.connect() as client:
            client.send(HttpClient.encode_request())
            proxy.wait_for_fetches()
        assert proxy.wait_until(lambda: any(cache.received("abort") for cache in proxy.caches))
        with proxy.connect() as client:
            assert client.request()[0] == 200
        assert proxy.counter("upstream_connections_lost") == 0


def test_all_upstream_connections_together_are_bounded() -> None:
    with running_proxy(bounds={"max_upstream_connections": 1}) as proxy, proxy.connect() as client:
        assert {client.request(part=piece, timeout_ms=15_000)[0] for piece in range(12)} <= {200, 503}
        assert proxy.counter("upstream_connections_opened") == 1
        assert proxy.counter("upstream_connections_full") >= 1


class ClosingEndpoint(ToyEndpoint):
    """Closes its first connection at once."""

    def serve(self, sock: socket.socket, lines: Any) -> None:
        if len(self.connections) > 1:
            super().serve(sock, lines)


def test_request_is_not_written_to_a_connection_that_its_endpoint_has_closed(
    closed_by_endpoint: threading.Event, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Once written it may have been executed, and a non-idempotent request could only fail."""
    monkeypatch.setattr("tests.proxy_harness.ToyEndpoint", ClosingEndpoint)
    with (
        running_proxy(settings=settings_with_idempotency("non_idempotent")) as proxy,
        proxy.connect() as client,
    ):
        threading.Timer(0, closed_by_endpoint.wait, (0.2,)).start()
        ask = threading.Thread(target=client.send, args=(HttpClient.encode_request(timeout_ms=15_000),))
        ask.start()
        assert proxy.wait_until(
            lambda: (
                proxy.counter("upstream_connections_lost") >= 1
                or proxy.counter("upstream_connections_opened") >= 1
            )
        )
        closed_by_endpoint.set()
        assert client.read_response()[0] == 200
        ask.join(WAIT_TIMEOUT_S)


def test_retry_that_is_connected_after_its_window_is_not_sent(delayed_connects: DelayedConnects) -> None:
    """Rule 2 counts the first byte: a late connection must not carry it past the window."""
    with (
        running_proxy(settings=settings_with_idempotency("idempotency_key", window=5 * SECOND)) as proxy,
        proxy.connect() as client,
    ):
        send = proxy.parts.upstream.forward

        def sent(request: UpstreamRequest) -> None:
            proxy.parts.upstream.forward = send  # type: ignore[method-assign]
            request.start_before = proxy.parts.clock.now() + 50 * MS  # as the router sets it for a retry
            send(request)

        proxy.parts.upstream.forward = sent  # type: ignore[method-assign]
        client.send(HttpClient.encode_request(timeout_ms=3000))
        assert delayed_connects.begun.wait(WAIT_TIMEOUT_S)
        past = proxy.parts.clock.now() + 60 * MS
        assert proxy.wait_until(lambda: proxy.parts.clock.now() > past)
        delayed_connects.gate.set()
        assert proxy.wait_for_outcomes("NOT_SENT", 1)
        assert client.read_response()[0] == 200  # it was not executed: another attempt may be
        assert len(proxy.wait_for_fetches()) == 1


def settings_without_hedged_requests(**changes: Any) -> dict[str, Any]:
    """The example's settings where two attempts of a request may not be in flight together."""
    settings: dict[str, Any] = toy_config()["settings"]
    return {**settings, "limits": {**settings["limits"], "second-copies": False}, **changes}


class SlowFirstCache:
    """The cache that is tried first responds to liveness checks only."""

    def __init__(self) -> None:
        self.first = ""

    def __call__(self, endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            self.first = self.first or endpoint.id
        if command.verb == "alive" or endpoint.id != self.first:
            respond_normally(endpoint, command)


@pytest.mark.parametrize("resets", [False, True])
def test_next_attempt_waits_for_the_abort_of_the_one_before(
    resets: bool, delayed_aborts: DelayedAborts
) -> None:
    """An abort waits in its connection's queue while another's thread runs; a close aborts as well."""
    slow, delayed_aborts.resets = SlowFirstCache(), resets
    with running_proxy(slow, settings=settings_without_hedged_requests()) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        pending = proxy.parts.event_loop._pending.by_id
        assert proxy.wait_until(lambda: any(it.deferred_attempt is not None for it in list(pending.values())))
        assert {endpoint.id for endpoint in proxy.caches if endpoint.received()} == {slow.first}
        delayed_aborts.gate.set()
        assert client.read_response()[0] == 200


def test_attempt_that_waits_for_an_abort_is_withdrawn_when_its_cache_drains(
    delayed_aborts: DelayedAborts,
) -> None:
    slow = SlowFirstCache()
    with running_proxy(slow, settings=settings_without_hedged_requests()) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        pending = proxy.parts.event_loop._pending.by_id
        assert proxy.wait_until(lambda: any(it.deferred_attempt is not None for it in list(pending.values())))
        other = next(endpoint for endpoint in proxy.caches if endpoint.id != slow.first)
        rows = [{**row, "state": "terminating"} for row in proxy.listed_endpoints if row["id"] == other.id]
        proxy.coordinator.add(endpoints={"version": 2, "full": False, "servers": rows})
        assert proxy.wait_for_outcomes("NOT_SENT", 1)
        delayed_aborts.gate.set()
        assert client.read_response()[0] in (200, 503)
        assert not other.received()


def test_connection_is_closed_before_its_requests_are_reported_lost() -> None:
    """A lost request may be retried at once: the old attempt must not be in flight any more."""
    asked = threading.Event()

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if not asked.is_set():
            asked.set()
            command.sock.sendall(b"\0 nonsense\r\n")
        else:
            respond_normally(endpoint, command)

    with (
        running_proxy(reply, settings=settings_without_hedged_requests()) as proxy,
        proxy.connect() as client,
    ):
        tools, ended = proxy.parts.upstream._resources, list[bool]()
        post = tools.post

        def noted(event: Any) -> None:
            if isinstance(event, UpstreamCompleted) and event.status is api.AttemptStatus.CONNECTION_LOST:
                assert isinstance(event.request.connection, UpstreamConnection)
                sock = event.request.connection._context.sock
                assert sock is not None
                ended.append(sockets.is_closed_by_peer(sock))
            post(event)

        tools.post = noted
        assert client.request()[0] == 200
        assert ended == [True]


def test_rerouted_request_is_not_sent_to_a_draining_endpoint() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request()[0] == 200
        call = forwarded_request(proxy, client)
        draining = [
            dataclasses.replace(server.address, state=api.EndpointState.DRAINING)
            for server in proxy.parts.upstream._endpoints.values()
        ]
        before = len(proxy.wait_for_fetches())
        call.is_rerouted = True
        told: list[Any] = []
        tools = proxy.parts.upstream._resources
        post, tools.post = tools.post, told.append
        proxy.parts.upstream.update(draining, False)
        proxy.parts.upstream.forward(call)
        tools.post = post
        assert [it.status for it in told] == [api.AttemptStatus.CONNECT_FAILED]
        assert len(proxy.wait_for_fetches()) == before


def forwarded_request(proxy: ProxyHarness, client: HttpClient) -> UpstreamRequest:
    """A request that a connection has sent."""
    kept: list[UpstreamRequest] = []
    send = proxy.parts.upstream.forward

    def noted(request: UpstreamRequest) -> None:
        kept.append(request)
        send(request)

    proxy.parts.upstream.forward = noted  # type: ignore[method-assign]
    assert client.request(part=9)[0] == 200
    proxy.parts.upstream.forward = send  # type: ignore[method-assign]
    return kept[0]


def test_every_socket_sends_small_writes_at_once() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request()[0] == 200
        assert proxy.coordinator.wait_for_poll(1)
        long_poll = proxy.parts.discovery._long_poll
        links = [link for server in proxy.parts.upstream._endpoints.values() for link in server.connections]
        assert long_poll is not None
        assert long_poll._connection is not None
        assert links
        for sock in (
            only_connection(proxy).sock,
            long_poll._connection.sock,
            *(link._context.sock for link in links),
        ):
            assert sock is not None
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
