"""Operations that a store executes, and what their replies are about. Types only.

Each operation carries the generation that the proxy has adopted; a store of another generation only returns
its own. `scripts` encodes operations. Names that end in `_ms` are Unix milliseconds or spans in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

NO_GENERATION = 0  # as scripts return it for a store that has none; generations are numbered from 1


class InvalidationRow(NamedTuple):
    """An invalidation as a store keeps it: the key's text, and its Unix millisecond."""

    key: str
    at_ms: int


InvalidationChunk = tuple[InvalidationRow, ...]  # rows that are published by one operation


class QuotaRequestRow(NamedTuple):
    """A quota request as a store keeps it."""

    field: str
    record: bytes


@dataclass(frozen=True, slots=True)
class SyncOperation:
    """The periodic exchange: sends a heartbeat with requests and reports, reads those of other proxies.

    `outliers` are the ids of endpoints that this proxy has ejected; `last_invalidation` is the number of the
    last invalidation read.
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
    """Which cache has or fills a name.

    With a lease request, the fill lease is acquired where no other proxy has it. `invalidation_keys` are
    those of invalidations that concern the name.
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
    """Releases the fill lease `lease` if it is the current one.

    The name's cache location is published too, if there is one, and kept for `lifetime_ms`.
    """

    generation: int
    name: str
    lease: bytes
    location: LocationPublication | None
    lifetime_ms: int


@dataclass(frozen=True, slots=True)
class ReportStaleLocation:
    """Counts `reports` that a cache location is stale; at two the store deletes it."""

    generation: int
    name: str
    record: bytes
    reports: int


@dataclass(frozen=True, slots=True)
class PublishInvalidations:
    """Publishes invalidations; of each key the latest counts."""

    generation: int
    rows: InvalidationChunk


@dataclass(frozen=True, slots=True)
class GrantQuota:
    """Grants quota to the proxy process `recipient`, completely or not at all.

    `request_field` is the field of the request, `nonce` the one that it must still have.
    """

    generation: int
    request_field: str
    nonce: str
    recipient: str
    amount: float
    record: bytes


@dataclass(frozen=True, slots=True)
class AdvanceGeneration:
    """Sets a generation above `minimum`, if the store is still at `expected` (or at `NO_GENERATION`)."""

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
    """What a reply is about: its first value, as the store's scripts return it."""

    LEASE_GRANTED = b"mine"
    LEASE_TAKEN = b"taken"
    LOCATED = b"held"
    UNKNOWN = b"none"
    RELEASED = b"done"
    NOT_REQUESTED = b"not wanted"
