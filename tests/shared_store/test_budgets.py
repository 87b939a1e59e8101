"""Budgets over hostile histories: parts and running loans never pass the whole, whatever happens."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from benchmarks.branch import Branch
from tests.helpers import MS, SECOND
from tests.shared_store.model import branch

FRONT = st.integers(0, 3)


class Budgets(RuleBasedStateMachine):
    """Four fronts with clocks apart, a cold cache, and a store that is anything but reliable."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.made: Branch = branch(4, seed, size=150.0)
        self.made.restart_cache("c0")

    @rule(number=FRONT, count=st.integers(1, 12))
    def requests(self, number: int, count: int) -> None:
        for _ in range(count):
            self.made.request(self.made.fronts[number])

    @rule(span=st.sampled_from([5, 30, 60, 300, 1500, 2500]))
    def wait(self, span: int) -> None:
        self.made.run(span * MS)

    @rule(number=FRONT)
    def crash(self, number: int) -> None:
        self.made.fronts[number].begin()

    @rule(number=FRONT, span=st.integers(10, 3000))
    def pause(self, number: int, span: int) -> None:
        self.made.fronts[number].paused_until = self.made.now + span * MS

    @rule(
        lost=st.sampled_from([0.0, 0.5]),
        cut=st.sampled_from([0.0, 0.5]),
        doubled=st.sampled_from([0.0, 0.8]),
        slow=st.sampled_from([0.0, 0.4]),
    )
    def way(self, lost: float, cut: float, doubled: float, slow: float) -> None:
        way = self.made.ways["s0"]
        way.lost, way.cut, way.doubled, way.slow = lost, cut, doubled, slow

    @rule()
    def snapshot(self) -> None:
        self.made.stores["s0"].snapshot()

    @rule(age=st.integers(0, 3000))
    def go_back(self, age: int) -> None:
        self.made.stores["s0"].go_back(age)

    @rule()
    def lose(self) -> None:
        self.made.stores["s0"].lose()

    @rule(span=st.integers(50, 2000))
    def silence(self, span: int) -> None:
        self.made.ways["s0"].silent_until = self.made.now + span * MS

    @rule(name=st.sampled_from(["c0", "c1"]))
    def cold(self, name: str) -> None:
        self.made.restart_cache(name)

    @rule(group=st.integers(0, 15))
    def purge(self, group: int) -> None:
        self.made.purge([group])

    @invariant()
    def the_whole_holds(self) -> None:
        if hasattr(self, "made"):
            self.made.look_at_budgets()
            assert not self.made.counts.over_whole
            assert not self.made.counts.owned_twice
            assert not self.made.counts.older_than_purge

    def teardown(self) -> None:
        if hasattr(self, "made"):
            for way in self.made.ways.values():
                way.lost = way.cut = way.slow = 0.0
            self.made.run(8 * SECOND)
            assert not any(front.router.pending for front in self.made.fronts)
            assert all(not front.sharing or len(front.sharing.commands) < 4 for front in self.made.fronts)


TestBudgets = Budgets.TestCase
TestBudgets.settings = settings(
    max_examples=25,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
