"""The event log and its counters. A separate thread writes one JSON line for each event."""

from __future__ import annotations

import os
import queue
import threading
import time
import traceback
from collections import Counter
from dataclasses import dataclass

import orjson

from olivepost.proxy.clock import Clock
from olivepost.proxy.threads import START_TIMEOUT_S, start_thread
from olivepost.units import MILLISECOND, SECOND

MAX_TRACEBACK_FRAMES = 6  # number of innermost frames that are logged for an exception
# Maximum number of lines per second for each name of a sampled event; further events are only counted.
MAX_SAMPLES_PER_S = 10
DEFAULT_MAX_BYTES = 1_048_576  # limit of the total size of the lines that wait to be written
LINE_OVERHEAD_BYTES = 64  # memory in bytes that a queued line needs in addition to the line's text
# Number of times that the write of a line to a full non-blocking pipe is tried again, and the pause in
# seconds before each of these attempts.
FULL_PIPE_ATTEMPTS = 100
FULL_PIPE_PAUSE_S = 0.01


@dataclass(slots=True)
class SampleWindow:
    """Counter of the sampled events that had one name and occurred within one second, logged or not."""

    second: int  # Unix time on the proxy's clock, in whole seconds
    lines: int = 0


class EventLog:
    """Log of named events, with counters for events that are too frequent to log each time. Thread-safe.

    No caller waits for a slow or absent reader of the log: a line is dropped and counted if the lines that
    wait to be written would otherwise exceed `max_bytes`. No method raises an exception: an event that cannot
    be logged is counted. `_lock` guards `_counters`, `_samples` and `waiting_bytes`. The constructor starts
    the thread that writes the lines, and `close` joins it.
    """

    def __init__(
        self, clock: Clock, name: str, max_bytes: int = DEFAULT_MAX_BYTES, descriptor: int = 1
    ) -> None:
        self.waiting_bytes = 0
        self._clock = clock
        self._name = name
        self._max_bytes = max_bytes
        self._descriptor = descriptor
        self._lines: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._counters: Counter[str] = Counter()
        self._samples: dict[str, SampleWindow] = {}
        self._thread = start_thread(self._write, "log", START_TIMEOUT_S)

    def event(self, name: str, **fields: object) -> None:
        """Logs an event with its fields."""
        at_ms = self._clock.now() // MILLISECOND
        line = {"at_ms": at_ms, "proxy": self._name, "event": name, **fields}
        try:
            data = orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS) + b"\n"
        except (TypeError, ValueError):
            # The line is dropped, because a field cannot be serialized. The error that orjson raises in this
            # case, JSONEncodeError, is caught as a TypeError.
            self.increment("log_lines_dropped")
            return
        if self._reserve(len(data) + LINE_OVERHEAD_BYTES):
            self._lines.put(data)

    def sampled_event(self, name: str, **fields: object) -> None:
        """Logs an event that may occur with every request.

        Only the first `MAX_SAMPLES_PER_S` events of a name are logged in each second; the others are only
        counted.
        """
        second = self._clock.now() // SECOND
        with self._lock:
            window = self._samples.get(name)
            if window is None or window.second != second:
                window = SampleWindow(second)
                self._samples[name] = window
            window.lines += 1
            is_logged = window.lines <= MAX_SAMPLES_PER_S
        if is_logged:
            self.event(name, **fields)
        else:
            self.increment(f"{name}_not_logged")

    def exception(self, name: str, **fields: object) -> None:
        """Logs and counts the exception that is being handled, with its traceback."""
        self.increment(name)
        self.event(name, trace=traceback.format_exc(limit=-MAX_TRACEBACK_FRAMES), **fields)

    def increment(self, name: str, by: int = 1) -> None:
        """Adds `by` to the counter with this name. The counters are logged with the metrics."""
        with self._lock:
            self._counters[name] += by

    def counters(self) -> dict[str, int]:
        """Returns a copy of all counters by name. They count from the creation of the log."""
        with self._lock:
            return dict(self._counters)

    def close(self, timeout_s: float = 1.0) -> None:
        """Ends the writing thread after it has written all queued lines.

        Waits for the end of the thread, but no longer than the timeout.
        """
        self._lines.put(None)
        self._thread.join(timeout_s)

    def _reserve(self, line_bytes: int) -> bool:
        """Reserves queue space for a line of `line_bytes` bytes; returns whether there was enough space.

        If there was not enough space, the line is counted as dropped.
        """
        with self._lock:
            if self.waiting_bytes + line_bytes > self._max_bytes:
                self._counters["log_lines_dropped"] += 1
                return False
            self.waiting_bytes += line_bytes
            return True

    def _write(self) -> None:
        while (line := self._lines.get()) is not None:
            try:
                self._write_line(line)
            except OSError:
                self.increment("log_lines_dropped")
            with self._lock:
                self.waiting_bytes -= len(line) + LINE_OVERHEAD_BYTES

    def _write_line(self, line: bytes) -> None:
        """Writes a complete line; raises OSError if writing fails or a non-blocking pipe stays full."""
        remaining = memoryview(line)
        attempts = 0
        while remaining:
            try:
                remaining = remaining[os.write(self._descriptor, remaining) :]
            except BlockingIOError:
                attempts += 1
                if attempts > FULL_PIPE_ATTEMPTS:
                    raise
                time.sleep(FULL_PIPE_PAUSE_S)
