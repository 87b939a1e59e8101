"""The deciding parts one by one: breaker and generations, loans, purges, records."""

from __future__ import annotations

import random

import pytest
import redis
from hypothesis import given, settings
from hypothesis import strategies as st

from olivepost.shared_store import client, records
from olivepost.shared_store import messages as ev
from olivepost.shared_store.invalidations import MAX_INVALIDATIONS, KnownInvalidations
from olivepost.shared_store.quota_transfers import QuotaTransfers
from olivepost.shared_store.records import (
    CacheLocation,
    FillLease,
    InvalidationKey,
    QuotaGrant,
    QuotaRequest,
    RecordError,
    decode_record,
    encode_record,
)
from olivepost.shared_store.settings import SharedStoreSettings
from olivepost.shared_store.store_health import (
    MAX_CONSECUTIVE_FAILURES,
    BreakerState,
    ReplyVerdict,
    StoreHealth,
    TrustLevel,
)
from standins.redis.server import Server
from tests.helpers import MS, SECOND

HOLDER = CacheLocation(cache="c", cache_started_at=0, rank=2, generated_at_ms=5, proxy="n1")


def standing() -> StoreHealth:
    made = StoreHealth("s", random.Random(1), 100 * MS, SECOND, breaker=BreakerState.CLOSED)
    made.adopt(7, [])
    made.confirm_published(())
    return made


def test_a_breaker_shuts_tries_with_growing_pauses_and_opens() -> None:
    made, now, pauses = standing(), 0, []
    for _ in range(MAX_CONSECUTIVE_FAILURES):
        assert made.is_available
        made.record_reply(now, False)
    for _ in range(6):
        assert not made.allows_sync(made.retry_at - 1)
        pauses.append(made.retry_at - now)
        now = made.retry_at
        assert made.allows_sync(now) and not made.is_available
        made.record_reply(now, False)
    assert pauses[0] <= 100 * MS < pauses[3] and max(pauses) <= SECOND
    now = made.retry_at
    assert made.allows_sync(now)
    made.record_reply(now, True)
    assert not made.is_available
    made.record_reply(now, True)
    assert made.is_available


def test_one_late_answer_in_three_shuts_nothing_and_most_do() -> None:
    made = standing()
    for number in range(60):
        made.record_reply(0, number % 3 > 0)
    assert made.is_available
    for number in range(60):
        made.record_reply(0, number % 3 == 0)
    assert made.breaker is BreakerState.OPEN


@pytest.mark.parametrize(
    ("reply", "verdict"),
    [
        (ev.StoreReply(1, 7, 5), ReplyVerdict.CURRENT),
        (ev.StoreReply(1, 7, 4), ReplyVerdict.ROLLED_BACK),
        (ev.StoreReply(1, 6, 9), ReplyVerdict.ROLLED_BACK),
        (ev.StoreReply(1, 8, 0), ReplyVerdict.MOVED),
        (ev.StoreReply(1, 0, 0), ReplyVerdict.EMPTY),
    ],
)
def test_what_a_reply_says_of_its_store(reply: ev.StoreReply, verdict: ReplyVerdict) -> None:
    assert standing().judge(reply, 7, 5) is verdict


def test_a_store_that_forgot_is_not_believed_for_knowing_later_serials() -> None:
    """Guards against a snapshot: the sync that finds it out leaves a new serial there."""
    made = standing()
    made.trust = TrustLevel.NONE
    assert made.judge(ev.StoreReply(1, 7, 99), 7, 5) is ReplyVerdict.ROLLED_BACK
    made.adopt(8, [(("g:1", 5),)])
    assert not made.is_available and made.confirm_published(made.unpublished[0]) and made.is_available


def borrower() -> tuple[QuotaTransfers, QuotaRequest]:
    made = QuotaTransfers("me", SECOND)
    made.record_shortage(0, "cold:c@1", 0.5)
    (data,) = made.open_requests(0).values()
    return made, decode_record(QuotaRequest, data)


def test_a_piece_counts_once_from_when_it_was_asked_for() -> None:
    made, need = borrower()
    piece = QuotaGrant(id="x.1", key=need.key, nonce=need.nonce, amount=0.5)
    assert made.receive(900 * MS, piece) == (0.5, SECOND)
    with pytest.raises(RecordError, match="received before"):
        made.receive(901 * MS, piece)


@pytest.mark.parametrize(
    ("change", "at"),
    [
        ({"nonce": "me.0"}, 0),
        ({"nonce": "other.1"}, 0),
        ({"key": "cold:d@1"}, 0),
        ({"amount": -1.0}, 0),
        ({"amount": float("inf")}, 0),
        ({}, SECOND),
    ],
)
def test_a_piece_that_is_old_foreign_late_or_odd_is_worth_nothing(change: dict[str, object], at: int) -> None:
    """Each would pass the whole, since its lender may have the amount back already."""
    made, need = borrower()
    fields = {"id": "x.1", "key": need.key, "nonce": need.nonce, "amount": 0.5, **change}
    with pytest.raises(RecordError):
        made.receive(at, QuotaGrant(**fields))  # type: ignore[arg-type]


def test_a_lender_waits_longer_than_the_borrowers_clock_may_lag() -> None:
    lender, need = QuotaTransfers("you", SECOND), borrower()[1]
    offer = lender.offer(0, 1, "f", need)
    assert offer is not None and offer.expires_at >= 1.01 * SECOND
    assert lender.offer(0, 2, "f", need) is None  # one offer at a time
    assert lender.donate(1, 0.0, 5) is None and lender.offer(0, 3, "f", need) is not None


def test_what_a_front_lacks_itself_it_does_not_lend() -> None:
    lender, need = QuotaTransfers("you", SECOND), borrower()[1]
    lender.record_shortage(0, need.key, 0.1)
    assert lender.offer(0, 1, "f", need) is None


def test_forgotten_purges_raise_a_floor() -> None:
    made = KnownInvalidations()
    for number in range(MAX_INVALIDATIONS + 10):
        assert made.add(InvalidationKey(f"o{number}", None), number + 1)
    assert not made.add(InvalidationKey(f"o{MAX_INVALIDATIONS}", None), 1)
    assert len(made) == MAX_INVALIDATIONS and made.last_ms("never purged", 3) == 10
    assert sum(map(len, made.chunks())) == MAX_INVALIDATIONS


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.binary(max_size=200), st.integers(0, 199), st.integers(0, 7))
def test_no_bytes_pass_for_a_record(noise: bytes, at: int, bit: int) -> None:
    with pytest.raises(RecordError):
        decode_record(CacheLocation, noise)
    data = bytearray(encode_record(HOLDER))
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
def test_records_have_the_bytes_that_version_1_has_always_had(
    record: records.StoredRecord, stored: bytes
) -> None:
    """The literals were written before the attributes got names apart from the stored ones."""
    assert encode_record(record) == stored
    assert decode_record(type(record), stored) == record


def test_records_of_other_kinds_versions_and_sizes_are_refused() -> None:
    assert decode_record(CacheLocation, encode_record(HOLDER)) == HOLDER
    claim = FillLease(proxy="n", incarnation="p", cache="c", source="p", cache_started_at=0)
    later = CacheLocation(cache="c", cache_started_at=0, rank=2, generated_at_ms=5, proxy="n", version=2)
    wrong: list[object] = [
        encode_record(claim),
        encode_record(later),
        None,
        5,
        b"x" * (records.MAX_RECORD_BYTES + 1),
    ]
    for data in wrong:
        with pytest.raises(RecordError):
            decode_record(CacheLocation, data)
    for key in (b"", b"o:", b"g:x", b"g:-1", b"x:1", b"g:" + b"1" * 30):
        with pytest.raises(RecordError):
            InvalidationKey.read(key)


def test_a_command_that_was_cut_off_is_not_sent_again() -> None:
    """Guards against a piece handed on twice by a client library that tries again by itself."""
    server = Server()
    try:
        given = {"name": "s", "address": "{}:{}".format(*server.address)}
        made = SharedStoreSettings.model_validate({"branch": "b", "stores": [given]})
        store = client.connect(made, made.stores[0])
        (reply,) = client.run(store, [ev.AdvanceGeneration(0, 0)], "b", "me", True)
        assert isinstance(reply, list)
        whole, cuts = server.faults.spoil, [True]

        def spoil(data: bytes, draw: random.Random) -> tuple[bytes, bool]:
            return (data[:1], cuts.pop()) if cuts else whole(data, draw)

        server.faults.spoil = spoil  # type: ignore[method-assign]
        before = int(server.keyspace.data[b"b:generation"])
        with pytest.raises(redis.ConnectionError):
            client.run(store, [ev.AdvanceGeneration(before, before)], "b", "me", False)
        assert int(server.keyspace.data[b"b:generation"]) > before  # it has run
        assert server.commands < 40
        store.close()
    finally:
        server.close()
