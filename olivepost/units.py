"""Units of time: the types of instants and spans, and the constants that build them.

Both types are whole nanoseconds. They are plain integers at run time,
since each request computes many of them.
"""

from __future__ import annotations

from typing import TypeAlias

Instant: TypeAlias = int  # a point in time, on a clock that never goes back
Duration: TypeAlias = int  # a span of time

MILLISECOND: Duration = 1_000_000
SECOND: Duration = 1_000_000_000
