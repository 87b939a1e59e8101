"""Measurements, each in pairs with the program without the subsystem: `python -m benchmarks`.

Usage:
  benchmarks NAME [--quick] [--seed N] [--out FILE]

Options:
  --quick     Ends within 50 s.
  --seed N    For loads, faults and clocks [default: 1].
  --out FILE  Also writes the result there.

NAME is one of: sharing. The last line of standard output is one JSON object of figures.
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
            f"no benchmark '{name}', or a seed that is no number; there are: {', '.join(NAMES)}",
            file=sys.stderr,
        )
        return EXIT_USAGE
    figures = import_module(f"benchmarks.{name}").run(options["--quick"], int(seed))
    line = json.dumps(figures)
    if options["--out"]:
        Path(options["--out"]).write_text(line + "\n")
    print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
