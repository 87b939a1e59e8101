"""Tests of quotas under random faults.

The proxies' parts of a quota and the pending transfers between proxies together never exceed the whole quota.
"""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from benchmarks.branch import Branch
from tests.router_harness import MS, SECOND
from tests.shared_store.model import make_branch

PROXY_NUMBER = st.integers(0, 3)


class QuotaHistories(RuleBasedStateMachine):
    """Four proxies with different clocks, a warming cache, and a store with faults of all kinds."""

    @initialize(seed=st.integers(0, 2**16))
    def restart(self, seed: int) -> None:
        self.branch: Branch = make_branch(4, seed, size_kb=150.0)
        self.branch.restart_cache("c0")

    @rule(number=PROXY_NUMBER, count=st.integers(1, 12))
    def request(self, number: int, count: int) -> None:
        for _ in range(count):
            self.branch.request(self.branch.proxies[number])

    @rule(span=st.sampled_from([5, 30, 60, 300, 1500, 2500]))
    def wait(self, span: int) -> None:
        self.branch.run(span * MS)

    @rule(number=PROXY_NUMBER)
    def crash(self, number: int) -> None:
        self.branch.proxies[number].restart()

    @rule(number=PROXY_NUMBER, span=st.integers(10, 3000))
    def pause(self, number: int, span: int) -> None:
        self.branch.proxies[number].paused_until = self.branch.now + span * MS

    @rule(
        lost=st.sampled_from([0.0, 0.5]),
        cut=st.sampled_from([0.0, 0.5]),
        duplicated=st.sampled_from([0.0, 0.8]),
        slow=st.sampled_from([0.0, 0.4]),
    )
    def change_link(self, lost: float, cut: float, duplicated: float, slow: float) -> None:
        link = self.branch.links["s0"]
        link.lost = lost
        link.cut = cut
        link.duplicated = duplicated
        link.slow = slow

    @rule()
    def snapshot(self) -> None:
        self.branch.stores["s0"].snapshot()

    @rule(age=st.integers(0, 3000))
    def go_back_to_snapshot(self, age: int) -> None:
        self.branch.stores["s0"].restart_from_snapshot(age)

    @rule()
    def lose_all_data(self) -> None:
        self.branch.stores["s0"].restart_empty()

    @rule(span=st.integers(50, 2000))
    def set_unresponsive(self, span: int) -> None:
        self.branch.links["s0"].unresponsive_until = self.branch.now + span * MS

    @rule(name=st.sampled_from(["c0", "c1"]))
    def restart_cache(self, name: str) -> None:
        self.branch.restart_cache(name)

    @rule(group=st.integers(0, 15))
    def invalidate(self, group: int) -> None:
        self.branch.purge([group])

    @invariant()
    def quota_is_never_exceeded(self) -> None:
        if hasattr(self, "branch"):
            self.branch.check_quotas()
            assert not self.branch.counts.quotas_exceeded
            assert not self.branch.counts.lease_conflicts
            assert not self.branch.counts.served_invalidated

    def teardown(self) -> None:
        if hasattr(self, "branch"):
            for link in self.branch.links.values():
                link.lost = 0.0
                link.cut = 0.0
                link.slow = 0.0
            self.branch.run(8 * SECOND)
            assert not any(proxy.router.requests.pending for proxy in self.branch.proxies)
            assert all(
                not proxy.coordinator or len(proxy.coordinator.commands) < 4 for proxy in self.branch.proxies
            )


TestQuotaHistories = QuotaHistories.TestCase
TestQuotaHistories.settings = settings(
    max_examples=25,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
