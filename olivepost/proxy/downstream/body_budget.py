"""The memory budget that large request bodies share, and each connection's part of it."""

from __future__ import annotations

import threading


class LargeBodyBudget:
    """Counts the bytes that large request bodies may take together; small bodies are not counted.

    Any thread may call it; `_lock` guards `reserved_bytes`.
    """

    def __init__(self, max_bytes: int, small_body_bytes: int) -> None:
        self.small_body_bytes = small_body_bytes  # up to which a body needs no reservation
        self.reserved_bytes = 0
        self._max_bytes = max_bytes
        self._lock = threading.Lock()

    def reserve(self, size_bytes: int) -> bool:
        """Reserves so many bytes until `release`; false where they don't fit."""
        with self._lock:
            if self.reserved_bytes + size_bytes > self._max_bytes:
                return False
            self.reserved_bytes += size_bytes
            return True

    def release(self, size_bytes: int) -> None:
        """Releases bytes that were reserved."""
        with self._lock:
            self.reserved_bytes -= size_bytes


class LargeBodyReservation:
    """What one connection has reserved for the body of the request that it receives or has in flight.

    The lock of the connection guards it.
    """

    def __init__(self, budget: LargeBodyBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserves a body's bytes where it needs that; returns whether it may be read.

        A small body needs no reservation, and one that is reserved already needs no other.
        """
        if size_bytes <= self._budget.small_body_bytes or self._reserved_bytes:
            return True
        if not self._budget.reserve(size_bytes):
            return False
        self._reserved_bytes = size_bytes
        return True

    def release(self) -> None:
        """Releases what is reserved, if anything is."""
        if self._reserved_bytes:
            self._budget.release(self._reserved_bytes)
            self._reserved_bytes = 0
