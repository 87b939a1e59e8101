"""Stand-in endpoints in a process of their own: `python -m tests.soak.endpoints_process CACHES BODY_BYTES`.

Prints the endpoint list as one JSON line, then serves until its standard input ends. Commands are not
recorded, so that a long load takes no memory here.
"""

from __future__ import annotations

import itertools
import json
import subprocess
import sys
import time
from pathlib import Path
from types import TracebackType
from typing import Any

from examples.toy_server import Command, Member, entry, read_command

ROOT = Path(__file__).parents[2]
NANOSECONDS_PER_MS = 1_000_000
# Every so many'th answer is a fill: below its target of hits the router remembers names for longest.
ANSWERS_PER_FILL = 2


class LoadMember(Member):
    """An endpoint that answers every fetch with the same bytes."""

    def __init__(self, id_: str, body: bytes) -> None:
        self._body = body
        self._answers = itertools.count(1)
        super().__init__(id_)

    def serve(self, sock: Any, lines: Any) -> None:
        """Answers each command as it comes."""
        while (command := read_command(sock, lines)) is not None:
            self._answer(command)

    def _answer(self, command: Command) -> None:
        if command.verb == "alive":
            command.sock.sendall(f"{command.id} PONG\r\n".encode())
        elif command.verb == "fetch":
            issued = str(time.time_ns() // NANOSECONDS_PER_MS)
            status = "fill" if next(self._answers) % ANSWERS_PER_FILL == 0 else "warm"
            command.answer("HIT", self._body, why=status, entity="e1", issued=issued)


class EndpointsProcess:
    """The stand-in endpoints as a context manager; `entries` is their endpoint list."""

    def __init__(self, caches: int, body_bytes: int) -> None:
        command = [sys.executable, "-m", "tests.soak.endpoints_process", str(caches), str(body_bytes)]
        self._process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT)
        assert self._process.stdout is not None
        self.entries: list[dict[str, Any]] = json.loads(self._process.stdout.readline())

    def __enter__(self) -> EndpointsProcess:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._process.kill()
        self._process.communicate()


def main(caches: int, body_bytes: int) -> None:
    """Serves caches, a parent and an origin until standard input ends."""
    body = b"x" * body_bytes
    members = [LoadMember(f"c{number}", body) for number in range(caches)]
    parent = LoadMember("p0", body)
    origin = LoadMember("o0", body)
    entries = [entry(member, weight=100) for member in members]
    entries += [entry(parent, "parent", "hub", weight=100), entry(origin, "origin", "hub", weight=100)]
    print(json.dumps(entries), flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
