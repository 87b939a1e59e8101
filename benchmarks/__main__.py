"""Benchmarks, each in pairs of runs without and with a subsystem: `python -m benchmarks`.

Usage:
  benchmarks NAME [--quick] [--seed N] [--out FILE]

Options:
  --quick     Few and short runs, within 50 s.
  --seed N    Of loads, faults and clocks [default: 1].
  --out FILE  Writes the result to this file, too.

NAME is one of: sharing. The last line of standard output is the result, a JSON object of metrics.
"""

from __future__ import annotations

import json
import sys
from importlib import import_module
from pathlib import Path

from docopt import DocoptExit, docopt

NAMES = ("sharing",)
EXIT_USAGE = 2


def main() -> int:
    """Runs the benchmark that the command line names; returns an exit code."""
    assert __doc__
    try:
        options = docopt(__doc__)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    name = options["NAME"]
    seed = options["--seed"]
    if name not in NAMES or not seed.isdigit():
        print(
            f"no benchmark '{name}', or a seed that is not a number; available: {', '.join(NAMES)}",
            file=sys.stderr,
        )
        return EXIT_USAGE
    metrics = import_module(f"benchmarks.{name}").run(options["--quick"], int(seed))
    line = json.dumps(metrics)
    if options["--out"]:
        Path(options["--out"]).write_text(line + "\n")
    print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
