"""An emulated branch for tests of the shared store's coordinator.

A branch consists of the proxies, caches and stores of one location.
"""

from __future__ import annotations

from typing import Any

from benchmarks.branch import Branch, settings
from tests.router_harness import SECOND

UNCACHED_NAME = "000007"  # an object that no cache stores at the start


def make_branch(proxies: int = 3, seed: int = 1, **changes: Any) -> Branch:
    """Returns a branch that has run for 5 s: its store is available and its proxies may donate quota."""
    branch = Branch(settings(proxies), proxies, seed, **{"caches": 4, "names": 200, **changes})
    branch.run(5 * SECOND)
    return branch


def sum_counter(branch: Branch, name: str) -> int:
    """Returns the sum of a counter over all proxies."""
    return sum(proxy.coordinator.counts.get(name, 0) for proxy in branch.proxies if proxy.coordinator)
