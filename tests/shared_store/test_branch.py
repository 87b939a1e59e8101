"""Fronts of a branch before a store, by their decision parts: claims, holders, purges, loans, lost stores."""

from __future__ import annotations

from typing import cast

import pytest

from benchmarks.branch import Branch
from olivepost import interface as api
from olivepost.routing import capacity, invalidation
from olivepost.routing.selection import rendezvous_order
from olivepost.shared_store import messages as ev
from olivepost.shared_store import scripts
from olivepost.shared_store.store_health import BreakerState, TrustLevel
from tests.helpers import MS, SECOND
from tests.shared_store.model import branch, counted

NAME = "000007"


def cold_home(made: Branch) -> str:
    """The cache that a name's first attempt goes to."""
    return rendezvous_order(f"{NAME}.0", tuple(sorted(made.caches)))[0]


def keep_apart(made: Branch, number: int, cache: str) -> None:
    """Has one front hold a cache unfit, as by its own bad luck with it."""
    member = made.fronts[number].router.state.endpoints.by_id[cache]
    member.ejected_until, member.has_trial_in_flight = 2**62, True


def test_a_second_front_joins_the_fill_it_did_not_know_of() -> None:
    made = branch()
    home = cold_home(made)
    keep_apart(made, 1, home)
    made.request(made.fronts[0], NAME)
    made.run(20 * MS)
    for front in made.fronts[1:]:
        member = front.router.state.endpoints.by_id[home]
        member.ejected_until, member.has_trial_in_flight = (
            0,
            False,
        )  # fit again, while the other's word is that it fills
    made.request(made.fronts[2], NAME)
    made.run(2 * SECOND)
    assert made.counts.fills == 1 and made.counts.served == 2


def test_without_a_store_the_same_fills_twice() -> None:
    made = branch(sharing=False)
    keep_apart(made, 1, cold_home(made))
    made.request(made.fronts[0], NAME)
    made.request(made.fronts[1], NAME)
    made.run(2 * SECOND)
    assert made.counts.fills == 2 and made.counts.double_fills == 1


def test_claims_in_the_same_millisecond_have_one_owner() -> None:
    made = branch(12)
    for _ in range(20):
        for front in made.fronts:
            made.request(front)
        made.run(30 * MS)
    made.run(3 * SECOND)
    assert made.counts.numbers and not made.counts.owned_twice
    assert counted(made, "claims_followed") + counted(made, "hints_given")


def test_a_name_that_a_front_never_saw_goes_to_its_holder_first() -> None:
    made = branch()
    home = cold_home(made)
    keep_apart(made, 0, home)
    made.request(made.fronts[0], NAME)  # filled elsewhere
    made.run(2 * SECOND)
    made.request(made.fronts[1], NAME)
    made.run(2 * SECOND)
    assert counted(made, "hints_given") >= 1 and made.counts.fills == 1 and made.counts.served == 2


def test_a_holder_found_wrong_twice_is_dropped_for_all() -> None:
    made = branch()
    made.request(made.fronts[0], NAME)
    made.run(2 * SECOND)
    holder = next(cache for cache in made.caches.values() if f"{NAME}.0" in cache.kept)
    holder.kept.clear()  # evicted, which no front is told
    for front in made.fronts[1:]:
        made.request(front, NAME)
        made.run(30 * MS)
    made.run(2 * SECOND)
    assert counted(made, "hints_wrong") >= 1 and made.counts.served == 3


def test_a_claim_whose_owner_died_is_taken_over_after_its_end() -> None:
    made = branch(fill=(500 * MS, 501 * MS))
    made.request(made.fronts[0], NAME)
    made.run(20 * MS)
    made.fronts[0].paused_until = made.now + 3600 * SECOND
    made.run(4 * SECOND)  # longer than the class's deadline, which the claim had
    store = made.stores["s0"]
    assert not [key for key in [*store.data] if b":c:" in key and store.live_value(key)]
    for cache in made.caches.values():
        cache.kept.clear()
    made.request(made.fronts[1], NAME)
    made.run(2 * SECOND)
    assert made.counts.numbers == 2 and not made.counts.owned_twice and made.counts.served == 1


def test_an_owner_paused_past_its_claims_end_publishes_nothing() -> None:
    """Guards against a holder published by a front that no longer owns the name."""
    made = branch(fill=(100 * MS, 101 * MS))
    made.request(made.fronts[0], NAME)
    made.run(50 * MS)
    made.fronts[0].paused_until = made.now + 6 * SECOND
    made.run(8 * SECOND)
    assert counted(made, "claims_outlived") == 1 and not counted(made, "claims_settled")


@pytest.mark.parametrize("way", [{"lost": 0.3}, {"cut": 0.3}, {"doubled": 0.5}, {"slow": 0.3}])
def test_ways_that_lose_cut_double_and_delay(way: dict[str, float]) -> None:
    made = branch(4)
    for name, value in way.items():
        setattr(made.ways["s0"], name, value)
    made.load(200, 6 * SECOND)
    made.run(10 * SECOND)
    assert made.counts.served == made.counts.requests and not made.counts.owned_twice


def test_a_silent_store_costs_a_few_waits_and_then_none() -> None:
    """Without the breaker each request for a new name would wait out its span."""
    made = branch(2)
    made.load(100, 10 * SECOND)
    made.run(2 * SECOND)
    made.ways["s0"].silent_until = made.now + 6 * SECOND
    made.run(SECOND)
    before = made.counts.consults
    made.run(4 * SECOND)
    assert made.counts.consults == before
    assert all(
        front.sharing and front.sharing.stores["s0"].breaker is not BreakerState.CLOSED
        for front in made.fronts
    )
    made.run(5 * SECOND)
    assert all(front.sharing and front.sharing.stores["s0"].is_available for front in made.fronts)
    assert made.counts.served >= made.counts.requests - 1


def test_a_store_that_came_back_empty_gets_the_purges_before_it_counts() -> None:
    made = branch()
    made.request(made.fronts[0], NAME)
    made.run(SECOND)
    made.purge([int(NAME, 16) % made.groups])
    made.run(SECOND)
    first = {front.sharing.stores["s0"].generation for front in made.fronts if front.sharing}
    made.stores["s0"].lose()
    made.run(SECOND)
    later = {front.sharing.stores["s0"].generation for front in made.fronts if front.sharing}
    assert len(later) == 1 and min(later) > max(first)
    (generation,) = later
    kept = made.stores["s0"].data[b"t:%d:purges" % generation]
    assert b"g:%d" % (int(NAME, 16) % made.groups) in kept


def test_a_store_back_from_before_a_purge_names_no_holder_of_then() -> None:
    """Guards against an old snapshot: its holders stand under a generation that nobody goes by."""
    made = branch()
    made.request(made.fronts[0], NAME)
    made.run(SECOND)
    made.stores["s0"].snapshot()
    assert [key for key in made.stores["s0"].data if b":h:" in key]
    made.run(SECOND)
    made.purge([int(NAME, 16) % made.groups])
    made.run(SECOND)
    made.stores["s0"].go_back(SECOND // MS)
    assert [key for key in made.stores["s0"].data if b":h:" in key]
    before = counted(made, "hints_given")
    made.request(made.fronts[1], NAME)
    made.run(SECOND)
    assert counted(made, "hints_given") == before and not made.counts.older_than_purge
    assert counted(made, "replies_rolled_back") + counted(made, "replies_moved") >= 3


def test_numbers_of_claims_grow_over_a_snapshot_that_nobody_has_noticed() -> None:
    """Guards the fence: a counter alone goes back with its store."""
    made = branch()
    store, sharing = made.stores["s0"], made.fronts[0].sharing
    assert sharing is not None
    (generation,) = {front.sharing.stores["s0"].generation for front in made.fronts if front.sharing}
    numbers = []
    for name in ("a", "b", "c"):
        if name == "b":
            store.snapshot()
        if name == "c":
            store.go_back(0)
        made.now += MS
        look = ev.LookUp(generation, name, ("o:x", "g:1"), b"record", 1_000)
        reply = made.run_script(made.fronts[0], ev.StoreCommand(1, "s0", look))
        assert isinstance(reply, ev.StoreReply) and reply.values[0] == b"mine"
        numbers.append(int(cast("bytes", reply.values[1])))
    assert numbers == sorted(set(numbers))


def test_purges_reach_fronts_that_the_coordinator_has_not_told() -> None:
    made = branch()
    front = made.fronts[0]
    front.do_sharing(_purged(made))
    made.run(200 * MS)
    assert counted(made, "purges_heard") == 2
    request = api.Request("x", "image", "o", SECOND, group=3)
    state, now = made.fronts[2].router.state, made.fronts[2].clock(made.now)
    assert invalidation.age_bound(state, now, request) is not None


def _purged(made: Branch) -> ev.InvalidationReceived:
    return ev.InvalidationReceived(api.Invalidation(None, 3, 0), made.now // MS)


def test_a_front_restarted_does_not_use_what_the_one_before_it_lent() -> None:
    """Rule 4 over restarts: the part is whole again only after the longest loan and a window."""
    made = branch(3)
    made.restart_cache("c0")
    made.run(SECOND)
    front = made.fronts[0]
    key = f"cold:c0@{made.caches['c0'].started}"
    front.do_router(api.QuotaRequested(1, key, 1e12, front.clock(made.now) + SECOND))
    lent = -capacity.transferred(front.router.state, front.clock(made.now), key, 0.0)
    assert lent > 0
    front.begin()
    member, at = front.router.state.endpoints.by_id["c0"], front.clock(made.now)
    tier, window = made.settings.caches, made.settings.overload_window
    part = (
        tier.overload_multiple
        * capacity.slow_start_share(front.router.state, at - window, member)
        * window
        * capacity.certain_link(front.router.state, member)
    )
    assert capacity.transferred(front.router.state, at, key, part) <= -lent
    made.run(5 * SECOND)
    assert capacity.transferred(front.router.state, front.clock(made.now), key, part) == 0


def test_a_cold_budget_moves_to_the_busy_front_and_never_grows() -> None:
    def served(sharing: bool) -> int:
        made = branch(6, sharing=sharing, size=200.0)
        for name in list(made.caches):
            made.restart_cache(name)
        made.load(60, 5 * SECOND, lambda: 0 if made.draw.random() < 0.95 else 1)
        for _ in range(120):
            made.run(50 * MS)
            made.look_at_budgets()
        assert not made.counts.over_whole and made.counts.looks
        return made.counts.served

    assert served(True) > 1.3 * served(False)


def test_several_suspicious_fronts_make_a_doubt_and_one_does_not() -> None:
    made = branch(4)
    made.fronts[0].do_sharing(api.ReportOutlier("c1"))
    made.run(300 * MS)
    assert all(front.router.state.endpoints.by_id["c1"].failure_score == 0 for front in made.fronts[1:])
    made.fronts[1].do_sharing(api.ReportOutlier("c1"))
    made.run(300 * MS)
    doubts = [front.router.state.endpoints.by_id["c1"].failure_score for front in made.fronts]
    assert doubts[0] == doubts[1] == 0 and doubts[2] == doubts[3] == pytest.approx(0.4)
    assert not any(front.router.state.endpoints.by_id["c1"].ejected_until for front in made.fronts)


def test_records_of_strangers_are_skipped_and_counted() -> None:
    made = branch()
    store = made.stores["s0"]
    (generation,) = {front.sharing.stores["s0"].generation for front in made.fronts if front.sharing}
    prefix = b"t:%d:" % generation
    store.call([b"HSET", prefix + b"needs", b"x|cold:c0@0", b"1 9999999999999 - garbage"])
    store.call([b"SET", prefix + f"h:{NAME}.0".encode(), b"a string where a hash should be"])
    store.call(
        [
            b"RPUSH",
            prefix + b"p:" + made.fronts[0].sharing.terms.incarnation.encode(),  # type: ignore
            b"\x00" * 100,
        ]
    )
    store.call([b"HSET", prefix + b"suspects", b"nobody", b"9999999999999"])
    made.request(made.fronts[0], NAME)
    made.run(SECOND)
    assert made.counts.served == 1 and counted(made, "records_odd") >= 3
    assert all(front.sharing and front.sharing.stores["s0"].is_available for front in made.fronts)


def test_names_of_a_lost_store_go_without_and_the_others_with() -> None:
    made = branch(2, stores=3)
    made.load(100, 4 * SECOND)
    made.run(SECOND)
    made.ways["s1"].silent_until = made.now + 60 * SECOND
    made.run(4 * SECOND)
    for front in made.fronts:
        assert front.sharing is not None
        ups = {name: store.is_available for name, store in front.sharing.stores.items()}
        assert ups == {"s0": True, "s1": False, "s2": True}
    assert made.counts.served == made.counts.requests


def test_a_store_is_sure_only_once_all_purges_are_confirmed() -> None:
    made = branch()
    for group in range(made.groups):
        made.purge([group])
    made.run(SECOND)
    made.stores["s0"].lose()
    front = made.fronts[0]
    assert front.sharing is not None
    standing = front.sharing.stores["s0"]
    seen: set[TrustLevel] = set()
    for _ in range(2_000):
        made.run(MS // 10)
        seen.add(standing.trust)
        if standing.trust is TrustLevel.TRUSTED and standing.generation in {
            int(key.split(b":")[1]) for key in made.stores["s0"].data if key.endswith(b":purges")
        }:
            kept = made.stores["s0"].data[b"t:%d:purges" % standing.generation]
            assert len(kept) == made.groups
    assert TrustLevel.RESTORING in seen and standing.is_available


def test_a_reply_three_seconds_late_is_treated_as_unknown() -> None:
    """The claim may be ours: the fill goes on as without a store, and nothing is published of it."""
    made = branch()
    made.ways["s0"].span = (1500 * MS, 1500 * MS + 1)
    made.request(made.fronts[0], NAME)
    made.run(900 * MS)
    assert made.counts.served == 1  # it waited for its 10 ms and no longer
    made.run(4 * SECOND)
    assert made.counts.numbers <= 1 and not counted(made, "claims_settled")


def test_a_store_that_forgets_while_claims_run_lets_no_old_owner_publish() -> None:
    made = branch(fill=(600 * MS, 601 * MS))
    made.request(made.fronts[0], NAME)
    made.run(30 * MS)
    made.stores["s0"].lose()
    made.run(100 * MS)
    keep_apart(made, 1, cold_home(made))
    made.request(made.fronts[1], NAME)  # the name can be claimed again at once
    made.run(3 * SECOND)
    assert made.counts.numbers == 2 and not made.counts.old_published and made.counts.served == 2
    assert counted(made, "claims_settled") <= 1


def test_a_piece_whose_handing_on_was_cut_off_stays_lent() -> None:
    """It may have been handed on: giving it back would count it twice."""
    made = branch(3)
    made.restart_cache("c0")
    made.run(SECOND)
    key, lender = f"cold:c0@{made.caches['c0'].started}", made.fronts[0]
    made.ways["s0"].cut = 1.0
    made.fronts[1].do_sharing(api.RequestQuota(key, 1e6))
    made.run(60 * MS)
    made.ways["s0"].cut = 0.0
    made.fronts[1].do_sharing(api.RequestQuota(key, 1e9))
    for _ in range(40):
        made.run(10 * MS)
        made.ways["s0"].cut = 1.0 if lender.router.state.quotas else 0.0
        made.look_at_budgets()
    assert lender.router.state.quotas and not made.counts.over_whole
    made.run(300 * MS)
    assert capacity.transferred(lender.router.state, lender.clock(made.now), key, 0.0) < 0


def test_odd_records_are_told_once_a_minute() -> None:
    made = branch(1)
    sharing = made.fronts[0].sharing
    assert sharing is not None
    for _ in range(100):
        key = b"t:%d:suspects" % sharing.stores["s0"].generation
        made.stores["s0"].call([b"HSET", key, b"nobody", b"9999999999999"])
        made.run(SECOND)
    assert 1 <= made.notes["store_records_odd"] <= 2 and counted(made, "records_odd") >= 100


def holders(made: Branch) -> list[bytes]:
    """Keys of holders that the store has."""
    return [key for key in [*made.stores["s0"].data] if b":h:" in key and made.stores["s0"].live_value(key)]


def test_two_wrong_words_take_a_holder_out_of_the_store() -> None:
    made = branch(4)
    made.request(made.fronts[0], NAME)
    made.run(SECOND)
    (key,) = holders(made)
    holder = next(name for name, cache in made.caches.items() if cache.kept)
    for count, front in enumerate(made.fronts[1:3]):
        assert key in holders(made)
        ask = api.LookUpHint(f"q{count}", f"{NAME}.0", holder, "", 10 * MS, SECOND)
        front.do_sharing(ev.LookupRequested(ask, NAME, 7))
        made.run(20 * MS)
        front.do_sharing(api.ReportStaleHint(ask.request_id, ask.name, holder))
        made.run(20 * MS)
    assert key not in holders(made)


def test_a_holder_that_has_restarted_is_dropped_for_all() -> None:
    made = branch()
    made.request(made.fronts[0], NAME)
    made.run(SECOND)
    (key,) = holders(made)
    holder = next(name for name, cache in made.caches.items() if cache.kept)
    made.restart_cache(holder)
    made.caches[holder].started = made.now - 3600 * SECOND  # warm, so that a look comes first
    made.list_anew()
    front = made.fronts[1]
    front.do_sharing(ev.LookupRequested(api.LookUpHint("q", f"{NAME}.0", "", "", 10 * MS, SECOND), NAME, 7))
    made.run(20 * MS)
    assert key not in holders(made)


def test_an_owner_whose_claim_another_has_publishes_nothing() -> None:
    """The store compares the whole claim: number and process."""
    made = branch()
    (generation,) = {front.sharing.stores["s0"].generation for front in made.fronts if front.sharing}
    claims = []
    for front in made.fronts[:2]:
        look = ev.LookUp(generation, "n", ("o:x", "g:1"), b"record", 500)
        reply = made.run_script(front, ev.StoreCommand(1, "s0", look))
        assert isinstance(reply, ev.StoreReply) and reply.values[0] == b"mine"
        claims.append(cast("bytes", reply.values[1]) + b" record")
        made.now += 600 * MS
        made.now -= 200 * MS if len(claims) == 2 else 0
    for claim, word in ((claims[0], b"lost"), (claims[1], b"done"), (claims[1], b"lost")):
        settle = ev.PublishLocation(generation, "n", claim, b"holder", 5, 1_000)
        script = scripts.script_of(settle, "t", "x")
        words = [w if isinstance(w, bytes) else str(w).encode() for w in script.arguments]
        text = scripts.NAMES["settle"].encode()
        assert made.stores["s0"].call([b"EVAL", text, b"1", script.key.encode(), *words])[2] == word


def test_an_end_that_comes_past_the_claim_asks_for_nothing() -> None:
    """By the owner's own clock, before any tick has swept the claim."""
    made = branch(fill=(900 * MS, 901 * MS))
    made.request(made.fronts[0], NAME)
    made.run(30 * MS)
    sharing, front = made.fronts[0].sharing, made.fronts[0]
    assert sharing is not None and len(sharing.claims) == 1
    later = front.clock(made.now) + 20 * SECOND
    actions = sharing.handle(later, ev.LeaseReleased(api.ReleaseLease("r1", "c0", 1)))
    assert not [
        a for a in actions if isinstance(a, ev.StoreCommand) and isinstance(a.operation, ev.PublishLocation)
    ]
    assert sharing.counts["claims_outlived"] == 1
