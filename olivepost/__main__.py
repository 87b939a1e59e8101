"""Entry point: `python -m olivepost`."""

import os
import sys

from olivepost.cli import main

if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # no wait for threads that wait for peers
