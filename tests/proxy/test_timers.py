"""Timers of the event loop."""

from __future__ import annotations

from olivepost.proxy.timers import TimerQueue


def test_timers_fire_by_due_time_and_then_in_the_order_in_which_they_were_set() -> None:
    timers = TimerQueue()
    assert timers.next_due_at is None
    for due_at, timer_id in ((20, 1), (10, 9), (10, 3)):
        timers.schedule(due_at, timer_id)
    assert timers.next_due_at == 10
    assert [timers.pop().timer_id for _ in range(3)] == [9, 3, 1]
    assert timers.next_due_at is None


def test_timeout_of_an_attempt_is_told_from_a_timer_of_the_router() -> None:
    timers = TimerQueue()
    timers.schedule(1, 7)
    timers.schedule(2, 7, is_attempt_timeout=True)
    assert [timers.pop().is_attempt_timeout for _ in range(2)] == [False, True]


def test_ids_of_attempt_timers_are_unique() -> None:
    timers = TimerQueue()
    first = timers.new_timer_id()
    timers.schedule(1, first, is_attempt_timeout=True)
    assert timers.new_timer_id() != first
