"""An emulated branch, by decision parts alone: routers and store coordinators, modelled caches and stores.

One process, no sockets, virtual time. Every proxy has a clock of its own (offset and rate); stores run the
real scripts. Faults of the link to a store: replies lost, cut after the work was done, duplicated, late; of a
store: silent, empty, back from a snapshot; of a proxy: paused, killed and started anew.
"""

from benchmarks.branch.branch import Branch, BranchOptions
from benchmarks.branch.cache import Cache
from benchmarks.branch.counts import Counts
from benchmarks.branch.proxy import EmulatedProxy
from benchmarks.branch.settings import settings
from benchmarks.branch.store_link import StoreLink

__all__ = ["Branch", "BranchOptions", "Cache", "Counts", "EmulatedProxy", "StoreLink", "settings"]
