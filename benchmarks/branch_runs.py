"""Runs of the emulated branch: use of slow start budgets, double fills, long histories with every fault.

Each run has a branch of its own and depends on its job alone, so that runs may be made in several processes.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from benchmarks.branch import Branch, StoreLink, settings
from olivepost.units import MILLISECOND, SECOND, Duration

PROXIES = 12
BUDGET_LOAD_DURATION: Duration = 10 * SECOND
BUDGET_CHECKS = 200
BUDGET_CHECK_INTERVAL: Duration = 50 * MILLISECOND
BUSY_PROXY_WEIGHT = 100  # of the busy proxy's share of requests; each other proxy has 1
BUDGET_START_DURATION: Duration = 7 * SECOND  # before the load

HOSTILE_PROXIES = 4
HOSTILE_CACHES = 4
MAX_PAUSE: Duration = 3 * SECOND
MAX_STORE_OUTAGE: Duration = SECOND
MAX_SNAPSHOT_AGE_MS = 3_000
MAX_MOVE_INTERVAL: Duration = 20 * MILLISECOND
RARE_FAULT_CHANCE = 0.3
LINK_FAULT_CHANCES = (0.0, 0.0, 0.3)  # of which a change of the link takes one for each fault
MOVE_KINDS = 40  # nine are faults, the others requests
RECOVERY_DURATION: Duration = 8 * SECOND  # after the last fault, until each request must have its response


class BudgetJob(NamedTuple):
    """One run for `measure_budget_use`."""

    has_store: bool
    are_all_restarted: bool  # False: one cache is
    seed: int
    rate: int  # requests a second


class BudgetRun(NamedTuple):
    """How much of the restarted caches' slow start budgets was used, and what was served."""

    used_share: float
    exceeded: int  # checks that found more than the whole of a quota
    served: int
    requests: int

    @property
    def served_share(self) -> float:
        """The share of requests that were served."""
        return self.served / self.requests


def measure_budget_use(job: BudgetJob) -> BudgetRun:
    """A branch of 12 proxies of which one is busy; one cache or all of them are restarted under load."""
    branch = Branch(
        settings(PROXIES), PROXIES, job.seed, has_store=job.has_store, names=4_000, size_kb=100.0, weight=4.0
    )
    branch.run(BUDGET_START_DURATION)
    weights = [BUSY_PROXY_WEIGHT] + [1] * (PROXIES - 1)

    def select_proxy() -> int:
        (number,) = branch.draw.choices(range(PROXIES), weights)
        return number

    branch.load(job.rate, BUDGET_LOAD_DURATION, select_proxy)
    if job.are_all_restarted:
        branch.run(0)
        restarted = list(branch.caches)
    else:
        branch.run(2 * SECOND)
        restarted = ["c1"]
    for name in restarted:
        branch.restart_cache(name)
    for _ in range(BUDGET_CHECKS):
        branch.run(BUDGET_CHECK_INTERVAL)
        branch.check_quotas()
    uses = [
        branch.slow_start_use(name) for name, cache in branch.caches.items() if cache.started_at is not None
    ]
    used_share = sum(use.used for use in uses) / sum(use.whole for use in uses)
    counts = branch.counts
    return BudgetRun(used_share, counts.quotas_exceeded, counts.served, counts.requests)


class DoubleFillJob(NamedTuple):
    """One run for `measure_double_fills`."""

    has_store: bool
    seed: int
    rate: int  # requests a second


def measure_double_fills(job: DoubleFillJob) -> float:
    """The share of double fills in a branch of 12 proxies.

    Under load one cache is restarted, then half of the groups are invalidated.
    """
    branch = Branch(settings(PROXIES), PROXIES, job.seed, has_store=job.has_store)
    branch.run(4 * SECOND)
    branch.load(job.rate, 16 * SECOND)
    branch.run(4 * SECOND)
    branch.restart_cache("c1")
    branch.run(4 * SECOND)
    branch.purge(list(range(0, branch.groups, 2)))
    branch.run(6 * SECOND)
    return branch.counts.double_fills / max(1, branch.counts.fills)


class HistoryJob(NamedTuple):
    """One run for `play_hostile_history`."""

    seed: int
    moves: int


@dataclass(frozen=True, slots=True)
class HistoryRun:
    """Violations of invariants in one history, and its extent."""

    steps: int  # events that routers and store coordinators handled
    leases: int
    lease_conflicts: int
    budgets_exceeded: int
    served_invalidated: int
    pending_at_end: int


class HostileHistory:
    """A branch of four proxies under every fault at once."""

    def __init__(self, seed: int) -> None:
        self.branch = Branch(
            settings(HOSTILE_PROXIES), HOSTILE_PROXIES, seed, caches=HOSTILE_CACHES, names=300, size_kb=150.0
        )
        self._draw: random.Random = self.branch.draw
        self._link: StoreLink = self.branch.links["s0"]
        self._store = self.branch.stores["s0"]
        self._moves: dict[int, Callable[[], None]] = {
            0: self._restart_proxy,
            1: self._pause_proxy,
            2: self._change_link,
            3: partial(self._rarely, self._restore_snapshot),
            4: partial(self._rarely, self._store.restart_empty),
            5: self._make_store_unresponsive,
            6: partial(self._rarely, self._restart_cache),
            7: self._invalidate_group,
            8: self._store.snapshot,
        }

    def move(self) -> None:
        """Makes one fault or request and lets some time pass."""
        make_move = self._moves.get(self._draw.randrange(MOVE_KINDS), self._request)
        make_move()
        self.branch.run(self._draw.randrange(MAX_MOVE_INTERVAL))
        self.branch.check_quotas()

    def _rarely(self, make_fault: Callable[[], None]) -> None:
        if self._draw.random() < RARE_FAULT_CHANCE:
            make_fault()
        else:
            self._request()

    def _request(self) -> None:
        self.branch.request(self.branch.proxies[self._draw.randrange(HOSTILE_PROXIES)])

    def _restart_proxy(self) -> None:
        self.branch.proxies[self._draw.randrange(HOSTILE_PROXIES)].restart()

    def _pause_proxy(self) -> None:
        paused_until = self.branch.now + self._draw.randrange(MAX_PAUSE)
        proxy = self.branch.proxies[self._draw.randrange(HOSTILE_PROXIES)]
        proxy.paused_until = paused_until

    def _change_link(self) -> None:
        self._link.lost = self._draw.choice(LINK_FAULT_CHANCES)
        self._link.cut = self._draw.choice(LINK_FAULT_CHANCES)
        self._link.duplicated = self._draw.choice(LINK_FAULT_CHANCES)
        self._link.slow = self._draw.choice(LINK_FAULT_CHANCES)

    def _restore_snapshot(self) -> None:
        self._store.restart_from_snapshot(self._draw.randrange(MAX_SNAPSHOT_AGE_MS))

    def _make_store_unresponsive(self) -> None:
        self._link.unresponsive_until = self.branch.now + self._draw.randrange(MAX_STORE_OUTAGE)

    def _restart_cache(self) -> None:
        self.branch.restart_cache(f"c{self._draw.randrange(HOSTILE_CACHES)}")

    def _invalidate_group(self) -> None:
        self.branch.purge([self._draw.randrange(self.branch.groups)])


def play_hostile_history(job: HistoryJob) -> HistoryRun:
    """Makes a number of moves, then lets the branch recover: each request gets its final response by then."""
    history = HostileHistory(job.seed)
    branch = history.branch
    branch.restart_cache("c0")
    for _ in range(job.moves):
        history.move()
    branch.run(RECOVERY_DURATION)
    return HistoryRun(
        steps=branch.counts.steps,
        leases=branch.counts.leases,
        lease_conflicts=branch.counts.lease_conflicts,
        budgets_exceeded=branch.counts.quotas_exceeded,
        served_invalidated=branch.counts.served_invalidated,
        pending_at_end=sum(proxy.pending_count for proxy in branch.proxies),
    )
