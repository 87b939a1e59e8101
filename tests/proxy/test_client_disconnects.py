"""Tests of clients that disconnect before they receive a response."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from typing import Any

import pytest

from olivepost.proxy import sockets
from olivepost.proxy.exchange_lifecycle import ExchangeLifecycle
from olivepost.units import SECOND
from tests.proxy.fakes import (
    DelayedConnects,
    answer_liveness_only,
    never_reply,
    no_attempt_was_sent,
    settings_with_idempotency,
)
from tests.proxy_harness import WAIT_TIMEOUT_S, HttpClient, running_proxy


def test_request_and_attempt_of_a_disconnected_client_are_released() -> None:
    with running_proxy(never_reply) as proxy:
        with proxy.connect() as client:
            client.send(client.encode_request())
            command = proxy.wait_for_fetches()[0]
            assert proxy.parts.event_loop.pending_count == 1
        assert proxy.wait_until(lambda: proxy.parts.event_loop.pending_count == 0)
        assert proxy.wait_until(lambda: any(cache.received("abort") for cache in proxy.caches))
        assert [command.id for cache in proxy.caches for command in cache.received("abort")] == [command.id]


Disconnect = Callable[[socket.socket], object]


def delay_abandonment(monkeypatch: pytest.MonkeyPatch, may_notice: threading.Event) -> None:
    """Makes the event loop ignore disconnects until `may_notice` is set."""
    abandon = ExchangeLifecycle.abandon

    def abandon_late(self: ExchangeLifecycle, now: int, exchange: Any, response: Any) -> None:
        if response is not None or may_notice.is_set():
            abandon(self, now, exchange, response)

    monkeypatch.setattr(ExchangeLifecycle, "abandon", abandon_late)


def delay_reader(monkeypatch: pytest.MonkeyPatch, may_notice: threading.Event) -> None:
    """Makes the reader threads of client connections wait for `may_notice`, except before the first read."""
    wait_readable = sockets.wait_readable
    has_read = threading.Event()

    def wait_readable_late(sock: socket.socket) -> bool:
        if has_read.is_set() and threading.current_thread().name.startswith("Dummy"):
            may_notice.wait(WAIT_TIMEOUT_S)
        has_read.set()
        return wait_readable(sock)

    monkeypatch.setattr(sockets, "wait_readable", wait_readable_late)


def reset(sock: socket.socket) -> None:
    """Closes a socket with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


@pytest.mark.parametrize(
    "disconnect",
    [socket.socket.close, reset, lambda sock: sock.shutdown(socket.SHUT_WR)],
    ids=["close", "reset", "half-close"],
)
@pytest.mark.parametrize("late_thread", ["event loop", "reader"])
@pytest.mark.parametrize("bytes_behind", [0, 10_000])
def test_no_attempt_starts_for_a_client_that_has_disconnected(
    delayed_connects: DelayedConnects,
    monkeypatch: pytest.MonkeyPatch,
    disconnect: Disconnect,
    late_thread: str,
    bytes_behind: int,
) -> None:
    """Guards against an attempt that is sent although the client has already disconnected.

    The disconnect has happened, but the event loop or the connection's reader thread has not handled it yet.
    Bytes that the client has sent behind its request may still be unread.
    """
    may_notice = threading.Event()
    if late_thread == "event loop":
        delay_abandonment(monkeypatch, may_notice)
    else:
        delay_reader(monkeypatch, may_notice)
    with running_proxy() as proxy:
        client = proxy.connect()
        client.send(HttpClient.encode_request(timeout_ms=3000))
        assert proxy.wait_until(lambda: proxy.parts.event_loop.pending_count == 1)
        assert delayed_connects.has_started.wait(WAIT_TIMEOUT_S)
        (connection,) = proxy.parts.downstream.connections.snapshot()
        client.send(b"x" * bytes_behind)
        disconnect(client.sock)
        assert proxy.wait_until(connection.is_closed_by_client)
        delayed_connects.may_connect.set()
        assert proxy.wait_until(lambda: proxy.counter("requests_of_disconnected_clients") == 1)
        assert no_attempt_was_sent(proxy)
        may_notice.set()
        client.sock.close()
        with proxy.connect() as other:  # the upstream connection stays open for other clients
            assert other.request(part=7).status == 200
        assert proxy.parts.event_loop._router.state.endpoints.by_id["a"].failure_score == 0
        assert proxy.parts.event_loop._router.state.endpoints.by_id["b"].failure_score == 0


def test_attempts_of_many_disconnected_clients_are_aborted() -> None:
    settings = settings_with_idempotency("read_like", aim=15 * SECOND)
    with running_proxy(answer_liveness_only, settings=settings) as proxy:
        disconnecting_clients = [proxy.connect() for _ in range(6)]
        for number, client in enumerate(disconnecting_clients):
            client.send(HttpClient.encode_request(part=number, timeout_ms=15_000))
        sent = {command.id for command in proxy.wait_for_fetches(6)}
        for client in disconnecting_clients:
            client.sock.close()
        assert proxy.wait_until(lambda: proxy.parts.event_loop.pending_count == 0)
        assert proxy.wait_until(
            lambda: {command.id for cache in proxy.caches for command in cache.received("abort")} == sent
        )
        assert not any(
            endpoint.failure_score
            for endpoint in proxy.parts.event_loop._router.state.endpoints.by_id.values()
        )
