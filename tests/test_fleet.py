"""Many fronts over shared members, and odd lists: what holds at 4 fronts must hold at 250."""

from __future__ import annotations

import dataclasses
import hashlib
import random

import pytest

from olivepost import choice
from olivepost import interface as api
from olivepost.choice import Router
from tests.helpers import (
    FLEET,
    MS,
    ORIGIN,
    SECOND,
    START,
    Front,
    cache,
    fetches,
    finals,
    make_settings,
    parent,
)

LINK, WORK = 5.0, 50 * MS
COLD = (cache("a:1", weight=LINK, started=START),
        parent("p:1", weight=LINK, started=START), ORIGIN)


def total_work(fronts: int, restarts: int) -> dict[str, list[tuple[int, float]]]:
    """What all fronts send a cold cache and its cold parent while clients flood them for 16 seconds."""
    settings = make_settings(caches=api.Tier(fronts, 0.2, 10 * SECOND, 2.0), weights_told=True, direct=False,
                             parents=api.Tier(fronts, 0.1, 12 * SECOND, 2.0))
    chance = random.Random(5)
    routers = [Router(settings, seed) for seed in range(fronts)]
    for router in routers:
        router.handle(START, api.Membership(api.ListKind.STORED, COLD))
    sent: dict[str, list[tuple[int, float]]] = {"a:1": [], "p:1": []}
    for count in range(6400):
        now, number = START + count * 16 * SECOND // 6400, chance.randrange(fronts)
        if restarts and count % (6400 // restarts) == 3000 // restarts:
            routers[number] = Router(settings, 1000 + count)
            routers[number].handle(now, api.Membership(api.ListKind.STORED, COLD))
        request = api.Request(f"r{count}", "image", f"n{count}", 2 * SECOND, 50.0, 1)
        for fetch in fetches(routers[number].handle(now, request)):
            for address in {fetch.cache, fetch.source} & sent.keys():
                sent[address].append((now, WORK))
        routers[number].handle(now, api.ClientLeft(f"r{count}"))
    return sent


@pytest.mark.parametrize(("fronts", "restarts"), [(4, 0), (4, 1), (250, 0), (250, 25)])
def test_all_fronts_together_keep_a_cold_members_budget(fronts: int, restarts: int) -> None:
    """Rule 4 over every window, also with fronts that forget what they sent."""
    sent = total_work(fronts, restarts)
    assert sent["a:1"]
    for address, floor, warm in (("a:1", 0.2, 10 * SECOND), ("p:1", 0.1, 12 * SECOND)):
        for start, _ in sent[address]:
            window = sum(work for when, work in sent[address] if start <= when < start + 2 * SECOND)
            share = floor + (1 - floor) * (start - START) / warm
            slack = 1 + restarts / fronts
            assert share >= 1 or window <= slack * 2.0 * share * LINK * 2 * SECOND


@pytest.mark.parametrize("elsewhere", [0, 400])
def test_placement_work_does_not_grow_with_members_of_other_locations(
    elsewhere: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    hashed: list[bytes] = []
    plain = hashlib.blake2b

    def counted(data: bytes, digest_size: int) -> object:
        hashed.append(data)
        return plain(data, digest_size=digest_size)

    monkeypatch.setattr(choice, "blake2b", counted)
    choice.place.cache_clear()
    others = tuple(cache(f"e{i}:1", zone=f"zone{i % 40}") for i in range(elsewhere))
    front = Front(make_settings(), (*FLEET, *others))
    front.fill("1", "x")
    assert len(hashed) == 5 and len(front.router._members) == len(FLEET)
    front.do(api.Membership(api.ListKind.CHANGES, others))  # and a list line of theirs forgets no order
    front.fill("2", "x")
    assert len(hashed) == 5


def test_list_that_repeats_and_reorders_lines_names_each_member_once() -> None:
    front, other = Front(make_settings(), (*FLEET, *reversed(FLEET))), Front(make_settings())
    for i in range(20):
        one, two = (fetches(f.fill(str(i), f"n{i}"))[0] for f in (front, other))
        assert (one.cache, one.source) == (two.cache, two.source)


def test_stored_list_of_a_fleet_that_was_wholly_replaced() -> None:
    """Every stored member refuses connections: answers come at once, then the new list is used."""
    front = Front(make_settings(direct=False))
    for i in range(30):
        actions = front.ask(str(i), f"n{i}")
        for number in range(6):
            if finals(actions):
                break
            actions = front.end(str(i), number, api.Status.NOT_CONNECTED)
        assert str(i) not in front.router._held
    front.do(api.Membership(api.ListKind.FULL, (cache("new:1", started=front.now), parent("p9:1"), ORIGIN)))
    assert {f.cache for f in fetches(front.ask("x", "y"))} <= {"new:1"}


def test_one_cache_that_all_parents_have_left_fills_from_the_origin() -> None:
    gone = tuple(dataclasses.replace(m, state=api.State.GONE) for m in FLEET if m.kind == "parent")
    front = Front(make_settings())
    front.do(api.Membership(api.ListKind.CHANGES, gone))
    assert fetches(front.fill("1"))[0].source == "origin:1"
