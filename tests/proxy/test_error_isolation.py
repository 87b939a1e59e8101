"""Unexpected errors end no more than the connection or the request in which they occur."""

from __future__ import annotations

from typing import Any

import pytest

from olivepost import interface as api
from olivepost.proxy.downstream.request_reader import RequestReader
from tests.proxy_harness import running_proxy


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
