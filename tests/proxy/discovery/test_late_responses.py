"""Tests that each event is known before it counts as notified, however late the coordinator responds.

All runs are played at the same time, since each of them mostly waits.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest

from tests.proxy.discovery.discovery_run import DiscoveryRun, Step, play_all
from tests.proxy.discovery.late_coordinator import PROMPT, UNRESPONSIVE, Reply, ReplyKind, late

EVERY_700_MS = tuple(0.7 * number for number in range(12))


def always(reply: Reply) -> Callable[[], Reply]:
    return lambda: reply


def once(reply: Reply, then: Reply) -> Callable[[], Reply]:
    """Returns a plan with one reply for the next poll, and another for all later ones."""
    replies = itertools.chain([reply], itertools.repeat(then))
    return lambda: next(replies)


def cycle(*delays_s: float) -> Callable[[], Reply]:
    delays = itertools.cycle(delays_s)
    return lambda: late(next(delays))


def outage(duration_s: float) -> list[Step]:
    """Returns a run with an event that is published 0.3 s after an outage in which no poll is answered."""
    return [
        Step(1.5, always(PROMPT), (0.2,)),
        Step(duration_s, always(UNRESPONSIVE)),
        Step(1.0, always(PROMPT), (0.3,)),
    ]


def switch(delay_s: float, old_delay_s: float = 0.0, publish_at_s: tuple[float, ...] = (0.2,)) -> list[Step]:
    """Returns a run with an event just after the switch to a coordinator whose responses are late."""
    return [
        Step(4.0, always(late(old_delay_s)), (0.2,)),
        Step(1.0, always(late(delay_s)), publish_at_s, switches=True),
    ]


def steady(delay_s: float) -> list[Step]:
    return [Step(9.0, always(late(delay_s)), EVERY_700_MS)]


def sudden(first_s: float, second_s: float) -> list[Step]:
    """Returns a run in which the responses' delay changes, and changes back."""
    return [
        Step(4.0, always(late(delay_s)), (0.3, 1.4, 2.2, 3.9)) for delay_s in (first_s, second_s, first_s)
    ]


def after_missing_response(kind: ReplyKind, delay_s: float) -> list[Step]:
    """Returns a run in which one response is missing, and later ones are late."""
    reply = Reply(kind)
    return [Step(1.5, always(PROMPT), (0.2,)), Step(4.0, once(reply, late(delay_s)), (0.9,))]


PROMPT_AFTER_A_SWITCH = [
    Step(1.0, always(PROMPT)),
    Step(8.0, always(PROMPT), switches=True),
]
SUDDEN_DELAY_OF_A_BURST = [
    Step(2.0, always(PROMPT)),
    Step(2.0, always(late(6.95)), (0.0, 0.3, 0.35)),  # the first event makes way for a poll of this step
]
UNANSWERED_RUNS = {
    **{f"outage of {duration_s} s": outage(duration_s) for duration_s in (1.0, 3.0, 5.0, 8.0, 8.5)},
    **{
        f"{kind.name.lower()}, then {delay_s} s late": after_missing_response(kind, delay_s)
        for kind in (ReplyKind.UNRESPONSIVE, ReplyKind.STALLED, ReplyKind.BROKEN)
        for delay_s in (0.0, 1.0, 1.9)
    },
}
IN_FLIGHT_AT_A_SWITCH = [
    Step(1.5, always(PROMPT)),
    Step(5.0, always(late(5.5)), (0.0, 0.5)),  # the first event makes way for a poll of this step
    Step(1.0, always(late(3.5)), switches=True, is_old_unresponsive=False),
]
LATE_RUNS = {
    **{f"switch, {delay_s} s late": switch(delay_s) for delay_s in (0.0, 1.0, 2.5, 3.9)},
    "switch in a burst, 3.6 s late": switch(3.6, publish_at_s=(0.0, 0.2)),
    **{f"steadily {delay_s} s late": steady(delay_s) for delay_s in (0.0, 0.3, 1.0, 2.8, 4.0, 6.8)},
    "from prompt to 4 s late and back": sudden(0.0, 4.0),
    "from prompt to 6.8 s late and back": sudden(0.0, 6.8),
    "from 4 s late to prompt and back": sudden(4.0, 0.0),
    "in flight at a switch": IN_FLIGHT_AT_A_SWITCH,
    "varying": [Step(12.0, cycle(0.1, 5.0, 0.0, 2.8, 6.8, 1.0, 4.0), EVERY_700_MS)],
}


@pytest.fixture(scope="module")
def runs() -> dict[str, DiscoveryRun]:
    steps_by_name = UNANSWERED_RUNS | LATE_RUNS
    steps_by_name["sudden delay of a burst"] = SUDDEN_DELAY_OF_A_BURST
    steps_by_name["prompt after a switch"] = PROMPT_AFTER_A_SWITCH
    steps_by_name["prompt after a delay"] = [Step(4.0, always(late(2.0))), Step(8.0, always(PROMPT))]
    played = {name: DiscoveryRun(steps) for name, steps in steps_by_name.items()}
    play_all(list(played.values()))
    return played


@pytest.mark.parametrize("name", UNANSWERED_RUNS)
def test_event_that_an_unanswered_poll_holds_back_is_known_in_time(
    runs: dict[str, DiscoveryRun], name: str
) -> None:
    """Guards against unanswered polls that are waited for until their events count as notified (review/6)."""
    assert runs[name].observed.violations() == []


@pytest.mark.parametrize("name", LATE_RUNS)
def test_event_of_a_late_response_is_known_in_time(runs: dict[str, DiscoveryRun], name: str) -> None:
    """Guards against polls that are given up although their response is on its way (review/7)."""
    assert runs[name].observed.violations() == []


def test_event_just_after_another_one_is_known_in_time_after_a_sudden_delay(
    runs: dict[str, DiscoveryRun],
) -> None:
    """Guards against events that no open poll asks for, because an earlier event has used up the poll.

    The response with the earlier event is on its way, and the next poll is sent when that one is overdue.
    """
    assert runs["sudden delay of a burst"].observed.violations() == []


@pytest.mark.parametrize("name", ["prompt after a switch", "prompt after a delay"])
def test_coordinator_that_responds_in_time_again_gets_one_poll_a_second(
    runs: dict[str, DiscoveryRun], name: str
) -> None:
    """Guards against polls that go on overlapping, because each is sent before an older one is answered."""
    polls = runs[name].observed.coordinators[-1].polls
    until = polls[-1].asked_at
    assert len([poll for poll in polls if poll.asked_at > until - 4.5]) <= 5
