"""Entry point: `python -m standins NAME`."""

import sys
from importlib import import_module

NAMES = ("redis",)
EXIT_USAGE = 2


def main() -> int:
    """Runs the stand-in that the command line names; returns an exit code."""
    if len(sys.argv) < 2 or sys.argv[1] not in NAMES:
        print(f"usage: python -m standins NAME ...; NAME is one of: {', '.join(NAMES)}", file=sys.stderr)
        return EXIT_USAGE
    module = import_module(f"standins.{sys.argv[1]}.__main__")
    return int(module.main(sys.argv[2:]))


if __name__ == "__main__":
    sys.exit(main())
