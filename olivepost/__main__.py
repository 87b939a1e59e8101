"""Entry point: `python -m olivepost`."""

import os
import sys

from olivepost.cli import main

if __name__ == "__main__":
    exit_code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # Exits without joining threads, since these may wait for unresponsive clients, endpoints or stores.
    os._exit(exit_code)
