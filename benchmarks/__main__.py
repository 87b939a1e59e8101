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


def main() -> int:
    assert __doc__
    try:
        given = docopt(__doc__)
    except DocoptExit as fault:
        print(fault, file=sys.stderr)
        return 2
    if given["NAME"] not in NAMES or not given["--seed"].isdigit():
        print(
            f"no benchmark '{given['NAME']}', or a seed that is no number; there are: {', '.join(NAMES)}",
            file=sys.stderr,
        )
        return 2
    figures = import_module(f"benchmarks.{given['NAME']}").run(given["--quick"], int(given["--seed"]))
    line = json.dumps(figures)
    if given["--out"]:
        Path(given["--out"]).write_text(line + "\n")
    print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
