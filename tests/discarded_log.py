"""An event log for tests, whose lines are discarded."""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import contextmanager

from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog

CLOSE_TIMEOUT_S = 5.0


@contextmanager
def discarded_log(clock: Clock) -> Iterator[EventLog]:
    """Opens a log that counts events and discards its lines; closes it at the end."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    log = EventLog(clock, "test", descriptor=descriptor)
    try:
        yield log
    finally:
        log.close(CLOSE_TIMEOUT_S)
        os.close(descriptor)
