"""An emulated branch: a group of proxies that share caches and stores.

Routers, store coordinators and scripts are the real ones; caches and stores are modelled. The branch runs in
one process without sockets, in virtual time. Each proxy has its own clock, with an offset and a rate.

A link to a store may lose commands, lose replies, deliver a reply twice, and delay commands and replies. A
store may be unresponsive, restart empty or restart from a snapshot. A proxy may be paused or restarted.
"""

from benchmarks.branch.branch import Branch
from benchmarks.branch.cache import Cache
from benchmarks.branch.counts import Counts
from benchmarks.branch.options import BranchOptions
from benchmarks.branch.proxy import EmulatedProxy
from benchmarks.branch.settings import settings
from benchmarks.branch.store_link import StoreLink

__all__ = ["Branch", "BranchOptions", "Cache", "Counts", "EmulatedProxy", "StoreLink", "settings"]
