"""Tests of the schedule of a graceful shutdown."""

from __future__ import annotations

import pytest

from olivepost.proxy.shutdown import ShutdownSchedule
from olivepost.units import MILLISECOND, SECOND


@pytest.mark.parametrize(("longest_deadline", "waits_for"), [(SECOND, SECOND), (9 * SECOND, 3 * SECOND)])
def test_responses_and_exit_come_before_the_platform_kills(longest_deadline: int, waits_for: int) -> None:
    schedule = ShutdownSchedule.from_start(1_000, longest_deadline)
    killed_at = 1_000 + waits_for + 700 * MILLISECOND
    assert schedule.accept_until == 1_000 + 700 * MILLISECOND
    assert schedule.respond_by == killed_at - 250 * MILLISECOND
    assert schedule.exit_by == killed_at - 100 * MILLISECOND
    assert schedule.exit_by < schedule.end_by < killed_at
