#!/bin/sh
# Builds what the cases' stand-ins need beyond the build of the deploy file: the project's stand-in of a
# store runs scripts in lupa, at the version that requirements-dev.txt pins.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python -c "import lupa" 2>/dev/null || .venv/bin/pip -q install "$(grep '^lupa==' requirements-dev.txt)"
