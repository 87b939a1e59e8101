"""Graceful shutdown: what comes after SIGTERM, and the responses still pending then."""

from __future__ import annotations

import socket
import threading
from typing import Any

import pytest

from examples.toy_server import Command, Member, body_of, serve_all
from olivepost.proxy import shutdown
from olivepost.proxy.downstream.connection import DownstreamConnection
from olivepost.proxy.downstream.listener import DownstreamServer
from olivepost.proxy.signals import SignalRequest, wait_without_signals
from tests.proxy.fakes import (
    MS,
    DelayedConnects,
    HeldReplies,
    no_attempt_was_sent,
    only_connection,
    settings_with_idempotency,
    silent,
)
from tests.rig import NAME, WITHIN, Client, Rig, ask_narrowly, large, rig


def test_sigterm_loses_no_request() -> None:
    gate = threading.Event()

    def reply(member: Member, command: Command) -> None:
        gate.wait(WITHIN)
        serve_all(member, command)

    with rig(reply) as made, made.client() as client, made.client() as idle:
        client.send(Client.request(patience=15_000))
        made.fetches()
        ending = threading.Thread(target=made.proxy.shut_down)
        ending.start()
        assert made.until(lambda: made.proxy.downstream.is_draining)
        with made.client() as late:
            late.send(Client.request(patience=15_000))
            gate.set()
            status, headers, body = late.read()
            assert (status, headers["connection"], body) == (200, "close", body_of(NAME, "3"))
        status, headers, _ = client.read()
        assert (status, headers["connection"]) == (200, "close")
        assert client.closed()
        assert idle.closed()
        client.sock.close()
        idle.sock.close()
        ending.join(WITHIN)
        assert not ending.is_alive()
        assert made.proxy.downstream.open_count == 0


def test_connections_accepted_by_the_kernel_are_served_at_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """A busy proxy has requests that wait to be read, and connections that wait to be accepted."""
    gate, start = threading.Event(), DownstreamServer._start_connection

    def late(self: DownstreamServer, sock: socket.socket) -> None:
        gate.wait(WITHIN)
        start(self, sock)

    with rig() as made, made.client() as idle:
        assert idle.ask()[0] == 200
        monkeypatch.setattr(DownstreamServer, "_start_connection", late)
        waiting = [made.client() for _ in range(5)]
        for client in waiting:
            client.send(Client.request(patience=15_000))
        made.proxy.downstream.drain()
        stopping = threading.Thread(target=made.proxy.downstream.stop_accepting)
        stopping.start()
        gate.set()
        for client in waiting:
            status, headers, _ = client.read()
            assert (status, headers["connection"]) == (200, "close")
            assert client.closed()
            client.sock.close()
        stopping.join(WITHIN)
        with pytest.raises(ConnectionRefusedError):
            made.client()


def test_connection_with_an_unread_request_is_not_closed_as_idle() -> None:
    with rig() as made, made.client() as client:
        assert client.ask()[0] == 200
        (connection,) = made.proxy.downstream._connections
        with connection._lock:  # its reader has to wait
            client.send(Client.request(patience=15_000))
            assert made.until(lambda: not connection.has_nothing_unread)
            made.proxy.downstream.drain()
            closing = threading.Thread(target=made.proxy.downstream.close_idle)
            closing.start()
        closing.join(WITHIN)
        status, headers, _ = client.read()
        assert (status, headers["connection"]) == (200, "close")


def test_proxy_restarts_at_once_on_the_same_address() -> None:
    with rig() as made:
        client = made.client()
        assert client.ask()[0] == 200
        made.proxy.downstream.stop_accepting()
        again = Rig(listen=f"127.0.0.1:{made.address[1]}")
        with again.client() as other:
            assert other.ask()[0] == 200
        again.close()
        client.sock.close()


KILLED_AFTER = 1500 * MS  # after SIGTERM, with `short_shutdown`


def start_shutdown(made: Rig) -> tuple[threading.Thread, int]:
    """Starts the shutdown as SIGTERM does; returns its thread and its time."""
    thread, at = threading.Thread(target=made.proxy.shut_down), made.proxy.clock.now()
    thread.start()
    assert made.until(lambda: made.proxy.downstream.is_draining)
    return thread, at


@pytest.mark.usefixtures("short_shutdown")
def test_pending_requests_get_responses_before_the_kill_where_upstream_hangs() -> None:
    with rig(silent) as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        made.fetches()
        ending, began = start_shutdown(made)
        with made.client() as late:
            late.send(Client.request(patience=15_000))
            assert (client.read()[0], late.read()[0]) == (503, 503)
            assert made.proxy.clock.now() < began + KILLED_AFTER
        ending.join(WITHIN)
        assert made.proxy.event_loop.pending_count == 0


@pytest.mark.usefixtures("short_shutdown")
def test_request_that_waits_for_a_connection_gets_a_response_before_the_kill(
    delayed_connects: DelayedConnects,
) -> None:
    with rig() as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        assert made.until(lambda: made.proxy.event_loop.pending_count == 1)
        assert delayed_connects.begun.wait(WITHIN)
        ending, began = start_shutdown(made)
        assert client.read()[0] == 503
        assert made.proxy.clock.now() < began + KILLED_AFTER
        ending.join(WITHIN)
        delayed_connects.gate.set()
        assert no_attempt_was_sent(made)


@pytest.mark.usefixtures("short_shutdown")
def test_queued_response_is_written_before_exit(monkeypatch: pytest.MonkeyPatch) -> None:
    gate, write = threading.Event(), DownstreamConnection.write

    def late(self: DownstreamConnection, *args: Any) -> Any:
        gate.wait(WITHIN)
        return write(self, *args)

    monkeypatch.setattr(DownstreamConnection, "write", late)
    with rig() as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        made.fetches()
        assert made.until(lambda: made.proxy.event_loop.pending_count == 0)
        ending, began = start_shutdown(made)
        assert made.until(
            lambda: made.proxy.clock.now() > began + 600 * MS
        )  # past the clients' time to close
        gate.set()
        assert client.read()[0] == 200
        client.sock.close()
        ending.join(WITHIN)


def test_client_that_waits_at_the_connection_limit_is_served_at_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The accept thread holds it while all connections are busy; closing the listener must not lose it."""
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 100 * MS)
    held = HeldReplies()
    with rig(held, limits={"sockets": 64, "memory_mb": 64}) as made:
        busy = [made.client() for _ in range(made.proxy.config.limits.max_client_connections)]
        for client in busy:
            client.send(Client.request(patience=15_000))
        assert made.until(lambda: made.proxy.event_loop.pending_count == len(busy))
        with made.client() as late:
            late.send(Client.request(patience=15_000))
            assert made.until(lambda: made.counted("connection_cap_reached") == 1)
            ending, began = start_shutdown(made)
            assert made.until(lambda: made.proxy.clock.now() > began + 200 * MS)
            held.gate.set()
            for client in busy:
                assert client.read()[0] in (200, 503)
                client.sock.close()
            assert late.read()[0] == 200
        ending.join(WITHIN)


@pytest.mark.usefixtures("short_shutdown")
def test_non_idempotent_request_that_may_have_run_fails_at_shutdown() -> None:
    with rig(silent, settings=settings_with_idempotency("non_idempotent")) as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        made.fetches()
        ending, _ = start_shutdown(made)
        assert client.read()[0] == 502
        ending.join(WITHIN)


@pytest.mark.usefixtures("narrow")
def test_response_to_a_slow_reader_is_finished_before_exit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(shutdown, "CLIENT_CLOSE_S", 0.05)
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 100 * MS)
    with rig(large) as made:
        sock = ask_narrowly(made, patience=15_000)
        assert made.until(
            lambda: made.counted("slow_clients") == 1 and made.proxy.event_loop.pending_count == 0
        )
        ending, began = start_shutdown(made)
        # Past the times to accept and to close: a pending response is waited for all the same.
        assert made.until(lambda: made.proxy.clock.now() > began + 400 * MS)
        assert ending.is_alive()
        got = b""
        while piece := sock.recv(65_536):
            got += piece
        assert got.count(b"x") >= 240_000
        sock.close()
        ending.join(WITHIN)


def test_partly_read_request_is_served_at_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown, "CLIENT_CLOSE_S", 0.05)
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 100 * MS)
    with rig() as made, made.client() as client:
        request = Client.request(patience=15_000)
        client.send(request[:30])
        connection = only_connection(made)
        assert made.until(lambda: not connection._parser.is_idle)
        ending, began = start_shutdown(made)
        assert made.until(lambda: made.proxy.clock.now() > began + 400 * MS)
        client.send(request[30:])
        status, headers, body = client.read()
        assert (status, headers["connection"], body) == (200, "close", body_of(NAME, "3"))
        client.sock.close()
        ending.join(WITHIN)


def test_second_sigterm_and_reload_during_draining_change_nothing() -> None:
    held = HeldReplies()
    with rig(held) as made, made.client() as client:
        requests = iter([SignalRequest.RELOAD, SignalRequest.SHUT_DOWN] * 2)

        def wait_for_signal(timeout: int) -> SignalRequest | None:
            request = next(requests, None)
            if request is None:
                wait_without_signals(min(timeout, 10 * MS))
            return request

        made.proxy._wait_for_signal = wait_for_signal
        client.send(Client.request(patience=15_000))
        made.fetches()
        ending, _ = start_shutdown(made)
        assert made.until(lambda: next(requests, None) is None)
        held.gate.set()
        assert client.read()[0] == 200
        client.sock.close()
        ending.join(WITHIN)
        assert made.proxy.downstream.open_count == 0
