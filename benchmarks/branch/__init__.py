"""An emulated branch: real routers, store coordinators and scripts before modelled caches and stores.

One process, no sockets, virtual time. Each proxy has a clock of its own (offset and rate).

Faults of the link to a store: commands lost, replies lost, duplicated, late. Faults of a store: unresponsive,
empty, restored from a snapshot. Faults of a proxy: paused, restarted.
"""

from benchmarks.branch.branch import Branch
from benchmarks.branch.cache import Cache
from benchmarks.branch.counts import Counts
from benchmarks.branch.options import BranchOptions
from benchmarks.branch.proxy import EmulatedProxy
from benchmarks.branch.settings import settings
from benchmarks.branch.store_link import StoreLink

__all__ = ["Branch", "BranchOptions", "Cache", "Counts", "EmulatedProxy", "StoreLink", "settings"]
