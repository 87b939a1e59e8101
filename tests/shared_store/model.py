"""The branch that the tests of the sharing core have in common."""

from __future__ import annotations

from typing import Any

from benchmarks.branch import Branch
from benchmarks.sharing import settings
from tests.helpers import SECOND


def branch(fronts: int = 3, seed: int = 1, **changes: Any) -> Branch:
    """A branch whose store is up and whose fronts have begun to lend."""
    made = Branch(settings(fronts), fronts, seed, **{"caches": 4, "names": 200, **changes})
    made.run(5 * SECOND)
    return made


def counted(made: Branch, name: str) -> int:
    """A figure of all fronts together."""
    return sum(front.sharing.counts.get(name, 0) for front in made.fronts if front.sharing)
