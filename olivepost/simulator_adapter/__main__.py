"""Entry point: `python -m olivepost.simulator_adapter`."""

import sys

from olivepost.simulator_adapter.host import run

sys.exit(run(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
