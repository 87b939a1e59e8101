"""Fixtures for the routing tests."""

from __future__ import annotations

import pytest

from tests.router_harness import RouterDriver, make_settings


@pytest.fixture
def driver() -> RouterDriver:
    """Returns a router with three caches, two parents and an origin, none of which is in slow start."""
    return RouterDriver(make_settings())
