"""Tests of the memory budget: its parts fit into every memory limit that the platform sets."""

from __future__ import annotations

import pytest

from olivepost.config import read_config
from olivepost.config.limits import CLIENT_CONNECTION_BYTES, UPSTREAM_CONNECTION_BYTES
from olivepost.config.memory_budget import BUFFER_OVERHEAD_BYTES, MemoryBudget
from tests.proxy_harness import toy_config


@pytest.mark.parametrize("memory_mb", [32, 48, 64, 96, 128, 192, 2048])
def test_bounds_of_all_owners_stay_within_the_usable_memory(memory_mb: int) -> None:
    budget = MemoryBudget.of_limit(memory_mb)

    assert budget.total <= 0.9 * budget.limit
    assert min(budget.max_names, budget.max_invalidations) > 100


@pytest.mark.parametrize("memory_mb", [32, 48, 64, 96, 128, 192, 2048])
@pytest.mark.parametrize("has_writes", [False, True])
def test_connections_and_bodies_stay_within_their_budgets(memory_mb: int, has_writes: bool) -> None:
    config = toy_config(limits={"memory_mb": memory_mb, "sockets": 1024})
    classes = len(config["settings"]["classes"])
    config["settings"]["family-info"]["pass-on"] = [has_writes] * classes

    limits = read_config(config, {}).limits

    client_bytes = limits.max_client_connections * (CLIENT_CONNECTION_BYTES + limits.buffer_bytes)
    upstream_bytes = limits.max_upstream_connections * (UPSTREAM_CONNECTION_BYTES + limits.buffer_bytes)
    buffer_bytes = limits.body_buffers * (limits.buffer_bytes + BUFFER_OVERHEAD_BYTES)
    assert client_bytes + upstream_bytes <= limits.memory.connections
    assert buffer_bytes + limits.large_body_bytes <= limits.memory.bodies
