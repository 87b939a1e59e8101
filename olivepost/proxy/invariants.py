"""Invariants: asserted in debug builds, counted in release builds (`python -O`)."""

from __future__ import annotations

import threading
from collections import Counter

_violations: Counter[str] = Counter()  # of this process, by invariant; `_lock` guards it
_lock = threading.Lock()


def check(holds: bool, name: str) -> bool:
    """Records a violation where the invariant does not hold; returns whether it holds.

    Any thread may call it. Raises AssertionError in debug builds.
    """
    if not holds:
        with _lock:
            _violations[name] += 1
        assert holds, name
    return holds


def violations() -> dict[str, int]:
    """How often each invariant was violated since the start."""
    with _lock:
        return dict(_violations)
