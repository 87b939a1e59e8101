"""A stand-in store of the Redis kind on loopback: `python -m standins redis`.

Entries of a schedule without 'at_s', a JSON line each on standard input, are put in force at once.

Usage:
  standins redis [--listen ADDRESS] [--seed N] [--password TEXT] [--faults FILE]

Options:
  --listen ADDRESS  Where to listen; port 0 takes any [default: 127.0.0.1:0].
  --seed N          For the faults' chances [default: 1].
  --password TEXT   That the user 'default' needs.
  --faults FILE     A schedule: a JSON list of entries with 'at_s' and what changes then.
"""

from __future__ import annotations

import json
import sys
import threading
from functools import partial
from pathlib import Path

from docopt import DocoptExit, docopt

from standins.redis.faults import ScheduleError, read_schedule
from standins.redis.server import Server


def main(arguments: list[str]) -> int:
    """Runs until it is ended."""
    assert __doc__
    try:
        given = docopt(__doc__, ["redis", *arguments])
        host, _, port = given["--listen"].rpartition(":")
        if not host.startswith("127."):
            raise ScheduleError("a stand-in listens on loopback only")
        schedule = read_schedule(Path(given["--faults"]).read_text()) if given["--faults"] else []
        users = {"default": given["--password"]} if given["--password"] else None
        server = Server(host, int(port), int(given["--seed"]), users, schedule=schedule)
    except (DocoptExit, ScheduleError, ValueError, OSError) as fault:
        print(fault, file=sys.stderr)
        return 2
    print(json.dumps({"standin": "redis", "address": "{}:{}".format(*server.address)}), flush=True)
    for line in sys.stdin:
        try:
            (step,) = read_schedule(json.dumps([{"at_s": 0, **json.loads(line)}]))
            server.call(partial(server.change, step.change))
            print(json.dumps(step.change), flush=True)
        except (ScheduleError, ValueError, TypeError) as fault:
            print(json.dumps({"fault": str(fault)}), flush=True)
    threading.Event().wait()
    return 0
