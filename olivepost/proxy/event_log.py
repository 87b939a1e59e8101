"""The event log: one JSON line an event, written by a thread of its own; and the counters."""

from __future__ import annotations

import os
import queue
import threading
import traceback
from collections import Counter

import orjson

from olivepost.proxy.clock import Clock
from olivepost.units import MILLISECOND

MAX_TRACEBACK_FRAMES = 6  # the innermost ones


class EventLog:
    """Events by name, and counters for what is too frequent for a line each. Thread-safe.

    No thread waits for a reader that is slow or gone: lines beyond `max_lines` are dropped and counted. The
    lock guards the counters.
    """

    def __init__(self, clock: Clock, name: str, max_lines: int = 10_000, descriptor: int = 1) -> None:
        self._clock = clock
        self._name = name
        self._max_lines = max_lines
        self._descriptor = descriptor
        self._lines: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._counters: Counter[str] = Counter()
        self._thread = threading.Thread(target=self._write, name="log", daemon=True)
        self._thread.start()

    def event(self, name: str, **fields: object) -> None:
        """Logs one event."""
        if self._lines.qsize() >= self._max_lines:
            self.increment("log_lines_dropped")
            return
        at_ms = self._clock.now() // MILLISECOND
        line = {"at_ms": at_ms, "proxy": self._name, "event": name, **fields}
        self._lines.put(orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS) + b"\n")

    def exception(self, name: str, **fields: object) -> None:
        """Logs and counts the exception that is being handled, with its traceback."""
        self.increment(name)
        self.event(name, trace=traceback.format_exc(limit=-MAX_TRACEBACK_FRAMES), **fields)

    def increment(self, name: str, by: int = 1) -> None:
        """Adds to a counter; the counters go out with the metrics."""
        with self._lock:
            self._counters[name] += by

    def counters(self) -> dict[str, int]:
        """All counters since the start."""
        with self._lock:
            return dict(self._counters)

    def close(self, timeout_s: float = 1.0) -> None:
        """Waits until what is queued is written, or until the timeout."""
        self._lines.put(None)
        self._thread.join(timeout_s)

    def _write(self) -> None:
        while (line := self._lines.get()) is not None:
            remaining = memoryview(line)
            try:
                while remaining:
                    remaining = remaining[os.write(self._descriptor, remaining) :]
            except OSError:
                self.increment("log_lines_dropped")
