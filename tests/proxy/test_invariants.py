"""Tests of what a violated invariant does in debug builds and in release builds (`python -O`)."""

from __future__ import annotations

import subprocess
import sys

import pytest

from olivepost.proxy import invariants

RELEASE_PROGRAM = """
from olivepost.proxy import invariants
from olivepost.proxy.buffers import BufferPool
assert False, "no assertions in this build"
pool = BufferPool(2, 10)
taken = pool.acquire(1)
pool.release(taken)
pool.release(taken)
print(invariants.violations(), pool.in_use, pool.available)
"""


def test_release_build_counts_violations_and_goes_on() -> None:
    done = subprocess.run(
        [sys.executable, "-O", "-c", RELEASE_PROGRAM], capture_output=True, text=True, check=True
    )
    assert done.stdout == "{'buffer_released_once': 1} 0 2\n"


def test_debug_build_counts_violations_and_asserts() -> None:
    before = invariants.violations().get("of_this_test", 0)
    with pytest.raises(AssertionError, match="of_this_test"):
        invariants.check(False, "of_this_test")
    assert invariants.violations()["of_this_test"] == before + 1
    assert invariants.check(True, "of_this_test")
