"""Tests of fill leases and cache locations of emulated proxies that share a store."""

from __future__ import annotations

from typing import cast

from benchmarks.branch import Branch
from benchmarks.branch.proxy import EmulatedProxy
from olivepost import interface as api
from olivepost.routing.selection import rendezvous_order
from olivepost.shared_store import messages, operations, scripts
from tests.router_harness import MS, SECOND
from tests.shared_store.model import UNCACHED_NAME, make_branch, sum_counter


def first_choice(branch: Branch) -> str:
    """Returns the cache that receives the first attempt for `UNCACHED_NAME`."""
    return rendezvous_order(f"{UNCACHED_NAME}.0", tuple(sorted(branch.caches)))[0]


def eject_for(branch: Branch, number: int, cache: str) -> None:
    """Ejects a cache at one proxy only, and permanently, so that this proxy selects another cache."""
    endpoint = branch.proxies[number].router.state.endpoints.by_id[cache]
    endpoint.ejected_until = 2**62
    endpoint.has_trial_in_flight = True


def test_second_proxy_joins_a_fill_by_the_lease_in_the_store() -> None:
    branch = make_branch()
    cache_of_name = first_choice(branch)
    eject_for(branch, 1, cache_of_name)
    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(20 * MS)
    for proxy in branch.proxies[1:]:
        endpoint = proxy.router.state.endpoints.by_id[cache_of_name]
        # The cache is available again. The lease of proxy 0 shows that the cache is filling the name.
        endpoint.ejected_until = None
        endpoint.has_trial_in_flight = False
    branch.request(branch.proxies[2], UNCACHED_NAME)
    branch.run(2 * SECOND)

    assert branch.counts.fills == 1
    assert branch.counts.served == 2


def test_without_a_store_two_proxies_fill_the_same_name_twice() -> None:
    branch = make_branch(has_store=False)
    eject_for(branch, 1, first_choice(branch))
    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.request(branch.proxies[1], UNCACHED_NAME)
    branch.run(2 * SECOND)

    assert branch.counts.fills == 2
    assert branch.counts.double_fills == 1


def test_leases_requested_in_the_same_millisecond_have_one_owner() -> None:
    branch = make_branch(12)
    for _ in range(20):
        for proxy in branch.proxies:
            branch.request(proxy)
        branch.run(30 * MS)
    branch.run(3 * SECOND)

    assert branch.counts.leases
    assert not branch.counts.lease_conflicts
    assert sum_counter(branch, "leases_followed") + sum_counter(branch, "hints_given")


def test_name_that_is_new_to_a_proxy_is_requested_from_its_cache_location() -> None:
    branch = make_branch()
    cache_of_name = first_choice(branch)
    eject_for(branch, 0, cache_of_name)
    # Proxy 0 fills the name into a cache other than the one that proxy 1 selects without a hint.
    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(2 * SECOND)
    branch.request(branch.proxies[1], UNCACHED_NAME)
    branch.run(2 * SECOND)

    assert sum_counter(branch, "hints_given") >= 1
    assert branch.counts.fills == 1
    assert branch.counts.served == 2


def test_evicted_location_is_reported_stale_and_requests_are_served() -> None:
    branch = make_branch()
    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(2 * SECOND)
    cache_with_name = next(cache for cache in branch.caches.values() if f"{UNCACHED_NAME}.0" in cache.stored)
    # The cache evicts the name, and no proxy is notified of it.
    cache_with_name.stored.clear()
    for proxy in branch.proxies[1:]:
        branch.request(proxy, UNCACHED_NAME)
        branch.run(30 * MS)
    branch.run(2 * SECOND)

    assert sum_counter(branch, "hints_stale") >= 1
    assert branch.counts.served == 3


def test_lease_of_a_stopped_owner_can_be_acquired_after_expiry() -> None:
    branch = make_branch(fill_durations=(500 * MS, 501 * MS))
    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(20 * MS)
    branch.proxies[0].paused_until = branch.now + 3600 * SECOND
    # The class's deadline limits the lease's duration. After 4 s, a longer time, the lease has expired.
    branch.run(4 * SECOND)
    store = branch.stores["s0"]
    assert not [key for key in [*store.data] if b":c:" in key and store.live_value(key)]
    for cache in branch.caches.values():
        cache.stored.clear()
    branch.request(branch.proxies[1], UNCACHED_NAME)
    branch.run(2 * SECOND)

    assert branch.counts.leases == 2
    assert not branch.counts.lease_conflicts
    assert branch.counts.served == 1


def test_owner_paused_until_its_lease_expired_publishes_nothing() -> None:
    branch = make_branch(fill_durations=(100 * MS, 101 * MS))
    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(50 * MS)
    branch.proxies[0].paused_until = branch.now + 6 * SECOND
    branch.run(8 * SECOND)

    assert sum_counter(branch, "leases_expired") == 1
    assert not sum_counter(branch, "lease_releases_confirmed")


def test_fencing_numbers_grow_across_an_unnoticed_snapshot() -> None:
    """Guards against repeated fencing numbers after a restart from a snapshot that no proxy notices.

    The restart would set a plain counter back to an earlier value.
    """
    branch = make_branch()
    store = branch.stores["s0"]
    (generation,) = {
        proxy.coordinator.stores["s0"].generation for proxy in branch.proxies if proxy.coordinator
    }
    numbers = []
    for name in ("a", "b", "c"):
        if name == "b":
            store.snapshot()
        if name == "c":
            store.restart_from_snapshot(0)
        branch.now += MS
        lookup = operations.LookUp(
            generation, name, ("o:x", "g:1"), operations.LeaseRequest(b"record", 1_000)
        )
        reply = branch.run_script(branch.proxies[0], messages.StoreCommand(1, "s0", lookup))
        assert isinstance(reply, messages.StoreReply)
        assert reply.values[0] == b"mine"
        numbers.append(int(cast("bytes", reply.values[1])))
    assert numbers == sorted(set(numbers))


def test_former_owner_of_a_lease_that_the_store_lost_publishes_nothing() -> None:
    branch = make_branch(fill_durations=(600 * MS, 601 * MS))
    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(30 * MS)
    branch.stores["s0"].restart_empty()
    branch.run(100 * MS)
    eject_for(branch, 1, first_choice(branch))
    # The store has lost the lease of proxy 0, so proxy 1 acquires a lease of the same name at once.
    branch.request(branch.proxies[1], UNCACHED_NAME)
    branch.run(3 * SECOND)

    assert branch.counts.leases == 2
    assert not branch.counts.stale_publications
    assert branch.counts.served == 2
    assert sum_counter(branch, "lease_releases_confirmed") <= 1


def location_keys(branch: Branch) -> list[bytes]:
    """Returns the store's unexpired keys of cache locations."""
    store = branch.stores["s0"]
    return [key for key in [*store.data] if b":h:" in key and store.live_value(key)]


def test_two_stale_reports_delete_a_location_from_the_store() -> None:
    branch = make_branch(4)
    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(SECOND)
    (key,) = location_keys(branch)
    cache_with_name = next(name for name, cache in branch.caches.items() if cache.stored)
    for count, proxy in enumerate(branch.proxies[1:3]):
        assert key in location_keys(branch)
        lookup = api.LookUpHint(f"q{count}", f"{UNCACHED_NAME}.0", cache_with_name, None, 10 * MS, SECOND)
        proxy.handle_store_event(messages.LookupRequested(lookup, UNCACHED_NAME, 7))
        branch.run(20 * MS)
        proxy.handle_store_event(api.ReportStaleHint(lookup.request_id, lookup.name, cache_with_name))
        branch.run(20 * MS)
    assert key not in location_keys(branch)


def test_location_in_a_restarted_cache_is_deleted_from_the_store() -> None:
    branch = make_branch()
    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(SECOND)
    (key,) = location_keys(branch)
    cache_with_name = next(name for name, cache in branch.caches.items() if cache.stored)
    branch.restart_cache(cache_with_name)
    # Makes the restarted cache warm. A router sends a lookup-only attempt to a warm cache before a fill.
    branch.caches[cache_with_name].started_at = branch.now - 3600 * SECOND
    branch.publish_endpoints()
    proxy = branch.proxies[1]
    proxy.handle_store_event(
        messages.LookupRequested(
            api.LookUpHint("q", f"{UNCACHED_NAME}.0", "", None, 10 * MS, SECOND), UNCACHED_NAME, 7
        )
    )
    branch.run(20 * MS)

    assert key not in location_keys(branch)


def test_owner_whose_lease_was_acquired_by_another_proxy_publishes_nothing() -> None:
    """Guards against a proxy that publishes a location after another proxy has acquired the name's lease.

    The store accepts a location only if the publisher's lease is the same as the lease that the store holds.
    It compares the complete leases: the fencing number and the owner's incarnation.
    """
    branch = make_branch()
    (generation,) = {
        proxy.coordinator.stores["s0"].generation for proxy in branch.proxies if proxy.coordinator
    }
    earlier_lease = acquire_lease(branch, branch.proxies[0], generation)
    branch.now += 600 * MS  # the lease of 500 ms has expired
    lease = acquire_lease(branch, branch.proxies[1], generation)
    branch.now += 400 * MS

    assert publish(branch, generation, earlier_lease) == b"lost"
    assert publish(branch, generation, lease) == b"done"
    assert publish(branch, generation, lease) == b"lost"


def acquire_lease(branch: Branch, proxy: EmulatedProxy, generation: int) -> bytes:
    """Acquires the lease of the name `n` for 500 ms; returns the lease as the bytes that the store holds."""
    request = operations.LeaseRequest(b"record", 500)
    lookup = operations.LookUp(generation, "n", ("o:x", "g:1"), request)
    reply = branch.run_script(proxy, messages.StoreCommand(1, "s0", lookup))
    assert isinstance(reply, messages.StoreReply)
    assert reply.values[0] == b"mine"
    return cast("bytes", reply.values[1]) + b" record"


def publish(branch: Branch, generation: int, lease: bytes) -> object:
    """Publishes a location of the name `n` under a lease; returns the type of the store's reply."""
    location = operations.LocationPublication(b"holder", 5)
    publication = operations.PublishLocation(generation, "n", lease, location, 1_000)
    call = scripts.encode_operation(publication, "t", "x")
    text = scripts.SCRIPT_TEXTS[call.name].encode()
    arguments = [value if isinstance(value, bytes) else str(value).encode() for value in call.arguments]
    reply = branch.stores["s0"].call([b"EVAL", text, b"1", call.key.encode(), *arguments])
    return reply[2]


def test_release_after_the_lease_expired_sends_nothing() -> None:
    """Checks that the release of an expired lease publishes no cache location.

    The lease has expired by its owner's clock, but no periodic tick has dropped it yet.
    """
    branch = make_branch(fill_durations=(900 * MS, 901 * MS))
    branch.request(branch.proxies[0], UNCACHED_NAME)
    branch.run(30 * MS)
    proxy = branch.proxies[0]
    coordinator = proxy.coordinator
    assert coordinator is not None
    assert len(coordinator.leases) == 1
    later = proxy.clock(branch.now) + 20 * SECOND

    actions = coordinator.handle(later, messages.LeaseReleased(api.ReleaseLease("r1", "c0", 1)))

    commands = [action for action in actions if isinstance(action, messages.StoreCommand)]
    assert not any(isinstance(command.operation, operations.PublishLocation) for command in commands)
    assert coordinator.counts["leases_expired"] == 1
