"""A bounded table of invalidations by object and by group."""

from __future__ import annotations

from typing import Literal

from olivepost import interface as api
from olivepost.units import Instant

# A key is a plain tuple, because three keys are created for each request and a tuple is cheap to create.
# Requests and invalidations that name no group have the group None.
InvalidationKey = tuple[Literal["object", "group"], str | int | None]


class InvalidationTable:
    """Latest invalidation of each object and group.

    An invalidation that is evicted from a full table applies to every object from then on, so none is lost.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        # The latest invalidation by key, with the least recently recorded key first.
        self._times: dict[InvalidationKey, Instant] = {}
        self._evicted_at: Instant | None = None  # the time of the latest evicted invalidation

    def __len__(self) -> int:
        return len(self._times)

    def add(self, now: Instant, invalidation: api.Invalidation) -> None:
        """Records an invalidation of one object, or of a group if no object is named."""
        if invalidation.object:
            key: InvalidationKey = ("object", invalidation.object)
        else:
            key = ("group", invalidation.group)
        self._times[key] = max(now - invalidation.age, self._times.pop(key, 0))
        while len(self._times) > self._capacity:
            oldest = next(iter(self._times))
            evicted_at = self._times.pop(oldest)
            if self._evicted_at is None or evicted_at > self._evicted_at:
                self._evicted_at = evicted_at

    def latest(self, request: api.Request) -> Instant | None:
        """Returns when a request's object or the object's group was last invalidated; None if neither was.

        If the request does not name its group, the invalidations of all groups apply.
        """
        latest = self._evicted_at
        if not self._times:
            return latest
        for key in self._keys(request):
            invalidated_at = self._times.get(key)
            if invalidated_at is not None and (latest is None or invalidated_at > latest):
                latest = invalidated_at
        return latest

    def _keys(self, request: api.Request) -> list[InvalidationKey]:
        """Returns the keys of the invalidations that apply to a request."""
        keys: list[InvalidationKey] = [("object", request.object), ("group", None)]
        if request.group is None:
            keys += [key for key in self._times if key[0] == "group"]
        else:
            keys.append(("group", request.group))
        return keys
