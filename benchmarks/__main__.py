"""Benchmarks of subsystems, which pair runs without and with a subsystem: `python -m benchmarks`.

Usage:
  benchmarks NAME [--quick] [--seed N] [--out FILE]

Options:
  --quick     Make few and short runs, which end within 50 s.
  --seed N    Seed of the loads, faults and clocks [default: 1].
  --out FILE  Write the result to this file, too.

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
            f"unknown benchmark '{name:.40}' or invalid seed '{seed:.40}': NAME must be one of "
            f"{', '.join(NAMES)}, and N must have digits only",
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
