"""Tests of temporary failures of system calls, which must not lose any request."""

from __future__ import annotations

import contextlib
import errno
import itertools
import select
import socket
import threading
import time
from typing import Any

import pytest

from olivepost.proxy import sockets
from olivepost.proxy.downstream.listener import ACCEPT_TIMEOUT
from olivepost.units import SECOND
from tests.proxy.failing_calls import (
    SHORTAGES,
    TEST_THREAD_PREFIXES,
    FailingPoller,
    failing,
    failure_scores,
    os_error,
    recv_with_failing_peeks,
)
from tests.proxy.fakes import DelayedReplies, wait_until_idle
from tests.proxy_harness import HttpClient, ProxyHarness, running_proxy


@pytest.mark.parametrize(
    "error_number",
    [errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO, errno.EPERM],
)
def test_accept_that_fails_is_repeated(error_number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        socket.socket, "accept", failing(socket.socket.accept, os_error(error_number), 3, "accept")
    )
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        assert proxy.counter("accept_failed") == 3


def test_unforeseen_error_does_not_end_the_accept_thread(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_proxy() as proxy:
        start = failing(proxy.parts.downstream.admission._start_connection, MemoryError(), 1)
        monkeypatch.setattr(proxy.parts.downstream.admission, "_start_connection", start)
        closed = proxy.connect()
        assert proxy.wait_until(lambda: proxy.counter("accept_error") == 1)
        assert closed.is_closed_by_proxy()
        free_slots = proxy.parts.downstream.admission._slots._value
        assert free_slots == proxy.parts.config.limits.max_client_connections
        with proxy.connect() as client:
            assert client.request().status == 200
        closed.sock.close()


def test_accepts_that_fail_now_and_then_hold_up_no_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression test: a long pause after a single failure delayed every client in the accept queue."""
    accept = socket.socket.accept
    counts = itertools.count()

    def fail_every_second(sock: socket.socket) -> Any:
        is_proxy_thread = threading.current_thread().name == "accept"
        if is_proxy_thread and next(counts) % 2:
            raise os_error(errno.ENFILE)
        return accept(sock)

    with running_proxy() as proxy:
        monkeypatch.setattr(socket.socket, "accept", fail_every_second)
        began_at = time.monotonic()
        clients = [proxy.connect() for _ in range(40)]
        assert proxy.wait_until(lambda: proxy.parts.downstream.open_count == len(clients))
        assert time.monotonic() < began_at + 1
        for client in clients:
            client.sock.close()


@pytest.mark.parametrize("error_number", SHORTAGES)
@pytest.mark.parametrize("name", ["recv", "recv_into", "send", "sendmsg"])
def test_transfer_continues_after_a_shortage_of_memory(
    name: str, error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        call = getattr(socket.socket, name)
        calls = threading.local()

        def fail_at_times(sock: socket.socket, *args: Any) -> Any:
            count = getattr(calls, "count", 0)
            calls.count = count + 1
            is_proxy_thread = not threading.current_thread().name.startswith(TEST_THREAD_PREFIXES)
            if is_proxy_thread and count % 3 == 0:
                raise os_error(error_number)
            return call(sock, *args)

        monkeypatch.setattr(socket.socket, name, fail_at_times)
        for part in range(20):
            status, _, body = client.request(part=part)
            assert (status, bool(body)) == (200, True)


def test_request_with_extra_bytes_is_answered_if_poll_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a request that was read and then lost, since the wait for the bytes behind it failed."""
    with running_proxy() as proxy, proxy.connect() as client:
        poller = FailingPoller()
        monkeypatch.setattr(select, "poll", lambda: poller)
        client.send(HttpClient.encode_request() + b"x" * 100)
        assert client.read_response().status == 200
        assert poller.failures > 0


def test_peeks_that_fail_for_good_delay_no_other_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression test: connections whose received bytes can't be peeked at delayed other connections.

    The threads for shutdown, deadlines and accepting paused once for each such connection.
    """
    with running_proxy() as proxy:
        clients = [proxy.connect() for _ in range(30)]
        for client in clients:
            assert client.request().status == 200
        connections = proxy.parts.downstream.connections.snapshot()
        wait_until_idle(proxy, connections)
        monkeypatch.setattr(socket.socket, "recv", recv_with_failing_peeks)
        began_at = time.monotonic()
        for connection in connections[:10]:
            assert connection.evict()
        for connection in connections[10:20]:
            connection.deadline = 1
            connection.expire()
        assert proxy.parts.downstream.close_idle() == []
        assert time.monotonic() < began_at + 0.5
        for client in clients:
            assert client.is_closed_by_proxy()
            client.sock.close()


def test_connection_whose_bytes_cannot_be_looked_at_is_not_closed_over_a_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression test: a request was lost because its connection was closed as idle.

    A peek and `poll` both failed to show the received bytes.
    """
    with running_proxy() as proxy, proxy.connect() as client, proxy.connect() as idle:
        assert client.request().status == 200
        assert idle.request().status == 200
        connections = proxy.parts.downstream.connections.snapshot()
        with contextlib.ExitStack() as locks:
            # The reader threads can't read while the test holds the locks of their connections.
            for connection in connections:
                locks.enter_context(connection.lock)
            client.send(HttpClient.encode_request(timeout_ms=15_000))
            assert proxy.wait_until(lambda: sum(not c.has_nothing_unread for c in connections) == 1)
            monkeypatch.setattr(socket.socket, "recv", recv_with_failing_peeks)
            assert sum(not connection.has_nothing_unread for connection in connections) == 1
            monkeypatch.setattr(sockets, "_polled_events", lambda *_: None)
            assert not any(connection.has_nothing_unread for connection in connections)
        assert client.read_response().status == 200


def test_connection_whose_options_cannot_be_set_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_proxy() as proxy:
        monkeypatch.setattr(sockets, "configure", failing(sockets.configure, os_error(errno.EINVAL), 1))
        with proxy.connect() as client:
            assert client.request().status == 200
            # Accepted sockets inherit the listener's receive timeout. The pause is longer than that timeout,
            # and the idle connection must survive the pause.
            time.sleep(4 * ACCEPT_TIMEOUT / SECOND)
            assert client.request(part=4).status == 200


def test_request_is_answered_late_on_a_connection_whose_options_cannot_be_set(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies) as proxy, proxy.connect() as first:
        delayed_replies.may_reply.set()
        assert first.request().status == 200  # the proxy is now connected to the caches
        delayed_replies.may_reply.clear()
        monkeypatch.setattr(sockets, "configure", failing(sockets.configure, os_error(errno.EINVAL), 1))
        with proxy.connect() as client:
            client.send(HttpClient.encode_request(timeout_ms=15_000))
            time.sleep(2 * ACCEPT_TIMEOUT / SECOND)
            delayed_replies.may_reply.set()
            assert client.read_response().status == 200


@pytest.mark.parametrize("error_number", [*SHORTAGES, errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL])
def test_connect_that_fails_by_a_local_error_is_repeated_and_charged_to_no_endpoint(
    error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    connect = failing(sockets.connect, os_error(error_number), 4, "upstream-writer-")
    monkeypatch.setattr(sockets, "connect", connect)
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        assert failure_scores(proxy) == [0.0] * 4


def test_start_waits_for_an_address_that_is_in_use() -> None:
    earlier = socket.create_server(("127.0.0.1", 0))
    port = earlier.getsockname()[1]
    threading.Timer(0.5, earlier.close).start()
    proxy = ProxyHarness(listen=f"127.0.0.1:{port}")
    with proxy.connect() as client:
        assert client.request().status == 200
    proxy.close()


def test_event_loop_outlives_errors_outside_of_events(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        loop = proxy.parts.event_loop
        monkeypatch.setattr(loop, "_fire_due", failing(loop._fire_due, MemoryError(), 3))
        for part in range(5):
            assert client.request(part=part).status == 200
        assert proxy.counter("event_loop_error") == 3


def test_client_that_sends_beside_a_failing_poll_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests that fail or wait because discovery can't connect to the coordinator.

    Discovery always fails to connect, so requests are routed by the configured list of known endpoints.
    """
    connect = failing(sockets.begin_connect, os_error(errno.ENETUNREACH), 1_000_000, "discovery")
    monkeypatch.setattr(sockets, "begin_connect", connect)
    with running_proxy() as proxy, proxy.connect() as client:
        assert proxy.wait_until(lambda: proxy.counter("poll_failures") >= 2)
        client.send(HttpClient.encode_request())
        assert client.read_response().status == 200
