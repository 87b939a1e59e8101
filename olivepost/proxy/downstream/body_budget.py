"""The memory budget that large request bodies share."""

from __future__ import annotations

import threading


class LargeBodyBudget:
    """Counts the bytes that large request bodies may take together; small bodies are not counted.

    Any thread may call it; its lock guards `reserved_bytes`.
    """

    def __init__(self, max_bytes: int, small_body_size: int) -> None:
        self.small_body_size = small_body_size  # bytes; a body of at most this size needs no reservation
        self.reserved_bytes = 0
        self._max_bytes = max_bytes
        self._lock = threading.Lock()

    def reserve(self, size: int) -> bool:
        """Takes so many bytes until `release`; false where they don't fit."""
        with self._lock:
            if self.reserved_bytes + size > self._max_bytes:
                return False
            self.reserved_bytes += size
            return True

    def release(self, size: int) -> None:
        """Gives back bytes that were reserved."""
        with self._lock:
            self.reserved_bytes -= size


class LargeBodyReservation:
    """What one connection has reserved for the body of its request in hand.

    The lock of the connection guards it.
    """

    def __init__(self, budget: LargeBodyBudget) -> None:
        self._budget = budget
        self._size = 0

    def reserve(self, size: int) -> bool:
        """Whether a body of this size may be read: it is small, reserved before, or fits the budget."""
        if size <= self._budget.small_body_size or self._size:
            return True
        if not self._budget.reserve(size):
            return False
        self._size = size
        return True

    def release(self) -> None:
        """Gives back what is reserved, if anything is."""
        if self._size:
            self._budget.release(self._size)
            self._size = 0
