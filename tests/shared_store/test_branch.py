"""Proxies of a location before a store, by their decision parts: fill leases and cache locations."""

from __future__ import annotations

from typing import cast

from benchmarks.branch import Branch
from olivepost import interface as api
from olivepost.routing.selection import rendezvous_order
from olivepost.shared_store import messages as ev
from olivepost.shared_store import scripts
from tests.helpers import MS, SECOND
from tests.shared_store.model import NAME, counted, make_branch


def cold_home(branch: Branch) -> str:
    """The cache that a name's first attempt goes to."""
    return rendezvous_order(f"{NAME}.0", tuple(sorted(branch.caches)))[0]


def keep_apart(branch: Branch, number: int, cache: str) -> None:
    """Has one proxy keep a cache ejected, as by its own bad luck with it."""
    endpoint = branch.fronts[number].router.state.endpoints.by_id[cache]
    endpoint.ejected_until = 2**62
    endpoint.has_trial_in_flight = True


def test_second_proxy_joins_a_fill_that_only_the_store_knows_of() -> None:
    branch = make_branch()
    home = cold_home(branch)
    keep_apart(branch, 1, home)
    branch.request(branch.fronts[0], NAME)
    branch.run(20 * MS)
    for front in branch.fronts[1:]:
        endpoint = front.router.state.endpoints.by_id[home]
        # In use again, while another proxy's lease says that it fills the name.
        endpoint.ejected_until = 0
        endpoint.has_trial_in_flight = False
    branch.request(branch.fronts[2], NAME)
    branch.run(2 * SECOND)
    assert branch.counts.fills == 1
    assert branch.counts.served == 2


def test_without_a_store_two_proxies_fill_the_same_name_twice() -> None:
    branch = make_branch(sharing=False)
    keep_apart(branch, 1, cold_home(branch))
    branch.request(branch.fronts[0], NAME)
    branch.request(branch.fronts[1], NAME)
    branch.run(2 * SECOND)
    assert branch.counts.fills == 2
    assert branch.counts.double_fills == 1


def test_leases_requested_in_the_same_millisecond_have_one_owner() -> None:
    branch = make_branch(12)
    for _ in range(20):
        for front in branch.fronts:
            branch.request(front)
        branch.run(30 * MS)
    branch.run(3 * SECOND)
    assert branch.counts.numbers
    assert not branch.counts.owned_twice
    assert counted(branch, "leases_followed") + counted(branch, "hints_given")


def test_name_that_is_new_to_a_proxy_goes_to_its_cache_location_first() -> None:
    branch = make_branch()
    home = cold_home(branch)
    keep_apart(branch, 0, home)
    branch.request(branch.fronts[0], NAME)  # filled elsewhere
    branch.run(2 * SECOND)
    branch.request(branch.fronts[1], NAME)
    branch.run(2 * SECOND)
    assert counted(branch, "hints_given") >= 1
    assert branch.counts.fills == 1
    assert branch.counts.served == 2


def test_evicted_location_is_reported_stale_and_requests_are_served() -> None:
    branch = make_branch()
    branch.request(branch.fronts[0], NAME)
    branch.run(2 * SECOND)
    cache_with_name = next(cache for cache in branch.caches.values() if f"{NAME}.0" in cache.kept)
    cache_with_name.kept.clear()  # evicted, of which no proxy is notified
    for front in branch.fronts[1:]:
        branch.request(front, NAME)
        branch.run(30 * MS)
    branch.run(2 * SECOND)
    assert counted(branch, "hints_stale") >= 1
    assert branch.counts.served == 3


def test_lease_of_a_dead_owner_is_free_after_it_expires() -> None:
    branch = make_branch(fill=(500 * MS, 501 * MS))
    branch.request(branch.fronts[0], NAME)
    branch.run(20 * MS)
    branch.fronts[0].paused_until = branch.now + 3600 * SECOND
    branch.run(4 * SECOND)  # longer than the class's deadline, which bounds the lease
    store = branch.stores["s0"]
    assert not [key for key in [*store.data] if b":c:" in key and store.live_value(key)]
    for cache in branch.caches.values():
        cache.kept.clear()
    branch.request(branch.fronts[1], NAME)
    branch.run(2 * SECOND)
    assert branch.counts.numbers == 2
    assert not branch.counts.owned_twice
    assert branch.counts.served == 1


def test_owner_paused_until_its_lease_expired_publishes_nothing() -> None:
    """Guards against a location published by a proxy that no longer holds the lease."""
    branch = make_branch(fill=(100 * MS, 101 * MS))
    branch.request(branch.fronts[0], NAME)
    branch.run(50 * MS)
    branch.fronts[0].paused_until = branch.now + 6 * SECOND
    branch.run(8 * SECOND)
    assert counted(branch, "leases_expired") == 1
    assert not counted(branch, "lease_releases_confirmed")


def test_fencing_numbers_grow_over_a_snapshot_that_nobody_noticed() -> None:
    """Guards the fencing numbers: a counter alone goes back with its store."""
    branch = make_branch()
    store = branch.stores["s0"]
    (generation,) = {front.sharing.stores["s0"].generation for front in branch.fronts if front.sharing}
    numbers = []
    for name in ("a", "b", "c"):
        if name == "b":
            store.snapshot()
        if name == "c":
            store.go_back(0)
        branch.now += MS
        look = ev.LookUp(generation, name, ("o:x", "g:1"), b"record", 1_000)
        reply = branch.run_script(branch.fronts[0], ev.StoreCommand(1, "s0", look))
        assert isinstance(reply, ev.StoreReply)
        assert reply.values[0] == b"mine"
        numbers.append(int(cast("bytes", reply.values[1])))
    assert numbers == sorted(set(numbers))


def test_store_that_lost_a_held_lease_lets_no_old_owner_publish() -> None:
    branch = make_branch(fill=(600 * MS, 601 * MS))
    branch.request(branch.fronts[0], NAME)
    branch.run(30 * MS)
    branch.stores["s0"].lose()
    branch.run(100 * MS)
    keep_apart(branch, 1, cold_home(branch))
    branch.request(branch.fronts[1], NAME)  # its lease is free again at once
    branch.run(3 * SECOND)
    assert branch.counts.numbers == 2
    assert not branch.counts.old_published
    assert branch.counts.served == 2
    assert counted(branch, "lease_releases_confirmed") <= 1


def holders(made: Branch) -> list[bytes]:
    """Keys of holders that the store has."""
    return [key for key in [*made.stores["s0"].data] if b":h:" in key and made.stores["s0"].live_value(key)]


def test_two_stale_reports_drop_a_location_from_the_store() -> None:
    branch = make_branch(4)
    branch.request(branch.fronts[0], NAME)
    branch.run(SECOND)
    (key,) = holders(branch)
    cache_with_name = next(name for name, cache in branch.caches.items() if cache.kept)
    for count, front in enumerate(branch.fronts[1:3]):
        assert key in holders(branch)
        lookup = api.LookUpHint(f"q{count}", f"{NAME}.0", cache_with_name, "", 10 * MS, SECOND)
        front.do_sharing(ev.LookupRequested(lookup, NAME, 7))
        branch.run(20 * MS)
        front.do_sharing(api.ReportStaleHint(lookup.request_id, lookup.name, cache_with_name))
        branch.run(20 * MS)
    assert key not in holders(branch)


def test_location_in_a_restarted_cache_is_dropped_for_all() -> None:
    branch = make_branch()
    branch.request(branch.fronts[0], NAME)
    branch.run(SECOND)
    (key,) = holders(branch)
    cache_with_name = next(name for name, cache in branch.caches.items() if cache.kept)
    branch.restart_cache(cache_with_name)
    branch.caches[cache_with_name].started = branch.now - 3600 * SECOND  # warm, so that a lookup comes first
    branch.list_anew()
    front = branch.fronts[1]
    front.do_sharing(ev.LookupRequested(api.LookUpHint("q", f"{NAME}.0", "", "", 10 * MS, SECOND), NAME, 7))
    branch.run(20 * MS)
    assert key not in holders(branch)


def test_owner_whose_lease_another_proxy_has_publishes_nothing() -> None:
    """The store compares the whole lease: fencing number and incarnation."""
    made = make_branch()
    (generation,) = {front.sharing.stores["s0"].generation for front in made.fronts if front.sharing}
    claims = []
    for front in made.fronts[:2]:
        look = ev.LookUp(generation, "n", ("o:x", "g:1"), b"record", 500)
        reply = made.run_script(front, ev.StoreCommand(1, "s0", look))
        assert isinstance(reply, ev.StoreReply)
        assert reply.values[0] == b"mine"
        claims.append(cast("bytes", reply.values[1]) + b" record")
        made.now += 600 * MS
        made.now -= 200 * MS if len(claims) == 2 else 0
    for claim, word in ((claims[0], b"lost"), (claims[1], b"done"), (claims[1], b"lost")):
        settle = ev.PublishLocation(generation, "n", claim, b"holder", 5, 1_000)
        script = scripts.encode_operation(settle, "t", "x")
        words = [w if isinstance(w, bytes) else str(w).encode() for w in script.arguments]
        text = scripts.SCRIPT_TEXTS[script.name].encode()
        assert made.stores["s0"].call([b"EVAL", text, b"1", script.key.encode(), *words])[2] == word


def test_release_after_the_lease_expired_sends_nothing() -> None:
    """By the owner's own clock, before any tick has dropped the lease."""
    branch = make_branch(fill=(900 * MS, 901 * MS))
    branch.request(branch.fronts[0], NAME)
    branch.run(30 * MS)
    front = branch.fronts[0]
    coordinator = front.sharing
    assert coordinator is not None
    assert len(coordinator.leases) == 1
    later = front.clock(branch.now) + 20 * SECOND
    actions = coordinator.handle(later, ev.LeaseReleased(api.ReleaseLease("r1", "c0", 1)))
    assert not [
        a for a in actions if isinstance(a, ev.StoreCommand) and isinstance(a.operation, ev.PublishLocation)
    ]
    assert coordinator.counts["leases_expired"] == 1
