"""Tests of requests that arrive just when a client's connection is closed, is evicted or expires."""

from __future__ import annotations

import socket
import threading
from typing import Any

import pytest

from olivepost.proxy import sockets
from tests.proxy.fakes import DelayedReplies, idle_connection, only_connection
from tests.proxy_harness import WAIT_TIMEOUT_S, HttpClient, running_proxy


@pytest.mark.parametrize("close", ["evict", "expire", "close_if_idle"])
def test_request_that_arrives_during_the_close_is_not_forwarded(
    close: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against forwarding a request whose connection is already being closed.

    The request is in the kernel's buffer at the close, and the proxy may still read it afterwards.
    """
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        connection = idle_connection(proxy)
        shutdown = sockets.shutdown
        fetches_before = len(proxy.wait_for_fetches())
        sent: list[bytes] = []
        posted: list[Any] = []
        proxy.parts.downstream.context.post = posted.append

        def send_then_shutdown(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
            if sock is connection.sock and not sent:
                sent.append(HttpClient.encode_request())
                client.send(sent[0])
                proxy.wait_until(lambda: not sockets.has_nothing_unread(sock))
            shutdown(sock, how)

        monkeypatch.setattr(sockets, "shutdown", send_then_shutdown)
        connection.deadline = 1 if close == "expire" else None
        getattr(connection, close)()
        assert sent
        assert client.is_closed_by_proxy()
        client.sock.close()
        assert proxy.wait_until(lambda: proxy.parts.downstream.open_count == 0)
        monkeypatch.setattr(sockets, "shutdown", shutdown)
        assert not posted
        assert len(proxy.wait_for_fetches()) == fetches_before


def test_connection_with_an_unread_request_is_not_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    is_delayed = threading.Event()
    may_read = threading.Event()
    wait_readable = sockets.wait_readable

    def wait_readable_late(sock: socket.socket) -> bool:
        is_readable = wait_readable(sock)
        if is_delayed.is_set():
            may_read.wait(WAIT_TIMEOUT_S)
        return is_readable

    monkeypatch.setattr(sockets, "wait_readable", wait_readable_late)
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        connection = idle_connection(proxy)
        is_delayed.set()
        client.send(HttpClient.encode_request())
        assert proxy.wait_until(lambda: not connection.has_nothing_unread)
        assert not connection.evict()
        may_read.set()
        assert client.read_response().status == 200


def test_request_that_was_read_is_served_after_the_connection_deadline() -> None:
    """Guards against losing a request that has been read just after its connection's deadline passed.

    The proxy enforces the deadline only after it has read the request.
    """
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        proxy.wait_for_fetches()
        only_connection(proxy).expire()
        delayed_replies.may_reply.set()
        assert client.read_response().status == 200


def test_connection_whose_lock_its_reader_holds_is_not_expired() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        connection = idle_connection(proxy)
        connection.deadline = 1
        with connection.lock:
            connection.expire()
        connection.deadline = None
        assert client.request().status == 200
