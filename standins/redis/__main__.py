"""A stand-in for a Redis store on loopback: `python -m standins redis`.

Reads entries of a schedule without 'at_s' from standard input, a JSON line each, and applies them at once.

Usage:
  standins redis [--listen ADDRESS] [--seed N] [--password TEXT] [--faults FILE]

Options:
  --listen ADDRESS  Where to listen; with port 0 at any free port [default: 127.0.0.1:0].
  --seed N          Of the faults' chances [default: 1].
  --password TEXT   Of the user 'default'; without it no authentication is needed.
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
    """Runs until the process is killed; returns an exit code if the command line or schedule is faulty."""
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
        raise ScheduleError("a stand-in listens on loopback only")
    schedule = []
    if options["--faults"]:
        schedule = read_schedule(Path(options["--faults"]).read_text())
    users = None
    if options["--password"]:
        users = {"default": options["--password"]}
    return Server((host, int(port)), seed=int(options["--seed"]), users=users, schedule=schedule)


def apply_line(server: Server, line: str) -> dict[str, Any]:
    """Applies an entry of standard input; returns the entry, or its error."""
    try:
        (step,) = read_schedule(json.dumps([{"at_s": 0, **json.loads(line)}]))
        server.call(partial(server.apply_change, step.change))
    except (ScheduleError, ValueError, TypeError) as error:
        return {"fault": str(error)}
    return step.change
