"""The memory budget that all large request bodies share, and the reservation of one connection in it."""

from __future__ import annotations

import threading


class LargeBodyBudget:
    """Budget in bytes for all large request bodies together; small bodies are not counted.

    Any thread may call the methods; `_lock` guards `reserved_bytes`.
    """

    def __init__(self, max_bytes: int, small_body_bytes: int) -> None:
        self.small_body_bytes = small_body_bytes  # largest body that needs no reservation
        self.reserved_bytes = 0
        self._max_bytes = max_bytes
        self._lock = threading.Lock()

    def reserve(self, size_bytes: int) -> bool:
        """Reserves bytes until `release`; returns False if the reservations would exceed the budget."""
        with self._lock:
            if self.reserved_bytes + size_bytes > self._max_bytes:
                return False
            self.reserved_bytes += size_bytes
            return True

    def release(self, size_bytes: int) -> None:
        """Gives reserved bytes back to the budget."""
        with self._lock:
            self.reserved_bytes -= size_bytes


class LargeBodyReservation:
    """Bytes that one connection has reserved for the body of the request that it receives or has in flight.

    The lock of the connection guards the reservation.
    """

    def __init__(self, budget: LargeBodyBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserves the bytes of a body if necessary; returns whether the body may be read.

        A small body needs no reservation, and a body whose bytes are already reserved needs no second
        reservation.
        """
        if size_bytes <= self._budget.small_body_bytes or self._reserved_bytes:
            return True
        if not self._budget.reserve(size_bytes):
            return False
        self._reserved_bytes = size_bytes
        return True

    def release(self) -> None:
        """Releases the reservation, if there is one."""
        if self._reserved_bytes:
            self._budget.release(self._reserved_bytes)
            self._reserved_bytes = 0
