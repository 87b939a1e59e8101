"""Operations that a store executes, and the types of their replies.

This module contains only types. Each operation carries the generation that the proxy has adopted. A
store with another generation does not execute the operation and only returns its own generation. `scripts`
encodes operations. Fields whose names end in `_ms` are points in time as Unix milliseconds, or durations in
milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

NO_GENERATION = 0  # scripts return 0 if a store has no generation; generations are numbered from 1


class InvalidationRow(NamedTuple):
    """An invalidation as a store keeps it, with the text of its key and the Unix millisecond of its time."""

    key: str
    at_ms: int


InvalidationChunk = tuple[InvalidationRow, ...]  # invalidations that one operation publishes


class QuotaRequestRow(NamedTuple):
    """A quota request as a store keeps it: a field of the hash of quota requests, and the record there."""

    field: str
    record: bytes


@dataclass(frozen=True, slots=True)
class SyncOperation:
    """A sync: the periodic exchange that sends a heartbeat and reads what other proxies have sent.

    The heartbeat carries this proxy's quota requests and outlier reports. The reply contains the requests and
    reports of other proxies.
    `serial` is the heartbeat's number. `last_invalidation` is the number of the last invalidation that this
    proxy has read. `outliers` are the ids of endpoints that this proxy has ejected.
    """

    generation: int
    serial: int
    last_invalidation: int
    quota_requests: tuple[QuotaRequestRow, ...] = ()
    outliers: tuple[str, ...] = ()


class LeaseRequest(NamedTuple):
    """The record of a fill lease that a proxy wants to acquire, and the lease's duration."""

    record: bytes
    duration_ms: int


@dataclass(frozen=True, slots=True)
class LookUp:
    """A lookup of the cache that has or fills a name.

    If the lookup carries a lease request, the fill lease is acquired unless the store has a location or
    another lease of the name. `invalidation_keys` are the keys of invalidations that concern the name.
    """

    generation: int
    name: str
    invalidation_keys: tuple[str, ...]
    lease: LeaseRequest | None = None


class LocationPublication(NamedTuple):
    """The record of a cache location to publish, and when the cached response was generated."""

    record: bytes
    generated_at_ms: int


@dataclass(frozen=True, slots=True)
class PublishLocation:
    """The release of a fill lease, which has no effect unless `lease` is the name's current lease.

    Unless `location` is `None`, the release also publishes it as the name's cache location. The store keeps
    the location for `lifetime_ms`.
    """

    generation: int
    name: str
    lease: bytes
    location: LocationPublication | None
    lifetime_ms: int


@dataclass(frozen=True, slots=True)
class ReportStaleLocation:
    """One or more reports that a cache location is stale.

    `reports` is the number of reports. The store deletes the location when it has counted two reports.
    """

    generation: int
    name: str
    record: bytes
    reports: int


@dataclass(frozen=True, slots=True)
class PublishInvalidations:
    """The publication of invalidations. The store keeps only the latest invalidation of each key."""

    generation: int
    rows: InvalidationChunk


@dataclass(frozen=True, slots=True)
class GrantQuota:
    """A grant of quota to the proxy process `recipient`. The grant is made completely or not at all.

    `request_field` is the field under which the store has the quota request. The grant is made only if that
    request still has the nonce `nonce`.
    """

    generation: int
    request_field: str
    nonce: str
    recipient: str
    amount: float
    record: bytes


@dataclass(frozen=True, slots=True)
class AdvanceGeneration:
    """The change to a new generation above `minimum`, made only if the store still has the one `expected`.

    `expected` is `NO_GENERATION` if the store has no generation.
    """

    expected: int
    minimum: int


StoreOperation = (
    SyncOperation
    | LookUp
    | PublishLocation
    | ReportStaleLocation
    | PublishInvalidations
    | GrantQuota
    | AdvanceGeneration
)


class ReplyType(bytes, Enum):
    """The type of a reply. It is the value that follows the generation and the serial in the reply."""

    LEASE_GRANTED = b"mine"
    LEASE_TAKEN = b"taken"
    LOCATED = b"held"
    UNKNOWN = b"none"
    RELEASED = b"done"
    NOT_REQUESTED = b"not wanted"
