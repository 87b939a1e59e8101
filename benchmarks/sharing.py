"""Benchmark of the shared store: pairs of a run without a store and a run with a healthy or faulty store.

Runs of real proxies with stand-in caches show what clients see (`fleet_runs`). An emulated branch of 12
proxies shows the use of slow start budgets. Long histories of a branch of four proxies, with seeded random
requests and faults of all kinds, show violations of invariants (`branch_runs`).
"""

from __future__ import annotations

import statistics
import sys
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any, NamedTuple

from benchmarks.branch_runs import (
    BudgetJob,
    BudgetRun,
    DoubleFillJob,
    HistoryJob,
    HistoryRun,
    measure_budget_use,
    measure_double_fills,
    run_hostile_history,
)
from benchmarks.fleet_runs import FAULTS, NAMES, NO_STORE, PROXIES, FleetRun, run_fleet
from benchmarks.load import LoadOptions

WORKER_PROCESSES = 8
# Number of seeds of histories that are reserved for each seed of the benchmark. The number is above any
# plan's number of histories, so that two seeds of the benchmark never run the same history.
HISTORY_SEEDS_PER_SEED = 1_000
MIN_SERVICE_SHARE = 1e-9  # replaces a smaller denominator of a ratio, since a division by 0 is undefined


@dataclass(frozen=True, slots=True)
class Plan:
    """The numbers and sizes of the runs."""

    # Number of runs of the real fleet for each scenario. Each run forms a pair with the run without a store
    # that has the same index.
    pairs: int
    duration_s: float  # duration of each run of the real fleet
    rate: float  # request rate (per second) of each run of the real fleet
    jobs: int  # number of runs of the emulated branch for each metric
    budget_rate: int  # request rate (per second) of the runs that measure slow start budgets
    double_fill_rate: int  # request rate (per second) of the runs that measure double fills
    histories: int
    operations: int  # number of faults and requests in each history
    # Whether slow start budgets are also measured in runs that restart all caches.
    restarts_all_caches: bool


FULL_PLAN = Plan(
    pairs=5,
    duration_s=8.0,
    rate=150.0,
    jobs=5,
    budget_rate=600,
    double_fill_rate=300,
    histories=96,
    operations=6_000,
    restarts_all_caches=True,
)
QUICK_PLAN = Plan(
    pairs=1,
    duration_s=3.0,
    rate=120.0,
    jobs=1,
    budget_rate=150,
    double_fill_rate=100,
    histories=8,
    operations=150,
    restarts_all_caches=False,
)


class BudgetCase(NamedTuple):
    """A kind of run that measures slow start budgets."""

    has_store: bool
    are_all_restarted: bool  # whether the run restarts all caches, or only one


@dataclass(frozen=True, slots=True)
class BranchRuns:
    """The results of all runs of the emulated branch."""

    budgets: dict[BudgetCase, list[BudgetRun]]
    # For each run, the share of its fills that were double fills, by whether the run had a store. A double
    # fill is the fill of a name that another cache stores or is filling.
    double_fill_shares: dict[bool, list[float]]
    histories: list[HistoryRun]


class FleetRuns:
    """The runs of the real fleet by scenario. Runs of two scenarios with the same index form a pair."""

    def __init__(self, by_scenario: dict[str, list[FleetRun]]) -> None:
        self.by_scenario = by_scenario

    def median(self, scenario: str, metric: Callable[[FleetRun], float | None]) -> float:
        """Returns the median of a metric over a scenario's runs that have it; at least one must have it."""
        values = [metric(run) for run in self.by_scenario[scenario]]
        return statistics.median(value for value in values if value is not None)

    def added_p99_ms(self, scenario: str) -> list[float]:
        """Returns by how many ms a scenario's 99th percentile of latency exceeds the one without a store.

        The list has one difference for each run of the scenario: that run is compared with the run without a
        store that has the same index.
        """
        pairs = zip(self.by_scenario[NO_STORE], self.by_scenario[scenario], strict=True)
        return [with_store.p99_ms - without.p99_ms for without, with_store in pairs]

    def service_ratio(self, scenario: str) -> float:
        """Returns a scenario's share of requests served in time, divided by the same share without a store.

        There is one such ratio for each run of the scenario: that run is compared with the run without a
        store that has the same index. Returns the median of the ratios.
        """
        pairs = zip(self.by_scenario[NO_STORE], self.by_scenario[scenario], strict=True)
        return statistics.median(
            with_store.service_share / max(MIN_SERVICE_SHARE, without.service_share)
            for without, with_store in pairs
        )


def run(is_quick: bool, seed: int) -> dict[str, Any]:
    """Makes all runs; returns the metrics by name: medians over runs, and counts of violated invariants."""
    plan = QUICK_PLAN if is_quick else FULL_PLAN
    fleet_runs = run_fleets(plan, seed)
    report_progress("running the emulated branch")
    start = time.monotonic()
    branch_runs = run_branches(plan, seed)
    report_progress(f"the emulated branch took {time.monotonic() - start:.0f} s")
    return {
        **fleet_metrics(plan, fleet_runs, branch_runs),
        **branch_metrics(fleet_runs, branch_runs),
        **cost_metrics(fleet_runs),
    }


def report_progress(text: str) -> None:
    """Writes a line to standard error."""
    print(text, file=sys.stderr, flush=True)


def run_fleets(plan: Plan, seed: int) -> FleetRuns:
    """Runs all scenarios on the real fleet one after another, `plan.pairs` times."""
    by_scenario: dict[str, list[FleetRun]] = {name: [] for name in (NO_STORE, *FAULTS)}
    for pair in range(plan.pairs):
        load = LoadOptions(seed + pair, plan.rate, plan.duration_s, NAMES)
        for scenario, runs in by_scenario.items():
            report_progress(f"pair {pair + 1} of {plan.pairs}: {scenario}")
            runs.append(run_fleet(scenario, load))
    return FleetRuns(by_scenario)


def run_branches(plan: Plan, seed: int) -> BranchRuns:
    """Makes all runs of the emulated branch, in worker processes."""
    seeds = [seed + number for number in range(plan.jobs)]
    first_history = seed * HISTORY_SEEDS_PER_SEED
    history_jobs = [HistoryJob(first_history + number, plan.operations) for number in range(plan.histories)]
    cases = [BudgetCase(has_store, are_all_restarted=False) for has_store in (False, True)]
    if plan.restarts_all_caches:
        cases += [BudgetCase(has_store, are_all_restarted=True) for has_store in (False, True)]
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        budgets = {
            case: pool.map(
                measure_budget_use, [BudgetJob(*case, run_seed, plan.budget_rate) for run_seed in seeds]
            )
            for case in cases
        }
        double_fills = {
            has_store: pool.map(
                measure_double_fills,
                [DoubleFillJob(has_store, run_seed, plan.double_fill_rate) for run_seed in seeds],
            )
            for has_store in (False, True)
        }
        histories = pool.map(run_hostile_history, history_jobs)
        return BranchRuns(
            budgets={case: list(runs) for case, runs in budgets.items()},
            double_fill_shares={has_store: list(shares) for has_store, shares in double_fills.items()},
            histories=list(histories),
        )


def fleet_metrics(plan: Plan, fleet_runs: FleetRuns, branch_runs: BranchRuns) -> dict[str, Any]:
    """Returns the metrics of double fills, requests served and latency, without a store and with one."""
    ratios = {name: fleet_runs.service_ratio(name) for name in ("dead", "silent", "slow", "flapping")}
    worst = max(ratios, key=lambda name: abs(ratios[name] - 1))
    double_fills = {
        has_store: statistics.median(shares) for has_store, shares in branch_runs.double_fill_shares.items()
    }
    added_healthy_ms = fleet_runs.added_p99_ms("healthy")
    added_unresponsive_ms = fleet_runs.added_p99_ms("silent")
    p50_off_ms = fleet_runs.median(NO_STORE, lambda run: run.p50_ms)
    p50_healthy_ms = fleet_runs.median("healthy", lambda run: run.p50_ms)
    double_fills_off = fleet_runs.median(NO_STORE, lambda run: run.double_fill_share)
    double_fills_on = fleet_runs.median("healthy", lambda run: run.double_fill_share)
    return {
        "fronts": PROXIES,
        "pairs": plan.pairs,
        "requests_per_run": fleet_runs.by_scenario[NO_STORE][0].request_count,
        "double_fill_share_off": round(double_fills_off, 4),
        "double_fill_share_on": round(double_fills_on, 4),
        "double_fill_share_off_12_fronts": round(double_fills[False], 4),
        "double_fill_share_on_12_fronts": round(double_fills[True], 4),
        "service_ratio_dead_over_off": round(ratios[worst], 4),
        "service_ratio_worst_fault": worst,
        "service_ratios": {name: round(ratio, 4) for name, ratio in ratios.items()},
        "service_off": round(fleet_runs.median(NO_STORE, lambda run: run.service_share), 4),
        "answer_p99_ms_off": round(fleet_runs.median(NO_STORE, lambda run: run.p99_ms), 2),
        "answer_p99_added_ms_healthy": round(statistics.median(added_healthy_ms), 2),
        "answer_p99_added_ms_silent": round(statistics.median(added_unresponsive_ms), 2),
        "answer_p99_added_ms_silent_spread": [
            round(min(added_unresponsive_ms), 2),
            round(max(added_unresponsive_ms), 2),
        ],
        "answer_p50_added_ms_healthy": round(p50_healthy_ms - p50_off_ms, 2),
    }


def branch_metrics(fleet_runs: FleetRuns, branch_runs: BranchRuns) -> dict[str, Any]:
    """Returns the counts of violated invariants, and the use of slow start budgets."""
    histories = branch_runs.histories
    budget_runs = [run for runs in branch_runs.budgets.values() for run in runs]
    off_runs = fleet_runs.by_scenario[NO_STORE]
    all_runs = [run for runs in fleet_runs.by_scenario.values() for run in runs]
    served_invalidated = sum(run.served_older_than_purge for run in all_runs)
    served_invalidated += sum(history.served_invalidated for history in histories)
    exceeded = sum(history.budgets_exceeded for history in histories)
    exceeded += sum(run.exceeded for run in budget_runs)
    return {
        "claims_tried": sum(history.leases for history in histories),
        "claims_owned_twice": sum(history.lease_conflicts for history in histories),
        "model_seeds": len(histories),
        "model_steps": sum(history.steps for history in histories),
        "model_left_open": sum(history.pending_at_end for history in histories),
        "served_older_than_purge_off": sum(run.served_older_than_purge for run in off_runs),
        "served_older_than_purge": served_invalidated,
        "budget_sum_over_whole": exceeded,
        **budget_metrics(branch_runs),
    }


def budget_metrics(branch_runs: BranchRuns) -> dict[str, float | None]:
    """Returns the shares of budgets that were used, and of requests that were served, by metric.

    A share is `None` if the plan has no runs that measure it.
    """
    metrics: dict[str, float | None] = {}
    for are_all_restarted, used_prefix, served_prefix in (
        (False, "", "one_cold_"),
        (True, "all_", "all_cold_"),
    ):
        off = branch_runs.budgets.get(BudgetCase(False, are_all_restarted), [])
        on = branch_runs.budgets.get(BudgetCase(True, are_all_restarted), [])
        metrics[f"{used_prefix}cold_budget_used_share_off"] = median_or_none([run.used_share for run in off])
        metrics[f"{used_prefix}cold_budget_used_share_on"] = median_or_none([run.used_share for run in on])
        metrics[f"{served_prefix}served_share_off"] = median_or_none([run.served_share for run in off])
        metrics[f"{served_prefix}served_share_on"] = median_or_none([run.served_share for run in on])
    return metrics


def median_or_none(values: Sequence[float]) -> float | None:
    """Returns the median, rounded to four decimal places, or `None` if there are no values."""
    return round(statistics.median(values), 4) if values else None


def cost_metrics(fleet_runs: FleetRuns) -> dict[str, Any]:
    """Returns the time to recover from faults in ms, and the CPU time per request in microseconds."""
    recoveries_ms = [fleet_runs.median(name, lambda run: run.recovery_ms) for name in ("silent", "dead")]
    cpu_off_us = fleet_runs.median(NO_STORE, lambda run: run.proxy_cpu_us)
    cpu_healthy_us = fleet_runs.median("healthy", lambda run: run.proxy_cpu_us)
    return {
        "recovery_after_return_ms": round(max(recoveries_ms)),
        "store_cpu_us_per_request": round(fleet_runs.median("healthy", lambda run: run.store_cpu_us)),
        "front_cpu_added_us_per_request": round(cpu_healthy_us - cpu_off_us),
    }
