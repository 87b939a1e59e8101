"""Memory of the ids of requests that may have been executed, in a fixed amount of memory."""

from __future__ import annotations

from olivepost.proxy.buffers import map_privately

ID_BYTES = 8
# Number of ids that share a place. An id replaces the oldest id at its place.
IDS_PER_PLACE = 8
# An odd multiplier that spreads ids that follow each other over the places (Knuth, multiplicative hashing).
HASH_MULTIPLIER = 0x9E37_79B9_7F4A_7C15
HASH_BITS = 64
HASH_MASK = (1 << HASH_BITS) - 1
NO_ID = 0  # the content of unused memory; the id 0 is therefore never remembered


class ExecutedRequestIds:
    """Set of ids that have 16 hexadecimal digits; it forgets old ids when it is full.

    The ids are kept in a mapping, which occupies memory only where ids have been added. Not thread-safe.
    """

    def __init__(self, max_bytes: int) -> None:
        """Creates a set that occupies at most `max_bytes`, but can keep at least `IDS_PER_PLACE` ids."""
        self._places = max(1, max_bytes // (ID_BYTES * IDS_PER_PLACE))
        self.max_bytes = self._places * IDS_PER_PLACE * ID_BYTES  # size when each place is used
        self._ids = memoryview(map_privately(self.max_bytes)).cast("Q")

    def add(self, request_id: str) -> None:
        """Adds an id; forgets the oldest one at its place."""
        number = int(request_id, 16)
        start = self._start_of_place(number)
        end = start + IDS_PER_PLACE
        self._ids[start + 1 : end] = self._ids[start : end - 1]
        self._ids[start] = number

    def __contains__(self, request_id: str) -> bool:
        number = int(request_id, 16)
        start = self._start_of_place(number)
        return number != NO_ID and number in self._ids[start : start + IDS_PER_PLACE].tolist()

    def _start_of_place(self, number: int) -> int:
        place = ((number * HASH_MULTIPLIER & HASH_MASK) * self._places) >> HASH_BITS
        return place * IDS_PER_PLACE
