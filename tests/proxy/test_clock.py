"""Tests of the proxy's clock."""

from __future__ import annotations

import time

import pytest

from olivepost.proxy.clock import Clock


def test_clock_does_not_lag_when_a_thread_waits_between_its_readings(monkeypatch: pytest.MonkeyPatch) -> None:
    waits = iter([50_000_000, 0, 20_000_000])
    monkeypatch.setattr(time, "monotonic_ns", lambda real=time.monotonic_ns: real() + next(waits, 10_000_000))
    clock = Clock()
    monkeypatch.undo()
    assert abs(clock.now() - time.time_ns()) < 10_000_000


def test_clock_is_unix_time_and_never_goes_back() -> None:
    clock = Clock()
    first = clock.now()
    assert abs(first - time.time_ns()) < 5_000_000_000
    assert clock.now() >= first


def test_times_of_other_machines_are_put_on_a_clock_that_is_behind() -> None:
    clock = Clock()
    now = clock.now()
    assert clock.from_unix(now) == now
    # Another machine's time in the past is no evidence that this clock is wrong.
    clock.observe(now - 5_000_000_000)
    assert clock.from_unix(now) == now
    clock.observe(clock.now() + 3_600_000_000_000)
    later = clock.from_unix(now + 3_600_000_000_000)
    assert abs(later - now) < 1_000_000_000
    # Observing a later time does not set this clock forward, so durations between its readings stay correct.
    assert clock.now() - now < 1_000_000_000
