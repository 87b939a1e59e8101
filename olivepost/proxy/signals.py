"""Signals of the process: their meaning for the proxy, and the wait of the main thread for them."""

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

WAKEUP_READ_BYTES = 4_096  # read size; the pipe has one byte for each signal since the last read


class SignalRequest(Enum):
    """The action that a signal requests from the proxy."""

    RELOAD = "reload"
    SHUT_DOWN = "shut down"


WaitForSignal = Callable[[Duration], SignalRequest | None]
"""A function that waits for a signal up to a timeout and returns None if none was received."""

REQUESTS = {
    signal.SIGHUP: SignalRequest.RELOAD,
    signal.SIGTERM: SignalRequest.SHUT_DOWN,
    signal.SIGINT: SignalRequest.SHUT_DOWN,
}


class SignalListener:
    """Receiver of the process's signals. The main thread creates it and calls `wait`.

    The system may deliver a signal to any thread of the process, and this does not always wake the main
    thread. So the interpreter writes a byte to a pipe for each signal, and the main thread waits on this
    pipe. The pipe stays open until the process exits.
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
        """Waits for a signal and returns what it requests; None if none is received within the timeout."""
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
    """Waits for the timeout without receiving signals.

    A proxy uses this function if other code handles the signals of its process.
    """
    threading.Event().wait(timeout / SECOND)
