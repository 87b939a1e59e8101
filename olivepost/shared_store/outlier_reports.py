"""What several fronts think of a member: weak evidence once at least two others suspect it, never one's word.

No clock, no I/O.
"""

from __future__ import annotations

LASTS = 3_000_000_000  # a suspicion that is not renewed
AGAIN = 1_000_000_000  # between two words to the router on one member
LEAST_OTHERS = 2
MOST = 1_024


class OutlierReports:
    """This front's own, and those of others by member and process."""

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._others: dict[str, dict[str, int]] = {}
        self._told: dict[str, int] = {}

    def suspect(self, now: int, address: str) -> None:
        """This front suspends a member."""
        if len(self._own) < MOST or address in self._own:
            self._own[address] = now + LASTS

    def own(self, now: int) -> tuple[str, ...]:
        """What this front has to say."""
        self._own = {address: end for address, end in self._own.items() if end > now}
        return tuple(sorted(self._own))

    def hear(self, now: int, address: str, process: str, listed: bool) -> bool:
        """Another process suspects a member; whether the router is to hear of it now.

        A process counts once, however often it says so; a member that is not listed is not noted."""
        if not listed:
            return False
        others = self._others.setdefault(address, {})
        if len(others) < MOST:
            others[process] = now + LASTS
        for gone in [who for who, end in others.items() if end <= now]:
            del others[gone]
        if len(others) < LEAST_OTHERS or now < self._told.get(address, 0):
            return False
        self._told[address] = now + AGAIN
        return True

    def forget(self, listed: set[str]) -> None:
        """Only members of the list are kept."""
        gone = (self._own.keys() | self._others.keys() | self._told.keys()) - listed
        for address in gone:
            self._own.pop(address, None)
            self._others.pop(address, None)
            self._told.pop(address, None)
