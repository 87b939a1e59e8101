"""The modelled location before a store, for tests of the shared store's decision part."""

from __future__ import annotations

from typing import Any

from benchmarks.branch import Branch, settings
from tests.router_harness import SECOND

NAME = "000007"  # an object that no cache has at the start


def make_branch(proxies: int = 3, seed: int = 1, **changes: Any) -> Branch:
    """Returns a location whose store is available and whose proxies may donate quota."""
    branch = Branch(settings(proxies), proxies, seed, **{"caches": 4, "names": 200, **changes})
    branch.run(5 * SECOND)
    return branch


def counted(branch: Branch, name: str) -> int:
    """Returns the sum of a counter over all proxies."""
    return sum(proxy.coordinator.counts.get(name, 0) for proxy in branch.proxies if proxy.coordinator)
