"""Signals of the process: what each asks of the proxy, and how the main thread waits for them."""

from __future__ import annotations

import os
import select
import signal
import threading
import time
from collections.abc import Callable
from enum import Enum
from types import FrameType

from olivepost.units import SECOND, Duration

WAKEUP_READ_BYTES = 4_096  # one byte for each signal that waits


class SignalRequest(Enum):
    """What a signal asks of the proxy."""

    RELOAD = "reload"
    SHUT_DOWN = "shut down"


WaitForSignal = Callable[[Duration], SignalRequest | None]
"""Waits for a signal up to a timeout; None where none was received."""

REQUESTS = {
    signal.SIGHUP: SignalRequest.RELOAD,
    signal.SIGTERM: SignalRequest.SHUT_DOWN,
    signal.SIGINT: SignalRequest.SHUT_DOWN,
}


class SignalListener:
    """Receives the process's signals; the main thread makes it, and also waits.

    The system delivers a signal to any thread of the process, which need not wake the main thread. So the
    interpreter writes a byte to a pipe for each, on which the main thread waits. The pipe stays open
    until the process exits.
    """

    def __init__(self) -> None:
        self._wakeup, write = os.pipe()
        os.set_blocking(self._wakeup, False)
        os.set_blocking(write, False)
        signal.set_wakeup_fd(write, warn_on_full_buffer=False)
        self._received: set[SignalRequest] = set()
        for number in REQUESTS:
            signal.signal(number, self._record)

    def _record(self, number: int, _frame: FrameType | None) -> None:
        self._received.add(REQUESTS[signal.Signals(number)])

    def wait(self, timeout: Duration) -> SignalRequest | None:
        """The next signal's request; None where none is received within the timeout."""
        until = time.monotonic_ns() + timeout
        while not self._received:
            remaining = until - time.monotonic_ns()
            if remaining <= 0:
                return None
            readable, _, _ = select.select([self._wakeup], [], [], remaining / SECOND)
            if readable:
                os.read(self._wakeup, WAKEUP_READ_BYTES)
        return self._received.pop()


def wait_without_signals(timeout: Duration) -> None:
    """Waits without receiving signals: for a proxy in a process whose signals are not its own."""
    threading.Event().wait(timeout / SECOND)
