"""Entry point: `python -m olivepost`."""

import os
import sys

from olivepost.cli import main

if __name__ == "__main__":
    exit_code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # Ends the process without joining its threads, because a thread may still wait for an unresponsive
    # client, endpoint or store.
    os._exit(exit_code)
