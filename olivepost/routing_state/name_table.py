"""A bounded table of names whose entries expire."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heappop, heappush

HEAP_SLACK = 4  # superseded heap entries, in multiples of the capacity, before the heap is rebuilt


@dataclass(frozen=True, slots=True)
class NameEntry:
    """When a name expires, and the rank and size with which it was last requested."""

    expires_at: int
    rank: int
    size: float


class ExpiringNameTable:
    """Names by expiry; over capacity, the name that expires first is evicted. Not thread-safe."""

    def __init__(self, capacity: int, ranks: int) -> None:
        self._capacity = capacity
        self._entries: dict[str, NameEntry] = {}
        self._expiries: list[tuple[int, str]] = []
        self._bytes_by_rank = [0.0] * ranks

    def remaining(self, now: int, name: str) -> int | None:
        """Time until the name expires; None where it is not in the table."""
        self._evict(now)
        entry = self._entries.get(name)
        return None if entry is None else entry.expires_at - now

    def bytes_in(self, rank: int, except_name: str) -> float:
        """Bytes of all names of a rank, without those of one name."""
        entry = self._entries.get(except_name)
        own = entry.size if entry is not None and entry.rank == rank else 0.0
        return self._bytes_by_rank[rank] - own

    def total_bytes(self) -> float:
        """Bytes of all names."""
        return sum(self._bytes_by_rank)

    def put(self, name: str, entry: NameEntry) -> None:
        """Inserts a name or replaces its entry."""
        self._remove(name)
        self._entries[name] = entry
        self._bytes_by_rank[entry.rank] += entry.size
        heappush(self._expiries, (entry.expires_at, name))
        if len(self._expiries) > HEAP_SLACK * self._capacity:
            self._expiries = sorted((kept.expires_at, known) for known, kept in self._entries.items())

    def _evict(self, now: int) -> None:
        while self._expiries and (self._expiries[0][0] <= now or len(self._entries) > self._capacity):
            expires_at, name = heappop(self._expiries)
            entry = self._entries.get(name)
            if entry is not None and entry.expires_at == expires_at:
                self._remove(name)

    def _remove(self, name: str) -> None:
        entry = self._entries.pop(name, None)
        if entry is not None:
            self._bytes_by_rank[entry.rank] -= entry.size
