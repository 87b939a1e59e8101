"""Tests of stores that are slow, unresponsive, empty, restored from a snapshot or full of malformed records.

Requests are served during each of these faults.
"""

from __future__ import annotations

import pytest

from olivepost.shared_store.circuit_breaker import BreakerState
from tests.router_harness import MS, SECOND
from tests.shared_store.model import UNCACHED_NAME, make_branch, sum_counter


@pytest.mark.parametrize("faults", [{"lost": 0.3}, {"cut": 0.3}, {"duplicated": 0.5}, {"slow": 0.3}])
def test_requests_are_served_while_replies_are_lost_cut_doubled_or_late(faults: dict[str, float]) -> None:
    branch = make_branch(4)
    for name, value in faults.items():
        setattr(branch.links["s0"], name, value)
    branch.load(200, 6 * SECOND)

    branch.run(10 * SECOND)

    assert branch.counts.served == branch.counts.requests
    assert not branch.counts.lease_conflicts


def test_unresponsive_store_gets_no_lookup_until_syncs_are_replied_to_again() -> None:
    """Checks the circuit breaker of an unresponsive store.

    Without the breaker, each request for a new name would wait for the store until its lookup times out.
    """
    branch = make_branch(2)
    branch.load(100, 10 * SECOND)
    branch.run(2 * SECOND)
    branch.links["s0"].unresponsive_until = branch.now + 6 * SECOND
    branch.run(SECOND)
    before = branch.counts.lookups

    branch.run(4 * SECOND)

    assert branch.counts.lookups == before
    assert all(
        proxy.coordinator and proxy.coordinator.stores["s0"].breaker.state is not BreakerState.CLOSED
        for proxy in branch.proxies
    )

    branch.run(5 * SECOND)

    assert all(proxy.coordinator and proxy.coordinator.stores["s0"].is_available for proxy in branch.proxies)
    assert branch.counts.served >= branch.counts.requests - 1


def test_store_restored_from_before_an_invalidation_gives_no_hint_from_that_time() -> None:
    """Guards against hints that predate an invalidation and come back with a restored snapshot.

    The keys of the snapshot's cache locations contain a generation that no proxy uses any more, so no proxy
    finds these locations.
    """
    branch = make_branch()
    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(SECOND)
    branch.stores["s0"].snapshot()
    assert [key for key in branch.stores["s0"].data if b":h:" in key]
    branch.run(SECOND)
    branch.purge([int(UNCACHED_NAME, 16) % branch.groups])
    branch.run(SECOND)
    branch.stores["s0"].restart_from_snapshot(SECOND // MS)
    assert [key for key in branch.stores["s0"].data if b":h:" in key]
    before = sum_counter(branch, "hints_given")

    branch.request(branch.proxies[1], UNCACHED_NAME)
    branch.run(SECOND)

    assert sum_counter(branch, "hints_given") == before
    assert not branch.counts.served_invalidated
    assert sum_counter(branch, "replies_rolled_back") + sum_counter(branch, "replies_moved") >= 3


def test_malformed_records_are_skipped_and_counted() -> None:
    branch = make_branch()
    store = branch.stores["s0"]
    (generation,) = {
        proxy.coordinator.stores["s0"].generation for proxy in branch.proxies if proxy.coordinator
    }
    prefix = b"t:%d:" % generation
    store.call([b"HSET", prefix + b"needs", b"x|cold:c0@0", b"1 9999999999999 - garbage"])
    store.call([b"SET", prefix + f"h:{UNCACHED_NAME}.0".encode(), b"a string where a hash should be"])
    store.call(
        [
            b"RPUSH",
            prefix + b"p:" + branch.proxies[0].coordinator.terms.incarnation.encode(),  # type: ignore
            b"\x00" * 100,
        ]
    )
    store.call([b"HSET", prefix + b"suspects", b"nobody", b"9999999999999"])

    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(SECOND)

    assert branch.counts.served == 1
    assert sum_counter(branch, "records_malformed") >= 3
    assert all(proxy.coordinator and proxy.coordinator.stores["s0"].is_available for proxy in branch.proxies)


def test_malformed_records_are_logged_once_a_minute() -> None:
    branch = make_branch(1)
    coordinator = branch.proxies[0].coordinator
    assert coordinator is not None

    for _ in range(100):
        key = b"t:%d:suspects" % coordinator.stores["s0"].generation
        branch.stores["s0"].call([b"HSET", key, b"nobody", b"9999999999999"])
        branch.run(SECOND)

    assert 1 <= branch.log_events["store_records_malformed"] <= 2
    assert sum_counter(branch, "records_malformed") >= 100


def test_unresponsive_store_concerns_only_its_own_names() -> None:
    branch = make_branch(2, stores=3)
    branch.load(100, 4 * SECOND)
    branch.run(SECOND)

    branch.links["s1"].unresponsive_until = branch.now + 60 * SECOND
    branch.run(4 * SECOND)

    for proxy in branch.proxies:
        assert proxy.coordinator is not None
        available = {name: store.is_available for name, store in proxy.coordinator.stores.items()}
        assert available == {"s0": True, "s1": False, "s2": True}
    assert branch.counts.served == branch.counts.requests


def test_reply_three_seconds_late_publishes_nothing() -> None:
    """Checks a fill whose proxy does not know whether the store granted the lease.

    The store's reply takes 3 s. The fill continues as without a store, and its cache location is not
    published.
    """
    branch = make_branch()
    branch.links["s0"].latency_range = (1500 * MS, 1500 * MS + 1)

    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(900 * MS)
    # The request waited 10 ms for the store and was then served without it.
    assert branch.counts.served == 1

    branch.run(4 * SECOND)
    assert branch.counts.leases <= 1
    assert not sum_counter(branch, "lease_releases_confirmed")
