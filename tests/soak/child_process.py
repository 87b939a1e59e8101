"""Child processes of a test, which end with the test, even if the test fails."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from tests.closed_at_exit import ClosedAtExit

ROOT = Path(__file__).parents[2]


class ChildProcess(ClosedAtExit):
    """A Python process that is killed at the end of the `with` block.

    `arguments` are the interpreter's arguments. If `has_pipes` is set, the test reads the process's standard
    output and may write to its standard input. If `captures_errors` is set, the test also
    reads its standard error. `variables` are the process's environment variables. If `variables` is None, the
    process inherits those of the test.
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
