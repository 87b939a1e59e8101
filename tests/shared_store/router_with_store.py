"""A router whose shared store is available."""

from __future__ import annotations

from olivepost import interface as api
from tests.router_harness import MS, SECOND, RouterDriver, make_settings

STORE_TIMEOUT = 10 * MS


def proxy_with_store(**changes: object) -> RouterDriver:
    """Returns a proxy whose store is available."""
    proxy = RouterDriver(make_settings(**{"shared_store_timeout": STORE_TIMEOUT, **changes}))
    proxy.advance(5 * SECOND)
    proxy.handle(api.StoreAvailability(True))
    return proxy
