"""Circuit breaker and trust of one store: when it is used, and when its replies count."""

from __future__ import annotations

import random

import pytest

from olivepost.shared_store.messages import StoreReply
from olivepost.shared_store.store_health import (
    MAX_CONSECUTIVE_FAILURES,
    BreakerState,
    ReplyVerdict,
    StoreHealth,
    TrustLevel,
)
from tests.router_harness import MS, SECOND


def trusted_store() -> StoreHealth:
    store = StoreHealth("s", random.Random(1), 100 * MS, SECOND, breaker=BreakerState.CLOSED)
    store.adopt(7, [])
    store.confirm_published(())
    return store


def test_breaker_opens_tries_with_growing_backoff_and_closes() -> None:
    store, now, pauses = trusted_store(), 0, []
    for _ in range(MAX_CONSECUTIVE_FAILURES):
        assert store.is_available
        store.record_reply(now, False)
    for _ in range(6):
        assert not store.allows_sync(store.retry_at - 1)
        pauses.append(store.retry_at - now)
        now = store.retry_at
        assert store.allows_sync(now)
        assert not store.is_available
        store.record_reply(now, False)
    assert pauses[0] <= 100 * MS < pauses[3]
    assert max(pauses) <= SECOND
    now = store.retry_at
    assert store.allows_sync(now)
    store.record_reply(now, True)
    assert not store.is_available
    store.record_reply(now, True)
    assert store.is_available


def test_one_late_reply_in_three_keeps_the_breaker_closed_and_two_open_it() -> None:
    store = trusted_store()
    for number in range(60):
        store.record_reply(0, number % 3 > 0)
    assert store.is_available
    for number in range(60):
        store.record_reply(0, number % 3 == 0)
    assert store.breaker is BreakerState.OPEN


@pytest.mark.parametrize(
    ("reply", "verdict"),
    [
        (StoreReply(1, 7, 5), ReplyVerdict.CURRENT),
        (StoreReply(1, 7, 4), ReplyVerdict.ROLLED_BACK),
        (StoreReply(1, 6, 9), ReplyVerdict.ROLLED_BACK),
        (StoreReply(1, 8, 0), ReplyVerdict.MOVED),
        (StoreReply(1, 0, 0), ReplyVerdict.EMPTY),
    ],
)
def test_reply_tells_whether_its_store_lost_state_or_moved(reply: StoreReply, verdict: ReplyVerdict) -> None:
    assert trusted_store().judge_reply(reply, 7, 5) is verdict


def test_store_that_lost_state_is_not_trusted_for_later_serials() -> None:
    """Guards against a snapshot: the sync that finds it out leaves a new serial there."""
    store = trusted_store()
    store.trust = TrustLevel.NONE
    assert store.judge_reply(StoreReply(1, 7, 99), 7, 5) is ReplyVerdict.ROLLED_BACK
    store.adopt(8, [(("g:1", 5),)])
    assert not store.is_available
    assert store.confirm_published(store.unpublished[0])
    assert store.is_available
