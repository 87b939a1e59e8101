"""olivepost, a request router for caches.

Usage:
  olivepost serve [--config FILE]
  olivepost check [--config FILE]
  olivepost version
  olivepost -h | --help

Commands:
  serve    Runs one front in the foreground until SIGTERM.
  check    Reads the configuration and says whether it can be used.
  version  Prints the version.

Options:
  --config FILE  The configuration; else the file that BALANCER_CONFIG names.
  -h --help      Shows this text.

Examples:
  BALANCER_CONFIG=/run/balancer/config.json olivepost serve
  olivepost check --config examples/config.json

Exit codes: 0 done, 1 the front can't run (port in use), 2 a faulty configuration or command line.
"""

from __future__ import annotations

import os
import sys

from docopt import DocoptExit, docopt

from olivepost import __version__
from olivepost.config import FieldError, load


def main(arguments: list[str] | None = None) -> int:
    """Runs a sub-command; returns the exit code."""
    assert __doc__
    try:
        given = docopt(__doc__, arguments)
    except DocoptExit as fault:
        print(fault, file=sys.stderr)
        return 2
    if given["version"]:
        print(f"olivepost {__version__}")
        return 0
    try:
        config = load(os.environ, given["--config"])
    except FieldError as fault:
        print(f"olivepost: {fault}", file=sys.stderr)
        return 2
    if given["check"]:
        host, port = config.listen
        print(f"olivepost: the configuration can be used; {config.name} listens on {host}:{port}")
        return 0
    from olivepost.net.front import serve

    return serve(config, lambda: load(os.environ, given["--config"]))
