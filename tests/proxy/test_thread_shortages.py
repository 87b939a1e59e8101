"""Tests of a system that has no thread for a while, which must not lose any request."""

from __future__ import annotations

import _thread
import threading
import time
from dataclasses import replace

import pytest

from olivepost.proxy.discovery import long_poll
from olivepost.proxy.server import ConfigurationSource
from olivepost.proxy.upstream import writer
from tests.proxy.failing_calls import TEST_THREAD_PREFIXES, failing, failure_scores
from tests.proxy.fakes import MS, no_attempt_was_sent
from tests.proxy_harness import HttpClient, running_proxy


def test_connection_is_served_though_no_thread_is_free_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    start = failing(_thread.start_new_thread, RuntimeError("can't start new thread"), 5)
    with running_proxy() as proxy:
        monkeypatch.setattr(_thread, "start_new_thread", start)
        with proxy.connect() as client:
            assert client.request().status == 200
        assert proxy.counter("threads_short") == 5


def test_shortage_of_threads_is_charged_to_no_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    def start(*_: object) -> threading.Thread:
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(writer, "start_thread", start)
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 503
        assert no_attempt_was_sent(proxy)
        assert failure_scores(proxy) == [0.0] * 4


def test_shortage_of_reader_threads_is_charged_to_no_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    error = RuntimeError("can't start new thread")
    original_start = threading.Thread.start

    def start(thread: threading.Thread) -> None:
        if thread.name == "upstream-reader":
            raise error
        original_start(thread)

    monkeypatch.setattr(threading.Thread, "start", start)
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request(timeout_ms=4_000).status == 503
        assert failure_scores(proxy) == [0.0] * 4


def test_start_waits_for_threads(monkeypatch: pytest.MonkeyPatch) -> None:
    error = RuntimeError("can't start new thread")
    original_start = threading.Thread.start
    start = failing(original_start, error, 20)

    def start_late(thread: threading.Thread) -> None:
        if thread.name.startswith(TEST_THREAD_PREFIXES):
            original_start(thread)
        else:
            start(thread)

    monkeypatch.setattr(threading.Thread, "start", start_late)
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200


def test_reload_without_a_thread_leaves_discovery_unchanged(monkeypatch: pytest.MonkeyPatch) -> None:
    def start(*_: object) -> threading.Thread:
        raise RuntimeError("can't start new thread")

    with running_proxy() as proxy, running_proxy() as other:
        assert proxy.coordinator.wait_for_poll(1)
        host, _, port = other.coordinator.address.rpartition(":")
        address = type(proxy.parts.config.coordinator)(host, int(port))
        with monkeypatch.context() as patch:
            patch.setattr(long_poll, "start_thread", start)
            with pytest.raises(RuntimeError):
                proxy.parts.discovery.switch_coordinator(address)
        polls = proxy.coordinator.polls
        assert proxy.coordinator.wait_for_poll(polls + 1)  # the old coordinator is still polled
        # Threads can be started again, so the next reload succeeds.
        assert proxy.parts.discovery.switch_coordinator(address)


def test_reload_waits_for_no_thread_and_is_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression test: a reload waited for seconds until a thread could be started.

    Meanwhile, the main thread handled no signal, and the events that the running poll received were not
    applied.
    """
    with running_proxy() as proxy, running_proxy() as other:
        assert proxy.coordinator.wait_for_poll(1)
        host, _, port = other.coordinator.address.rpartition(":")
        address = type(proxy.parts.config.coordinator)(host, int(port))
        moved = replace(proxy.parts.config, coordinator=address)
        proxy.server._source = ConfigurationSource(lambda: moved, lambda: None)
        polls = other.coordinator.polls
        with monkeypatch.context() as patch:
            error = RuntimeError("can't start new thread")
            start = failing(threading.Thread.start, error, 1_000_000, "MainThread")
            patch.setattr(threading.Thread, "start", start)
            began_at = time.monotonic()
            proxy.server.reload()
            assert time.monotonic() < began_at + 1
        assert other.coordinator.polls == polls
        # The main thread repeats the failed reload during this wait, as it does while `run` waits.
        proxy.server._wait_until(proxy.parts.clock.now() + 200 * MS)
        assert other.coordinator.wait_for_poll(polls + 2)


def test_connection_that_waits_for_a_thread_is_not_evicted_for_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against evicting a connection that waits for its reader thread.

    The connection may wait for longer than `MIN_IDLE_BEFORE_EVICTION`, and its request may arrive meanwhile.
    """
    start = failing(_thread.start_new_thread, RuntimeError("can't start new thread"), 30)
    with running_proxy() as proxy:
        monkeypatch.setattr(_thread, "start_new_thread", start)
        with proxy.connect() as client:
            assert proxy.wait_until(lambda: proxy.counter("threads_short") >= 20)
            client.send(HttpClient.encode_request(timeout_ms=15_000))
            assert client.read_response().status == 200
        assert proxy.counter("connections_evicted") == 0
