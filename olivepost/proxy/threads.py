"""Thread creation with retries while the system can't create a thread (`EAGAIN`)."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

RETRY_PAUSE_S = 0.01  # pause between two attempts to start a thread
START_TIMEOUT_S = 10.0  # time limit to start a thread without which the process can't serve


def start_thread(target: Callable[[], object], name: str, timeout_s: float = 0.0) -> threading.Thread:
    """Starts a daemon thread; if the system can't create it, tries again until the timeout.

    Raises `RuntimeError` if no attempt succeeds. The caller owns the thread. Any thread may call this
    function.
    """
    until = time.monotonic() + timeout_s
    while True:
        thread = threading.Thread(target=target, name=name, daemon=True)
        try:
            thread.start()
        except RuntimeError:
            if time.monotonic() >= until:
                raise
            time.sleep(RETRY_PAUSE_S)
        else:
            return thread
