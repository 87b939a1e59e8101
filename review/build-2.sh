#!/bin/sh
# Builds the stand-ins of review/6 to review/9, after the build of the deploy file. They need its Python alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/stand_ins_2.py review/play_2.py review/6 review/7 review/8 review/9
