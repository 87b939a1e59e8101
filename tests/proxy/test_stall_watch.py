"""Tests of the stall watch: a thread that spends too long on one step is reported with its stack.

A step is the work of a thread between two waits.
"""

from __future__ import annotations

import os
import subprocess
import sys
import threading
from typing import Any

import pytest

from olivepost.proxy import stall_watch
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.stall_watch import StallWatch, ThreadActivity
from olivepost.units import MILLISECOND, SECOND
from tests.proxy_harness import WAIT_TIMEOUT_S, running_proxy


class FakeClock(Clock):
    """A clock whose time the test sets."""

    time = 100 * SECOND

    def now(self) -> int:
        return self.time


class RecordingLog(EventLog):
    """An event log that keeps its events in a list and does not write them."""

    def __init__(self, clock: Clock) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []
        self._devnull = os.open(os.devnull, os.O_WRONLY)
        super().__init__(clock, "n1", descriptor=self._devnull)

    def event(self, name: str, **fields: object) -> None:
        self.events.append((name, fields))

    def close(self, timeout_s: float = WAIT_TIMEOUT_S) -> None:
        super().close(timeout_s)
        os.close(self._devnull)


def test_step_that_takes_too_long_is_logged_once_with_the_stack() -> None:
    clock = FakeClock()
    log = RecordingLog(clock)
    activity = ThreadActivity("main")
    watch = StallWatch(clock, log, [activity])

    activity.begin_step(clock.now())
    clock.time += stall_watch.STALLED_AFTER - MILLISECOND
    watch.check()
    assert log.events == []

    clock.time += MILLISECOND
    watch.check()
    watch.check()
    ((name, fields),) = log.events
    assert (name, fields["thread"], fields["busy_ms"]) == ("thread_stalled", "main", 3_000)
    assert "test_step_that_takes_too_long" in fields["stack"][-3]

    activity.end_step()
    clock.time += SECOND
    watch.check()
    activity.begin_step(clock.now())
    clock.time += stall_watch.STALLED_AFTER
    watch.check()
    assert [name for name, _ in log.events] == ["thread_stalled"] * 2
    log.close()


@pytest.mark.parametrize("standard_error", ["open", "closed"])
def test_signal_for_a_dump_of_all_threads_does_not_end_the_process(standard_error: str) -> None:
    """Regression test: a process without standard error did not start, or was ended by the signal.

    The signal, SIGUSR1, makes a process write the stacks of all its threads to standard error.
    """
    close = "os.close(2); sys.stderr = None" if standard_error == "closed" else "pass"
    program = (
        f"import os, signal, sys; {close}; from olivepost.proxy.server import register_thread_dump;"
        "register_thread_dump(); os.kill(os.getpid(), signal.SIGUSR1)"
    )
    result = subprocess.run([sys.executable, "-c", program], capture_output=True, check=False)
    assert result.returncode == 0
    assert (b"most recent call first" in result.stderr) == (standard_error == "open")


@pytest.mark.parametrize("thread", ["event-loop", "main"])
def test_stalled_thread_of_a_proxy_is_reported(thread: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stall_watch, "STALLED_AFTER", 100 * MILLISECOND)
    may_continue = threading.Event()
    with running_proxy() as proxy:
        assert proxy.counter("threads_stalled") == 0
        if thread == "event-loop":
            monkeypatch.setattr(
                proxy.parts.event_loop, "_fire_due", lambda: may_continue.wait(WAIT_TIMEOUT_S)
            )
        else:
            monkeypatch.setattr(
                proxy.parts.memory_monitor, "check", lambda: may_continue.wait(WAIT_TIMEOUT_S)
            )
            waiting = threading.Thread(
                target=proxy.server._wait_until, args=(proxy.parts.clock.now() + 10 * MILLISECOND,)
            )
            waiting.start()
        assert proxy.wait_until(lambda: proxy.counter("threads_stalled") >= 1)
        may_continue.set()
