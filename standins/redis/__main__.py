"""A stand-in for a Redis store on loopback: `python -m standins redis`.

It reads changes of its faults from standard input, each a line of JSON, and applies each change at once. A
change has the form of an entry in a fault schedule, but without the time 'at_s'.

Usage:
  standins redis [--listen ADDRESS] [--seed N] [--password TEXT] [--faults FILE]

Options:
  --listen ADDRESS  Address to listen on; port 0 selects a free port [default: 127.0.0.1:0].
  --seed N          Seed of the faults' random choices [default: 1].
  --password TEXT   Password of the user 'default'; without it no authentication is needed.
  --faults FILE     A schedule: a JSON list of entries with 'at_s' and the changes at that time.
"""

from __future__ import annotations

import json
import sys
import threading
from functools import partial
from pathlib import Path
from typing import Any

from docopt import DocoptExit, docopt

from standins.redis.errors import ScheduleError
from standins.redis.faults import read_schedule
from standins.redis.server import Server

EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Runs until the process is killed. If the command line or schedule is invalid, returns an exit code."""
    assert __doc__
    try:
        options = docopt(__doc__, ["redis", *arguments])
        server = make_server(options)
    except (DocoptExit, ScheduleError, ValueError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    print(json.dumps({"standin": "redis", "address": "{}:{}".format(*server.address)}), flush=True)
    for line in sys.stdin:
        print(json.dumps(apply_line(server, line)), flush=True)
    threading.Event().wait()
    return 0


def make_server(options: dict[str, Any]) -> Server:
    """Starts the store that the command line describes; raises ScheduleError, ValueError or OSError."""
    host, _, port = options["--listen"].rpartition(":")
    if not host.startswith("127."):
        raise ScheduleError(
            f"cannot listen on '{host:.40}': a stand-in listens on loopback (127.0.0.0/8) only"
        )
    schedule = []
    if options["--faults"]:
        schedule = read_schedule(Path(options["--faults"]).read_text())
    users = None
    if options["--password"]:
        users = {"default": options["--password"]}
    return Server((host, int(port)), seed=int(options["--seed"]), users=users, schedule=schedule)


def apply_line(server: Server, line: str) -> dict[str, Any]:
    """Applies the changes of faults in a line of standard input.

    Returns these changes, or the key `fault` with the text of the error if the line is invalid.
    """
    try:
        (step,) = read_schedule(json.dumps([{"at_s": 0, **json.loads(line)}]))
        server.call(partial(server.apply_change, step.change))
    except (ScheduleError, ValueError, TypeError) as error:
        return {"fault": str(error)}
    return step.change
