"""Tests that run a short soak of discovery. `python -m tests.soak.discovery_soak SEED...` runs others."""

from __future__ import annotations

import pytest

from tests.soak.discovery_soak import play

# In the run of seed 70, two events are published just after the switch to a late coordinator.
SEEDS = (*range(1, 16), 70)


@pytest.fixture(scope="module")
def violations() -> dict[int, list[str]]:
    return play(list(SEEDS))


@pytest.mark.parametrize("seed", SEEDS)
def test_each_event_is_known_in_time_among_faults_of_discovery(
    violations: dict[int, list[str]], seed: int
) -> None:
    assert violations[seed] == [], f"to run this seed alone: python -m tests.soak.discovery_soak {seed}"
