"""Fixtures for the tests of the proxy process."""

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
def may_notice_close(monkeypatch: pytest.MonkeyPatch) -> Iterator[threading.Event]:
    """Makes the proxy wait, after its first upstream connect, until the endpoint has closed the connection.

    The upstream writer thread waits for that close before it writes a request. The connection's reader thread
    does not notice the close until the event that this fixture returns is set.
    """
    may_notice = threading.Event()
    has_connected = threading.Event()
    connect = sockets.connect
    run_reader = ConnectionReader.run

    def connect_and_wait_for_close(*args: Any) -> socket.socket:
        sock = connect(*args)
        if threading.current_thread().name.startswith("upstream-writer-") and not has_connected.is_set():
            has_connected.set()
            wait_until = time.monotonic() + WAIT_TIMEOUT_S
            while not sockets.is_closed_by_peer(sock) and time.monotonic() < wait_until:
                threading.Event().wait(0.001)
        return sock

    def run_reader_late(self: ConnectionReader, sock: socket.socket) -> None:
        if sockets.is_closed_by_peer(sock):
            may_notice.wait(WAIT_TIMEOUT_S)
        run_reader(self, sock)

    monkeypatch.setattr(sockets, "connect", connect_and_wait_for_close)
    monkeypatch.setattr(ConnectionReader, "run", run_reader_late)
    yield may_notice
    may_notice.set()


@pytest.fixture
def delayed_aborts(monkeypatch: pytest.MonkeyPatch) -> DelayedAborts:
    return DelayedAborts(monkeypatch)


@pytest.fixture
def short_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Limits the time between SIGTERM and the platform's kill of the process to 1.5 s.

    The limit also holds if a request class has a longer deadline.
    """
    monkeypatch.setattr(shutdown, "MAX_DEADLINE", 1100 * MS)
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 400 * MS)
    monkeypatch.setattr(shutdown, "RESPONSE_MARGIN", 600 * MS)
    monkeypatch.setattr(shutdown, "CLIENT_CLOSE_S", 0.05)
