"""The records that a shared store keeps, byte for byte: their fields, checksum and limits.

A record is the CRC-32C of its JSON in eight hexadecimal digits, a space, and the JSON. Anything else (another
version, a wrong type, too many bytes, a flipped bit) raises `RecordError`. The reader then skips the record,
and nothing repairs it. Field names and tags are stored, so they must not change. If an attribute
has another name than its stored field, `name` is the field's name.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import crc32c
import msgspec

from olivepost.units import Duration, Instant

RECORD_VERSION = 1  # must grow when a field changes its meaning; records of other versions are skipped
MAX_RECORD_BYTES = 1_024
MAX_INTEGER_DIGITS = 18  # every decimal number of this length fits into 64 bits
MAX_OBJECT_LENGTH = 256  # characters of an object's name in an invalidation
MAX_GROUP_DIGITS = 9  # digits of a group's number in an invalidation


class RecordError(Exception):
    """An error about a stored record, or a part of a store's reply, that can't be used.

    `problem` says what is wrong. `allowed` says what is accepted, or is `None` if `problem` already says
    that.
    """

    def __init__(self, problem: str, allowed: str | None = None) -> None:
        super().__init__(problem if allowed is None else f"{problem}; allowed: {allowed}")
        self.problem = problem
        self.allowed = allowed


class StoredRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The base class of all stored records."""

    version: int = msgspec.field(default=RECORD_VERSION, name="v")


class FillLease(StoredRecord, frozen=True, tag="claim", kw_only=True):
    """The lease under which a proxy fills a name into a cache.

    `proxy` and `incarnation` identify the lease's owner. `source` is the endpoint that the cache fills from.
    """

    proxy: str = msgspec.field(name="owner")
    incarnation: str = msgspec.field(name="process")
    cache: str
    source: str
    cache_started_at: Instant = msgspec.field(name="started")


class CacheLocation(StoredRecord, frozen=True, tag="holder", kw_only=True):
    """The cache that has the response for a name.

    `rank` is the cached response's rank; lower ranks are evicted earlier. `generated_at_ms` is the Unix
    millisecond at which the response was generated.
    """

    cache: str
    cache_started_at: Instant = msgspec.field(name="started")
    rank: int
    generated_at_ms: int = msgspec.field(name="at_ms")
    proxy: str = msgspec.field(name="by")


class QuotaRequest(StoredRecord, frozen=True, tag="need", kw_only=True):
    """A proxy's request for the amount of one quota that the proxy lacks.

    `nonce` is the request's unique id. A grant with the same nonce is valid for `duration` nanoseconds from
    the time of the request.
    """

    incarnation: str = msgspec.field(name="process")
    key: str
    nonce: str
    amount: float
    duration: Duration = msgspec.field(name="span")


class QuotaGrant(StoredRecord, frozen=True, tag="piece", kw_only=True):
    """The amount that one proxy donates in answer to one quota request."""

    id: str
    key: str
    nonce: str
    amount: float


RecordType = TypeVar("RecordType", bound=StoredRecord)


def encode_record(record: StoredRecord) -> bytes:
    """Returns the bytes of the record as a store keeps it."""
    body = msgspec.json.encode(record)
    return b"%08x " % crc32c.crc32c(body) + body


def decode_record(record_type: type[RecordType], data: object) -> RecordType:
    """Returns the record in `data`; raises `RecordError` unless it is a valid one of the given type."""
    if not isinstance(data, bytes):
        raise RecordError(f"a record of type {type(data).__name__}", "bytes")
    if len(data) > MAX_RECORD_BYTES:
        raise RecordError(f"a record of {len(data)} bytes", f"at most {MAX_RECORD_BYTES}")
    checksum, _, body = data.partition(b" ")
    if checksum != b"%08x" % crc32c.crc32c(body):
        raise RecordError("a record whose checksum is wrong")
    try:
        record = msgspec.json.decode(body, type=record_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordError(str(error)) from error
    if record.version != RECORD_VERSION:
        raise RecordError(f"a record of version {record.version}", f"version {RECORD_VERSION}")
    return record


def parse_integer(value: object) -> int:
    """Returns an integer from a store's reply; raises `RecordError` if the value is not an integer."""
    if isinstance(value, int):
        return value
    if not (isinstance(value, bytes) and value.isdigit() and len(value) <= MAX_INTEGER_DIGITS):
        raise RecordError(f"not an integer: {value!r:.40}")
    return int(value)


@dataclass(frozen=True, slots=True)
class InvalidationKey:
    """The object that an invalidation concerns, or the group of objects. The other field is `None`."""

    object: str | None
    group: int | None

    def text(self) -> str:
        """Returns the key as a store keeps it."""
        return f"o:{self.object}" if self.object else f"g:{self.group}"

    @classmethod
    def read(cls, data: bytes) -> InvalidationKey:
        """Returns the key that a store keeps as `data`; raises `RecordError` if `data` is not a key."""
        text = data.decode(errors="replace")
        kind, _, rest = text.partition(":")
        if kind == "o" and rest and len(rest) <= MAX_OBJECT_LENGTH:
            return cls(rest, None)
        if kind == "g" and rest.isascii() and rest.isdigit() and len(rest) <= MAX_GROUP_DIGITS:
            return cls(None, int(rest))
        raise RecordError(f"not an invalidation key: {text[:40]!r}", "o:OBJECT or g:GROUP")
