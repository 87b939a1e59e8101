"""Units of time: the types of points in time and of durations, and constants that durations are built from.

Both types count whole nanoseconds. They are plain integers at run time, because each request computes many
of them.
"""

from __future__ import annotations

from typing import TypeAlias

Instant: TypeAlias = int  # a point in time in nanoseconds, on a monotonic clock
Duration: TypeAlias = int  # a length of time in nanoseconds

MILLISECOND: Duration = 1_000_000
SECOND: Duration = 1_000_000_000
