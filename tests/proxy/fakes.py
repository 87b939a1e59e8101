"""Reply functions of endpoints, patches that delay threads, and helpers for tests of a complete proxy."""

from __future__ import annotations

import socket
import threading
from typing import Any, NamedTuple

import pytest

from examples.toy_server import Command, ToyEndpoint, respond_normally
from olivepost import interface as api
from olivepost.proxy import sockets
from olivepost.proxy.downstream.connection_lifecycle import ConnectionLifecycle
from olivepost.proxy.upstream.writer import ConnectionWriter
from olivepost.units import Instant
from tests.proxy_harness import WAIT_TIMEOUT_S, ProxyHarness, toy_config

MS = 1_000_000
UNCACHED_NAME = "0a3a9c21e0b4d655"  # toy caches do not store names that begin with 0


def never_reply(endpoint: ToyEndpoint, command: Command) -> None:
    """Accepts a command and never responds to it."""


def answer_liveness_only(endpoint: ToyEndpoint, command: Command) -> None:
    """Responds to `alive`, so that the connection stays open, but to no `fetch`."""
    if command.verb == "alive":
        respond_normally(endpoint, command)


class DelayedReplies:
    """A reply function of toy endpoints, which respond only after `may_reply` is set."""

    def __init__(self) -> None:
        self.may_reply = threading.Event()

    def __call__(self, endpoint: ToyEndpoint, command: Command) -> None:
        self.may_reply.wait(WAIT_TIMEOUT_S)
        respond_normally(endpoint, command)


def only_connection(proxy: ProxyHarness) -> ConnectionLifecycle:
    """Waits until exactly one client connection is open; returns that connection."""
    assert proxy.wait_until(lambda: proxy.parts.downstream.open_count == 1)
    (connection,) = proxy.parts.downstream.connections.snapshot()
    return connection


def idle_connection(proxy: ProxyHarness) -> ConnectionLifecycle:
    """Waits until the only client connection is idle and no thread holds its lock; returns the connection."""
    connection = only_connection(proxy)
    wait_until_idle(proxy, [connection])
    return connection


def wait_until_idle(proxy: ProxyHarness, connections: list[ConnectionLifecycle]) -> None:
    """Waits until client connections are idle and no thread holds their locks.

    A connection is idle once its response is written. A client may have its response before the thread that
    wrote the response has released the connection's lock.
    """
    assert proxy.wait_until(lambda: all(c.is_idle and not c.lock.locked() for c in connections))


def no_attempt_was_sent(proxy: ProxyHarness) -> bool:
    """Whether no endpoint has received a `fetch` command."""
    return not any(endpoint.received() for endpoint in proxy.endpoints)


class DelayedConnects:
    """A patch of `sockets.connect` that delays upstream connections until `may_connect` is set.

    `has_started` is set when a writer thread is about to connect.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.may_connect = threading.Event()
        self.has_started = threading.Event()
        connect = sockets.connect

        def connect_late(*args: Any) -> socket.socket:
            if threading.current_thread().name.startswith("upstream-writer-"):
                self.has_started.set()
                self.may_connect.wait(WAIT_TIMEOUT_S)
            return connect(*args)

        monkeypatch.setattr(sockets, "connect", connect_late)


def settings_with_idempotency(effect: str, **changes: Any) -> dict[str, Any]:
    """Returns the example's settings; `effect` sets the idempotency of the first request class.

    `changes` replace further fields of that class.
    """
    settings: dict[str, Any] = toy_config()["settings"]
    first_class = {**settings["classes"][0], "effect": effect, **changes}
    return {**settings, "classes": [first_class, *settings["classes"][1:]]}


class DelayedAborts:
    """A patch of the connection writer that delays aborts until `may_abort` is set.

    If `is_reset` is true, the delayed abort then fails as if the endpoint had reset the connection, and the
    abort is not written.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.may_abort = threading.Event()
        self.is_reset = False
        send = ConnectionWriter._send

        def send_abort_late(writer: ConnectionWriter, sock: socket.socket, data: bytes, request: Any) -> None:
            if data.startswith(b"abort"):
                self.may_abort.wait(WAIT_TIMEOUT_S)
                if self.is_reset:
                    raise ConnectionError("reset by the endpoint")
            send(writer, sock, data, request)

        monkeypatch.setattr(ConnectionWriter, "_send", send_abort_late)


def draining_entries(proxy: ProxyHarness, count: int) -> list[dict[str, Any]]:
    """Returns the first `count` entries of the coordinator's endpoint list, changed to the draining state."""
    return [{**entry, "state": "terminating"} for entry in proxy.listed_endpoints[:count]]


def cache_a_is_draining(proxy: ProxyHarness) -> bool:
    """Whether the router knows that cache `a` is draining."""
    return (
        proxy.parts.event_loop._router.state.endpoints.by_id["a"].metadata.state is api.EndpointState.DRAINING
    )


class StartedShutdown(NamedTuple):
    """The thread that runs a shutdown, and the time at which the shutdown began."""

    thread: threading.Thread
    began_at: Instant


def start_shutdown(proxy: ProxyHarness) -> StartedShutdown:
    """Starts a graceful shutdown as SIGTERM does, and waits until the proxy is draining."""
    thread = threading.Thread(target=proxy.server.shut_down)
    began_at = proxy.parts.clock.now()
    thread.start()
    assert proxy.wait_until(lambda: proxy.parts.downstream.is_draining)
    return StartedShutdown(thread, began_at)
