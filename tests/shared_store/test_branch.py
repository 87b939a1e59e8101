"""Proxies of a location before a store, by their decision parts: fill leases and cache locations."""

from __future__ import annotations

from typing import cast

from benchmarks.branch import Branch
from olivepost import interface as api
from olivepost.routing.selection import rendezvous_order
from olivepost.shared_store import messages as ev
from olivepost.shared_store import scripts
from tests.router_harness import MS, SECOND
from tests.shared_store.model import NAME, counted, make_branch


def cold_home(branch: Branch) -> str:
    """The cache that a name's first attempt goes to."""
    return rendezvous_order(f"{NAME}.0", tuple(sorted(branch.caches)))[0]


def keep_apart(branch: Branch, number: int, cache: str) -> None:
    """Has one proxy keep a cache ejected, as by its own bad luck with it."""
    endpoint = branch.proxies[number].router.state.endpoints.by_id[cache]
    endpoint.ejected_until = 2**62
    endpoint.has_trial_in_flight = True


def test_second_proxy_joins_a_fill_that_only_the_store_knows_of() -> None:
    branch = make_branch()
    home = cold_home(branch)
    keep_apart(branch, 1, home)
    branch.request(branch.proxies[0], NAME)
    branch.run(20 * MS)
    for proxy in branch.proxies[1:]:
        endpoint = proxy.router.state.endpoints.by_id[home]
        # In use again, while another proxy's lease says that it fills the name.
        endpoint.ejected_until = None
        endpoint.has_trial_in_flight = False
    branch.request(branch.proxies[2], NAME)
    branch.run(2 * SECOND)
    assert branch.counts.fills == 1
    assert branch.counts.served == 2


def test_without_a_store_two_proxies_fill_the_same_name_twice() -> None:
    branch = make_branch(has_store=False)
    keep_apart(branch, 1, cold_home(branch))
    branch.request(branch.proxies[0], NAME)
    branch.request(branch.proxies[1], NAME)
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
    assert counted(branch, "leases_followed") + counted(branch, "hints_given")


def test_name_that_is_new_to_a_proxy_goes_to_its_cache_location_first() -> None:
    branch = make_branch()
    home = cold_home(branch)
    keep_apart(branch, 0, home)
    branch.request(branch.proxies[0], NAME)  # filled elsewhere
    branch.run(2 * SECOND)
    branch.request(branch.proxies[1], NAME)
    branch.run(2 * SECOND)
    assert counted(branch, "hints_given") >= 1
    assert branch.counts.fills == 1
    assert branch.counts.served == 2


def test_evicted_location_is_reported_stale_and_requests_are_served() -> None:
    branch = make_branch()
    branch.request(branch.proxies[0], NAME)
    branch.run(2 * SECOND)
    cache_with_name = next(cache for cache in branch.caches.values() if f"{NAME}.0" in cache.stored)
    cache_with_name.stored.clear()  # evicted, of which no proxy is notified
    for proxy in branch.proxies[1:]:
        branch.request(proxy, NAME)
        branch.run(30 * MS)
    branch.run(2 * SECOND)
    assert counted(branch, "hints_stale") >= 1
    assert branch.counts.served == 3


def test_lease_of_a_dead_owner_is_free_after_it_expires() -> None:
    branch = make_branch(fill_durations=(500 * MS, 501 * MS))
    branch.request(branch.proxies[0], NAME)
    branch.run(20 * MS)
    branch.proxies[0].paused_until = branch.now + 3600 * SECOND
    branch.run(4 * SECOND)  # longer than the class's deadline, which bounds the lease
    store = branch.stores["s0"]
    assert not [key for key in [*store.data] if b":c:" in key and store.live_value(key)]
    for cache in branch.caches.values():
        cache.stored.clear()
    branch.request(branch.proxies[1], NAME)
    branch.run(2 * SECOND)
    assert branch.counts.leases == 2
    assert not branch.counts.lease_conflicts
    assert branch.counts.served == 1


def test_owner_paused_until_its_lease_expired_publishes_nothing() -> None:
    """Guards against a location published by a proxy that no longer holds the lease."""
    branch = make_branch(fill_durations=(100 * MS, 101 * MS))
    branch.request(branch.proxies[0], NAME)
    branch.run(50 * MS)
    branch.proxies[0].paused_until = branch.now + 6 * SECOND
    branch.run(8 * SECOND)
    assert counted(branch, "leases_expired") == 1
    assert not counted(branch, "lease_releases_confirmed")


def test_fencing_numbers_grow_over_a_snapshot_that_nobody_noticed() -> None:
    """Guards the fencing numbers: a counter alone goes back with its store."""
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
            store.go_back(0)
        branch.now += MS
        look = ev.LookUp(generation, name, ("o:x", "g:1"), ev.LeaseRequest(b"record", 1_000))
        reply = branch.run_script(branch.proxies[0], ev.StoreCommand(1, "s0", look))
        assert isinstance(reply, ev.StoreReply)
        assert reply.values[0] == b"mine"
        numbers.append(int(cast("bytes", reply.values[1])))
    assert numbers == sorted(set(numbers))


def test_store_that_lost_a_held_lease_lets_no_old_owner_publish() -> None:
    branch = make_branch(fill_durations=(600 * MS, 601 * MS))
    branch.request(branch.proxies[0], NAME)
    branch.run(30 * MS)
    branch.stores["s0"].lose()
    branch.run(100 * MS)
    keep_apart(branch, 1, cold_home(branch))
    branch.request(branch.proxies[1], NAME)  # its lease is free again at once
    branch.run(3 * SECOND)
    assert branch.counts.leases == 2
    assert not branch.counts.stale_publications
    assert branch.counts.served == 2
    assert counted(branch, "lease_releases_confirmed") <= 1


def holders(made: Branch) -> list[bytes]:
    """Keys of holders that the store has."""
    return [key for key in [*made.stores["s0"].data] if b":h:" in key and made.stores["s0"].live_value(key)]


def test_two_stale_reports_drop_a_location_from_the_store() -> None:
    branch = make_branch(4)
    branch.request(branch.proxies[0], NAME)
    branch.run(SECOND)
    (key,) = holders(branch)
    cache_with_name = next(name for name, cache in branch.caches.items() if cache.stored)
    for count, proxy in enumerate(branch.proxies[1:3]):
        assert key in holders(branch)
        lookup = api.LookUpHint(f"q{count}", f"{NAME}.0", cache_with_name, None, 10 * MS, SECOND)
        proxy.handle_store_event(ev.LookupRequested(lookup, NAME, 7))
        branch.run(20 * MS)
        proxy.handle_store_event(api.ReportStaleHint(lookup.request_id, lookup.name, cache_with_name))
        branch.run(20 * MS)
    assert key not in holders(branch)


def test_location_in_a_restarted_cache_is_dropped_for_all() -> None:
    branch = make_branch()
    branch.request(branch.proxies[0], NAME)
    branch.run(SECOND)
    (key,) = holders(branch)
    cache_with_name = next(name for name, cache in branch.caches.items() if cache.stored)
    branch.restart_cache(cache_with_name)
    branch.caches[cache_with_name].started = branch.now - 3600 * SECOND  # warm, so that a lookup comes first
    branch.publish_endpoints()
    proxy = branch.proxies[1]
    proxy.handle_store_event(
        ev.LookupRequested(api.LookUpHint("q", f"{NAME}.0", "", None, 10 * MS, SECOND), NAME, 7)
    )
    branch.run(20 * MS)
    assert key not in holders(branch)


def test_owner_whose_lease_another_proxy_has_publishes_nothing() -> None:
    """The store compares the whole lease: fencing number and incarnation."""
    made = make_branch()
    (generation,) = {proxy.coordinator.stores["s0"].generation for proxy in made.proxies if proxy.coordinator}
    claims = []
    for proxy in made.proxies[:2]:
        look = ev.LookUp(generation, "n", ("o:x", "g:1"), ev.LeaseRequest(b"record", 500))
        reply = made.run_script(proxy, ev.StoreCommand(1, "s0", look))
        assert isinstance(reply, ev.StoreReply)
        assert reply.values[0] == b"mine"
        claims.append(cast("bytes", reply.values[1]) + b" record")
        made.now += 600 * MS
        made.now -= 200 * MS if len(claims) == 2 else 0
    for claim, word in ((claims[0], b"lost"), (claims[1], b"done"), (claims[1], b"lost")):
        settle = ev.PublishLocation(generation, "n", claim, ev.LocationPublication(b"holder", 5), 1_000)
        script = scripts.encode_operation(settle, "t", "x")
        words = [w if isinstance(w, bytes) else str(w).encode() for w in script.arguments]
        text = scripts.SCRIPT_TEXTS[script.name].encode()
        assert made.stores["s0"].call([b"EVAL", text, b"1", script.key.encode(), *words])[2] == word


def test_release_after_the_lease_expired_sends_nothing() -> None:
    """By the owner's own clock, before any tick has dropped the lease."""
    branch = make_branch(fill_durations=(900 * MS, 901 * MS))
    branch.request(branch.proxies[0], NAME)
    branch.run(30 * MS)
    proxy = branch.proxies[0]
    coordinator = proxy.coordinator
    assert coordinator is not None
    assert len(coordinator.leases) == 1
    later = proxy.clock(branch.now) + 20 * SECOND
    actions = coordinator.handle(later, ev.LeaseReleased(api.ReleaseLease("r1", "c0", 1)))
    assert not [
        a for a in actions if isinstance(a, ev.StoreCommand) and isinstance(a.operation, ev.PublishLocation)
    ]
    assert coordinator.counts["leases_expired"] == 1
