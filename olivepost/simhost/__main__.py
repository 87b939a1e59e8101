"""Entry point: `python -m olivepost.simhost`."""

import sys

from olivepost.simhost.host import run

sys.exit(run(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
