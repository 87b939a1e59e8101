"""Tests of the liveness monitor of an upstream connection.

The monitor detects stalled responses and endpoints that do not reply, and decides when a check is due.
"""

from __future__ import annotations

import pytest

from olivepost.proxy.upstream.errors import EndpointUnresponsiveError
from olivepost.proxy.upstream.liveness import IDLE_CHECK_AFTER, LivenessMonitor
from tests.proxy.upstream.fakes import LIMITS, START


def test_connection_is_idle_only_after_a_silence() -> None:
    liveness = LivenessMonitor(LIMITS, last_received_at=START)
    assert not liveness.is_idle(START + IDLE_CHECK_AFTER)
    assert liveness.is_idle(START + IDLE_CHECK_AFTER + 1)


def test_response_that_stalls_is_unresponsive() -> None:
    liveness = LivenessMonitor(LIMITS, last_received_at=START, response_started_at=START)
    liveness.check_progress(START + LIMITS.response_pause_timeout)
    with pytest.raises(EndpointUnresponsiveError, match="did not go on") as caught:
        liveness.check_progress(START + LIMITS.response_pause_timeout + 1)
    assert caught.value.limit == LIMITS.response_pause_timeout


def test_response_that_takes_too_long_is_unresponsive() -> None:
    now = START + LIMITS.response_timeout + 1
    liveness = LivenessMonitor(LIMITS, last_received_at=now, response_started_at=START)
    with pytest.raises(EndpointUnresponsiveError, match="not complete"):
        liveness.check_progress(now)


def test_liveness_check_without_a_reply_is_unresponsive() -> None:
    liveness = LivenessMonitor(LIMITS, last_received_at=START, check_sent_at=START)
    now = START + LIMITS.liveness_check_timeout + 1
    with pytest.raises(EndpointUnresponsiveError, match="alive"):
        liveness.check_progress(now)
    liveness.record_received(now)
    liveness.check_progress(now)
    assert not liveness.is_waiting


def test_liveness_check_is_due_after_a_silence_with_a_waiting_request() -> None:
    liveness = LivenessMonitor(LIMITS, last_received_at=START)
    now = START + LIMITS.liveness_check_delay + 1
    assert liveness.is_check_due(now, START)
    assert not liveness.is_check_due(now, waiting_since=now)
