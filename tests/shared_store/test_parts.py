"""The deciding parts one by one: breaker and generations, loans, purges, records."""

from __future__ import annotations

import random

import pytest
import redis
from hypothesis import given, settings
from hypothesis import strategies as st

from olivepost.shared_store import client, records
from olivepost.shared_store import messages as ev
from olivepost.shared_store.invalidations import MOST, KnownPurges
from olivepost.shared_store.quota_transfers import Loans
from olivepost.shared_store.records import Claim, Holder, Need, Piece, PurgeKey, RecordError, pack, unpack
from olivepost.shared_store.settings import SharingSettings
from olivepost.shared_store.store_health import BAD_IN_A_ROW, Gate, Standing, Trust, Verdict
from standins.redis.server import Server
from tests.helpers import MS, SECOND

HOLDER = Holder(cache="c", started=0, rank=2, at_ms=5, by="n1")


def standing() -> Standing:
    made = Standing("s", random.Random(1), 100 * MS, SECOND, gate=Gate.OPEN)
    made.adopt(7, [])
    made.put_back(())
    return made


def test_a_breaker_shuts_tries_with_growing_pauses_and_opens() -> None:
    made, now, pauses = standing(), 0, []
    for _ in range(BAD_IN_A_ROW):
        assert made.up
        made.answered(now, False)
    for _ in range(6):
        assert not made.due(made.until - 1)
        pauses.append(made.until - now)
        now = made.until
        assert made.due(now) and not made.up
        made.answered(now, False)
    assert pauses[0] <= 100 * MS < pauses[3] and max(pauses) <= SECOND
    now = made.until
    assert made.due(now)
    made.answered(now, True)
    assert not made.up
    made.answered(now, True)
    assert made.up


def test_one_late_answer_in_three_shuts_nothing_and_most_do() -> None:
    made = standing()
    for number in range(60):
        made.answered(0, number % 3 > 0)
    assert made.up
    for number in range(60):
        made.answered(0, number % 3 == 0)
    assert made.gate is Gate.SHUT


@pytest.mark.parametrize(
    ("reply", "verdict"),
    [
        (ev.Reply(1, 7, 5), Verdict.COUNTS),
        (ev.Reply(1, 7, 4), Verdict.WENT_BACK),
        (ev.Reply(1, 6, 9), Verdict.WENT_BACK),
        (ev.Reply(1, 8, 0), Verdict.MOVED),
        (ev.Reply(1, 0, 0), Verdict.EMPTY),
    ],
)
def test_what_a_reply_says_of_its_store(reply: ev.Reply, verdict: Verdict) -> None:
    assert standing().judge(reply, 7, 5) is verdict


def test_a_store_that_forgot_is_not_believed_for_knowing_later_serials() -> None:
    """Guards against a snapshot: the sync that finds it out leaves a new serial there."""
    made = standing()
    made.trust = Trust.NONE
    assert made.judge(ev.Reply(1, 7, 99), 7, 5) is Verdict.WENT_BACK
    made.adopt(8, [(("g:1", 5),)])
    assert not made.up and made.put_back(made.restore[0]) and made.up


def borrower() -> tuple[Loans, Need]:
    made = Loans("me", SECOND)
    made.short(0, "cold:c@1", 0.5)
    (data,) = made.needs(0).values()
    return made, unpack(Need, data)


def test_a_piece_counts_once_from_when_it_was_asked_for() -> None:
    made, need = borrower()
    piece = Piece(id="x.1", key=need.key, nonce=need.nonce, amount=0.5)
    assert made.take(900 * MS, piece) == (0.5, SECOND)
    with pytest.raises(RecordError, match="come before"):
        made.take(901 * MS, piece)


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
        made.take(at, Piece(**fields))  # type: ignore[arg-type]


def test_a_lender_waits_longer_than_the_borrowers_clock_may_lag() -> None:
    lender, need = Loans("you", SECOND), borrower()[1]
    offer = lender.answer(0, 1, "f", need)
    assert offer is not None and offer.until >= 1.01 * SECOND
    assert lender.answer(0, 2, "f", need) is None  # one offer at a time
    assert lender.lent(1, 0.0, 5) is None and lender.answer(0, 3, "f", need) is not None


def test_what_a_front_lacks_itself_it_does_not_lend() -> None:
    lender, need = Loans("you", SECOND), borrower()[1]
    lender.short(0, need.key, 0.1)
    assert lender.answer(0, 1, "f", need) is None


def test_forgotten_purges_raise_a_floor() -> None:
    made = KnownPurges()
    for number in range(MOST + 10):
        assert made.note(PurgeKey(f"o{number}", None), number + 1)
    assert not made.note(PurgeKey(f"o{MOST}", None), 1)
    assert len(made) == MOST and made.last_ms("never purged", 3) == 10
    assert sum(map(len, made.chunks())) == MOST


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.binary(max_size=200), st.integers(0, 199), st.integers(0, 7))
def test_no_bytes_pass_for_a_record(noise: bytes, at: int, bit: int) -> None:
    with pytest.raises(RecordError):
        unpack(Holder, noise)
    data = bytearray(pack(HOLDER))
    data[at % len(data)] ^= 1 << bit
    with pytest.raises(RecordError):
        unpack(Holder, bytes(data))


def test_records_of_other_kinds_versions_and_sizes_are_refused() -> None:
    assert unpack(Holder, pack(HOLDER)) == HOLDER
    claim = Claim(owner="n", process="p", cache="c", source="p", started=0)
    later = Holder(cache="c", started=0, rank=2, at_ms=5, by="n", v=2)
    wrong: list[object] = [pack(claim), pack(later), None, 5, b"x" * (records.MOST_BYTES + 1)]
    for data in wrong:
        with pytest.raises(RecordError):
            unpack(Holder, data)
    for key in (b"", b"o:", b"g:x", b"g:-1", b"x:1", b"g:" + b"1" * 30):
        with pytest.raises(RecordError):
            PurgeKey.read(key)


def test_a_command_that_was_cut_off_is_not_sent_again() -> None:
    """Guards against a piece handed on twice by a client library that tries again by itself."""
    server = Server()
    try:
        given = {"name": "s", "address": "{}:{}".format(*server.address)}
        made = SharingSettings.model_validate({"branch": "b", "stores": [given]})
        store = client.connect(made, made.stores[0])
        (reply,) = client.run(store, [ev.Raise(0, 0)], "b", "me", True)
        assert isinstance(reply, list)
        whole, cuts = server.faults.spoil, [True]

        def spoil(data: bytes, draw: random.Random) -> tuple[bytes, bool]:
            return (data[:1], cuts.pop()) if cuts else whole(data, draw)

        server.faults.spoil = spoil  # type: ignore[method-assign]
        before = int(server.keyspace.data[b"b:generation"])
        with pytest.raises(redis.ConnectionError):
            client.run(store, [ev.Raise(before, before)], "b", "me", False)
        assert int(server.keyspace.data[b"b:generation"]) > before  # it has run
        assert server.commands < 40
        store.close()
    finally:
        server.close()
