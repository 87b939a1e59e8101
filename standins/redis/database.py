"""One database: keys with their values, versions and expiry times, and the database's snapshots.

`Database` owns the data. It knows no commands and no sockets, and it reads the clock that its caller passes.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from standins.redis.errors import WrongTypeError

SNAPSHOT_RETENTION_MS = 60_000


class SortedSet(dict[bytes, float]):
    """A sorted set, as a dictionary from each member to its score."""


class Snapshot(NamedTuple):
    """The state of a database at an instant."""

    taken_at_ms: int
    data: dict[bytes, Any]
    expiries: dict[bytes, int]


@dataclass
class Database:
    """Values, versions and expiry times by key. Not thread-safe; the server's thread owns it."""

    now_ms: Callable[[], int]
    data: dict[bytes, Any] = field(default_factory=dict)  # values are bytes, dict, list or SortedSet
    expiries: dict[bytes, int] = field(default_factory=dict)  # expiry times in Unix ms
    versions: dict[bytes, int] = field(default_factory=dict)  # versions that WATCH records and EXEC compares
    incarnation: int = 1  # number of times that the store was started, empty or from a snapshot
    _last_version: int = 0
    _snapshots: list[Snapshot] = field(default_factory=list)

    # Snapshots and restarts

    def snapshot(self) -> None:
        """Records the database's state for `restart_from_snapshot`; removes snapshots older than a minute."""
        now = self.now_ms()
        recent = [
            snapshot for snapshot in self._snapshots if snapshot.taken_at_ms > now - SNAPSHOT_RETENTION_MS
        ]
        self._snapshots = [*recent, Snapshot(now, copy.deepcopy(self.data), dict(self.expiries))]

    def restart_from_snapshot(self, min_age_ms: int) -> None:
        """Restarts with the newest snapshot that is at least `min_age_ms` old, or empty if there is none."""
        latest = self.now_ms() - min_age_ms
        older = [snapshot for snapshot in self._snapshots if snapshot.taken_at_ms <= latest]
        self.restart_empty()
        if older:
            self.data = copy.deepcopy(older[-1].data)
            self.expiries = dict(older[-1].expiries)
        self._snapshots = older

    def restart_empty(self) -> None:
        """Restarts without a snapshot, so that all data is lost."""
        self.incarnation += 1
        for key in self.data:
            self.touch(key)
        self.data = {}
        self.expiries = {}

    # Keys

    def touch(self, key: bytes) -> None:
        """Gives a key a new version. Every change of a key must call this method."""
        self._last_version += 1
        self.versions[key] = self._last_version

    def live_value(self, key: bytes) -> Any:
        """Returns a key's value, or `None` if the key does not exist or has expired."""
        if key in self.expiries and self.expiries[key] <= self.now_ms():
            self.drop(key)
        return self.data.get(key)

    def live_keys(self) -> list[bytes]:
        """Returns all keys that have not expired, in the order of their creation."""
        return [key for key in list(self.data) if self.live_value(key) is not None]

    def store(self, key: bytes, value: Any) -> None:
        """Sets a key's value and leaves its expiry unchanged."""
        self.data[key] = value
        self.touch(key)

    def drop(self, key: bytes) -> bool:
        """Removes a key; returns whether it existed."""
        self.expiries.pop(key, None)
        self.touch(key)
        return self.data.pop(key, None) is not None

    def expire_at(self, key: bytes, at_ms: int) -> bool:
        """Sets the time at which a key expires; returns whether the key exists."""
        if self.live_value(key) is None:
            return False
        self.expiries[key] = at_ms
        self.touch(key)
        self.live_value(key)
        return True

    def version(self, key: bytes) -> int:
        """Returns a key's version, which each change of the key's value or expiry raises."""
        self.live_value(key)
        return self.versions.get(key, 0)

    def string(self, key: bytes) -> bytes | None:
        """Returns the string at a key, or `None` if the key does not exist.

        Raises WrongTypeError if the value is a collection.
        """
        value = self.live_value(key)
        if value is not None and not isinstance(value, bytes):
            raise WrongTypeError
        return value

    def collection(self, key: bytes, kind: type) -> Any:
        """Returns the collection at a key for reading, or an empty one if the key does not exist.

        Raises WrongTypeError if the value is of another kind.
        """
        value = self.live_value(key)
        if value is None:
            return kind()
        if not isinstance(value, kind):
            raise WrongTypeError
        return value

    def writable_collection(self, key: bytes, kind: type) -> Any:
        """Returns the collection at a key for writing; creates it if the key does not exist.

        Raises WrongTypeError if the value is of another kind.
        """
        value = self.collection(key, kind)
        self.data[key] = value
        self.touch(key)
        return value

    def remove_members(self, key: bytes, kind: type, members: tuple[bytes, ...]) -> int:
        """Removes members of a hash or sorted set; returns how many existed.

        Removes the key, too, if no members remain.
        """
        if key not in self.data:
            return 0
        collection = self.writable_collection(key, kind)
        removed = 0
        for member in members:
            if collection.pop(member, None) is not None:
                removed += 1
        if not collection:
            self.drop(key)
        return removed
