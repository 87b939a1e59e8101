"""Runs of real proxies with stand-in caches, without a store, or with one that may fail for half of the run.

A scenario is the name of the store's fault; it is `healthy` if the store has no fault, and `off` if there is
no store. The stand-in store reads its faults as lines of JSON while the load runs.
"""

from __future__ import annotations

import json
import time
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial
from typing import Any

from benchmarks.caches import GROUPS
from benchmarks.fleet import Address, Fleet, FleetOptions, Process, running_fleet
from benchmarks.load import LoadOptions, Step, run_load

PROXIES = 4
FLEET_OPTIONS = FleetOptions(PROXIES, caches=6, cache_capacity=150)
NAMES = 1_200
STORE_CONNECT_S = 0.5  # pause before the load starts, so that proxies can connect to the store

# Times within a run, as shares of the run's duration.
FAULT_START_SHARE = 0.25
CACHE_RESTART_SHARE = 0.4
INVALIDATION_SHARE = 0.6
FAULT_END_SHARE = 0.75
# A proxy logs when it uses the store again. Such a log entry is taken as the proxy's recovery from the fault
# if it is later than the planned end of the fault minus this margin.
RECOVERY_MARGIN_MS = 50

Change = dict[str, Any]  # an entry of a stand-in store's fault schedule, without its time

NO_STORE = "off"
FAULTS: dict[str, list[Change]] = {
    "healthy": [],
    "silent": [{"silent": True}],
    "dead": [{"refuse": True}],
    "slow": [{"slow_ms": 15.0, "slow_spread": 0.8}],
    "flapping": [{"silent": True}, {"silent": False}] * 4,
}
FAULT_OVER: Change = {"silent": False, "refuse": False, "slow_ms": 0.0}


@dataclass(frozen=True, slots=True)
class FleetRun:
    """The metrics of one run. CPU times are microseconds per request, on average."""

    service_share: float
    p99_ms: float
    p50_ms: float
    request_count: int
    double_fill_share: float
    served_older_than_purge: int
    proxy_cpu_us: float
    store_cpu_us: float | None  # `None` if the run has no store
    # Time from the fault's end until all proxies use the store again; `None` if the run has no fault.
    recovery_ms: float | None


def run_fleet(scenario: str, load: LoadOptions) -> FleetRun:
    """Runs a fleet under load, with the store and the fault of a scenario."""
    with ExitStack() as stack:
        if scenario == NO_STORE:
            fleet = stack.enter_context(running_fleet(FLEET_OPTIONS))
            return measure(fleet, None, [], load)
        store = stack.enter_context(Process("standins", "redis", "--seed", str(load.seed)))
        address = Address.parse(store.read_line()["address"])
        fleet = stack.enter_context(running_fleet(FLEET_OPTIONS, address))
        time.sleep(STORE_CONNECT_S)
        return measure(fleet, store, FAULTS[scenario], load)


def measure(fleet: Fleet, store: Process | None, changes: list[Change], load: LoadOptions) -> FleetRun:
    """Runs a load on a fleet.

    Meanwhile a cache restarts, groups of names are invalidated, and the store's faults change.
    """
    proxy_cpu_before_s = fleet.cpu_s()
    store_cpu_before_s = store.cpu_s() if store is not None else 0.0
    fault_end_ms = (time.time() + load.duration_s * FAULT_END_SHARE) * 1000
    steps = fleet_steps(fleet, load.duration_s)
    if store is not None:
        steps += fault_steps(store, changes, load.duration_s)
    result = run_load(fleet.addresses, load, steps)
    counts = fleet.caches.ask("stats")
    requests = max(1, result.request_count)
    store_cpu_us = None
    if store is not None:
        store_cpu_us = (store.cpu_s() - store_cpu_before_s) / requests * 1e6
    return FleetRun(
        service_share=result.service_share,
        p99_ms=result.quantile_ms(0.99),
        p50_ms=result.quantile_ms(0.5),
        request_count=result.request_count,
        double_fill_share=counts["double_fills"] / max(1, counts["fills"]),
        served_older_than_purge=counts["older_than_purge"],
        proxy_cpu_us=(fleet.cpu_s() - proxy_cpu_before_s) / requests * 1e6,
        store_cpu_us=store_cpu_us,
        recovery_ms=recovery_ms(fleet, fault_end_ms) if changes else None,
    )


def fleet_steps(fleet: Fleet, duration_s: float) -> list[Step]:
    """Returns the steps (timed actions) that restart one cache and invalidate half of the groups of names."""
    groups = " ".join(str(group) for group in range(0, GROUPS, 2))
    return [
        Step(duration_s * CACHE_RESTART_SHARE, partial(fleet.caches.ask, "restart c1")),
        Step(duration_s * INVALIDATION_SHARE, partial(fleet.caches.ask, f"purge {groups}")),
    ]


def fault_steps(store: Process, changes: list[Change], duration_s: float) -> list[Step]:
    """Returns the steps (timed actions) that change the store's fault at equal intervals and then end it.

    Returns no steps if there are no changes.
    """
    if not changes:
        return []
    interval = (FAULT_END_SHARE - FAULT_START_SHARE) / len(changes)
    steps = [
        Step(duration_s * (FAULT_START_SHARE + number * interval), partial(store.ask, json.dumps(change)))
        for number, change in enumerate(changes)
    ]
    return [*steps, Step(duration_s * FAULT_END_SHARE, partial(store.ask, json.dumps(FAULT_OVER)))]


def recovery_ms(fleet: Fleet, fault_end_ms: float) -> float:
    """Returns the milliseconds from the fault's planned end until the last proxy uses the store again.

    `fault_end_ms` is the planned end in Unix ms. Returns 0 if no proxy logged that it uses the store again
    later than RECOVERY_MARGIN_MS before the planned end.
    """
    times = [row["at_ms"] for row in fleet.events("store_available")]
    delays = [at_ms - fault_end_ms for at_ms in times if at_ms > fault_end_ms - RECOVERY_MARGIN_MS]
    return max(delays, default=0.0)
