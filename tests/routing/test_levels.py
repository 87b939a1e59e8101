"""f-TTL against figures worked out by hand from the design page's formulas."""

import random

import pytest

from olivepost.routing.router import LONGEST, LOW, MIDDLE, TOP, Levels, NameTable, Pressure, place
from tests.helpers import SECOND, Front, fetches, make_settings


def levels(deep: float, shallow: float) -> Levels:
    made = Levels()
    made.deep, made.shallow = deep, shallow
    return made


def test_lifetime_is_the_longest_times_the_level() -> None:
    assert levels(0.25, 0.0).lifetime() == 15 * SECOND


@pytest.mark.parametrize(
    ("deep", "gamma"),
    [
        (0.5, 0.4),  # far below the ceiling: Γ = ϑs
        (0.85, 0.4),  # at 1 - 3ε/2: still ϑs
        (0.9, 0.7),  # half way: ϑs + (1 - ϑs)/2
        (0.95, 1.0),  # at 1 - ε/2
        (1.0, 1.0),
    ],
)
def test_threshold_function(deep: float, gamma: float) -> None:
    assert levels(deep, 0.4).shallow_lifetime() == pytest.approx(LONGEST * deep * gamma)


def test_zero_level_gives_zero_lifetimes() -> None:
    assert levels(0.0, 1.0).shallow_lifetime() == 0.0


def test_a_hit_lowers_and_a_miss_raises_the_level() -> None:
    made = levels(0.5, 0.5)
    made.learn(True, 5 * SECOND, 1.0)
    assert made.deep == pytest.approx(0.5 + 0.01 * (0.8 - 1))
    made.learn(False, 5 * SECOND, 1.0)
    assert made.deep == pytest.approx(0.5 + 0.01 * (0.8 - 1) + 0.01 * 0.8)
    assert made.shallow == pytest.approx(0.5)  # samples on target move nothing


def test_size_samples_move_the_shallow_level_by_weight() -> None:
    made = levels(0.5, 0.5)
    made.learn(False, 10 * SECOND, 4.0)  # the first size is the mean: weight 1
    assert made.shallow == pytest.approx(0.5 - 0.0001)
    made.learn(False, 0.0, 8.0)  # mean becomes 4.04
    assert made.shallow == pytest.approx(0.5 - 0.0001 + 0.0001 * 8 / 4.04)


def test_levels_stay_within_bounds() -> None:
    made = levels(1.0, 0.0)
    made.learn(False, 60 * SECOND, 1.0)
    assert (made.deep, made.shallow) == (1.0, 0.0)


def test_name_timers_end_and_are_reset() -> None:
    table = NameTable()
    table.put("a", 10, LOW, 1.0)
    assert table.left(4, "a") == 6
    table.put("a", 20, MIDDLE, 1.0)
    assert table.left(10, "a") == 10
    assert table.left(20, "a") is None


def test_full_table_drops_the_earliest_ending(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("olivepost.routing.router.MOST_NAMES", 2)
    table = NameTable()
    for name, end in (("a", 30), ("b", 10), ("c", 20)):
        table.put(name, end, LOW, 1.0)
    assert [table.left(0, name) for name in "abc"] == [30, None, 20]


def test_name_table_stays_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("olivepost.routing.router.MOST_NAMES", 10)
    table = NameTable()
    for turn in range(1000):
        table.left(0, "x")
        table.put(f"{turn % 25}", 10_000 + turn, LOW, 1.0)
    assert len(table._names) <= 11
    assert len(table._ends) <= 41


def test_top_rank_is_bounded_by_its_share_of_bytes() -> None:
    table = NameTable()
    table.put("big", 10, LOW, 89.0)
    assert table.top_has_room("new")
    table.put("one", 10, TOP, 11.0)
    assert not table.top_has_room("new")  # 11 of 100 is over a share of 0.1
    assert table.top_has_room("one")  # its own bytes do not stand against it


def test_new_names_low_without_levels_and_repeats_top() -> None:
    front = Front(make_settings())
    front.router._levels["image"].shallow = 0.0
    ranks = [fetches(front.ask(str(i), f"n{i}"))[0].rank for i in range(5)]
    assert ranks == [LOW] * 5  # θs = 0: never lifted; and never unkept
    assert fetches(front.ask("again", "n1"))[0].rank == TOP


def test_new_names_middle_at_the_ceiling() -> None:
    front = Front(make_settings())
    front.router._levels["image"].deep = 1.0
    assert fetches(front.ask("1"))[0].rank == MIDDLE


def test_lapsed_name_ranks_anew() -> None:
    front = Front(make_settings())
    front.router._levels["image"].shallow = 0.0
    front.ask("1")
    front.wait(61 * SECOND)
    assert fetches(front.ask("2"))[0].rank == LOW


def test_placement_is_stable_and_moves_little() -> None:
    names = [f"n{i}" for i in range(400)]
    firsts = {name: place(name, ("a", "b", "c"))[0] for name in names}
    assert all(count > 90 for count in map(list(firsts.values()).count, "abc"))
    assert all(place(n, ("a", "c"))[0] == home for n, home in firsts.items() if home != "b")


def test_pressure_spares_cheap_requests_and_falls_again() -> None:
    pressure = Pressure(random.Random(1), 0.04, 0.1)
    assert not pressure.refuses(100.0, True)
    for _ in range(100):
        pressure.learn(True)
    assert pressure.refuses(100.0, True) and not pressure.refuses(1.0, True)
    for _ in range(300):
        pressure.learn(False)
    assert pressure.level == 0.0 and not pressure.refuses(1e9, True)
