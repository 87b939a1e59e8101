"""Tests of invalidations in the stores: their number is bounded, and all proxies receive them.

Proxies publish invalidations again to a store that has lost them.
"""

from __future__ import annotations

from olivepost import interface as api
from olivepost.routing import invalidation
from olivepost.shared_store.invalidations import MAX_INVALIDATIONS, KnownInvalidations
from olivepost.shared_store.messages import InvalidationReceived
from olivepost.shared_store.records import InvalidationKey
from olivepost.shared_store.store_health import TrustLevel
from tests.router_harness import MS, SECOND
from tests.shared_store.model import UNCACHED_NAME, make_branch, sum_counter


def test_dropped_invalidations_raise_the_floor() -> None:
    known = KnownInvalidations()
    for number in range(MAX_INVALIDATIONS + 10):
        assert known.add(InvalidationKey(f"o{number}", None), number + 1)

    assert not known.add(InvalidationKey(f"o{MAX_INVALIDATIONS}", None), 1)
    assert len(known) == MAX_INVALIDATIONS
    assert known.last_ms("never invalidated", 3) == 10
    assert sum(map(len, known.chunks())) == MAX_INVALIDATIONS


def test_invalidations_are_published_again_to_a_store_that_lost_them() -> None:
    branch = make_branch()
    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(SECOND)
    branch.purge([int(UNCACHED_NAME, 16) % branch.groups])
    branch.run(SECOND)
    generations_before = {
        proxy.coordinator.stores["s0"].generation for proxy in branch.proxies if proxy.coordinator
    }

    branch.stores["s0"].restart_empty()
    branch.run(SECOND)

    generations = {proxy.coordinator.stores["s0"].generation for proxy in branch.proxies if proxy.coordinator}
    assert len(generations) == 1
    assert min(generations) > max(generations_before)
    (generation,) = generations
    kept = branch.stores["s0"].data[b"t:%d:purges" % generation]
    assert b"g:%d" % (int(UNCACHED_NAME, 16) % branch.groups) in kept


def test_store_is_trusted_only_once_all_invalidations_are_confirmed() -> None:
    branch = make_branch()
    for group in range(branch.groups):
        branch.purge([group])
    branch.run(SECOND)
    proxy = branch.proxies[0]
    assert proxy.coordinator is not None
    store = proxy.coordinator.stores["s0"]
    trust_levels: set[TrustLevel] = set()

    branch.stores["s0"].restart_empty()

    for _ in range(2_000):
        branch.run(MS // 10)
        trust_levels.add(store.trust)
        if store.trust is TrustLevel.TRUSTED and store.generation in {
            int(key.split(b":")[1]) for key in branch.stores["s0"].data if key.endswith(b":purges")
        }:
            kept = branch.stores["s0"].data[b"t:%d:purges" % store.generation]
            assert len(kept) == branch.groups
    assert TrustLevel.RESTORING in trust_levels
    assert store.is_available


def test_invalidations_reach_proxies_that_the_platform_did_not_notify() -> None:
    branch = make_branch()
    proxy = branch.proxies[0]
    received = InvalidationReceived(api.Invalidation(None, 3, 0), branch.now // MS)

    proxy.handle_store_event(received)
    branch.run(200 * MS)

    assert sum_counter(branch, "invalidations_received") == 2
    request = api.Request("x", "image", "o", SECOND, group=3)
    state = branch.proxies[2].router.state
    now = branch.proxies[2].clock(branch.now)
    assert invalidation.age_bound(state, now, request) is not None
