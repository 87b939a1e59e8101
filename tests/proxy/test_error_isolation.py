"""Unforeseen errors: what they end, and what goes on."""

from __future__ import annotations

from typing import Any

import pytest

from olivepost import interface as api
from olivepost.proxy.downstream.connection import DownstreamConnection
from tests.rig import rig


def test_error_in_one_connection_closes_only_that(monkeypatch: pytest.MonkeyPatch) -> None:
    route = DownstreamConnection._route

    def odd(self: DownstreamConnection, message: Any, at: int) -> None:
        if message.start_line.target == "/fault":
            raise RuntimeError("unforeseen")
        route(self, message, at)

    monkeypatch.setattr(DownstreamConnection, "_route", odd)
    with rig() as made, made.client() as bad, made.client() as good:
        bad.send(b"GET /fault HTTP/1.1\r\n\r\n")
        assert bad.closed()
        assert good.ask()[0] == 200
        assert made.counted("downstream_connection_error") == 1


def test_error_in_the_event_loop_fails_only_that_request(monkeypatch: pytest.MonkeyPatch) -> None:
    with rig() as made, made.client() as client:
        handle = made.proxy.event_loop._router.handle

        def odd(now: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request) and event.part == 13:
                raise RuntimeError("unforeseen")
            return handle(now, event)

        monkeypatch.setattr(made.proxy.event_loop._router, "handle", odd)
        assert client.ask(piece=13)[0] == 502
        assert client.ask()[0] == 200
        assert made.counted("event_loop_error") == 1
