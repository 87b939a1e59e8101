"""Tests of the table of pending requests and their attempts."""

from __future__ import annotations

import pytest

from olivepost.proxy.exchange import Exchange, Response, ResponseKind
from olivepost.proxy.pending_exchanges import PendingExchange, PendingExchanges
from olivepost.proxy.upstream.request import UpstreamRequest

MAX_EXECUTED_BYTES = 1_024


def make_exchange(delivered: list[Response]) -> Exchange:
    def deliver(_exchange: Exchange, response: Response) -> None:
        delivered.append(response)

    return Exchange("1", "a", "b", 0, 0, None, b"", 1, 1, deliver, bool)


def make_attempt(exchange: Exchange, number: int) -> UpstreamRequest:
    attempt = UpstreamRequest(exchange, number, "cache", "origin", 0, {})
    attempt.timer_id = number + 10
    return attempt


def add(pending: PendingExchanges, exchange: Exchange) -> PendingExchange:
    pending.add(exchange, None)
    added = pending.of_exchange(exchange)
    assert added is not None
    return added


def test_id_that_is_used_again_names_another_exchange() -> None:
    pending = PendingExchanges(MAX_EXECUTED_BYTES)
    first = make_exchange([])
    second = make_exchange([])
    pending.close(add(pending, first), None)
    add(pending, second)
    assert pending.of_exchange(first) is None
    assert pending.get("1") is pending.of_exchange(second)


def test_closed_request_delivers_its_response_and_is_no_longer_pending() -> None:
    delivered: list[Response] = []
    pending = PendingExchanges(MAX_EXECUTED_BYTES)
    response = Response(ResponseKind.REJECTED)
    pending.close(add(pending, make_exchange(delivered)), response)
    assert delivered == [response]
    assert len(pending) == 0


def test_attempt_is_found_by_its_timer_until_its_timeout_is_discarded() -> None:
    pending = PendingExchanges(MAX_EXECUTED_BYTES)
    exchange = make_exchange([])
    attempt = make_attempt(exchange, 0)
    owner = add(pending, exchange)
    pending.add_attempt(owner, attempt)
    assert pending.attempt_of_timer(10) is attempt
    assert pending.of_attempt(attempt) is owner
    assert pending.of_attempt(make_attempt(exchange, 0)) is None
    pending.discard_timeout(attempt)
    assert pending.attempt_of_timer(10) is None


def test_deferred_attempt_is_withdrawn_once_and_only_if_it_matches() -> None:
    pending = PendingExchanges(MAX_EXECUTED_BYTES)
    exchange = make_exchange([])
    attempt = make_attempt(exchange, 1)
    add(pending, exchange).deferred_attempt = attempt
    assert pending.withdraw_deferred(lambda attempt: attempt.cache == "other") == []
    assert pending.withdraw_deferred(lambda attempt: attempt.cache == "cache") == [attempt]
    assert pending.withdraw_deferred(lambda attempt: attempt.cache == "cache") == []


def test_expected_request_that_is_not_pending_violates_the_named_invariant() -> None:
    with pytest.raises(AssertionError, match="of_this_test_too"):
        PendingExchanges(MAX_EXECUTED_BYTES).expect("1", "of_this_test_too")
