"""Tests of the start and the end of the threads of the shared store's host."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import ExitStack

import pytest

from olivepost.proxy.clock import Clock
from olivepost.shared_store.host import CLOSE_TIMEOUT_S, StoreHost
from olivepost.shared_store.settings import MAX_STORES, SharedStoreSettings
from tests.discarded_log import discarded_log

WAIT_TIMEOUT_S = 5.0
SCHEDULING_SLACK_S = 0.5


def make_host(stack: ExitStack, listeners: list[socket.socket]) -> StoreHost:
    stores = [
        {"name": f"s{number}", "address": "{}:{}".format(*listener.getsockname())}
        for number, listener in enumerate(listeners)
    ]
    settings = SharedStoreSettings.model_validate({"branch": "b", "stores": stores, "give_up": "5s"})
    log = stack.enter_context(discarded_log(Clock()))
    return StoreHost(settings, "n1", Clock(), log, lambda _: None)


def test_start_waits_for_threads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression test: a process failed to start if the system could create no thread for a short time."""
    failures = iter(range(5))
    start = threading.Thread.start

    def fail_first_starts(thread: threading.Thread) -> None:
        if next(failures, None) is not None:
            raise RuntimeError("can't start new thread")
        start(thread)

    with ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        host = make_host(stack, [listener])
        monkeypatch.setattr(threading.Thread, "start", fail_first_starts)
        host.start()
        listener.settimeout(WAIT_TIMEOUT_S)
        stack.enter_context(listener.accept()[0])  # a worker thread has connected
        host.close()


def test_stores_that_never_respond_delay_the_close_once_and_not_each() -> None:
    with ExitStack() as stack:
        listeners = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(MAX_STORES)]
        host = make_host(stack, listeners)
        host.start()
        # Every store accepts a connection and sends no reply on it.
        for listener in listeners:
            listener.settimeout(WAIT_TIMEOUT_S)
            stack.enter_context(listener.accept()[0])
        threading.Event().wait(0.1)  # lets the workers send their first commands
        began_at = time.monotonic()
        host.close()
        assert time.monotonic() < began_at + CLOSE_TIMEOUT_S + SCHEDULING_SLACK_S
