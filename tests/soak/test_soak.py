"""A few short soaks; `python -m tests.soak.run SEED...` plays more by hand."""

from __future__ import annotations

import random

import pytest

from tests.soak.options import SoakOptions
from tests.soak.run import play

SEEDS = (3, 21, 38, 43)


@pytest.mark.parametrize("seed", SEEDS)
def test_proxy_keeps_all_invariants_among_faults(seed: int) -> None:
    found = play(seed)
    assert not found, "\n".join([f"play it alone: python -m tests.soak.run {seed}", *found[:8]])


def test_suite_seeds_cover_memory_limits_failing_calls_and_clock_errors() -> None:
    options = [SoakOptions.sample(random.Random(seed)) for seed in SEEDS]
    assert {option.memory_mb for option in options} >= {32, 48, 96}
    assert any(option.failing_calls > 0.05 for option in options)
    assert any(option.clock_s or option.step_s for option in options)
    assert any(option.has_idle_clients for option in options)
