"""Checks of f-TTL against values computed by hand from the formulas in docs/design.md."""

import pytest

from olivepost import interface as api
from olivepost.routing import adaptive_ttl, admission
from olivepost.routing.adaptive_ttl import MAX_LIFETIME, MAX_NAMES, RANK_LOW, RANK_MIDDLE, RANK_TOP
from olivepost.routing.initial_state import initial_state
from olivepost.routing.selection import rendezvous_order
from olivepost.routing_state import ClassLevels, ExpiringNameTable, NameEntry, PendingRequest
from tests.router_harness import SECOND, RouterDriver, first_attempt, make_settings


def levels(level: float, first_seen_level: float) -> ClassLevels:
    return ClassLevels(level, first_seen_level)


def test_lifetime_is_the_longest_times_the_level() -> None:
    assert adaptive_ttl.lifetime(levels(0.25, 0.0)) == 15 * SECOND


@pytest.mark.parametrize(
    ("level", "gamma"),
    [
        # The first value of each tuple is the lifetime level ϑ: a name's lifetime is the longest lifetime
        # times ϑ. The second value is the expected factor Γ, by which the lifetime of a name that was seen
        # once is multiplied, too (the threshold function of the paper). Γ rises with ϑ from the first-seen
        # level ϑs, here 0.4, to 1. The range of ϑ in which Γ rises has the width ε, here 0.1.
        (0.5, 0.4),  # Γ equals ϑs if ϑ is far below 1
        (0.85, 0.4),  # Γ is still ϑs at ϑ = 1 - 3ε/2, where the rise of Γ begins
        (0.9, 0.7),  # Γ = ϑs + (1 - ϑs)/2 at ϑ = 1 - ε, halfway through the rise
        (0.95, 1.0),  # Γ = 1 at ϑ = 1 - ε/2, where the rise ends
        (1.0, 1.0),
    ],
)
def test_threshold_function(level: float, gamma: float) -> None:
    assert adaptive_ttl.first_seen_lifetime(levels(level, 0.4)) == pytest.approx(MAX_LIFETIME * level * gamma)


def test_zero_level_gives_zero_lifetimes() -> None:
    assert adaptive_ttl.first_seen_lifetime(levels(0.0, 1.0)) == 0.0


def test_hit_lowers_and_miss_raises_the_level() -> None:
    class_levels = levels(0.5, 0.5)
    adaptive_ttl.move_levels(class_levels, True, 5 * SECOND, 1.0)
    assert class_levels.level == pytest.approx(0.5 + 0.01 * (0.8 - 1))
    adaptive_ttl.move_levels(class_levels, False, 5 * SECOND, 1.0)
    assert class_levels.level == pytest.approx(0.5 + 0.01 * (0.8 - 1) + 0.01 * 0.8)
    assert class_levels.first_seen_level == pytest.approx(0.5)  # unchanged: both samples equal the target


def test_size_samples_move_the_first_seen_level_by_weight() -> None:
    class_levels = levels(0.5, 0.5)
    # The first response's size becomes the mean size. A sample's weight is its size divided by the mean, so
    # the weight is 1 here.
    adaptive_ttl.move_levels(class_levels, False, 10 * SECOND, 4.0)
    assert class_levels.first_seen_level == pytest.approx(0.5 - 0.0001)
    adaptive_ttl.move_levels(class_levels, False, 0.0, 8.0)  # the mean size becomes 4.04 KB
    assert class_levels.first_seen_level == pytest.approx(0.5 - 0.0001 + 0.0001 * 8 / 4.04)


def test_levels_stay_within_bounds() -> None:
    class_levels = levels(1.0, 0.0)
    adaptive_ttl.move_levels(class_levels, False, 60 * SECOND, 1.0)
    assert (class_levels.level, class_levels.first_seen_level) == (1.0, 0.0)


def test_names_expire_and_are_renewed() -> None:
    table = ExpiringNameTable(MAX_NAMES, RANK_TOP + 1)
    table.put("a", NameEntry(10, RANK_LOW, 1.0))
    assert table.remaining(4, "a") == 6
    table.put("a", NameEntry(20, RANK_MIDDLE, 1.0))
    assert table.remaining(10, "a") == 10
    assert table.remaining(20, "a") is None


def test_full_name_table_evicts_the_earliest_expiry() -> None:
    table = ExpiringNameTable(2, RANK_TOP + 1)
    for name, end in (("a", 30), ("b", 10), ("c", 20)):
        table.put(name, NameEntry(end, RANK_LOW, 1.0))
    assert [table.remaining(0, name) for name in "abc"] == [30, None, 20]


def test_name_table_stays_bounded() -> None:
    table = ExpiringNameTable(10, RANK_TOP + 1)
    for turn in range(1000):
        table.remaining(0, "x")
        table.put(f"{turn % 25}", NameEntry(10_000 + turn, RANK_LOW, 1.0))
    assert len(table) <= 11
    assert table.queue_length <= 21


def test_top_rank_is_bounded_by_its_share_of_bytes() -> None:
    state = RouterDriver(make_settings()).state
    state.names.put("big", NameEntry(10, RANK_LOW, 89.0))
    assert adaptive_ttl.top_rank_has_capacity(state, "new")
    state.names.put("one", NameEntry(10, RANK_TOP, 11.0))
    # The top rank's names have 11 of 100 KB, and 11 KB exceed that rank's share of 0.1.
    assert not adaptive_ttl.top_rank_has_capacity(state, "new")
    assert adaptive_ttl.top_rank_has_capacity(state, "one")  # the bytes of `one` itself are not counted


def test_new_names_rank_low_at_level_zero_and_repeats_rank_top() -> None:
    driver = RouterDriver(make_settings())
    driver.state.levels["image"].first_seen_level = 0.0
    ranks = [first_attempt(driver.request(str(i), f"n{i}")).rank for i in range(5)]
    # The level ϑ is 0.5 and the first-seen level ϑs is 0, so Γ = 0. The lifetime of a name that was seen once
    # is therefore θs = L·ϑ·Γ = 0. At θs = 0, no new name ranks higher than the low rank, and all are cached.
    assert ranks == [RANK_LOW] * 5
    assert first_attempt(driver.request("again", "n1")).rank == RANK_TOP


def test_new_names_rank_middle_at_the_level_ceiling() -> None:
    driver = RouterDriver(make_settings())
    driver.state.levels["image"].level = 1.0
    assert first_attempt(driver.request("1")).rank == RANK_MIDDLE


def test_expired_name_ranks_as_new() -> None:
    driver = RouterDriver(make_settings())
    driver.state.levels["image"].first_seen_level = 0.0
    driver.request("1")
    driver.advance(61 * SECOND)
    assert first_attempt(driver.request("2")).rank == RANK_LOW


def test_rendezvous_order_moves_few_names_when_an_endpoint_is_removed() -> None:
    names = [f"n{i}" for i in range(400)]
    firsts = {name: rendezvous_order(name, ("a", "b", "c"))[0] for name in names}
    assert all(count > 90 for count in map(list(firsts.values()).count, "abc"))
    assert all(rendezvous_order(n, ("a", "c"))[0] == home for n, home in firsts.items() if home != "b")


def test_overload_rejects_expensive_requests_first_and_falls_again() -> None:
    state = initial_state(make_settings(), 1)

    def is_too_expensive(size_kb: float) -> bool:
        request = api.Request("1", "image", "x", SECOND, size_kb=size_kb)
        pending = PendingRequest(request, state.settings.classes["image"], "x.0", 0, 0, RANK_LOW, None)
        cost = admission.record_cost(state, pending, state.arrivals)
        return admission.is_too_expensive(state, pending, state.arrivals, cost)

    def record(is_overloaded: bool) -> None:
        admission.record_arrival(state, is_overloaded)

    assert not is_too_expensive(100.0)
    for _ in range(100):
        record(True)
    assert is_too_expensive(100.0)
    assert not is_too_expensive(1.0)
    for _ in range(300):
        record(False)
    assert state.arrivals.level == 0.0
    assert not is_too_expensive(1e9)
