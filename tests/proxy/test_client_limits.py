"""Tests of the limits on clients: connections, timeouts and buffers."""

from __future__ import annotations

import contextlib
import threading
import time

import pytest

from tests.proxy.fakes import (
    MS,
    idle_connection,
)
from tests.proxy_harness import (
    WAIT_TIMEOUT_S,
    HttpClient,
    reply_with_large_body,
    request_with_small_receive_buffer,
    running_proxy,
)


@pytest.mark.usefixtures("small_send_buffer")
def test_client_that_does_not_read_delays_no_other_client() -> None:
    with running_proxy(reply_with_large_body) as proxy:
        count = 8  # more clients than writer threads
        slow_clients = [request_with_small_receive_buffer(proxy) for _ in range(count)]
        assert proxy.wait_until(lambda: proxy.counter("slow_clients") == count)
        with proxy.connect() as client:
            assert client.request().status == 200
        for sock in slow_clients:
            sock.close()


@pytest.mark.usefixtures("small_send_buffer")
def test_slow_reader_is_closed_at_an_absolute_limit() -> None:
    with running_proxy(reply_with_large_body, bounds={"slow_client_timeout": 300_000_000}) as proxy:
        sock = request_with_small_receive_buffer(proxy, timeout_ms=15_000)
        received_bytes = 0
        with contextlib.suppress(ConnectionResetError):
            while chunk := sock.recv(64):
                received_bytes += len(chunk)
                time.sleep(0.005)
        assert received_bytes < 240_000
        assert proxy.wait_until(lambda: proxy.parts.downstream.open_count == 0)
        sock.close()


def test_exhausted_body_buffers_leave_the_proxy_responsive() -> None:
    """Checks that a request is rejected in time if no body buffer is free.

    No endpoint's failure score may rise, because no endpoint has failed.
    """
    with running_proxy() as proxy, proxy.connect() as client:
        taken = proxy.parts.body_buffers.acquire(proxy.parts.config.limits.body_buffers)
        assert taken is not None
        assert client.request(timeout_ms=15_000).status == 503
        assert proxy.counter("pool_empty") >= 1
        assert not any(
            endpoint.failure_score
            for endpoint in proxy.parts.event_loop._router.state.endpoints.by_id.values()
        )
        with proxy.connect() as other:
            other.send(b"GET /-/healthy HTTP/1.1\r\n\r\n")
            assert other.read_response().status == 200
        proxy.parts.body_buffers.release(taken)
        assert client.request().status == 200


SHORT_TIMEOUTS = {"first_request_timeout": 300_000_000, "keepalive_timeout": 300_000_000}


def test_idle_client_is_closed_at_its_deadline() -> None:
    with running_proxy(bounds=SHORT_TIMEOUTS) as proxy, proxy.connect() as client:
        assert client.is_closed_by_proxy()
        assert proxy.counter("connection_deadlines_exceeded") >= 1
    with running_proxy(bounds=SHORT_TIMEOUTS) as proxy, proxy.connect() as client:
        assert client.request().status == 200
        # After its first request, the client stays idle for longer than the keep-alive timeout.
        assert client.is_closed_by_proxy()


@pytest.mark.parametrize("data", [b"GET /api/v2/segm", HttpClient.encode_request(Content_Length="9")])
def test_partial_request_gets_408_at_its_deadline_although_bytes_arrive(data: bytes) -> None:
    with running_proxy(bounds=SHORT_TIMEOUTS) as proxy, proxy.connect() as client:
        client.sock.settimeout(WAIT_TIMEOUT_S)
        client.send(data)
        is_over = threading.Event()

        def trickle() -> None:
            with contextlib.suppress(OSError):
                while not is_over.wait(0.02):
                    client.send(b"x" if b"\r\n" not in data else b"")

        thread = threading.Thread(target=trickle)
        thread.start()
        assert client.read_response().status == 408
        is_over.set()
        thread.join(WAIT_TIMEOUT_S)
        assert not any(endpoint.received() for endpoint in proxy.endpoints)


def send_endlessly(client: HttpClient) -> None:
    for _ in range(10_000):
        client.send(b"x" * 65_536)


def test_endless_sender_is_closed_after_its_rejection() -> None:
    """Guards against reading without end from a client that goes on sending after its request was rejected.

    After the rejection, the proxy closes its side of the connection. It then limits how many bytes it still
    reads, and for how long.
    """
    with running_proxy() as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(Content_Length="60000000"))
        with pytest.raises(ConnectionError):
            send_endlessly(client)
        assert proxy.wait_until(lambda: proxy.parts.downstream.open_count == 0)


def test_client_that_never_closes_is_closed() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        client.send(b"nonsense\r\n\r\n")
        assert client.read_response().status == 400
        assert client.is_closed_by_proxy()
        assert proxy.wait_until(lambda: proxy.parts.downstream.open_count == 0)


def test_idle_client_that_then_writes_slowly_has_time_for_its_request() -> None:
    with running_proxy(bounds={"keepalive_timeout": 800 * MS}) as proxy, proxy.connect() as client:
        assert client.request().status == 200
        connection = idle_connection(proxy)
        request = HttpClient.encode_request()
        idle_deadline = connection.deadline
        assert idle_deadline is not None
        client.send(request[:20])
        assert proxy.wait_until(lambda: not connection.parser.is_idle)
        assert proxy.wait_until(lambda: proxy.parts.clock.now() > idle_deadline + 200 * MS)
        client.send(request[20:])
        assert client.read_response().status == 200


@pytest.mark.usefixtures("small_send_buffer")
def test_slow_reader_is_closed_where_no_thread_can_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a connection that stays open and buffers that are never released.

    The proxy starts a thread to write the rest of a response to a slow reader. Here this thread can't be
    started, so the rest can't be written.
    """
    with running_proxy(reply_with_large_body) as proxy:
        start = threading.Thread.start

        def start_unless_slow_writer(thread: threading.Thread) -> None:
            if thread.name == "slow-writer":
                raise RuntimeError("can't start new thread")
            start(thread)

        monkeypatch.setattr(threading.Thread, "start", start_unless_slow_writer)
        sock = request_with_small_receive_buffer(proxy)
        assert proxy.wait_until(lambda: proxy.counter("threads_short") == 1)
        assert proxy.wait_until(lambda: proxy.parts.body_buffers.in_use == 0)
        sock.close()
