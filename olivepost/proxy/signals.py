"""Signals of the process, for the thread that waits for them."""

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

WAKEUP_READ_BYTES = 4_096  # more signals than ever wait at once; one byte each


class SignalRequest(Enum):
    """What a signal asks of the proxy."""

    RELOAD = "reload"
    SHUT_DOWN = "shut down"


WaitForSignal = Callable[[int], SignalRequest | None]
"""Waits at most so many nanoseconds; None where no signal has come."""

REQUESTS = {
    signal.SIGHUP: SignalRequest.RELOAD,
    signal.SIGTERM: SignalRequest.SHUT_DOWN,
    signal.SIGINT: SignalRequest.SHUT_DOWN,
}


class SignalListener:
    """Takes the process's signals; made by the main thread, which also waits.

    The system hands a signal to any thread of the process, and one that comes right behind another mostly
    not to the main thread, which then sleeps on; a byte in a pipe wakes it all the same.
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
        """The next signal's request; None where none comes in time."""
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
    """Waits, and no signal comes: for a proxy in a process whose signals are not its own."""
    threading.Event().wait(timeout / SECOND)
