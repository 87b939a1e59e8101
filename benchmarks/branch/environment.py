"""What the proxies of an emulated branch have in common."""

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
    """The simulation, the caches and the stores of a branch, as its proxies use them.

    Proxies draw from the simulation's generator and add to the counts; the branch alone changes the rest.
    """

    simulation: Simulation
    settings: api.Settings
    options: BranchOptions
    counts: Counts
    log_events: Counter[str]  # events of the proxies' logs, by name
    cache_tier: CacheTier
    store_links: StoreLinks
