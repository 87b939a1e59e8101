"""Fixtures of the tests of routing."""

from __future__ import annotations

import pytest

from tests.router_harness import RouterDriver, make_settings


@pytest.fixture
def driver() -> RouterDriver:
    """A router with three caches, two parents and an origin, none of them in slow start."""
    return RouterDriver(make_settings())
