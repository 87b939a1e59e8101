#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the proxy, after the build of the deploy file: the
# project's stand-in of the shared store needs a package of requirements-dev.txt.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import lupa' 2>/dev/null || .venv/bin/pip -q install "$(grep '^lupa==' requirements-dev.txt)"
.venv/bin/python -m compileall -q standins review/stand_ins_2.py
