"""What must hold: asserted in debug builds, counted in release builds (`python -O`)."""

from __future__ import annotations

import threading
from collections import Counter

_broken: Counter[str] = Counter()
_lock = threading.Lock()


def check(holds: bool, name: str) -> bool:
    """Notes whether an invariant holds; returns what it was given."""
    if not holds:
        with _lock:
            _broken[name] += 1
        assert holds, name
    return holds


def violations() -> dict[str, int]:
    """How often each invariant was found broken since the start."""
    with _lock:
        return dict(_broken)
