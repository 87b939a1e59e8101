"""Runs of the emulated branch. They measure budgets and double fills, and look for violated invariants.

The budgets are the slow start budgets of restarted caches. A double fill is the fill of a name that another
cache stores or is filling. The invariants, such as that quotas are never exceeded, are checked in long random
histories of requests and faults of all kinds.

Each run has its own branch and depends only on its parameters (the job). Runs may therefore be made in
several processes.
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
BUSY_PROXY_WEIGHT = 100  # weight of the busy proxy in the selection of a request's proxy; the others have 1
BUDGET_START_DURATION: Duration = 7 * SECOND  # time from the branch's start until the load begins

HOSTILE_PROXIES = 4
HOSTILE_CACHES = 4
MAX_PAUSE: Duration = 3 * SECOND
MAX_STORE_OUTAGE: Duration = SECOND
MAX_SNAPSHOT_AGE_MS = 3_000
MAX_OPERATION_INTERVAL: Duration = 20 * MILLISECOND
RARE_FAULT_CHANCE = 0.3
# Chances of a fault on the link to the store. Each change of the link selects one of these chances for each
# kind of fault.
LINK_FAULT_CHANCES = (0.0, 0.0, 0.3)
# Number of equally likely kinds of operations in a history. Nine kinds are faults or other changes of the
# branch, and the other kinds are requests.
OPERATION_KINDS = 40
# Time after the last operation of a history by which each request must have its final response.
RECOVERY_DURATION: Duration = 8 * SECOND


class BudgetJob(NamedTuple):
    """Parameters of one run of `measure_budget_use`."""

    has_store: bool
    are_all_restarted: bool  # whether the run restarts all caches, or only one
    seed: int
    rate: int  # requests per second


class BudgetRun(NamedTuple):
    """The used share of the restarted caches' slow start budgets, and the numbers of requests."""

    used_share: float
    exceeded: int  # number of exceeded quotas, summed over all checks of the quotas
    served: int
    requests: int

    @property
    def served_share(self) -> float:
        """Returns the share of requests that were served."""
        return self.served / self.requests


def measure_budget_use(job: BudgetJob) -> BudgetRun:
    """Measures the use of slow start budgets in a branch of 12 proxies, one of which gets most requests.

    The job determines whether one cache or all caches are restarted under load.
    """
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
    """Parameters of one run of `measure_double_fills`."""

    has_store: bool
    seed: int
    rate: int  # requests per second


def measure_double_fills(job: DoubleFillJob) -> float:
    """Returns the share of fills that are double fills in a branch of 12 proxies.

    A double fill is the fill of a name that another cache stores or is filling. Under load, one cache is
    restarted, and then half of the groups of names are invalidated.
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
    """Parameters of one run of `run_hostile_history`."""

    seed: int
    operations: int


@dataclass(frozen=True, slots=True)
class HistoryRun:
    """Size of one random history of requests and faults, and the violations of invariants in the history."""

    steps: int  # events that routers and store coordinators handled
    leases: int
    lease_conflicts: int
    budgets_exceeded: int
    served_invalidated: int
    pending_at_end: int


class HostileHistory:
    """A random sequence of requests and faults in a branch of four proxies; all faults may occur at once."""

    def __init__(self, seed: int) -> None:
        self.branch = Branch(
            settings(HOSTILE_PROXIES), HOSTILE_PROXIES, seed, caches=HOSTILE_CACHES, names=300, size_kb=150.0
        )
        self._draw: random.Random = self.branch.draw
        self._link: StoreLink = self.branch.links["s0"]
        self._store = self.branch.stores["s0"]
        self._operations: dict[int, Callable[[], None]] = {
            0: self._restart_proxy,
            1: self._pause_proxy,
            2: self._change_link,
            3: partial(self._run_rarely, self._restore_snapshot),
            4: partial(self._run_rarely, self._store.restart_empty),
            5: self._make_store_unresponsive,
            6: partial(self._run_rarely, self._restart_cache),
            7: self._invalidate_group,
            8: self._store.snapshot,
        }

    def run_next(self) -> None:
        """Causes one random fault or makes one request, advances the time and checks the quotas."""
        run_operation = self._operations.get(self._draw.randrange(OPERATION_KINDS), self._request)
        run_operation()
        self.branch.run(self._draw.randrange(MAX_OPERATION_INTERVAL))
        self.branch.check_quotas()

    def _run_rarely(self, make_fault: Callable[[], None]) -> None:
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


def run_hostile_history(job: HistoryJob) -> HistoryRun:
    """Runs a history (a sequence) of random faults and requests, then lets the branch recover.

    Each request must have its final response when the recovery ends.
    """
    history = HostileHistory(job.seed)
    branch = history.branch
    branch.restart_cache("c0")
    for _ in range(job.operations):
        history.run_next()
    branch.run(RECOVERY_DURATION)
    return HistoryRun(
        steps=branch.counts.steps,
        leases=branch.counts.leases,
        lease_conflicts=branch.counts.lease_conflicts,
        budgets_exceeded=branch.counts.quotas_exceeded,
        served_invalidated=branch.counts.served_invalidated,
        pending_at_end=sum(proxy.pending_count for proxy in branch.proxies),
    )
