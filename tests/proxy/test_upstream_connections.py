"""Upstream connections: many requests on each, and what may cross their close."""

from __future__ import annotations

import dataclasses
import socket
import threading
from typing import Any

import pytest

from examples.toy_server import Command, Member, body_of, serve_all
from olivepost import interface as api
from olivepost.proxy import sockets
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
from tests.rig import NAME, WITHIN, Client, Rig, rig, toy_config


def test_responses_may_come_in_any_order_on_one_connection() -> None:
    kept: list[Command] = []

    def reply(member: Member, command: Command) -> None:
        kept.append(command)
        if len(kept) == 6:
            for held in reversed(kept):
                serve_all(member, held)

    with rig(reply) as made:
        clients = [made.client() for _ in range(6)]
        for piece, client in enumerate(clients):
            client.send(Client.request(piece=piece, patience=15_000))
        for piece, client in enumerate(clients):
            assert client.read()[2] == body_of(NAME, str(piece))
            client.sock.close()


def test_responses_to_unknown_requests_are_dropped_and_the_connection_goes_on() -> None:
    def reply(member: Member, command: Command) -> None:
        if command.verb == "fetch":
            Command(command.sock, "fetch", "0" * 16, {}, b"").answer("HIT", b"y" * 70_000, why="warm")
            serve_all(member, command)
            command.sock.sendall(b"0000000000000001 FAULT - 0\r\n\r\n")
            serve_all(member, command)

    with rig(reply) as made, made.client() as client:
        for piece in range(12):
            assert client.ask(piece=piece)[2] == body_of(NAME, str(piece))
        assert made.counted("upstream_connections_lost") == 0
        assert made.counted("unmatched_responses") >= 12
        assert made.until(lambda: made.counted("duplicate_responses") >= 11)
        assert sum(len(cache.connections) for cache in made.caches) == 2


def test_duplicate_response_is_not_taken_for_the_next_attempt() -> None:
    """The fill has the id of the lookup before it; the lookup's second NONE must not end the fill."""

    def reply(member: Member, command: Command) -> None:
        serve_all(member, command)
        if command.verb == "fetch" and "miss" not in command.fields:
            command.answer("NONE")

    with rig(reply) as made, made.client() as client:
        for piece in range(6):
            assert client.ask(UNCACHED_NAME, piece=piece)[2] == body_of(UNCACHED_NAME, str(piece))
        assert len(made.fetches(12)) == 12
        assert made.counted("attempts_not_cached") == 6


def test_slow_endpoint_that_is_alive_keeps_its_connection() -> None:
    gate = threading.Event()
    held: list[Command] = []

    def reply(member: Member, command: Command) -> None:
        if command.verb == "fetch":
            held.append(command)
            if gate.is_set():
                serve_all(member, command)
        else:
            serve_all(member, command)
            if len(member.seen("alive")) >= 2:
                gate.set()
                for waiting in held:
                    serve_all(member, waiting)

    with rig(reply, bounds={"liveness_check_after": 100_000_000}) as made, made.client() as client:
        assert client.ask(patience=15_000)[2] == body_of(NAME, "3")
        assert made.counted("liveness_checks_sent") >= 2
        assert made.counted("upstream_connections_lost") == 0


def test_response_that_crosses_its_abort_is_dropped() -> None:
    kept: list[Command] = []

    def reply(member: Member, command: Command) -> None:
        if command.verb == "fetch" and not kept:
            kept.append(command)
        elif command.verb == "abort":
            serve_all(member, kept[0])
        else:
            serve_all(member, command)

    with rig(reply) as made:
        with made.client() as client:
            client.send(Client.request())
            made.fetches()
        assert made.until(lambda: any(cache.seen("abort") for cache in made.caches))
        with made.client() as client:
            assert client.ask()[0] == 200
        assert made.counted("upstream_connections_lost") == 0


def test_all_upstream_connections_together_are_bounded() -> None:
    with rig(bounds={"max_upstream_connections": 1}) as made, made.client() as client:
        assert {client.ask(piece=piece, patience=15_000)[0] for piece in range(12)} <= {200, 503}
        assert made.counted("upstream_connections_opened") == 1
        assert made.counted("upstream_connections_full") >= 1


class ClosingMember(Member):
    """Closes its first connection at once."""

    def serve(self, sock: socket.socket, lines: Any) -> None:
        if len(self.connections) > 1:
            super().serve(sock, lines)


def test_request_is_not_written_to_a_connection_that_its_endpoint_has_closed(
    closed_by_endpoint: threading.Event, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Once written it may have been executed, and a non-idempotent request could only fail."""
    monkeypatch.setattr("tests.rig.Member", ClosingMember)
    with rig(settings=settings_with_idempotency("non_idempotent")) as made, made.client() as client:
        threading.Timer(0, closed_by_endpoint.wait, (0.2,)).start()
        ask = threading.Thread(target=client.send, args=(Client.request(patience=15_000),))
        ask.start()
        assert made.until(
            lambda: (
                made.counted("upstream_connections_lost") >= 1
                or made.counted("upstream_connections_opened") >= 1
            )
        )
        closed_by_endpoint.set()
        assert client.read()[0] == 200
        ask.join(WITHIN)


def test_retry_that_is_connected_after_its_window_is_not_sent(delayed_connects: DelayedConnects) -> None:
    """Rule 2 counts the first byte: a late connection must not carry it past the window."""
    with (
        rig(settings=settings_with_idempotency("idempotency_key", window=5 * SECOND)) as made,
        made.client() as client,
    ):
        send = made.proxy.upstream.forward

        def sent(request: UpstreamRequest) -> None:
            made.proxy.upstream.forward = send  # type: ignore[method-assign]
            request.start_before = made.proxy.clock.now() + 50 * MS  # as the router sets it for a retry
            send(request)

        made.proxy.upstream.forward = sent  # type: ignore[method-assign]
        client.send(Client.request(patience=3000))
        assert delayed_connects.begun.wait(WITHIN)
        past = made.proxy.clock.now() + 60 * MS
        assert made.until(lambda: made.proxy.clock.now() > past)
        delayed_connects.gate.set()
        assert made.outcomes("NOT_SENT", 1)
        assert client.read()[0] == 200  # it was not executed: another attempt may be
        assert len(made.fetches()) == 1


def settings_without_hedged_requests(**changes: Any) -> dict[str, Any]:
    """The example's settings where two attempts of a request may not be in flight together."""
    settings: dict[str, Any] = toy_config()["settings"]
    return {**settings, "limits": {**settings["limits"], "second-copies": False}, **changes}


class SlowFirstCache:
    """The cache that is tried first responds to liveness checks only."""

    def __init__(self) -> None:
        self.first = ""

    def __call__(self, member: Member, command: Command) -> None:
        if command.verb == "fetch":
            self.first = self.first or member.id
        if command.verb == "alive" or member.id != self.first:
            serve_all(member, command)


@pytest.mark.parametrize("resets", [False, True])
def test_next_attempt_waits_for_the_abort_of_the_one_before(
    resets: bool, delayed_aborts: DelayedAborts
) -> None:
    """An abort waits in its connection's queue while another's thread runs; a close aborts as well."""
    slow, delayed_aborts.resets = SlowFirstCache(), resets
    with rig(slow, settings=settings_without_hedged_requests()) as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        pending = made.proxy.event_loop._pending.by_id
        assert made.until(lambda: any(it.deferred_attempt is not None for it in list(pending.values())))
        assert {member.id for member in made.caches if member.seen()} == {slow.first}
        delayed_aborts.gate.set()
        assert client.read()[0] == 200


def test_attempt_that_waits_for_an_abort_is_withdrawn_when_its_cache_drains(
    delayed_aborts: DelayedAborts,
) -> None:
    slow = SlowFirstCache()
    with rig(slow, settings=settings_without_hedged_requests()) as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        pending = made.proxy.event_loop._pending.by_id
        assert made.until(lambda: any(it.deferred_attempt is not None for it in list(pending.values())))
        other = next(member for member in made.caches if member.id != slow.first)
        rows = [{**row, "state": "terminating"} for row in made.entries if row["id"] == other.id]
        made.coordinator.add(endpoints={"version": 2, "full": False, "servers": rows})
        assert made.outcomes("NOT_SENT", 1)
        delayed_aborts.gate.set()
        assert client.read()[0] in (200, 503)
        assert not other.seen()


def test_connection_is_closed_before_its_requests_are_reported_lost() -> None:
    """A lost request may be retried at once: the old attempt must not be in flight any more."""
    asked = threading.Event()

    def reply(member: Member, command: Command) -> None:
        if not asked.is_set():
            asked.set()
            command.sock.sendall(b"\0 nonsense\r\n")
        else:
            serve_all(member, command)

    with rig(reply, settings=settings_without_hedged_requests()) as made, made.client() as client:
        tools, ended = made.proxy.upstream._resources, list[bool]()
        post = tools.post

        def noted(event: Any) -> None:
            if isinstance(event, UpstreamCompleted) and event.status is api.AttemptStatus.CONNECTION_LOST:
                assert event.request.connection is not None
                assert event.request.connection._sock is not None
                ended.append(sockets.is_closed_by_peer(event.request.connection._sock))
            post(event)

        tools.post = noted
        assert client.ask()[0] == 200
        assert ended == [True]


def test_rerouted_request_is_not_sent_to_a_draining_endpoint() -> None:
    with rig() as made, made.client() as client:
        assert client.ask()[0] == 200
        call = forwarded_request(made, client)
        draining = [
            dataclasses.replace(server.address, state=api.EndpointState.DRAINING)
            for server in made.proxy.upstream._endpoints.values()
        ]
        before = len(made.fetches())
        call.is_rerouted = True
        told: list[Any] = []
        tools = made.proxy.upstream._resources
        post, tools.post = tools.post, told.append
        made.proxy.upstream.update(draining, False)
        made.proxy.upstream.forward(call)
        tools.post = post
        assert [it.status for it in told] == [api.AttemptStatus.CONNECT_FAILED]
        assert len(made.fetches()) == before


def forwarded_request(made: Rig, client: Client) -> UpstreamRequest:
    """A request that a connection has sent."""
    kept: list[UpstreamRequest] = []
    send = made.proxy.upstream.forward

    def noted(request: UpstreamRequest) -> None:
        kept.append(request)
        send(request)

    made.proxy.upstream.forward = noted  # type: ignore[method-assign]
    assert client.ask(piece=9)[0] == 200
    made.proxy.upstream.forward = send  # type: ignore[method-assign]
    return kept[0]


def test_every_socket_sends_small_writes_at_once() -> None:
    with rig() as made, made.client() as client:
        assert client.ask()[0] == 200
        assert made.coordinator.wait_for_poll(1)
        follower = made.proxy.discovery._long_poll
        links = [link for server in made.proxy.upstream._endpoints.values() for link in server.connections]
        assert follower is not None
        assert links
        for sock in (only_connection(made)._sock, follower._sock, *(link._sock for link in links)):
            assert sock is not None
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
