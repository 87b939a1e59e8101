"""The proxy's clock."""

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
