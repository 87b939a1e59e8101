"""Tests of the histogram of durations.

Its percentiles exceed those of a sorted list of the same durations by at most one part in 32.
"""

from __future__ import annotations

import random

import pytest

from olivepost.proxy.delay_histogram import DelayHistogram

MS = 1_000_000
PRECISION = 1 / 32


def test_percentiles_are_milliseconds_of_sorted_delays() -> None:
    histogram = DelayHistogram()
    for position in range(100):
        histogram.record(position * MS)
    expected = {"p50": 50.0, "p95": 95.0, "p99": 99.0}
    percentiles_ms = histogram.percentiles_ms()
    assert percentiles_ms.pop("max") == 99.0
    assert percentiles_ms == pytest.approx(expected, rel=PRECISION)
    assert DelayHistogram().percentiles_ms() == {}


def test_percentiles_of_any_range_are_those_of_the_sorted_samples() -> None:
    generator = random.Random(5)
    samples = sorted(int(10 ** generator.uniform(0, 11)) for _ in range(5_000))
    histogram = DelayHistogram()
    for sample in samples:
        histogram.record(sample)
    for percent in (1, 10, 50, 95, 99):
        exact = samples[len(samples) * percent // 100]
        assert exact <= histogram.percentile(percent) <= exact * (1 + PRECISION) + 1


@pytest.mark.parametrize("duration", [-5, 0, 1, 31, 32, 33, 63, 64, 1 << 47, 1 << 60])
def test_single_duration_is_its_own_percentile(duration: int) -> None:
    histogram = DelayHistogram()
    histogram.record(duration)
    assert histogram.percentile(50) == max(0, duration)
