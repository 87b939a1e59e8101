"""Fixtures of the proxy's tests."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

from olivepost.proxy import shutdown, sockets
from olivepost.proxy.upstream.reader import ConnectionReader
from tests.proxy.fakes import MS, DelayedAborts, DelayedConnects
from tests.proxy_harness import WAIT_TIMEOUT_S


@pytest.fixture
def delayed_connects(monkeypatch: pytest.MonkeyPatch) -> DelayedConnects:
    return DelayedConnects(monkeypatch)


@pytest.fixture
def closed_by_endpoint(monkeypatch: pytest.MonkeyPatch) -> Iterator[threading.Event]:
    """The endpoint closes its first connection before a request is written; its reader is late to see it."""
    gate, first, connect = threading.Event(), threading.Event(), sockets.connect

    def ended(*args: Any) -> socket.socket:
        sock = connect(*args)
        if threading.current_thread().name.startswith("upstream-writer-") and not first.is_set():
            first.set()
            until = time.monotonic() + WAIT_TIMEOUT_S
            while not sockets.is_closed_by_peer(sock) and time.monotonic() < until:
                threading.Event().wait(0.001)
        return sock

    read = ConnectionReader.run

    def late(self: ConnectionReader, sock: socket.socket) -> None:
        if sockets.is_closed_by_peer(sock):
            gate.wait(WAIT_TIMEOUT_S)
        read(self, sock)

    monkeypatch.setattr(sockets, "connect", ended)
    monkeypatch.setattr(ConnectionReader, "run", late)
    yield gate
    gate.set()


@pytest.fixture
def delayed_aborts(monkeypatch: pytest.MonkeyPatch) -> DelayedAborts:
    return DelayedAborts(monkeypatch)


@pytest.fixture
def short_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """The platform kills one and a half seconds after SIGTERM, however long the deadlines are."""
    monkeypatch.setattr(shutdown, "MAX_DEADLINE", 1100 * MS)
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 400 * MS)
    monkeypatch.setattr(shutdown, "RESPONSE_MARGIN", 600 * MS)
    monkeypatch.setattr(shutdown, "CLIENT_CLOSE_S", 0.05)
