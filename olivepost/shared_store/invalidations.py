"""The purges that this front knows, from the coordinator and from other fronts: the highest time of each key.

Bounded: what falls out raises a floor, below which nothing is believed. No clock, no I/O.
"""

from __future__ import annotations

from olivepost.shared_store.records import InvalidationKey

MOST, CHUNK = 4_096, 256


class KnownInvalidations:
    """Times in Unix milliseconds by key."""

    def __init__(self) -> None:
        self._times: dict[InvalidationKey, int] = {}
        self.floor_ms = 0  # the latest of those forgotten for want of room

    def __len__(self) -> int:
        return len(self._times)

    def note(self, key: InvalidationKey, at_ms: int) -> bool:
        """Takes a purge; whether it is news."""
        known = self._times.get(key, -1)
        if at_ms <= known:
            return False
        self._times.pop(key, None)
        self._times[key] = at_ms
        while len(self._times) > MOST:
            self.floor_ms = max(self.floor_ms, self._times.pop(next(iter(self._times))))
        return True

    def last_ms(self, object_: str, group: int | None) -> int:
        """When an object or its group was last purged; where the group is not told, any group."""
        times = [self.floor_ms, self._times.get(InvalidationKey(object_, None), 0)]
        if group is None:
            times += [at for key, at in self._times.items() if key.object is None]
        else:
            times.append(self._times.get(InvalidationKey(None, group), 0))
        return max(times)

    def chunks(self) -> list[tuple[tuple[str, int], ...]]:
        """All of them, to be put back into a store, the oldest first."""
        rows = sorted(((key.text(), at) for key, at in self._times.items()), key=lambda row: row[1])
        return [tuple(rows[start : start + CHUNK]) for start in range(0, len(rows), CHUNK)]
