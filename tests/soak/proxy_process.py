"""A proxy as a process of its own: started as the deploy file says, with its log lines and its memory."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
from pathlib import Path
from types import TracebackType
from typing import Any

from olivepost.config import Address
from tests.soak.child_process import ROOT

READY_WITHIN_S = 30.0
EXIT_WITHIN_S = 20.0
KILOBYTE = 1_024


class ProxyProcess:
    """One proxy process. A context manager: whatever the test does, the process ends with it.

    `environment` adds to this process's variables, `preload` is a module that is imported first in the proxy.
    """

    def __init__(
        self,
        config: dict[str, Any],
        folder: Path,
        environment: dict[str, str] | None = None,
        preload: str = "",
    ) -> None:
        self.events: list[dict[str, Any]] = []
        self.address = Address("", 0)
        self._is_ready = threading.Event()
        path = folder / f"{config['name']}.json"
        path.write_text(json.dumps(config))
        variables = {**os.environ, "MALLOC_ARENA_MAX": "2", "PYTHONPATH": str(ROOT), **(environment or {})}
        if preload:
            code = f"import {preload}, runpy; runpy.run_module('olivepost', run_name='__main__')"
            program = ["-c", code]
        else:
            program = ["-m", "olivepost"]
        self._process = subprocess.Popen(
            [sys.executable, "-O", *program, "serve", "--config", str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env=variables,
            cwd=ROOT,
        )
        self._errors: list[str] = []
        self._threads = [
            threading.Thread(target=self._read_log, daemon=True),
            threading.Thread(target=self._read_errors, daemon=True),
        ]
        for thread in self._threads:
            thread.start()

    def __enter__(self) -> ProxyProcess:
        if not self._is_ready.wait(READY_WITHIN_S) or not self.address.port:
            self.kill()
            raise AssertionError(f"the proxy did not start: {self.errors}")
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.kill()

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._process.pid

    @property
    def errors(self) -> str:
        """What the process wrote to standard error."""
        return "\n".join(self._errors)

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs."""
        return self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def wait(self, timeout_s: float = EXIT_WITHIN_S) -> int | None:
        """The exit code, once the process has ended; None where it does not in time."""
        try:
            code = self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
        for thread in self._threads:
            thread.join(EXIT_WITHIN_S)
        return code

    def kill(self) -> None:
        """Ends the process at once."""
        self.signal(signal.SIGKILL)
        self.wait()

    def status_kb(self, name: str) -> int:
        """A figure of /proc/PID/status in KB: `VmRSS` now, `VmHWM` at most; 0 once it has ended."""
        try:
            lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        except OSError:
            return 0
        return next((int(line.split()[1]) for line in lines if line.startswith(f"{name}:")), 0)

    def descriptor_count(self) -> int:
        """Open descriptors; 0 once the process has ended."""
        try:
            return sum(1 for _ in Path(f"/proc/{self.pid}/fd").iterdir())
        except OSError:
            return 0

    def named_events(self, name: str) -> list[dict[str, Any]]:
        """The log's events of a name so far."""
        return [event for event in list(self.events) if event["event"] == name]

    def _read_log(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            event = json.loads(line)
            self.events.append(event)
            if event["event"] == "started":
                host, _, port = event["listen"].rpartition(":")
                self.address = Address(host, int(port))
                self._is_ready.set()
        self._is_ready.set()

    def _read_errors(self) -> None:
        assert self._process.stderr is not None
        for line in self._process.stderr:
            self._errors.append(line.decode(errors="replace").rstrip())
