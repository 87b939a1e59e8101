"""Units of time. All times and durations are whole nanoseconds unless a name says otherwise."""

from __future__ import annotations

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
