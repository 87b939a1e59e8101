"""The environment that the proxies of an emulated branch share."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from benchmarks.branch.cache import CacheTier
from benchmarks.branch.counts import Counts
from benchmarks.branch.options import BranchOptions
from benchmarks.branch.simulation import Simulation
from benchmarks.branch.store_link import StoreLinks
from olivepost import interface as api


@dataclass(frozen=True, slots=True)
class BranchEnvironment:
    """The simulation, the caches and the stores of a branch, which its proxies share.

    Proxies use the simulation's random generator and add to the counts. Only the branch changes the rest.
    """

    simulation: Simulation
    settings: api.Settings
    options: BranchOptions
    counts: Counts
    log_events: Counter[str]  # number of the proxies' log events by name
    cache_tier: CacheTier
    store_links: StoreLinks
