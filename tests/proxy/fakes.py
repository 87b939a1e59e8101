"""Members, waits and delays that several tests of the whole proxy share."""

from __future__ import annotations

import socket
import threading
from typing import Any

import pytest

from examples.toy_server import Command, Member, serve_all
from olivepost import interface as api
from olivepost.proxy import sockets
from olivepost.proxy.downstream.connection import DownstreamConnection
from olivepost.proxy.upstream.writer import ConnectionWriter
from tests.rig import WITHIN, Rig, toy_config

UNCACHED_NAME = "0a3a9c21e0b4d655"  # no toy cache has it


def silent(member: Member, command: Command) -> None:
    """An endpoint that accepts everything and does not respond."""


MS = 1_000_000


class HeldReplies:
    """Endpoints that respond once the gate is set."""

    def __init__(self) -> None:
        self.gate = threading.Event()

    def __call__(self, member: Member, command: Command) -> None:
        self.gate.wait(WITHIN)
        serve_all(member, command)


def only_connection(made: Rig) -> DownstreamConnection:
    """The one connection that is open."""
    assert made.until(lambda: made.proxy.downstream.open_count == 1)
    (connection,) = made.proxy.downstream._connections
    return connection


def idle_connection(made: Rig) -> DownstreamConnection:
    """The one connection, once its response is written and its writer is done with it."""
    connection = only_connection(made)
    assert made.until(lambda: connection.is_idle and not connection._lock.locked())
    return connection


def no_attempt_was_sent(made: Rig) -> bool:
    return not any(member.seen() for member in made.members)


class DelayedConnects:
    """Upstream connections are established once the gate is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.gate, self.begun = threading.Event(), threading.Event()
        connect = sockets.connect

        def late(*args: Any) -> socket.socket:
            if threading.current_thread().name.startswith("upstream-writer-"):
                self.begun.set()
                self.gate.wait(WITHIN)
            return connect(*args)

        monkeypatch.setattr(sockets, "connect", late)


def settings_with_idempotency(effect: str, **changes: Any) -> dict[str, Any]:
    """The example's settings with a first class of that idempotency."""
    settings: dict[str, Any] = toy_config()["settings"]
    row = {**settings["classes"][0], "effect": effect, **changes}
    return {**settings, "classes": [row, *settings["classes"][1:]]}


class DelayedAborts:
    """Aborts are written once the gate is set; with `resets`, their connection is reset instead."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.gate, self.resets, send = threading.Event(), False, ConnectionWriter._send

        def late(writer: ConnectionWriter, sock: socket.socket, data: bytes, call: Any) -> None:
            if data.startswith(b"abort"):
                self.gate.wait(WITHIN)
                if self.resets:
                    raise ConnectionError("reset by the endpoint")
            send(writer, sock, data, call)

        monkeypatch.setattr(ConnectionWriter, "_send", late)


def draining_entries(made: Rig, count: int) -> list[dict[str, Any]]:
    return [{**row, "state": "terminating"} for row in made.entries[:count]]


def cache_a_is_draining(made: Rig) -> bool:
    return (
        made.proxy.event_loop._router.state.endpoints.by_id["a"].metadata.state is api.EndpointState.DRAINING
    )
