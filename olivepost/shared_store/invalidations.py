"""Invalidations from the platform and from other proxies, and their exchange through the stores.

A key stands for an object or a group of objects. Only the latest time of each key is kept, and the number of
keys is limited. The floor is the latest time of an invalidation that was dropped for this limit. A cache
location is not used if its response was generated at or before the floor. This module has no clock and does
no I/O.
"""

from __future__ import annotations

from functools import partial

from olivepost import interface as api
from olivepost.shared_store.commands import CommandTracker, ReplyValues
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.messages import InvalidationReceived
from olivepost.shared_store.operations import InvalidationChunk, InvalidationRow, PublishInvalidations
from olivepost.shared_store.records import InvalidationKey, RecordError, parse_integer
from olivepost.shared_store.store_health import StoreHealth, TrustLevel
from olivepost.units import MILLISECOND, Instant

MAX_INVALIDATIONS = 4_096  # largest number of invalidations that this proxy remembers
# Largest number of invalidations in one operation, because a larger operation would keep the store busy.
CHUNK_SIZE = 256
MAX_CLOCK_LEAD_MS = 10_000  # largest accepted lead of another proxy's clock over this proxy's
ROW_LENGTH = 3  # values in one row of a sync's reply: an invalidation's number, key and Unix millisecond
EPOCH_MS = 0  # the start of Unix time, which is before any response was generated


class KnownInvalidations:
    """Latest invalidation times in Unix milliseconds, by key.

    Only the coordinator's thread uses this class.
    """

    def __init__(self) -> None:
        self._times: dict[InvalidationKey, int] = {}
        self.floor_ms = EPOCH_MS  # the latest time of a dropped invalidation

    def __len__(self) -> int:
        return len(self._times)

    def add(self, key: InvalidationKey, at_ms: int) -> bool:
        """Adds an invalidation and returns whether it is new.

        It is not new if the key's known time is the same or later, or if `at_ms` is before the Unix epoch.
        """
        known_ms = self._times.get(key)
        if at_ms < EPOCH_MS or (known_ms is not None and at_ms <= known_ms):
            return False
        self._times.pop(key, None)
        self._times[key] = at_ms
        while len(self._times) > MAX_INVALIDATIONS:
            oldest = next(iter(self._times))
            self.floor_ms = max(self.floor_ms, self._times.pop(oldest))
        return True

    def last_ms(self, object_name: str, group: int | None) -> int:
        """Returns the Unix millisecond at which an object or its group was last invalidated.

        Returns the floor if the floor is later. If `group` is `None`, the object's group is unknown, and the
        invalidations of all groups are considered.
        """
        times = [self.floor_ms, self._times.get(InvalidationKey(object_name, None), EPOCH_MS)]
        if group is None:
            times.extend(at_ms for key, at_ms in self._times.items() if key.object is None)
        else:
            times.append(self._times.get(InvalidationKey(None, group), EPOCH_MS))
        return max(times)

    def chunks(self) -> list[InvalidationChunk]:
        """Returns all invalidations, earliest first, in the chunks in which they are published to a store."""
        rows = [InvalidationRow(key.text(), at_ms) for key, at_ms in self._times.items()]
        rows.sort(key=lambda row: row.at_ms)
        return [tuple(rows[start : start + CHUNK_SIZE]) for start in range(0, len(rows), CHUNK_SIZE)]


class InvalidationExchange:
    """Exchange of invalidations with other proxies through the stores.

    Only the coordinator's thread uses this class.
    """

    def __init__(
        self, context: CoordinatorContext, commands: CommandTracker, known: KnownInvalidations
    ) -> None:
        self._context = context
        self._commands = commands
        self._known = known

    def publish(self, now: Instant, event: InvalidationReceived) -> None:
        """Publishes an invalidation from the platform to every store that accepts publications.

        A store that is being restored gets this invalidation after those that must still be published again.
        """
        object_name = event.invalidation.object
        key = InvalidationKey(object_name, None if object_name else event.invalidation.group)
        is_new = self._known.add(key, event.at_ms)
        if not is_new or not self._context.terms.invalidations_enabled:
            return
        for store in self._context.stores.values():
            chunk = (InvalidationRow(key.text(), event.at_ms),)
            if store.accepts_publications:
                operation = PublishInvalidations(store.generation, chunk)
                on_reply = partial(self._on_published, store, store.generation)
                self._commands.send(now, store, operation, on_reply)
            elif store.trust is TrustLevel.RESTORING:
                store.unpublished.append(chunk)

    def _on_published(
        self, store: StoreHealth, generation: int, _now: Instant, values: ReplyValues | None
    ) -> None:
        """Marks all invalidations to be published again if the store has not confirmed a publication.

        The store may lack the invalidations of that publication. It is therefore not trusted until it has
        confirmed all invalidations.
        """
        if values is None and store.trust is TrustLevel.TRUSTED and generation == store.generation:
            self._context.counts["invalidations_unconfirmed"] += 1
            store.trust = TrustLevel.RESTORING
            store.unpublished.extend(self._known.chunks())

    def receive(self, now: Instant, store: StoreHealth, row: object) -> None:
        """Adds an invalidation from another proxy.

        `row` describes the invalidation in a store's reply to a sync, the periodic exchange. Notifies
        the router if the invalidation is new and the exchange of invalidations is enabled. Raises
        `RecordError` if the row is malformed.
        """
        if not isinstance(row, (list, tuple)) or len(row) != ROW_LENGTH or not isinstance(row[1], bytes):
            raise RecordError("a malformed invalidation", "number, key and Unix millisecond")
        number = parse_integer(row[0])
        # The time is limited, because an invalidation far in the future would make every hint for its key
        # useless permanently.
        at_ms = min(parse_integer(row[2]), now // MILLISECOND + MAX_CLOCK_LEAD_MS)
        store.last_invalidation = max(store.last_invalidation, number)
        key = InvalidationKey.read(row[1])
        is_new = self._known.add(key, at_ms)
        if not is_new or not self._context.terms.invalidations_enabled:
            return
        self._context.counts["invalidations_received"] += 1
        # A time ahead of this proxy's clock is treated as now, since no cached response is younger than now.
        age = max(0, now - at_ms * MILLISECOND)
        self._context.notify_router(api.Invalidation(key.object, key.group, age))
