"""What a shared store keeps, byte for byte: records of one version, each behind its check sum.

A record is the CRC-32C of its JSON in eight hexadecimal digits, a blank, and the JSON. What does not fit
(another version, a wrong type, more bytes than any record has, a flipped bit) raises `RecordError`: it is
skipped by whoever reads it, never mended.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import crc32c
import msgspec

VERSION = 1
MAX_RECORD_BYTES = 1_024


class RecordError(Exception):
    """A record that this program can't use; the message says why."""


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What all records have."""

    v: int = VERSION


class FillLease(Record, frozen=True, tag="claim", kw_only=True):
    """Who fills a name: owner and its process, cache, source, the cache's start."""

    owner: str
    process: str
    cache: str
    source: str
    started: int


class CacheLocation(Record, frozen=True, tag="holder", kw_only=True):
    """Which cache keeps a name, at which rank, from a copy of which Unix millisecond."""

    cache: str
    started: int
    rank: int
    at_ms: int
    by: str


class QuotaRequest(Record, frozen=True, tag="need", kw_only=True):
    """A front lacks so much of a budget; a piece counts from when it asked, for `span` nanoseconds."""

    process: str
    key: str
    nonce: str
    amount: float
    span: int


class QuotaGrant(Record, frozen=True, tag="piece", kw_only=True):
    """A lender's piece for one need."""

    id: str
    key: str
    nonce: str
    amount: float


Kind = TypeVar("Kind", bound=Record)


def encode_record(record: Record) -> bytes:
    """The record as a store keeps it."""
    body = msgspec.json.encode(record)
    return b"%08x " % crc32c.crc32c(body) + body


def decode_record(kind: type[Kind], data: object) -> Kind:
    """Reads a record of one kind, or raises RecordError."""
    if not isinstance(data, bytes):
        raise RecordError(f"not bytes but {type(data).__name__}")
    if len(data) > MAX_RECORD_BYTES:
        raise RecordError(f"{len(data)} bytes, more than {MAX_RECORD_BYTES}")
    mark, _, body = data.partition(b" ")
    if mark != b"%08x" % crc32c.crc32c(body):
        raise RecordError("its check sum is wrong")
    try:
        record = msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise RecordError(str(fault)) from fault
    if record.v != VERSION:
        raise RecordError(f"version {record.v}, not {VERSION}")
    return record


def parse_integer(value: object) -> int:
    """A whole number as stores word it, or RecordError."""
    if isinstance(value, int):
        return value
    if not (isinstance(value, bytes) and value.isdigit() and len(value) <= 18):
        raise RecordError(f"no number: {value!r:.40}")
    return int(value)


@dataclass(frozen=True, slots=True)
class InvalidationKey:
    """What a purge concerns: an object, or a group of them."""

    object: str | None
    group: int | None

    def text(self) -> str:
        """As the store has it."""
        return f"o:{self.object}" if self.object else f"g:{self.group}"

    @classmethod
    def read(cls, data: bytes) -> InvalidationKey:
        """From the store's form, or RecordError."""
        text = data.decode(errors="replace")
        kind, _, rest = text.partition(":")
        if kind == "o" and rest and len(rest) <= 256:
            return cls(rest, None)
        if kind == "g" and rest.isascii() and rest.isdigit() and len(rest) <= 9:
            return cls(None, int(rest))
        raise RecordError(f"no purge: {text[:40]!r}")
