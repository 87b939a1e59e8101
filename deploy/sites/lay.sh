#!/bin/sh
# Lays the bench's own files beside these sites before a run; git ignores them.
# Usage: deploy/sites/lay.sh [FOLDER], by default ../given/kit/sites from the root of the repository.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
from=${1:-$here/../../../given/kit/sites}
for name in real.json wire.json unlock.txt design.json; do
    cp "$from/$name" "$here/$name"
done
