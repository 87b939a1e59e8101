"""Entry point: `python -m standins NAME`."""

import sys
from importlib import import_module

NAMES = ("redis",)

if __name__ == "__main__":
    if len(sys.argv) < 2 or sys.argv[1] not in NAMES:
        print(f"usage: python -m standins NAME ..., NAME one of: {', '.join(NAMES)}", file=sys.stderr)
        sys.exit(2)
    sys.exit(import_module(f"standins.{sys.argv[1]}.__main__").main(sys.argv[2:]))
