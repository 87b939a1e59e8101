"""Processes that a test starts, and that end with it whatever happens."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from types import TracebackType
from typing import Self

ROOT = Path(__file__).parents[2]


class ChildProcess:
    """A module of the tests that runs as a process of its own; a context manager that kills it at the end."""

    def __init__(self, module: str, arguments: list[str], *, has_pipes: bool = False) -> None:
        pipe = subprocess.PIPE if has_pipes else None
        self.process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], stdin=pipe, stdout=pipe, cwd=ROOT
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.process.kill()
        self.process.communicate()
