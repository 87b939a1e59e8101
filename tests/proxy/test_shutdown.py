"""Tests of graceful shutdown: requests after SIGTERM, and responses that are pending at SIGTERM."""

from __future__ import annotations

import socket
import threading
from typing import Any

import pytest

from examples.toy_server import body_of
from olivepost.proxy import shutdown
from olivepost.proxy.downstream.connection_admission import ConnectionAdmission
from olivepost.proxy.downstream.response_delivery import ResponseDelivery
from olivepost.proxy.signals import SignalRequest, wait_without_signals
from tests.proxy.fakes import (
    MS,
    DelayedConnects,
    DelayedReplies,
    never_reply,
    no_attempt_was_sent,
    only_connection,
    settings_with_idempotency,
    start_shutdown,
)
from tests.proxy_harness import (
    OBJECT_NAME,
    WAIT_TIMEOUT_S,
    HttpClient,
    ProxyHarness,
    reply_with_large_body,
    request_with_small_receive_buffer,
    running_proxy,
)


def test_sigterm_loses_no_request() -> None:
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies) as proxy, proxy.connect() as client, proxy.connect() as idle:
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        proxy.wait_for_fetches()
        shutdown_thread = threading.Thread(target=proxy.server.shut_down)
        shutdown_thread.start()
        assert proxy.wait_until(lambda: proxy.parts.downstream.is_draining)
        with proxy.connect() as late:
            late.send(HttpClient.encode_request(timeout_ms=15_000))
            delayed_replies.may_reply.set()
            status, headers, body = late.read_response()
            assert (status, headers["connection"], body) == (200, "close", body_of(OBJECT_NAME, "3"))
        status, headers, _ = client.read_response()
        assert (status, headers["connection"]) == (200, "close")
        assert client.is_closed_by_proxy()
        assert idle.is_closed_by_proxy()
        client.sock.close()
        idle.sock.close()
        shutdown_thread.join(WAIT_TIMEOUT_S)
        assert not shutdown_thread.is_alive()
        assert proxy.parts.downstream.open_count == 0


def test_connections_accepted_by_the_kernel_are_served_at_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against losing clients whose connections only the kernel has accepted when the proxy shuts down.

    A busy proxy may have unread requests and connections in its accept queue at that time.
    """
    may_start = threading.Event()
    start = ConnectionAdmission._start_connection

    def start_late(self: ConnectionAdmission, sock: socket.socket) -> None:
        may_start.wait(WAIT_TIMEOUT_S)
        start(self, sock)

    with running_proxy() as proxy, proxy.connect() as idle:
        assert idle.request().status == 200
        monkeypatch.setattr(ConnectionAdmission, "_start_connection", start_late)
        waiting = [proxy.connect() for _ in range(5)]
        for client in waiting:
            client.send(HttpClient.encode_request(timeout_ms=15_000))
        proxy.parts.downstream.drain()
        stop_thread = threading.Thread(target=proxy.parts.downstream.stop_accepting)
        stop_thread.start()
        may_start.set()
        for client in waiting:
            status, headers, _ = client.read_response()
            assert (status, headers["connection"]) == (200, "close")
            assert client.is_closed_by_proxy()
            client.sock.close()
        stop_thread.join(WAIT_TIMEOUT_S)
        with pytest.raises(ConnectionRefusedError):
            proxy.connect()


def test_connection_with_an_unread_request_is_not_closed_as_idle() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        (connection,) = proxy.parts.downstream.connections.snapshot()
        # The connection's reader thread can't read the request while the test holds the lock.
        with connection.lock:
            client.send(HttpClient.encode_request(timeout_ms=15_000))
            assert proxy.wait_until(lambda: not connection.has_nothing_unread)
            proxy.parts.downstream.drain()
            close_thread = threading.Thread(target=proxy.parts.downstream.close_idle)
            close_thread.start()
        close_thread.join(WAIT_TIMEOUT_S)
        status, headers, _ = client.read_response()
        assert (status, headers["connection"]) == (200, "close")


def test_proxy_restarts_at_once_on_the_same_address() -> None:
    with running_proxy() as proxy:
        client = proxy.connect()
        assert client.request().status == 200
        proxy.parts.downstream.stop_accepting()
        restarted = ProxyHarness(listen=f"127.0.0.1:{proxy.address[1]}")
        with restarted.connect() as other:
            assert other.request().status == 200
        restarted.close()
        client.sock.close()


# Time between SIGTERM and the platform's kill in tests that use the fixture `short_shutdown`.
KILLED_AFTER = 1500 * MS


@pytest.mark.usefixtures("short_shutdown")
def test_pending_requests_get_responses_before_the_kill_where_upstream_hangs() -> None:
    with running_proxy(never_reply) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        proxy.wait_for_fetches()
        shutdown_thread, began_at = start_shutdown(proxy)
        with proxy.connect() as late:
            late.send(HttpClient.encode_request(timeout_ms=15_000))
            assert (client.read_response().status, late.read_response().status) == (503, 503)
            assert proxy.parts.clock.now() < began_at + KILLED_AFTER
        shutdown_thread.join(WAIT_TIMEOUT_S)
        assert proxy.parts.event_loop.pending_count == 0


@pytest.mark.usefixtures("short_shutdown")
def test_request_that_waits_for_a_connection_gets_a_response_before_the_kill(
    delayed_connects: DelayedConnects,
) -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        assert proxy.wait_until(lambda: proxy.parts.event_loop.pending_count == 1)
        assert delayed_connects.has_started.wait(WAIT_TIMEOUT_S)
        shutdown_thread, began_at = start_shutdown(proxy)
        assert client.read_response().status == 503
        assert proxy.parts.clock.now() < began_at + KILLED_AFTER
        shutdown_thread.join(WAIT_TIMEOUT_S)
        delayed_connects.may_connect.set()
        assert no_attempt_was_sent(proxy)


@pytest.mark.usefixtures("short_shutdown")
def test_queued_response_is_written_before_exit(monkeypatch: pytest.MonkeyPatch) -> None:
    may_write = threading.Event()
    write = ResponseDelivery.write

    def write_late(self: ResponseDelivery, *args: Any) -> Any:
        may_write.wait(WAIT_TIMEOUT_S)
        return write(self, *args)

    monkeypatch.setattr(ResponseDelivery, "write", write_late)
    with running_proxy() as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        proxy.wait_for_fetches()
        assert proxy.wait_until(lambda: proxy.parts.event_loop.pending_count == 0)
        shutdown_thread, began_at = start_shutdown(proxy)
        past_client_close = began_at + 600 * MS
        assert proxy.wait_until(lambda: proxy.parts.clock.now() > past_client_close)
        may_write.set()
        assert client.read_response().status == 200
        client.sock.close()
        shutdown_thread.join(WAIT_TIMEOUT_S)


def test_client_that_waits_at_the_connection_limit_is_served_at_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against losing a connection that still waits for a free slot when the listener is closed.

    The accept thread has accepted the client's connection while all connection slots are in use.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 100 * MS)
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies, limits={"sockets": 64, "memory_mb": 64}) as proxy:
        busy = [proxy.connect() for _ in range(proxy.parts.config.limits.max_client_connections)]
        for client in busy:
            client.send(HttpClient.encode_request(timeout_ms=15_000))
        assert proxy.wait_until(lambda: proxy.parts.event_loop.pending_count == len(busy))
        with proxy.connect() as late:
            late.send(HttpClient.encode_request(timeout_ms=15_000))
            assert proxy.wait_until(lambda: proxy.counter("connection_cap_reached") == 1)
            shutdown_thread, began_at = start_shutdown(proxy)
            assert proxy.wait_until(lambda: proxy.parts.clock.now() > began_at + 200 * MS)
            delayed_replies.may_reply.set()
            for client in busy:
                assert client.read_response().status in (200, 503)
                client.sock.close()
            assert late.read_response().status == 200
        shutdown_thread.join(WAIT_TIMEOUT_S)


@pytest.mark.usefixtures("short_shutdown")
def test_non_idempotent_request_that_may_have_run_fails_at_shutdown() -> None:
    with (
        running_proxy(never_reply, settings=settings_with_idempotency("non_idempotent")) as proxy,
        proxy.connect() as client,
    ):
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        proxy.wait_for_fetches()
        shutdown_thread, _ = start_shutdown(proxy)
        assert client.read_response().status == 502
        shutdown_thread.join(WAIT_TIMEOUT_S)


@pytest.mark.usefixtures("small_send_buffer")
def test_response_to_a_slow_reader_is_finished_before_exit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(shutdown, "CLIENT_CLOSE_S", 0.05)
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 100 * MS)
    with running_proxy(reply_with_large_body) as proxy:
        sock = request_with_small_receive_buffer(proxy, timeout_ms=15_000)
        assert proxy.wait_until(
            lambda: proxy.counter("slow_clients") == 1 and proxy.parts.event_loop.pending_count == 0
        )
        shutdown_thread, began_at = start_shutdown(proxy)
        # The time in which clients may connect and the time in which they may close their connections are
        # over, but the proxy still waits for the pending response.
        assert proxy.wait_until(lambda: proxy.parts.clock.now() > began_at + 400 * MS)
        assert shutdown_thread.is_alive()
        received = b""
        while chunk := sock.recv(65_536):
            received += chunk
        assert received.count(b"x") >= 240_000
        sock.close()
        shutdown_thread.join(WAIT_TIMEOUT_S)


@pytest.mark.usefixtures("small_send_buffer")
def test_connection_that_is_written_to_during_shutdown_closes_once_it_is_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that stays open after a response that did not announce its close.

    The response began before the shutdown, so it could not announce the close.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 100 * MS)
    with running_proxy(reply_with_large_body) as proxy:
        sock = request_with_small_receive_buffer(proxy, timeout_ms=15_000)
        assert proxy.wait_until(lambda: proxy.counter("slow_clients") == 1)
        connection = only_connection(proxy)
        shutdown_thread, began_at = start_shutdown(proxy)
        assert proxy.wait_until(lambda: proxy.parts.clock.now() > began_at + 200 * MS)
        assert not connection.is_closing
        received_bytes = 0
        while received_bytes < 240_000:
            received_bytes += len(sock.recv(65_536))
        assert proxy.wait_until(lambda: connection.exchange is None)
        idle_at = proxy.parts.clock.now()
        while sock.recv(65_536):
            pass
        assert proxy.parts.clock.now() < idle_at + 500 * MS
        sock.close()
        shutdown_thread.join(WAIT_TIMEOUT_S)


def test_partly_read_request_is_served_at_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown, "CLIENT_CLOSE_S", 0.05)
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 100 * MS)
    with running_proxy() as proxy, proxy.connect() as client:
        request = HttpClient.encode_request(timeout_ms=15_000)
        client.send(request[:30])
        connection = only_connection(proxy)
        assert proxy.wait_until(lambda: not connection.parser.is_idle)
        shutdown_thread, began_at = start_shutdown(proxy)
        assert proxy.wait_until(lambda: proxy.parts.clock.now() > began_at + 400 * MS)
        client.send(request[30:])
        status, headers, body = client.read_response()
        assert (status, headers["connection"], body) == (200, "close", body_of(OBJECT_NAME, "3"))
        client.sock.close()
        shutdown_thread.join(WAIT_TIMEOUT_S)


def test_second_sigterm_and_reload_during_draining_change_nothing() -> None:
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies) as proxy, proxy.connect() as client:
        requests = iter([SignalRequest.RELOAD, SignalRequest.SHUT_DOWN] * 2)

        def wait_for_signal(timeout: int) -> SignalRequest | None:
            request = next(requests, None)
            if request is None:
                wait_without_signals(min(timeout, 10 * MS))
            return request

        proxy.server._wait_for_signal = wait_for_signal
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        proxy.wait_for_fetches()
        shutdown_thread, _ = start_shutdown(proxy)
        assert proxy.wait_until(lambda: next(requests, None) is None)
        delayed_replies.may_reply.set()
        assert client.read_response().status == 200
        client.sock.close()
        shutdown_thread.join(WAIT_TIMEOUT_S)
        assert proxy.parts.downstream.open_count == 0
