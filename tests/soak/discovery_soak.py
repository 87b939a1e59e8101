"""Soak of discovery: a client against coordinators that are late, unresponsive, broken off and replaced.

    python -m tests.soak.discovery_soak SEED [SEED...]

plays the seeds in groups, those of a group at the same time, and prints the violations of each seed.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable

from tests.proxy.discovery.discovery_run import DiscoveryRun, Step, play_all
from tests.proxy.discovery.late_coordinator import PROMPT, UNRESPONSIVE, Reply, ReplyKind, late

STEPS = 6  # number of spans of trouble in a run
GROUP_SIZE = 24  # number of runs that are played at the same time
MEAN_PUBLISH_INTERVAL_S = 0.6
# Longest delay of a response. A longer one that is sudden, under a burst of events, is a test of its own:
# `test_event_just_after_another_one_is_known_in_time_after_a_sudden_delay`.
MAX_DELAY_S = 6.0
# Longest delay just after a missing response, whose events count as notified after 2 s.
MAX_DELAY_AFTER_MISSING_S = 1.8
MAX_DELAY_AFTER_OUTAGE_S = 1.0
# Longest delays just after a switch, whose events count as notified after 4 s, and of a coordinator that is
# replaced and sends no response that was on its way.
MAX_DELAY_AFTER_SWITCH_S = 3.7
MAX_DELAY_OF_SILENCED_S = 2.8
SETTLING_S = 4.5  # time for which responses are less late after a missing response or a switch
MAX_OUTAGE_S = 9.0
QUIET_BEFORE_OUTAGE_S = 1.5  # events in an outage could not be known in time by any client
MISSING = (ReplyKind.UNRESPONSIVE, ReplyKind.STALLED, ReplyKind.BROKEN)


class ScenarioSampler:
    """Sampler of the steps of one run; the seed makes all choices."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._steps: list[Step] = []
        self._max_delay_s = 0.0  # longest delay of the last steps, whose responses may be on their way
        self._choices: list[Callable[[], None]] = [
            self._add_steady,
            self._add_varying,
            self._add_missing,
            self._add_outage,
            self._add_switch,
        ]

    def sample(self) -> list[Step]:
        """Returns the steps of the run."""
        self._add(self._uniform(1.0, 3.0), lambda: PROMPT)
        for _ in range(STEPS):
            self._random.choice(self._choices)()
        return self._steps

    def _add(self, duration_s: float, plan: Callable[[], Reply], max_delay_s: float = 0.0) -> None:
        self._steps.append(Step(duration_s, plan, self._publish_times(duration_s)))
        self._max_delay_s = max(max_delay_s, self._max_delay_s / 2)

    def _add_steady(self) -> None:
        delay_s = self._uniform(0.0, MAX_DELAY_S)
        self._add(self._uniform(2.0, 6.0), lambda: late(delay_s), delay_s)

    def _add_varying(self) -> None:
        delays = random.Random(self._random.random())
        self._add(self._uniform(2.0, 6.0), lambda: late(delays.uniform(0.0, MAX_DELAY_S)), MAX_DELAY_S)

    def _add_missing(self) -> None:
        """Adds a step in which one response is missing and later ones are less late."""
        missing = [Reply(self._random.choice(MISSING))]
        delays = random.Random(self._random.random())

        def plan() -> Reply:
            return missing.pop() if missing else late(delays.uniform(0.0, MAX_DELAY_AFTER_MISSING_S))

        self._add(SETTLING_S, plan, MAX_DELAY_AFTER_MISSING_S)

    def _add_outage(self) -> None:
        """Adds an outage in which no poll is answered, and a step in which responses are less late."""
        duration_s = self._uniform(0.5, MAX_OUTAGE_S)
        delay_s = self._uniform(0.0, MAX_DELAY_AFTER_OUTAGE_S)
        self._steps.append(Step(QUIET_BEFORE_OUTAGE_S, lambda: late(delay_s)))
        self._steps.append(Step(duration_s, lambda: UNRESPONSIVE))
        self._add(SETTLING_S, lambda: late(delay_s), delay_s)

    def _add_switch(self) -> None:
        """Adds a step that begins with a switch.

        Responses of the replaced coordinator that are on their way may be lost, or arrive within 1.5 s.
        """
        is_old_slow = self._max_delay_s > MAX_DELAY_OF_SILENCED_S
        is_old_unresponsive = not is_old_slow and self._random.random() < 0.5
        max_delay_s = MAX_DELAY_OF_SILENCED_S if is_old_slow else MAX_DELAY_AFTER_SWITCH_S
        delay_s = self._uniform(0.0, max_delay_s)
        times = self._publish_times(SETTLING_S)
        self._steps.append(Step(SETTLING_S, lambda: late(delay_s), times, True, is_old_unresponsive))
        self._max_delay_s = delay_s

    def _uniform(self, low: float, high: float) -> float:
        return self._random.uniform(low, high)

    def _publish_times(self, duration_s: float) -> list[float]:
        times: list[float] = []
        at_s = self._random.expovariate(1 / MEAN_PUBLISH_INTERVAL_S)
        while at_s < duration_s:
            times.append(at_s)
            at_s += self._random.expovariate(1 / MEAN_PUBLISH_INTERVAL_S)
        return times


def play(seeds: list[int]) -> dict[int, list[str]]:
    """Plays the runs of the given seeds at the same time; returns the violations of each seed."""
    runs = {seed: DiscoveryRun(ScenarioSampler(seed).sample(), seed) for seed in seeds}
    play_all(list(runs.values()))
    return {seed: run.observed.violations() for seed, run in runs.items()}


def main(arguments: list[str]) -> int:
    """Plays the seeds of the command line; returns 1 if one of them has a violation."""
    seeds = [int(argument) for argument in arguments]
    found = {}
    for first in range(0, len(seeds), GROUP_SIZE):
        found.update(play(seeds[first : first + GROUP_SIZE]))
    for seed, violations in found.items():
        print(f"seed {seed}: {'; '.join(violations) or 'kept'}")
    return 1 if any(found.values()) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
