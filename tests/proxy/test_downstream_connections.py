"""What may cross the close, the eviction or the limit of a client's connection."""

from __future__ import annotations

import socket
import threading
from typing import Any

import pytest

from olivepost.proxy import sockets
from tests.proxy.fakes import DelayedReplies, idle_connection, only_connection
from tests.proxy_harness import WAIT_TIMEOUT_S, HttpClient, running_proxy


@pytest.mark.parametrize("end", ["evict", "expire", "close_if_idle"])
def test_request_that_crosses_its_connections_close_is_not_forwarded(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It waits in the kernel's buffer at the close: what is read after that is not forwarded."""
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request()[0] == 200
        connection, hang_up = idle_connection(proxy), sockets.shutdown
        before, sent, posted = len(proxy.wait_for_fetches()), list[bytes](), list[Any]()
        proxy.parts.downstream.context.post = posted.append

        def crossed(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
            if sock is connection.sock and not sent:
                sent.append(HttpClient.encode_request())
                client.send(sent[0])
                proxy.wait_until(lambda: not sockets.has_nothing_unread(sock))
            hang_up(sock, how)

        monkeypatch.setattr(sockets, "shutdown", crossed)
        connection.deadline = 1 if end == "expire" else None
        getattr(connection, end)()
        assert sent
        assert client.is_closed_by_proxy()
        client.sock.close()
        assert proxy.wait_until(lambda: proxy.parts.downstream.open_count == 0)
        monkeypatch.setattr(sockets, "shutdown", hang_up)
        assert not posted
        assert len(proxy.wait_for_fetches()) == before


def test_connection_with_an_unread_request_is_not_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    gate, wait = threading.Event(), sockets.wait_readable

    def late(sock: socket.socket) -> bool:
        came = wait(sock)
        return (asked.is_set() and gate.wait(WAIT_TIMEOUT_S) and came) or came

    asked = threading.Event()
    monkeypatch.setattr(sockets, "wait_readable", late)
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request()[0] == 200
        connection = idle_connection(proxy)
        asked.set()
        client.send(HttpClient.encode_request())
        assert proxy.wait_until(lambda: not connection.has_nothing_unread)
        assert not connection.evict()
        gate.set()
        assert client.read_response()[0] == 200


def test_request_that_was_read_is_served_though_its_limit_has_passed() -> None:
    """The limit was checked before the request came, and is applied after it."""
    held = DelayedReplies()
    with running_proxy(held) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        proxy.wait_for_fetches()
        only_connection(proxy).expire()
        held.gate.set()
        assert client.read_response()[0] == 200


def test_connection_that_its_reader_holds_is_not_expired() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request()[0] == 200
        connection = idle_connection(proxy)
        connection.deadline = 1
        with connection.lock:
            connection.expire()
        connection.deadline = None
        assert client.request()[0] == 200
