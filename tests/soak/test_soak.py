"""Tests that run a few short soaks; `python -m tests.soak.run SEED...` runs other seeds by hand."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import ExitStack

import pytest

from tests.soak.child_process import ChildProcess
from tests.soak.options import FIRST_PRESSURE_SEED, PressureOptions, SoakOptions, key_window_s

SEEDS = (3, 21, 38, 43)
# The first seed's run has a crowd, which is a load with more clients than the proxy may have connections. The
# second has a slow reader, and stops reading the proxy's log. The third has a lasting shortage, during which
# all peeks at sockets fail until the proxy exits. In the fourth, writes have short-lived keys.
PRESSURE_SEEDS = (1003, 1039, 1262, 2005)
RUN_TIMEOUT_S = 90.0


class SoakRunProcess(ChildProcess):
    """One seed's run in a separate process."""

    def __init__(self, seed: int) -> None:
        super().__init__(["-m", "tests.soak.run", str(seed)], has_pipes=True)
        self.seed = seed
        self._output: str | None = None  # None until `wait` has returned

    def wait(self) -> str:
        """Waits for the end of the run; returns its standard output."""
        if self._output is None:
            output, _ = self.process.communicate(timeout=RUN_TIMEOUT_S)
            self._output = str(output, "utf-8")
        return self._output

    @property
    def exit_code(self) -> int | None:
        """Exit code of the run; None until `wait` has returned."""
        return self.process.returncode


@pytest.fixture(scope="module")
def soak_runs() -> Iterator[dict[int, SoakRunProcess]]:
    """Starts the runs of the seeds without pressure, all at the same time, and yields them by seed.

    Pressure is the additional load and faults of `PressureOptions`.
    """
    with ExitStack() as stack:
        yield {seed: stack.enter_context(SoakRunProcess(seed)) for seed in SEEDS}


@pytest.fixture(scope="module")
def pressure_runs(soak_runs: dict[int, SoakRunProcess]) -> Iterator[dict[int, SoakRunProcess]]:
    """Starts the runs of the seeds with pressure, and yields them by seed.

    These runs start when the runs without pressure have ended, because the clients of a crowd load the
    machine heavily.
    """
    for run in soak_runs.values():
        run.wait()
    with ExitStack() as stack:
        yield {seed: stack.enter_context(SoakRunProcess(seed)) for seed in PRESSURE_SEEDS}


def assert_invariants_kept(run: SoakRunProcess) -> None:
    output = run.wait()
    assert run.exit_code == 0, f"to run this seed alone: python -m tests.soak.run {run.seed}\n{output}"
    assert f"seed {run.seed}: kept" in output


@pytest.mark.parametrize("seed", SEEDS)
def test_proxy_keeps_all_invariants_among_faults(soak_runs: dict[int, SoakRunProcess], seed: int) -> None:
    assert_invariants_kept(soak_runs[seed])


@pytest.mark.parametrize("seed", PRESSURE_SEEDS)
def test_proxy_keeps_all_invariants_under_pressure(
    pressure_runs: dict[int, SoakRunProcess], seed: int
) -> None:
    assert_invariants_kept(pressure_runs[seed])


def test_suite_seeds_cover_crowds_slow_readers_stalled_logs_and_lasting_shortages() -> None:
    options = [
        PressureOptions.sample(seed, SoakOptions.sample(random.Random(seed))) for seed in PRESSURE_SEEDS
    ]
    assert any(option.crowd_factor for option in options)
    assert any(option.slow_readers for option in options)
    assert any(option.has_stalled_log for option in options)
    assert any(option.has_lasting_shortage for option in options)


def test_suite_seeds_cover_writes_with_and_without_keys() -> None:
    assert {key_window_s(seed) > 0 for seed in SEEDS + PRESSURE_SEEDS} == {False, True}


def test_suite_seeds_cover_memory_limits_failing_calls_and_clock_errors() -> None:
    options = [SoakOptions.sample(random.Random(seed)) for seed in SEEDS]
    assert {option.memory_mb for option in options} >= {32, 48, 96}
    assert any(option.failing_call_share > 0.05 for option in options)
    assert any(option.clock_error_s or option.clock_step_s for option in options)
    assert any(option.has_idle_clients for option in options)


def test_seeds_below_the_first_with_pressure_play_what_they_did() -> None:
    options = SoakOptions.sample(random.Random(0))
    assert PressureOptions.sample(FIRST_PRESSURE_SEED - 1, options) == PressureOptions()
    assert PressureOptions.sample(FIRST_PRESSURE_SEED, options) != PressureOptions()
