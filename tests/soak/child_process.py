"""Processes that a test starts, and that end with it whatever happens."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from tests.closed_at_exit import ClosedAtExit

ROOT = Path(__file__).parents[2]


class ChildProcess(ClosedAtExit):
    """A Python process of the test's own, killed at the end of the `with` block.

    `arguments` follow the interpreter's name. With `has_pipes`, the test reads the process's output and may
    write to its input; with `captures_errors`, it reads standard error.
    `variables` is the process's environment; None: that of the test.
    """

    def __init__(
        self,
        arguments: list[str],
        *,
        has_pipes: bool = False,
        captures_errors: bool = False,
        variables: dict[str, str] | None = None,
    ) -> None:
        pipe = subprocess.PIPE if has_pipes else None
        error_pipe = subprocess.PIPE if captures_errors else None
        self.process = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=pipe,
            stdout=pipe,
            stderr=error_pipe,
            env=variables,
            cwd=ROOT,
        )

    def close(self) -> None:
        """Kills the process and waits for its end."""
        self.process.kill()
        self.process.communicate()
