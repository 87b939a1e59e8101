"""A proxy in a separate process, started as in the deploy file. Tests can read its log and memory use."""

from __future__ import annotations

import fcntl
import json
import os
import signal
import subprocess
import threading
import time
from pathlib import Path
from typing import Any, Self

from olivepost.config import Address
from tests.soak.child_process import ROOT, ChildProcess

READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 20.0
KILOBYTE = 1_024
SMALL_PIPE_BYTES = 4_096  # smallest capacity that the system allows for a pipe
DUMP_TIMEOUT_S = 0.5  # longest wait for the process to write its main thread's stack
DUMP_INTERVAL_S = 0.02  # interval at which the test checks whether the stack is written
MAX_STACK_LINES = 8  # number of innermost frames of the main thread's stack that are reported
STACK_MARK = "Stack (most recent call first)"
PROXY_VARIABLES = {"MALLOC_ARENA_MAX": "2", "PYTHONPATH": str(ROOT)}


class ProxyProcess(ChildProcess):
    """One proxy process; two threads read its standard output and standard error until it ends.

    The proxy gets the test's environment variables and `variables`. If `preload` names a module, the proxy
    imports that module first. If `has_small_log_pipe` is set, the pipe for the log has the smallest capacity.
    """

    def __init__(
        self,
        config: dict[str, Any],
        folder: Path,
        variables: dict[str, str] | None = None,
        preload: str | None = None,
        has_small_log_pipe: bool = False,
    ) -> None:
        self._may_read_log = threading.Event()
        self._may_read_log.set()
        self.events: list[dict[str, Any]] = []
        self.address = Address("", 0)
        self.ended_at = 0.0  # monotonic seconds; set when `wait` sees the end of the process
        self._is_ready = threading.Event()
        self._error_lines: list[str] = []
        path = folder / f"{config['name']}.json"
        path.write_text(json.dumps(config))
        super().__init__(
            ["-O", *_module_arguments(preload), "serve", "--config", str(path)],
            has_pipes=True,
            captures_errors=True,
            variables={**os.environ, **PROXY_VARIABLES, **(variables or {})},
        )
        if has_small_log_pipe:
            assert self.process.stdout is not None
            fcntl.fcntl(self.process.stdout, fcntl.F_SETPIPE_SZ, SMALL_PIPE_BYTES)
        self._readers = [
            threading.Thread(target=self._read_log, daemon=True),
            threading.Thread(target=self._read_errors, daemon=True),
        ]
        for reader in self._readers:
            reader.start()

    def __enter__(self) -> Self:
        self.wait_until_ready()
        return self

    def wait_until_ready(self) -> None:
        """Waits until the proxy accepts connections; raises AssertionError if it does not start."""
        if not self._is_ready.wait(READY_TIMEOUT_S) or not self.address.port:
            self.close()
            raise AssertionError(f"the proxy did not start: {self.errors}")

    @property
    def errors(self) -> str:
        """Text that the process has written to standard error."""
        return "\n".join(self._error_lines)

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process; None while it runs."""
        return self.process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout_s: float = EXIT_TIMEOUT_S) -> int | None:
        """Waits for the end of the process; returns its exit code, or None after the timeout."""
        try:
            code = self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
        self.ended_at = time.monotonic()
        self._may_read_log.set()
        for reader in self._readers:
            reader.join(EXIT_TIMEOUT_S)
        return code

    def close(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        self.wait()

    def stall_log(self) -> None:
        """Stops reading the log until the process has ended."""
        self._may_read_log.clear()

    def main_thread_stack(self) -> str:
        """Sends SIGUSR2 and returns the main thread's stack, or an empty text if none is written in time."""
        known = len(self._error_lines)
        self.signal(signal.SIGUSR2)
        for _ in range(int(DUMP_TIMEOUT_S / DUMP_INTERVAL_S)):
            time.sleep(DUMP_INTERVAL_S)
            lines = self._error_lines[known:]
            if any(line.startswith(STACK_MARK) for line in lines):
                return " < ".join(line.strip() for line in lines[1:][:MAX_STACK_LINES])
        return ""

    def status_kb(self, name: str) -> int:
        """Returns a value of /proc/PID/status in KB; 0 if the process has ended.

        `VmRSS` is the current resident memory and `VmHWM` its peak.
        """
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0
        return next((int(line.split()[1]) for line in lines if line.startswith(f"{name}:")), 0)

    def descriptor_count(self) -> int:
        """Returns the number of open descriptors; 0 if the process has ended."""
        try:
            return sum(1 for _ in Path(f"/proc/{self.process.pid}/fd").iterdir())
        except OSError:
            return 0

    def named_events(self, name: str) -> list[dict[str, Any]]:
        """Returns the log events with this name that have been read so far."""
        return [event for event in list(self.events) if event["event"] == name]

    def _read_log(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self._may_read_log.wait()
            event = json.loads(line)
            self.events.append(event)
            if event["event"] == "started":
                host, _, port = event["listen"].rpartition(":")
                self.address = Address(host, int(port))
                self._is_ready.set()
        self._is_ready.set()

    def _read_errors(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self._error_lines.append(line.decode(errors="replace").rstrip())


def _module_arguments(preload: str | None) -> list[str]:
    if preload is None:
        return ["-m", "olivepost"]
    return ["-c", f"import {preload}, runpy; runpy.run_module('olivepost', run_name='__main__')"]
