"""A bounded table of names whose entries expire."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heappop, heappush, heapreplace

from olivepost.units import Duration, Instant


@dataclass(slots=True)
class NameEntry:
    """Expiry time of a name, with the rank and the size in KB of its last request.

    The table maintains `queued_at`. It is the expiry time under which the name's current entry stands in the
    queue by which the table expires names.
    """

    expires_at: Instant
    rank: int
    size: float
    queued_at: Instant = 0


class ExpiringNameTable:
    """Names in the order of expiry. Not thread-safe.

    If there are more names than the capacity, the name that expires first is evicted.

    The order is kept in a queue of expiry times. A renewed name keeps its queue entry until that entry is the
    next to be evicted; then the entry moves to the later expiry time. A name whose lifetime became shorter
    gets a second entry, and its first entry becomes obsolete. The queue is rebuilt without obsolete entries
    when it has more entries than twice the capacity.
    """

    def __init__(self, capacity: int, ranks: int) -> None:
        self.capacity = capacity  # the largest number of names
        self._entries: dict[str, NameEntry] = {}
        self._queue: list[tuple[Instant, str]] = []
        self._size_by_rank = [0.0] * ranks

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def queue_length(self) -> int:
        """Number of queue entries, including the obsolete entries of names that were queued again."""
        return len(self._queue)

    def remaining(self, now: Instant, name: str) -> Duration | None:
        """Returns the time until the name expires, or None if the name is not in the table."""
        self._evict(now)
        entry = self._entries.get(name)
        return None if entry is None else entry.expires_at - now

    def size_of_rank(self, rank: int, except_name: str) -> float:
        """Returns the total size of all names of a rank except one name, in KB."""
        entry = self._entries.get(except_name)
        own = entry.size if entry is not None and entry.rank == rank else 0.0
        return self._size_by_rank[rank] - own

    def total_size(self) -> float:
        """Returns the total size of all names in KB."""
        return sum(self._size_by_rank)

    def put(self, name: str, entry: NameEntry) -> None:
        """Inserts a name or replaces its entry."""
        known = self._entries.get(name)
        if known is None:
            self._size_by_rank[entry.rank] += entry.size
            self._entries[name] = entry
            self._enqueue(name, entry)
            return
        self._size_by_rank[known.rank] -= known.size
        self._size_by_rank[entry.rank] += entry.size
        known.expires_at = entry.expires_at
        known.rank = entry.rank
        known.size = entry.size
        if known.expires_at < known.queued_at:
            self._enqueue(name, known)

    def shrink(self, names: int) -> None:
        """Evicts the names that expire first until `names` of them are left. The capacity is unchanged."""
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
        """Moves the first queue entry to its name's later expiry time, or removes the entry.

        The name is removed, too, unless the entry is obsolete.
        """
        queued_at, name = self._queue[0]
        entry = self._entries.get(name)
        if entry is None or entry.queued_at != queued_at:
            heappop(self._queue)  # an obsolete entry: the name was queued again or removed
        elif entry.expires_at > queued_at:
            entry.queued_at = entry.expires_at
            heapreplace(self._queue, (entry.queued_at, name))
        else:
            heappop(self._queue)
            self._remove(name)

    def _remove(self, name: str) -> None:
        entry = self._entries.pop(name)
        self._size_by_rank[entry.rank] -= entry.size
