"""A bounded table of names whose entries expire."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heappop, heappush, heapreplace

from olivepost.units import Duration, Instant


@dataclass(slots=True)
class NameEntry:
    """When a name expires, and the rank and size with which it was last requested.

    `queued_at` belongs to the table: the time under which the name stands in its queue.
    """

    expires_at: Instant
    rank: int
    size: float
    queued_at: Instant = 0


class ExpiringNameTable:
    """Names by expiry; over capacity, the name that expires first is evicted. Not thread-safe.

    A name that is renewed keeps its queue entry, which is moved once its earlier time has come. A name whose
    lifetime became shorter gets a further entry; entries left behind are removed once there are as many of
    them as names.
    """

    def __init__(self, capacity: int, ranks: int) -> None:
        self.capacity = capacity  # names that it may hold
        self._entries: dict[str, NameEntry] = {}
        self._queue: list[tuple[Instant, str]] = []
        self._bytes_by_rank = [0.0] * ranks

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def queue_length(self) -> int:
        """Entries of the queue, with those of names that were queued again."""
        return len(self._queue)

    def remaining(self, now: Instant, name: str) -> Duration | None:
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
        known = self._entries.get(name)
        if known is None:
            self._bytes_by_rank[entry.rank] += entry.size
            self._entries[name] = entry
            self._enqueue(name, entry)
            return
        self._bytes_by_rank[known.rank] -= known.size
        self._bytes_by_rank[entry.rank] += entry.size
        known.expires_at = entry.expires_at
        known.rank = entry.rank
        known.size = entry.size
        if known.expires_at < known.queued_at:
            self._enqueue(name, known)

    def shrink(self, names: int) -> None:
        """Evicts the names that expire first, down to so many; the capacity stays."""
        while len(self._entries) > names:
            self._evict_first()

    def _enqueue(self, name: str, entry: NameEntry) -> None:
        entry.queued_at = entry.expires_at
        heappush(self._queue, (entry.queued_at, name))
        if len(self._queue) > 2 * self.capacity:
            self._queue = [(kept.queued_at, known) for known, kept in self._entries.items()]
            heapify(self._queue)

    def _evict(self, now: Instant) -> None:
        while self._queue and (self._queue[0][0] <= now or len(self._entries) > self.capacity):
            self._evict_first()

    def _evict_first(self) -> None:
        """Moves the first entry of the queue on to where it belongs, or removes it and its name."""
        queued_at, name = self._queue[0]
        entry = self._entries.get(name)
        if entry is None or entry.queued_at != queued_at:
            heappop(self._queue)  # the name was queued again, or removed
        elif entry.expires_at > queued_at:
            entry.queued_at = entry.expires_at
            heapreplace(self._queue, (entry.queued_at, name))
        else:
            heappop(self._queue)
            self._remove(name)

    def _remove(self, name: str) -> None:
        entry = self._entries.pop(name)
        self._bytes_by_rank[entry.rank] -= entry.size
