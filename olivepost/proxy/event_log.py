"""The event log, one JSON line for each event, written by a thread of its own; and the counters."""

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

MAX_TRACEBACK_FRAMES = 6  # the innermost ones
MAX_SAMPLES_PER_S = 10  # lines of one sampled event; further ones are only counted
DEFAULT_MAX_BYTES = 1_048_576  # of lines that wait to be written
LINE_OVERHEAD_BYTES = 64  # that the queue takes for a line beside its text
# Attempts to write to a pipe that is full and does not block, and the pause between two of them.
FULL_PIPE_ATTEMPTS = 100
FULL_PIPE_PAUSE_S = 0.01


@dataclass(slots=True)
class SampleWindow:
    """Lines of one sampled event within one second."""

    second: int  # of the proxy's clock
    lines: int = 0


class EventLog:
    """Events by name, and counters for what is too frequent for a line each. Thread-safe.

    No caller waits for a slow or absent reader of the log: lines beyond `max_bytes` are dropped and counted.
    No call raises: what can't be logged is counted. `_lock` guards `_counters`, `_samples` and
    `waiting_bytes`. The constructor starts the thread, and `close` joins it.
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
        """Logs one event."""
        at_ms = self._clock.now() // MILLISECOND
        line = {"at_ms": at_ms, "proxy": self._name, "event": name, **fields}
        try:
            data = orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS) + b"\n"
        except (TypeError, ValueError):  # orjson's own error is a TypeError: a field that it can't write
            self.increment("log_lines_dropped")
            return
        if self._reserve(len(data) + LINE_OVERHEAD_BYTES):
            self._lines.put(data)

    def sampled_event(self, name: str, **fields: object) -> None:
        """Logs one event of a kind that may come with each request: only the first ones of each second."""
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

    def _reserve(self, line_bytes: int) -> bool:
        """Reserves queue space for a line; false, and the line counted as dropped, where there is none."""
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
        """Writes a line to its end; raises OSError."""
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
