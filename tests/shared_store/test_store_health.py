"""Tests of a store's circuit breaker and of the trust in the store.

Circuit breaker and trust decide when the store is used, and which of the store's replies are accepted.
"""

from __future__ import annotations

import random

import pytest

from olivepost.shared_store.circuit_breaker import MAX_CONSECUTIVE_FAILURES, BreakerState, CircuitBreaker
from olivepost.shared_store.messages import StoreReply
from olivepost.shared_store.operations import NO_GENERATION, InvalidationRow
from olivepost.shared_store.store_health import ReplyVerdict, StoreHealth, TrustLevel
from tests.router_harness import MS, SECOND


def trusted_store() -> StoreHealth:
    store = StoreHealth("s", CircuitBreaker(random.Random(1), 100 * MS, SECOND))
    store.breaker.state = BreakerState.CLOSED
    store.adopt(7, [])
    store.confirm_published(())
    return store


def test_breaker_opens_after_consecutive_failures() -> None:
    store = trusted_store()

    for _ in range(MAX_CONSECUTIVE_FAILURES):
        assert store.is_available
        store.breaker.record_failure(0)

    assert not store.is_available


def test_failed_trials_lengthen_the_backoff_and_successful_ones_close_the_breaker() -> None:
    store = trusted_store()
    breaker = store.breaker
    now = 0
    backoffs = []
    for _ in range(MAX_CONSECUTIVE_FAILURES):
        breaker.record_failure(now)

    for _ in range(6):
        assert breaker.retry_at is not None
        breaker.begin_trial_if_due(breaker.retry_at - 1)
        assert not store.accepts_publications
        backoffs.append(breaker.retry_at - now)
        now = breaker.retry_at
        breaker.begin_trial_if_due(now)
        assert store.accepts_publications
        assert not store.is_available
        breaker.record_failure(now)
    assert backoffs[0] <= 100 * MS < backoffs[3]
    assert max(backoffs) <= SECOND

    assert breaker.retry_at is not None
    now = breaker.retry_at
    breaker.begin_trial_if_due(now)
    assert store.accepts_publications
    breaker.record_success(now)
    assert not store.is_available
    breaker.record_success(now)
    assert store.is_available


@pytest.mark.parametrize(
    ("replies_in_time", "state"),
    [((False, True, True), BreakerState.CLOSED), ((True, False, False), BreakerState.OPEN)],
    ids=["one late reply in three", "two late replies in three"],
)
def test_breaker_opens_where_most_of_the_recent_replies_are_late(
    replies_in_time: tuple[bool, ...], state: BreakerState
) -> None:
    breaker = trusted_store().breaker

    for number in range(60):
        if replies_in_time[number % 3]:
            breaker.record_success(0)
        else:
            breaker.record_failure(0)

    assert breaker.state is state


def test_breaker_opens_once_the_recent_replies_turn_from_mostly_in_time_to_mostly_late() -> None:
    store = trusted_store()
    for number in range(60):
        record = store.breaker.record_success if number % 3 else store.breaker.record_failure
        record(0)
    assert store.is_available

    for number in range(60):
        record = store.breaker.record_failure if number % 3 else store.breaker.record_success
        record(0)

    assert store.breaker.state is BreakerState.OPEN


def test_reply_in_time_that_completes_the_recent_replies_may_open_the_breaker() -> None:
    store = trusted_store()
    breaker = store.breaker
    late_of_19 = [True, True, False] * 6 + [True]
    for is_late in late_of_19:
        if is_late:
            breaker.record_failure(0)
        else:
            breaker.record_success(0)
    assert store.is_available

    breaker.record_success(0)

    assert breaker.state is BreakerState.OPEN


@pytest.mark.parametrize(
    ("reply", "verdict"),
    [
        (StoreReply(1, 7, 5), ReplyVerdict.CURRENT),
        (StoreReply(1, 7, 4), ReplyVerdict.ROLLED_BACK),
        (StoreReply(1, 6, 9), ReplyVerdict.ROLLED_BACK),
        (StoreReply(1, 8, 0), ReplyVerdict.MOVED),
        (StoreReply(1, NO_GENERATION, 0), ReplyVerdict.EMPTY),
    ],
)
def test_reply_shows_whether_its_store_lost_state_or_moved(reply: StoreReply, verdict: ReplyVerdict) -> None:
    assert trusted_store().judge_reply(reply, 7, 5) is verdict


def test_store_that_lost_state_is_not_trusted_for_later_serials() -> None:
    """Guards against trusting a store that was restored to an earlier state.

    The sync that detects the loss writes its own number, a new serial, to the store. Serials in later
    replies are therefore no evidence that the store has its state back.
    """
    store = trusted_store()
    store.trust = TrustLevel.NONE

    assert store.judge_reply(StoreReply(1, 7, 99), 7, 5) is ReplyVerdict.ROLLED_BACK


def test_store_of_a_new_generation_is_available_once_its_invalidations_are_confirmed() -> None:
    store = trusted_store()

    store.adopt(8, [(InvalidationRow("g:1", 5),)])
    assert not store.is_available
    store.confirm_published(store.unpublished[0])

    assert store.trust is TrustLevel.TRUSTED
    assert store.is_available
