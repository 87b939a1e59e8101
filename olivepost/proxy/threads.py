"""Starting threads where the system may have none to give for a while (`EAGAIN`)."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

RETRY_PAUSE_S = 0.01
# For parts without which the process can't serve: a start that takes longer counts as failed anyway.
START_TIMEOUT_S = 10.0


def start_thread(target: Callable[[], object], name: str, timeout_s: float = 0.0) -> threading.Thread:
    """Starts a daemon thread, and tries again until the timeout; RuntimeError where none can be had."""
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
