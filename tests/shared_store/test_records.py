"""Tests of stored records: their bytes in the store, and the data that is rejected."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from olivepost.shared_store.records import (
    MAX_RECORD_BYTES,
    CacheLocation,
    FillLease,
    InvalidationKey,
    QuotaGrant,
    QuotaRequest,
    RecordError,
    StoredRecord,
    decode_record,
    encode_record,
    parse_integer,
)

LOCATION = CacheLocation(cache="c", cache_started_at=0, rank=2, generated_at_ms=5, proxy="n1")


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.binary(max_size=200), st.integers(0, 199), st.integers(0, 7))
def test_damaged_bytes_are_no_record(noise: bytes, at: int, bit: int) -> None:
    with pytest.raises(RecordError):
        decode_record(CacheLocation, noise)
    data = bytearray(encode_record(LOCATION))
    data[at % len(data)] ^= 1 << bit
    with pytest.raises(RecordError):
        decode_record(CacheLocation, bytes(data))


@pytest.mark.parametrize(
    ("record", "stored"),
    [
        (
            FillLease(proxy="n1", incarnation="00f3a1", cache="c:1", source="p:1", cache_started_at=7),
            b'e5b50de7 {"type":"claim","v":1,"owner":"n1","process":"00f3a1","cache":"c:1",'
            b'"source":"p:1","started":7}',
        ),
        (
            CacheLocation(cache="c:1", cache_started_at=7, rank=2, generated_at_ms=1800000000123, proxy="n1"),
            b'8ab483bd {"type":"holder","v":1,"cache":"c:1","started":7,"rank":2,"at_ms":1800000000123,'
            b'"by":"n1"}',
        ),
        (
            QuotaRequest(
                incarnation="00f3a1",
                key="cold:c:1@7",
                nonce="00f3a1.4",
                amount=0.5,
                duration=1_900_000_000,
            ),
            b'a439e242 {"type":"need","v":1,"process":"00f3a1","key":"cold:c:1@7","nonce":"00f3a1.4",'
            b'"amount":0.5,"span":1900000000}',
        ),
        (
            QuotaGrant(id="99bb.3", key="cold:c:1@7", nonce="00f3a1.4", amount=0.25),
            b'0526b85c {"type":"piece","v":1,"id":"99bb.3","key":"cold:c:1@7","nonce":"00f3a1.4",'
            b'"amount":0.25}',
        ),
    ],
)
def test_records_have_the_bytes_of_all_releases_of_version_1(record: StoredRecord, stored: bytes) -> None:
    """Guards against an accidental change of the stored format, for example by renaming a record's attribute.

    The expected bytes are literals, which were written when each attribute still had the name under which
    its value is stored.
    """
    assert encode_record(record) == stored
    assert decode_record(type(record), stored) == record


LEASE = FillLease(proxy="n", incarnation="p", cache="c", source="p", cache_started_at=0)
LATER_VERSION = CacheLocation(cache="c", cache_started_at=0, rank=2, generated_at_ms=5, proxy="n", version=2)


def test_record_is_decoded_to_what_was_encoded() -> None:
    assert decode_record(CacheLocation, encode_record(LOCATION)) == LOCATION


@pytest.mark.parametrize(
    "data",
    [encode_record(LEASE), encode_record(LATER_VERSION), None, 5, b"x" * (MAX_RECORD_BYTES + 1)],
    ids=["another type", "another version", "None", "an integer", "too many bytes"],
)
def test_data_that_is_not_a_record_of_the_type_is_rejected(data: object) -> None:
    with pytest.raises(RecordError):
        decode_record(CacheLocation, data)


@pytest.mark.parametrize("key", [b"", b"o:", b"g:x", b"g:-1", b"x:1", b"g:" + b"1" * 30])
def test_malformed_invalidation_key_is_rejected(key: bytes) -> None:
    with pytest.raises(RecordError):
        InvalidationKey.read(key)


def test_builtins_of_a_record_have_its_stored_names() -> None:
    stored = {"type": "holder", "v": 1, "cache": "c", "started": 0, "rank": 2, "at_ms": 5, "by": "n1"}
    assert msgspec.to_builtins(LOCATION) == stored


def test_error_says_what_was_found_and_what_is_allowed() -> None:
    with pytest.raises(RecordError) as caught:
        decode_record(CacheLocation, b"x" * (MAX_RECORD_BYTES + 1))
    assert caught.value.problem == "a record of 1025 bytes"
    assert caught.value.allowed == "at most 1024"
    assert str(caught.value) == "a record of 1025 bytes; allowed: at most 1024"


@pytest.mark.parametrize("value", [b"", b"-1", b"1.0", b"9" * 19, "7", None, 1.0])
def test_value_that_is_not_an_integer_is_rejected(value: object) -> None:
    assert parse_integer(b"0017") == parse_integer(17) == 17
    with pytest.raises(RecordError):
        parse_integer(value)
