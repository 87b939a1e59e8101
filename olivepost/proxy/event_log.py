"""The log: one JSON line an event, written by a thread of its own."""

from __future__ import annotations

import os
import queue
import threading
import traceback
from collections import Counter

import orjson

from olivepost.proxy.clock import Clock


class EventLog:
    """Events by name. A reader that is slow or gone costs lines, which are counted; it holds up no thread."""

    def __init__(self, clock: Clock, name: str, most: int = 10_000, descriptor: int = 1) -> None:
        self._clock, self._name, self._most, self._descriptor = clock, name, most, descriptor
        self._lines: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self.counts: Counter[str] = Counter()
        self._thread = threading.Thread(target=self._write, name="log", daemon=True)
        self._thread.start()

    def event(self, name: str, **fields: object) -> None:
        """Writes one event."""
        if self._lines.qsize() >= self._most:
            self.increment("log_lines_dropped")
            return
        line = {"at_ms": self._clock.now() // 1_000_000, "front": self._name, "event": name, **fields}
        self._lines.put(orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS) + b"\n")

    def exception(self, name: str, **fields: object) -> None:
        """Writes the exception in hand, with where it came from."""
        self.increment(name)
        self.event(name, trace=traceback.format_exc(limit=-6), **fields)

    def increment(self, name: str, by: int = 1) -> None:
        """Counts what is too frequent for a line each; the counts go out with the figures."""
        with self._lock:
            self.counts[name] += by

    def counters(self) -> dict[str, int]:
        with self._lock:
            return dict(self.counts)

    def close(self, within: float = 1.0) -> None:
        """Writes out what is left."""
        self._lines.put(None)
        self._thread.join(within)

    def _write(self) -> None:
        while (line := self._lines.get()) is not None:
            view = memoryview(line)
            try:
                while view:
                    view = view[os.write(self._descriptor, view) :]
            except OSError:
                self.increment("log_lines_dropped")
