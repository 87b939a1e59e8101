"""Tests of the exit at the end of a graceful shutdown.

The process exits before the platform kills it, even if a step of the shutdown is delayed.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from olivepost.config import ProxyConfig
from olivepost.proxy import shutdown
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.server import ConfigurationSource
from olivepost.proxy.signals import SignalRequest, wait_without_signals
from olivepost.units import SECOND
from tests.proxy.fakes import MS, DelayedReplies, start_shutdown
from tests.proxy_harness import (
    WAIT_TIMEOUT_S,
    HttpClient,
    ProxyHarness,
    reply_with_large_body,
    request_with_small_receive_buffer,
    running_proxy,
)


def kill_after_s() -> float:
    """Returns the time between SIGTERM and the platform's kill, as the test has set it."""
    return (shutdown.MAX_DEADLINE + shutdown.ACCEPT_FOR) / SECOND


@contextmanager
def proxy_with_slow_reader() -> Iterator[ProxyHarness]:
    """Runs a proxy whose only client does not read its response.

    A shutdown of the proxy therefore waits until `exit_by`, the time at which the process begins to exit.
    """
    with running_proxy(reply_with_large_body, bounds={"slow_client_timeout": 5 * SECOND}) as proxy:
        slow_client = request_with_small_receive_buffer(proxy, timeout_ms=15_000)
        assert proxy.wait_until(lambda: proxy.counter("slow_clients") == 1)
        yield proxy
        slow_client.close()


@pytest.mark.usefixtures("small_send_buffer", "short_shutdown")
def test_log_that_nobody_reads_does_not_delay_the_exit_past_the_kill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression test: the platform could kill the process before the process exited.

    Here the log can't be written, because no process reads it, and a client does not read its response. Each
    step of the shutdown waited for its own timeout, one step after another, and the sum of the timeouts
    could exceed the time until the kill.
    """
    with proxy_with_slow_reader() as proxy:
        may_write = threading.Event()

        def write_late(_log: EventLog, _line: bytes) -> None:
            may_write.wait(WAIT_TIMEOUT_S)

        monkeypatch.setattr(EventLog, "_write_line", write_late)
        shutdown_thread = threading.Thread(target=proxy.server.shut_down)
        shutdown_thread.start()
        shutdown_thread.join(kill_after_s())
        is_late = shutdown_thread.is_alive()
        may_write.set()
        shutdown_thread.join(WAIT_TIMEOUT_S)
        assert not is_late


@pytest.mark.usefixtures("small_send_buffer", "short_shutdown")
def test_reloads_do_not_delay_the_exit_past_the_kill() -> None:
    """Regression test: the platform could kill the process before the process exited.

    Shortly before the kill, the main thread still read the configuration for a reload.
    """
    with proxy_with_slow_reader() as proxy:
        config = proxy.parts.config

        def read_slowly() -> ProxyConfig:
            wait_without_signals(300 * MS)
            return config

        def receive_reload(timeout: int) -> SignalRequest:
            wait_without_signals(min(timeout, MS))
            return SignalRequest.RELOAD

        proxy.server._source = ConfigurationSource(read_slowly, lambda: None)
        proxy.server._wait_for_signal = receive_reload
        shutdown_thread, _ = start_shutdown(proxy)
        shutdown_thread.join(kill_after_s())
        is_late = shutdown_thread.is_alive()
        shutdown_thread.join(WAIT_TIMEOUT_S)
        assert not is_late


@pytest.mark.usefixtures("short_shutdown")
def test_repeated_signals_leave_clients_their_time_to_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression test: repeated signals shortened the time in which clients may close their connections.

    The proxy calculated this time from the number of its waits, and each signal ends a wait early.
    """
    monkeypatch.setattr(shutdown, "CLIENT_CLOSE_S", 0.5)
    with running_proxy() as proxy, proxy.connect() as idle:
        assert idle.request().status == 200

        def receive_signals(timeout: int) -> SignalRequest:
            wait_without_signals(min(timeout, MS))
            return SignalRequest.SHUT_DOWN

        proxy.server._wait_for_signal = receive_signals
        shutdown_thread, began_at = start_shutdown(proxy)
        shutdown_thread.join(WAIT_TIMEOUT_S)
        assert proxy.parts.clock.now() > began_at + shutdown.ACCEPT_FOR + 450 * MS


def test_pause_of_the_main_thread_does_not_end_the_wait_for_a_pending_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression test: the process exited although a response was pending.

    The main thread had been paused for longer than the time in which clients may close their connections.
    """
    monkeypatch.setattr(shutdown, "CLIENT_CLOSE_S", 0.05)
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 100 * MS)
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        proxy.wait_for_fetches()
        proxy.server._wait_for_signal = lambda _: wait_without_signals(100 * MS)
        shutdown_thread, began_at = start_shutdown(proxy)
        assert proxy.wait_until(lambda: proxy.parts.clock.now() > began_at + 500 * MS)
        assert shutdown_thread.is_alive()
        delayed_replies.may_reply.set()
        assert client.read_response().status == 200
        client.sock.close()
        shutdown_thread.join(WAIT_TIMEOUT_S)


@pytest.mark.usefixtures("small_send_buffer", "short_shutdown")
def test_slow_reader_does_not_delay_the_exit_past_the_kill() -> None:
    """Guards against log lines that are lost because a slow client delays the exit.

    The platform kills the process when the grace period ends, even if log lines are not written yet.
    """
    with running_proxy(reply_with_large_body, bounds={"slow_client_timeout": 5 * SECOND}) as proxy:
        slow_client = request_with_small_receive_buffer(proxy, timeout_ms=15_000)
        assert proxy.wait_until(lambda: proxy.counter("slow_clients") == 1)
        is_over = threading.Event()

        def read_slowly() -> None:
            while not is_over.wait(0.1):
                slow_client.recv(1_000)

        reader = threading.Thread(target=read_slowly)
        reader.start()
        shutdown_thread = threading.Thread(target=proxy.server.shut_down)
        shutdown_thread.start()
        shutdown_thread.join(kill_after_s())
        is_late = shutdown_thread.is_alive()
        is_over.set()
        reader.join()
        slow_client.close()
        shutdown_thread.join(WAIT_TIMEOUT_S)
        assert not is_late
