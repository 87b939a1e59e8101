"""System calls and thread starts that fail for a while lose no request."""

from __future__ import annotations

import _thread
import contextlib
import errno
import itertools
import os
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from olivepost.proxy import sockets
from olivepost.proxy.discovery import long_poll
from olivepost.proxy.downstream.listener import ACCEPT_TIMEOUT
from olivepost.proxy.server import ConfigurationSource
from olivepost.proxy.upstream import writer
from olivepost.units import SECOND
from tests.proxy.fakes import MS, DelayedReplies, no_attempt_was_sent
from tests.proxy_harness import HttpClient, ProxyHarness, running_proxy

STAND_IN_THREADS = ("MainThread", "Thread-")  # of the client and of the toy endpoints
SHORTAGES = [errno.ENOBUFS, errno.ENOMEM]
RECEIVE = socket.socket.recv


def failing(call: Callable[..., Any], error: Exception, times: int, thread: str = "") -> Callable[..., Any]:
    """The call, which fails so many times first, on threads with this name prefix."""
    failures = iter(range(times))

    def fail_first(*args: Any, **kwargs: Any) -> Any:
        is_concerned = threading.current_thread().name.startswith(thread)
        if is_concerned and next(failures, None) is not None:
            raise error
        return call(*args, **kwargs)

    return fail_first


def os_error(number: int) -> OSError:
    return OSError(number, os.strerror(number))


@pytest.mark.parametrize(
    "number",
    [errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO, errno.EPERM],
)
def test_accept_that_fails_is_repeated(number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(socket.socket, "accept", failing(socket.socket.accept, os_error(number), 3, "accept"))
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
    """Regression: a pause that is long for one failure: all that wait to be accepted wait it out."""
    accept = socket.socket.accept
    counts = itertools.count()

    def fail_every_second(sock: socket.socket) -> Any:
        is_of_proxy = threading.current_thread().name == "accept"
        if is_of_proxy and next(counts) % 2:
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


def test_connection_is_served_though_no_thread_is_free_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    start = failing(_thread.start_new_thread, RuntimeError("can't start new thread"), 5)
    with running_proxy() as proxy:
        monkeypatch.setattr(_thread, "start_new_thread", start)
        with proxy.connect() as client:
            assert client.request().status == 200
        assert proxy.counter("threads_short") == 5


@pytest.mark.parametrize("number", SHORTAGES)
@pytest.mark.parametrize("name", ["recv", "recv_into", "send", "sendmsg"])
def test_transfer_continues_after_a_shortage_of_memory(
    name: str, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        call = getattr(socket.socket, name)
        fails = threading.local()

        def fail_at_times(sock: socket.socket, *args: Any) -> Any:
            count = getattr(fails, "count", 0)
            fails.count = count + 1
            is_of_proxy = not threading.current_thread().name.startswith(STAND_IN_THREADS)
            if is_of_proxy and count % 3 == 0:
                raise os_error(number)
            return call(sock, *args)

        monkeypatch.setattr(socket.socket, name, fail_at_times)
        for part in range(20):
            status, _, body = client.request(part=part)
            assert (status, bool(body)) == (200, True)


def failing_peeks(sock: socket.socket, size: int, flags: int = 0) -> bytes:
    """`socket.recv` where looking at a socket without waiting fails for good."""
    peek = socket.MSG_PEEK | socket.MSG_DONTWAIT
    if flags & peek == peek:
        raise os_error(errno.ENOBUFS)
    return RECEIVE(sock, size, flags)


def test_peeks_that_fail_for_good_delay_no_other_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: a pause for each connection on the threads of shutdown, deadlines and accept."""
    with running_proxy() as proxy:
        clients = [proxy.connect() for _ in range(30)]
        for client in clients:
            assert client.request().status == 200
        connections = proxy.parts.downstream.connections.snapshot()
        monkeypatch.setattr(socket.socket, "recv", failing_peeks)
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
    """Regression: a request that is lost since the system refuses to show it, by poll as well."""
    with running_proxy() as proxy, proxy.connect() as client, proxy.connect() as idle:
        assert client.request().status == 200
        assert idle.request().status == 200
        connections = proxy.parts.downstream.connections.snapshot()
        with contextlib.ExitStack() as locks:
            for connection in connections:  # their readers have to wait
                locks.enter_context(connection.lock)
            client.send(HttpClient.encode_request(timeout_ms=15_000))
            assert proxy.wait_until(lambda: sum(not c.has_nothing_unread for c in connections) == 1)
            monkeypatch.setattr(socket.socket, "recv", failing_peeks)
            assert sum(not connection.has_nothing_unread for connection in connections) == 1
            monkeypatch.setattr(sockets, "_polled_events", lambda *_: None)
            assert not any(connection.has_nothing_unread for connection in connections)
        assert client.read_response().status == 200


def test_connection_whose_options_cannot_be_set_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_proxy() as proxy:
        monkeypatch.setattr(sockets, "configure", failing(sockets.configure, os_error(errno.EINVAL), 1))
        with proxy.connect() as client:
            assert client.request().status == 200
            # Longer than the listener's receive timeout, which accepted sockets inherit.
            time.sleep(4 * ACCEPT_TIMEOUT / SECOND)
            assert client.request(part=4).status == 200


def test_request_is_answered_late_on_a_connection_whose_options_cannot_be_set(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies) as proxy, proxy.connect() as first:
        delayed_replies.may_reply.set()
        assert first.request().status == 200  # the connections to the caches are there
        delayed_replies.may_reply.clear()
        monkeypatch.setattr(sockets, "configure", failing(sockets.configure, os_error(errno.EINVAL), 1))
        with proxy.connect() as client:
            client.send(HttpClient.encode_request(timeout_ms=15_000))
            time.sleep(2 * ACCEPT_TIMEOUT / SECOND)
            delayed_replies.may_reply.set()
            assert client.read_response().status == 200


def failure_scores(proxy: ProxyHarness) -> list[float]:
    endpoints = proxy.parts.event_loop.router.state.endpoints.by_id.values()
    return [endpoint.failure_score for endpoint in endpoints]


@pytest.mark.parametrize("number", [*SHORTAGES, errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL])
def test_connect_that_fails_by_a_local_error_is_repeated_and_charged_to_no_endpoint(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    connect = failing(sockets.connect, os_error(number), 4, "upstream-writer-")
    monkeypatch.setattr(sockets, "connect", connect)
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        assert failure_scores(proxy) == [0.0] * 4


def test_shortage_of_threads_is_charged_to_no_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    def start(*_: object) -> threading.Thread:
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(writer, "start_thread", start)
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 503
        assert no_attempt_was_sent(proxy)
        assert failure_scores(proxy) == [0.0] * 4


def test_shortage_of_reader_threads_is_charged_to_no_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    error = RuntimeError("can't start new thread")
    begin = threading.Thread.start

    def start(thread: threading.Thread) -> None:
        if thread.name == "upstream-reader":
            raise error
        begin(thread)

    monkeypatch.setattr(threading.Thread, "start", start)
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request(timeout_ms=4_000).status == 503
        assert failure_scores(proxy) == [0.0] * 4


def test_start_waits_for_an_address_that_is_in_use() -> None:
    earlier = socket.create_server(("127.0.0.1", 0))
    port = earlier.getsockname()[1]
    threading.Timer(0.5, earlier.close).start()
    proxy = ProxyHarness(listen=f"127.0.0.1:{port}")
    with proxy.connect() as client:
        assert client.request().status == 200
    proxy.close()


def test_start_waits_for_threads(monkeypatch: pytest.MonkeyPatch) -> None:
    error = RuntimeError("can't start new thread")
    begin = threading.Thread.start
    start = failing(begin, error, 20)

    def start_late(thread: threading.Thread) -> None:
        if thread.name.startswith(STAND_IN_THREADS):
            begin(thread)
        else:
            start(thread)

    monkeypatch.setattr(threading.Thread, "start", start_late)
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200


def test_reload_without_a_thread_leaves_discovery_unchanged(monkeypatch: pytest.MonkeyPatch) -> None:
    def start(*_: object) -> threading.Thread:
        raise RuntimeError("can't start new thread")

    with running_proxy() as proxy, running_proxy() as other:
        assert proxy.coordinator.wait_for_poll(1)
        host, _, port = other.coordinator.address.rpartition(":")
        address = type(proxy.parts.config.coordinator)(host, int(port))
        with monkeypatch.context() as patch:
            patch.setattr(long_poll, "start_thread", start)
            with pytest.raises(RuntimeError):
                proxy.parts.discovery.switch_coordinator(address)
        polls = proxy.coordinator.polls
        assert proxy.coordinator.wait_for_poll(polls + 1)  # the old poll goes on
        assert proxy.parts.discovery.switch_coordinator(address)  # and the next reload moves it


def test_reload_waits_for_no_thread_and_is_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: a main thread that handles no signal, and a poll whose events wait, for seconds."""
    with running_proxy() as proxy, running_proxy() as other:
        assert proxy.coordinator.wait_for_poll(1)
        host, _, port = other.coordinator.address.rpartition(":")
        address = type(proxy.parts.config.coordinator)(host, int(port))
        moved = replace(proxy.parts.config, coordinator=address)
        proxy.server._source = ConfigurationSource(lambda: moved, lambda: None)
        polls = other.coordinator.polls
        with monkeypatch.context() as patch:
            error = RuntimeError("can't start new thread")
            start = failing(threading.Thread.start, error, 1_000_000, "MainThread")
            patch.setattr(threading.Thread, "start", start)
            began_at = time.monotonic()
            proxy.server.reload()
            assert time.monotonic() < began_at + 1
        assert other.coordinator.polls == polls
        proxy.server._wait_until(proxy.parts.clock.now() + 200 * MS)  # as the main thread always does
        assert other.coordinator.wait_for_poll(polls + 2)


def test_event_loop_outlives_errors_outside_of_events(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        loop = proxy.parts.event_loop
        monkeypatch.setattr(loop, "_fire_due", failing(loop._fire_due, MemoryError(), 3))
        for part in range(5):
            assert client.request(part=part).status == 200
        assert proxy.counter("event_loop_error") == 3


def test_client_that_sends_beside_a_failing_poll_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """Discovery's own system calls always fail: requests are routed by the known list."""
    connect = failing(sockets.connect, os_error(errno.ENETUNREACH), 1_000_000, "discovery")
    monkeypatch.setattr(sockets, "connect", connect)
    with running_proxy() as proxy, proxy.connect() as client:
        assert proxy.wait_until(lambda: proxy.counter("poll_failures") >= 2)
        client.send(HttpClient.encode_request())
        assert client.read_response().status == 200


def test_connection_that_waits_for_a_thread_is_not_evicted_for_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its request may arrive while it waits, for longer than idle connections are spared."""
    start = failing(_thread.start_new_thread, RuntimeError("can't start new thread"), 30)
    with running_proxy() as proxy:
        monkeypatch.setattr(_thread, "start_new_thread", start)
        with proxy.connect() as client:
            assert proxy.wait_until(lambda: proxy.counter("threads_short") >= 20)
            client.send(HttpClient.encode_request(timeout_ms=15_000))
            assert client.read_response().status == 200
        assert proxy.counter("connections_evicted") == 0
