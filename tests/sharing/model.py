"""Settings and steps that the tests of the sharing core have in common."""

from __future__ import annotations

from typing import Any

from benchmarks.branch import Branch
from olivepost import interface as api
from tests.helpers import MS, SECOND, make_settings


def settings(fronts: int, **changes: Any) -> api.Settings:
    """A branch of so many fronts that share a store."""
    tier = api.Tier(fronts, 0.2, 10 * SECOND, 3.0)
    parents = api.Tier(fronts, 0.1, 20 * SECOND, 2.0)
    return make_settings(**{"caches": tier, "parents": parents, "weights_told": True, "direct": False,
                            "store_wait": 10 * MS, **changes})


def branch(fronts: int = 3, seed: int = 1, **changes: Any) -> Branch:
    """A branch whose store is up and whose fronts have begun to lend."""
    made = Branch(settings(fronts), fronts, seed, **{"caches": 4, "names": 200, **changes})
    made.run(5 * SECOND)
    return made


def counted(made: Branch, name: str) -> int:
    """A figure of all fronts together."""
    return sum(front.sharing.figures.counts.get(name, 0) for front in made.fronts if front.sharing)
