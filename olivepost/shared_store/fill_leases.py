"""This front's own claims: which fills it owns, by which number, until when by its own clock.

The store hands out one claim a name, with a fencing number that only grows. What an owner finds out after its
claim's end, by its own clock or by the store's word on the number, is never published. No clock, no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush

MOST = 8_192


@dataclass(slots=True)
class OwnLease:
    """One claim of this front's."""

    request: str
    name: str
    store: str
    generation: int
    claim: bytes  # number and record, as the store has it
    number: int
    cache: str
    sent: int  # when it was asked for: the store counts from later
    until: int


@dataclass(slots=True)
class OwnLeases:
    """Claims by request, and by name the one that runs."""

    _by_request: dict[str, OwnLease] = field(default_factory=dict)
    _by_name: dict[str, OwnLease] = field(default_factory=dict)
    _ends: list[tuple[int, str]] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self._by_request)

    def add(self, own: OwnLease) -> bool:
        """Takes a claim that was granted; False where the name's number did not grow, or there is no room."""
        before = self._by_name.get(own.name)
        if (before and own.number <= before.number) or len(self._by_request) >= MOST:
            return False
        self._by_request[own.request] = self._by_name[own.name] = own
        heappush(self._ends, (own.until, own.request))
        return True

    def running(self, now: int, name: str, generation: int) -> OwnLease | None:
        """The claim of a name that this front still owns."""
        own = self._by_name.get(name)
        return own if own and now < own.until and own.generation == generation else None

    def pop(self, request: str) -> OwnLease | None:
        """The claim of a request that is over."""
        own = self._by_request.pop(request, None)
        if own is not None and self._by_name.get(own.name) is own:
            del self._by_name[own.name]
        return own

    def sweep(self, now: int) -> int:
        """Drops claims that are past their end; how many there were."""
        dropped = 0
        while self._ends and self._ends[0][0] <= now:
            dropped += self.pop(heappop(self._ends)[1]) is not None
        return dropped
