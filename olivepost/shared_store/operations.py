"""Operations that a store executes, and the types of their replies. Types only.

Each operation carries the generation that the proxy has adopted. A store with another generation does not
execute the operation and only returns its own generation. `scripts` encodes operations. Names that end in
`_ms` are points in time as Unix milliseconds, or durations in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

NO_GENERATION = 0  # returned by scripts if a store has no generation; generations are numbered from 1


class InvalidationRow(NamedTuple):
    """An invalidation as a store keeps it, with the key's text and the Unix millisecond."""

    key: str
    at_ms: int


InvalidationChunk = tuple[InvalidationRow, ...]  # rows that one operation publishes


class QuotaRequestRow(NamedTuple):
    """A quota request as a store keeps it."""

    field: str
    record: bytes


@dataclass(frozen=True, slots=True)
class SyncOperation:
    """The periodic exchange, which sends a heartbeat and reads what other proxies have sent.

    The heartbeat carries quota requests and outlier reports; the reply has those of other proxies.
    `serial` is the heartbeat's number, and `last_invalidation` the number of the last invalidation read.
    `outliers` are the ids of endpoints that this proxy has ejected.
    """

    generation: int
    serial: int
    last_invalidation: int
    quota_requests: tuple[QuotaRequestRow, ...] = ()
    outliers: tuple[str, ...] = ()


class LeaseRequest(NamedTuple):
    """The record of a fill lease to acquire, and its duration."""

    record: bytes
    duration_ms: int


@dataclass(frozen=True, slots=True)
class LookUp:
    """A lookup of the cache that has or fills a name.

    If it carries a lease request, the fill lease is acquired unless the store has a location or another lease
    of the name. `invalidation_keys` are the keys of invalidations that concern the name.
    """

    generation: int
    name: str
    invalidation_keys: tuple[str, ...]
    lease: LeaseRequest | None = None


class LocationPublication(NamedTuple):
    """The record of a cache location to publish, and when its response was generated."""

    record: bytes
    generated_at_ms: int


@dataclass(frozen=True, slots=True)
class PublishLocation:
    """The release of the fill lease `lease`. It has no effect unless that is the name's current lease.

    If there is a `location`, it is published as the name's cache location and kept for `lifetime_ms`.
    """

    generation: int
    name: str
    lease: bytes
    location: LocationPublication | None
    lifetime_ms: int


@dataclass(frozen=True, slots=True)
class ReportStaleLocation:
    """A number of reports that a cache location is stale; the store deletes it at the second report."""

    generation: int
    name: str
    record: bytes
    reports: int


@dataclass(frozen=True, slots=True)
class PublishInvalidations:
    """The publication of invalidations; the store keeps the latest one of each key."""

    generation: int
    rows: InvalidationChunk


@dataclass(frozen=True, slots=True)
class GrantQuota:
    """A grant of quota to the proxy process `recipient`. The grant is made completely or not at all.

    `request_field` is the field of the request in the store, and `nonce` is the nonce that the request must
    still have.
    """

    generation: int
    request_field: str
    nonce: str
    recipient: str
    amount: float
    record: bytes


@dataclass(frozen=True, slots=True)
class AdvanceGeneration:
    """The change to a new generation above `minimum`, made only if the store is still at `expected`.

    `expected` is `NO_GENERATION` for a store that has no generation.
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
    """The type of a reply, as the first value after generation and serial in the script's reply."""

    LEASE_GRANTED = b"mine"
    LEASE_TAKEN = b"taken"
    LOCATED = b"held"
    UNKNOWN = b"none"
    RELEASED = b"done"
    NOT_REQUESTED = b"not wanted"
