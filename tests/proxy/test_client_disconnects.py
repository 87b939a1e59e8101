"""Clients that disconnect before their response."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from typing import Any

import pytest

from examples.toy_server import Command, Member, serve_all
from olivepost.proxy import sockets
from olivepost.proxy.exchange_lifecycle import ExchangeLifecycle
from olivepost.units import SECOND
from tests.proxy.fakes import DelayedConnects, no_attempt_was_sent, settings_with_idempotency, silent
from tests.rig import WITHIN, Client, rig


def test_request_and_attempt_of_a_disconnected_client_are_released() -> None:
    with rig(silent) as made:
        with made.client() as client:
            client.send(client.request())
            command = made.fetches()[0]
            assert made.proxy.event_loop.pending_count == 1
        assert made.until(lambda: made.proxy.event_loop.pending_count == 0)
        assert made.until(lambda: any(cache.seen("abort") for cache in made.caches))
        assert [it.id for cache in made.caches for it in cache.seen("abort")] == [command.id]


Disconnect = Callable[[socket.socket], object]


def reset(sock: socket.socket) -> None:
    """Closes with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


@pytest.mark.parametrize(
    "leave",
    [socket.socket.close, reset, lambda sock: sock.shutdown(socket.SHUT_WR)],
    ids=["close", "reset", "half-close"],
)
@pytest.mark.parametrize("who", ["engine", "reader"])
def test_no_attempt_starts_for_a_client_that_has_disconnected(
    delayed_connects: DelayedConnects, monkeypatch: pytest.MonkeyPatch, leave: Disconnect, who: str
) -> None:
    """The disconnect has not been handled yet: it waits in the event loop's queue, or for its reader."""
    late = threading.Event()
    if who == "engine":
        abandon = ExchangeLifecycle.abandon

        def abandoned(self: ExchangeLifecycle, now: int, exchange: Any, answer: Any) -> None:
            if answer is not None or late.is_set():
                abandon(self, now, exchange, answer)

        monkeypatch.setattr(ExchangeLifecycle, "abandon", abandoned)
    else:
        wait, asked = sockets.wait_readable, threading.Event()

        def waits(sock: socket.socket) -> bool:
            if asked.is_set() and threading.current_thread().name.startswith("Dummy"):
                late.wait(WITHIN)
            asked.set()
            return wait(sock)

        monkeypatch.setattr(sockets, "wait_readable", waits)
    with rig() as made:
        client = made.client()
        client.send(Client.request(patience=3000))
        assert made.until(lambda: made.proxy.event_loop.pending_count == 1)
        assert delayed_connects.begun.wait(WITHIN)
        (connection,) = made.proxy.downstream._connections
        leave(client.sock)
        assert made.until(connection.is_closed_by_client)
        delayed_connects.gate.set()
        assert made.until(lambda: made.counted("requests_of_disconnected_clients") == 1)
        assert no_attempt_was_sent(made)
        late.set()
        client.sock.close()
        with made.client() as other:  # the upstream connection goes on
            assert other.ask(piece=7)[0] == 200
        assert made.proxy.event_loop._router.state.endpoints.by_id["a"].failure_score == 0
        assert made.proxy.event_loop._router.state.endpoints.by_id["b"].failure_score == 0


def test_attempts_of_many_disconnected_clients_are_aborted() -> None:
    def alive(member: Member, command: Command) -> None:
        if command.verb == "alive":
            serve_all(member, command)

    with rig(alive, settings=settings_with_idempotency("read_like", aim=15 * SECOND)) as made:
        leaving = [made.client() for _ in range(6)]
        for number, client in enumerate(leaving):
            client.send(Client.request(piece=number, patience=15_000))
        sent = {command.id for command in made.fetches(6)}
        for client in leaving:
            client.sock.close()
        assert made.until(lambda: made.proxy.event_loop.pending_count == 0)
        assert made.until(lambda: {it.id for cache in made.caches for it in cache.seen("abort")} == sent)
        assert not any(
            member.failure_score for member in made.proxy.event_loop._router.state.endpoints.by_id.values()
        )
