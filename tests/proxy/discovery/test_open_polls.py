"""Tests of the open polls: when the next poll is due, when a poll is given up, and which one is kept."""

from __future__ import annotations

from typing import Any

import pytest

from olivepost.proxy.discovery.open_polls import (
    CONNECT_PAUSE,
    EVENT_DELAY_LIMIT,
    MAX_RESPONSE_DELAY,
    MAX_RESPONSE_DURATION,
    POLL_WAIT,
    RESPONSE_PAUSE,
    OpenPoll,
    OpenPolls,
    ResponseBudgetError,
)
from olivepost.proxy.discovery.watch_state import WatchPosition
from olivepost.units import MILLISECOND, SECOND, Instant

START: Instant = 1_000 * SECOND
MAX_POLLS = 4
MAX_BYTES = 1_000
NO_CONNECTION: Any = None
WAIT_END = START + POLL_WAIT


def sent_poll(began_at: Instant = START, index: int = 1) -> OpenPoll:
    return OpenPoll(NO_CONNECTION, WatchPosition(index, 0), began_at, sent_at=began_at)


def polls_of(*polls: OpenPoll, max_polls: int = MAX_POLLS, is_catching_up: bool = False) -> OpenPolls:
    opened = OpenPolls(max_polls, MAX_BYTES, is_catching_up)
    for poll in polls:
        opened.add(poll)
    return opened


def test_next_poll_is_due_shortly_after_the_wait_of_an_unanswered_one() -> None:
    assert polls_of(sent_poll()).next_due_at == WAIT_END + RESPONSE_PAUSE


def test_next_poll_is_due_if_a_connection_takes_long() -> None:
    poll = OpenPoll(NO_CONNECTION, WatchPosition(1, 0), START)
    assert polls_of(poll).next_due_at == START + CONNECT_PAUSE


def test_response_that_is_arriving_delays_the_next_poll_for_a_limited_time() -> None:
    poll = sent_poll()
    polls = polls_of(poll)
    polls.record_bytes(poll, 1, START)
    assert polls.next_due_at == WAIT_END + RESPONSE_PAUSE
    polls.record_bytes(poll, 1, WAIT_END + 300 * MILLISECOND)
    assert polls.next_due_at == WAIT_END + 300 * MILLISECOND + RESPONSE_PAUSE
    polls.record_bytes(poll, 1, WAIT_END + 2 * SECOND)
    assert polls.next_due_at == WAIT_END + MAX_RESPONSE_DURATION


def test_polls_are_spread_over_the_time_for_which_responses_may_be_late() -> None:
    second = WAIT_END + RESPONSE_PAUSE
    polls = polls_of(sent_poll(), sent_poll(second), max_polls=16)
    assert polls.next_due_at == second + (POLL_WAIT + EVENT_DELAY_LIMIT) // 16


def test_polls_that_the_coordinator_may_still_hold_are_not_late() -> None:
    polls = polls_of(sent_poll(), sent_poll(START + 100 * MILLISECOND), max_polls=16)
    assert polls.next_due_at == WAIT_END + RESPONSE_PAUSE


def test_few_polls_are_spread_no_wider_than_the_wait_of_each() -> None:
    second = START + SECOND
    polls = polls_of(sent_poll(), sent_poll(second), max_polls=2)
    assert polls.next_due_at == second + POLL_WAIT + RESPONSE_PAUSE


def test_polls_after_a_switch_follow_each_other_until_the_first_is_answered() -> None:
    """Guards against an event just after a switch that no open poll asks for, since another used it up."""
    first, second = sent_poll(), sent_poll(START + SECOND)
    polls = polls_of(first, max_polls=16, is_catching_up=True)
    assert polls.next_due_at == START + (POLL_WAIT + EVENT_DELAY_LIMIT) // 16
    polls.record_answer(first)
    polls.remove(first)
    polls.add(second)
    assert polls.next_due_at == second.wait_ends_at + RESPONSE_PAUSE


def test_long_responses_are_not_asked_for_more_often_while_they_are_late() -> None:
    second = START + SECOND
    polls = polls_of(sent_poll(index=0), sent_poll(second, index=0), max_polls=16)
    assert polls.next_due_at == second + POLL_WAIT + RESPONSE_PAUSE


def test_poll_is_kept_for_as_long_as_its_response_is_of_use() -> None:
    older, newer = sent_poll(), sent_poll(START + SECOND)
    polls = polls_of(older, newer)
    assert older.expires_at == WAIT_END + MAX_RESPONSE_DELAY
    assert polls.record_answer(newer) == 0
    assert older.expires_at == WAIT_END + EVENT_DELAY_LIMIT
    assert newer.expires_at == newer.wait_ends_at + MAX_RESPONSE_DELAY


def test_answer_to_an_older_poll_does_not_supersede_newer_ones() -> None:
    polls = [sent_poll(START + number * SECOND) for number in range(3)]
    opened = polls_of(*polls)
    assert opened.record_answer(polls[1]) == 1
    assert [poll.is_superseded for poll in polls] == [True, False, False]


def test_oldest_and_newest_poll_are_kept_if_one_must_be_given_up() -> None:
    polls = [sent_poll(START + number * SECOND) for number in range(MAX_POLLS)]
    opened = polls_of(*polls)
    assert opened.is_full
    assert opened.least_useful() is polls[1]


def test_superseded_poll_is_given_up_first() -> None:
    polls = [sent_poll(START + number * SECOND) for number in range(MAX_POLLS)]
    opened = polls_of(*polls)
    opened.record_answer(polls[2])
    assert opened.least_useful() is polls[0]


def test_newest_poll_is_never_given_up_for_another_one() -> None:
    only = sent_poll()
    assert polls_of(only).least_useful() is None
    assert polls_of(only, sent_poll(START + SECOND)).least_useful() is only


def test_long_responses_of_newer_polls_are_given_up_for_the_oldest() -> None:
    """Guards against several long lists in memory, of which none would arrive completely."""
    oldest, newer, newest = (sent_poll(START + number * SECOND) for number in range(3))
    polls = polls_of(oldest, newer, newest)
    polls.record_bytes(oldest, MAX_BYTES, START)
    polls.record_bytes(newer, MAX_BYTES, START)
    with pytest.raises(ResponseBudgetError):
        polls.record_bytes(newest, 1, START)
    polls.record_bytes(oldest, 1, START)
