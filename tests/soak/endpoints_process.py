"""Stand-in endpoints in a separate process: `python -m tests.soak.endpoints_process CACHES BODY_BYTES`.

The process prints the endpoint list as one JSON line, then serves until its standard input ends. It doesn't
record commands, so that its memory doesn't grow during a long load.
"""

from __future__ import annotations

import itertools
import json
import sys
import time
from typing import Any

from examples.toy_server import Command, ToyEndpoint, listed_endpoint, read_command
from tests.soak.child_process import ChildProcess

NANOSECONDS_PER_MS = 1_000_000
# Of this number of responses, one is a fill. The hit ratio then stays below the router's target, so that the
# router keeps names for the longest time.
RESPONSES_PER_FILL = 2


class FixedBodyEndpoint(ToyEndpoint):
    """An endpoint that responds to every `fetch` command with the same body."""

    def __init__(self, endpoint_id: str, body: bytes) -> None:
        self._body = body
        self._response_numbers = itertools.count(1)
        super().__init__(endpoint_id)

    def serve(self, sock: Any, lines: Any) -> None:
        """Responds to each command when it arrives."""
        while (command := read_command(sock, lines)) is not None:
            self._respond(command)

    def _respond(self, command: Command) -> None:
        if command.verb == "alive":
            command.sock.sendall(f"{command.id} PONG\r\n".encode())
        elif command.verb == "fetch":
            issued = str(time.time_ns() // NANOSECONDS_PER_MS)
            status = "fill" if next(self._response_numbers) % RESPONSES_PER_FILL == 0 else "warm"
            command.respond("HIT", self._body, why=status, entity="e1", issued=issued)


class EndpointsProcess(ChildProcess):
    """A process of stand-in endpoints; `listed_endpoints` is their endpoint list."""

    def __init__(self, caches: int, body_bytes: int) -> None:
        super().__init__(["-m", "tests.soak.endpoints_process", str(caches), str(body_bytes)], has_pipes=True)
        assert self.process.stdout is not None
        self.listed_endpoints: list[dict[str, Any]] = json.loads(self.process.stdout.readline())


def main(caches: int, body_bytes: int) -> None:
    """Serves caches, a parent and an origin until standard input ends."""
    body = b"x" * body_bytes
    endpoints = [FixedBodyEndpoint(f"c{number}", body) for number in range(caches)]
    parent = FixedBodyEndpoint("p0", body)
    origin = FixedBodyEndpoint("o0", body)
    listed_endpoints = [listed_endpoint(endpoint, weight=100) for endpoint in endpoints]
    listed_endpoints += [
        listed_endpoint(parent, "parent", "hub", weight=100),
        listed_endpoint(origin, "origin", "hub", weight=100),
    ]
    print(json.dumps(listed_endpoints), flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
