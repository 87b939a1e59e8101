"""Checks of invariants, which are conditions that hold unless the program has a fault.

Violations are counted in all builds. In debug builds they also raise AssertionError, but a release build
(`python -O`) continues.
"""

from __future__ import annotations

import threading
from collections import Counter

# Number of violations in this process, by name of the invariant. Guarded by `_lock`.
_violations: Counter[str] = Counter()
_lock = threading.Lock()


def check(holds: bool, name: str) -> bool:
    """Counts a violation of the invariant `name` if `holds` is false; returns `holds`.

    Any thread may call this function. In debug builds, a violation raises AssertionError.
    """
    if not holds:
        with _lock:
            _violations[name] += 1
        assert holds, name
    return holds


def violations() -> dict[str, int]:
    """Returns the number of violations since the process started, by name of each violated invariant."""
    with _lock:
        return dict(_violations)
