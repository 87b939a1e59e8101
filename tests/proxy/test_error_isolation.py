"""Tests that an unexpected error ends only the connection or the request in which it occurs."""

from __future__ import annotations

import threading
from typing import Any

import pytest

from olivepost import interface as api
from olivepost.proxy import sockets
from olivepost.proxy.downstream.request_reader import RequestReader
from tests.proxy_harness import (
    HttpClient,
    reply_with_large_body,
    request_with_small_receive_buffer,
    running_proxy,
)


def test_error_in_one_connection_closes_only_that(monkeypatch: pytest.MonkeyPatch) -> None:
    route = RequestReader._route

    def route_with_fault(self: RequestReader, message: Any, received_at: int) -> None:
        if message.start_line.target == "/fault":
            raise RuntimeError("unexpected")
        route(self, message, received_at)

    monkeypatch.setattr(RequestReader, "_route", route_with_fault)
    with running_proxy() as proxy, proxy.connect() as faulty, proxy.connect() as other:
        faulty.send(b"GET /fault HTTP/1.1\r\n\r\n")
        assert faulty.is_closed_by_proxy()
        assert other.request().status == 200
        assert proxy.counter("downstream_connection_error") == 1


def test_error_in_a_response_writer_releases_the_body(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against body buffers that stay in use after an error in a response writer.

    `running_proxy` checks at its end that no buffer is in use.
    """
    with running_proxy() as proxy, proxy.connect() as client, proxy.connect() as other:
        with monkeypatch.context() as patched:
            patched.setattr("olivepost.proxy.downstream.response_delivery.encode_response", None)
            client.send(HttpClient.encode_request())
            assert client.is_closed_by_proxy()
        assert other.request().status == 200
        assert proxy.counter("response_writer_error") == 1


@pytest.mark.usefixtures("small_send_buffer")
def test_error_in_a_slow_response_writer_releases_the_body(monkeypatch: pytest.MonkeyPatch) -> None:
    send_buffers = sockets.send_buffers

    def send_with_fault(sock: Any, parts: Any, flags: int = 0) -> Any:
        if threading.current_thread().name == "slow-writer":
            raise ValueError("unexpected")
        return send_buffers(sock, parts, flags)

    monkeypatch.setattr(sockets, "send_buffers", send_with_fault)
    with running_proxy(reply_with_large_body) as proxy:
        sock = request_with_small_receive_buffer(proxy, timeout_ms=15_000)
        # The client reads only after the proxy has noticed that it is slow. If the client read earlier, it
        # could receive the whole response without a slow-writer thread.
        assert proxy.wait_until(lambda: proxy.counter("slow_clients") == 1)
        while sock.recv(65_536):
            pass
        assert proxy.wait_until(lambda: proxy.counter("response_writer_error") == 1)
        sock.close()


def test_error_in_the_event_loop_fails_only_that_request(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        handle = proxy.parts.event_loop._router.handle

        def handle_with_fault(now: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request) and event.part == 13:
                raise RuntimeError("unexpected")
            return handle(now, event)

        monkeypatch.setattr(proxy.parts.event_loop._router, "handle", handle_with_fault)
        assert client.request(part=13).status == 502
        assert client.request().status == 200
        assert proxy.counter("event_loop_error") == 1
