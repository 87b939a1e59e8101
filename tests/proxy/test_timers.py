"""Tests of the timers of the event loop."""

from __future__ import annotations

from olivepost.proxy.timers import MAX_STALE_TIMERS, TimerQueue


def queue_of(live: set[int] | None = None) -> TimerQueue:
    """Returns a queue of timers: all are live (still needed), or only those whose ids are in `live`."""
    return TimerQueue(lambda timer: live is None or timer.timer_id in live)


def test_timers_fire_by_due_time_and_then_in_the_order_in_which_they_were_set() -> None:
    timers = queue_of()
    assert timers.next_due_at is None
    for due_at, timer_id in ((20, 1), (10, 9), (10, 3)):
        timers.schedule(due_at, timer_id)
    assert timers.next_due_at == 10
    assert [timers.pop().timer_id for _ in range(3)] == [9, 3, 1]
    assert timers.next_due_at is None


def test_timeout_of_an_attempt_differs_from_a_timer_of_the_router() -> None:
    timers = queue_of()
    timers.schedule(1, 7)
    timers.schedule(2, 7, is_attempt_timeout=True)
    assert [timers.pop().is_attempt_timeout for _ in range(2)] == [False, True]


def test_ids_of_attempt_timers_are_unique() -> None:
    timers = queue_of()
    first = timers.new_timer_id()
    timers.schedule(1, first, is_attempt_timeout=True)
    assert timers.new_timer_id() != first


def test_stale_timers_are_no_more_than_the_live_ones_and_a_constant() -> None:
    live = set(range(100))
    timers = queue_of(live)
    for timer_id in range(100_000):
        timers.schedule(1_000_000 - timer_id, timer_id)
        assert len(timers) <= 2 * len(live) + MAX_STALE_TIMERS + 1
    left = [timers.pop().timer_id for _ in range(len(timers))]
    assert live <= set(left)
    assert [timer_id for timer_id in left if timer_id in live] == sorted(live, reverse=True)
