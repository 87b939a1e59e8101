"""Tests of the bounded cache of endpoint orders. An order is the rendezvous order for a name."""

from __future__ import annotations

from olivepost.routing_state import OrderCache, Role

IDS = ("a", "b", "c")
ENTRY_BYTES = 100
REFERENCE_BYTES = 10


def test_orders_stay_within_their_bytes_and_the_least_recently_used_goes_first() -> None:
    cache = OrderCache(4 * (ENTRY_BYTES + 3 * REFERENCE_BYTES), ENTRY_BYTES, REFERENCE_BYTES)
    for name in "vwxy":
        assert cache.get(Role.CACHE, IDS, name) is None
        cache.put(Role.CACHE, name, IDS)
    assert cache.get(Role.CACHE, IDS, "v") == IDS
    cache.get(Role.CACHE, IDS, "z")
    cache.put(Role.CACHE, "z", IDS)
    assert cache.get(Role.CACHE, IDS, "w") is None
    assert cache.get(Role.CACHE, IDS, "v") == IDS
    assert cache.used_bytes <= 4 * (ENTRY_BYTES + 3 * REFERENCE_BYTES)


def test_orders_go_with_the_endpoints_that_they_order() -> None:
    cache = OrderCache(100_000, ENTRY_BYTES, REFERENCE_BYTES)
    cache.get(Role.CACHE, IDS, "x")
    cache.put(Role.CACHE, "x", IDS)
    cache.get(Role.PARENT, ("p",), "x")
    cache.put(Role.PARENT, "x", ("p",))
    assert cache.get(Role.CACHE, ("a", "b"), "x") is None
    assert cache.get(Role.PARENT, ("p",), "x") == ("p",)
    assert cache.get(Role.CACHE, IDS, "x") is None


def test_equal_list_of_endpoints_keeps_their_orders() -> None:
    cache = OrderCache(100_000, ENTRY_BYTES, REFERENCE_BYTES)
    cache.get(Role.CACHE, IDS, "x")
    cache.put(Role.CACHE, "x", IDS)
    assert cache.get(Role.CACHE, ("a", "b", "c")[:], "x") == IDS


def test_order_too_large_for_the_cache_is_not_kept() -> None:
    cache = OrderCache(10, ENTRY_BYTES, REFERENCE_BYTES)
    cache.get(Role.CACHE, IDS, "x")
    cache.put(Role.CACHE, "x", IDS)
    assert cache.used_bytes == 0
