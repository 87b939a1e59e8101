"""Many proxies over shared endpoints: what holds for 4 proxies must hold for 250."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

import pytest

from olivepost import interface as api
from olivepost.router import Router
from olivepost.units import Instant
from tests.router_harness import MS, ORIGIN, SECOND, START, cache, forwarded_attempts, make_settings, parent
from tests.routing.proxy_fleet import (
    INITIAL_SHARE,
    LINK,
    MEAN_WORK,
    OVERLOAD_MULTIPLE,
    SLOW_START,
    WINDOW,
    ProxyFleet,
)

REQUEST_WORK = 50 * MS
FLOOD_REQUESTS = 6400
FLOOD_DURATION = 16 * SECOND
STARTING_ENDPOINTS = (
    cache("a:1", weight=LINK, started_at=START),
    parent("p:1", weight=LINK, started_at=START),
    ORIGIN,
)


def work_under_flood(proxies: int, restarts: int) -> dict[str, list[tuple[Instant, float]]]:
    """When all proxies send how much work to a starting cache and parent, while clients flood them."""
    settings = make_settings(
        caches=api.TierSettings(proxies, 0.2, 10 * SECOND, 2.0),
        has_endpoint_weights=True,
        allows_direct_forwarding=False,
        parents=api.TierSettings(proxies, 0.1, 12 * SECOND, 2.0),
    )
    restored = api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, STARTING_ENDPOINTS)
    draw = random.Random(5)
    routers = [Router(settings, seed) for seed in range(proxies)]
    for router in routers:
        router.handle(START, restored)
    sent: dict[str, list[tuple[Instant, float]]] = {"a:1": [], "p:1": []}
    for number in range(FLOOD_REQUESTS):
        now = START + number * FLOOD_DURATION // FLOOD_REQUESTS
        proxy = draw.randrange(proxies)
        if restarts and number % (FLOOD_REQUESTS // restarts) == 3000 // restarts:
            routers[proxy] = Router(settings, 1000 + number)
            routers[proxy].handle(now, restored)
        request = api.Request(f"r{number}", "image", f"n{number}", 2 * SECOND, 50.0, 1)
        for attempt in forwarded_attempts(routers[proxy].handle(now, request)):
            for endpoint_id in sent.keys() & {attempt.cache, attempt.source}:
                sent[endpoint_id].append((now, REQUEST_WORK))
        routers[proxy].handle(now, api.ClientDisconnected(f"r{number}"))
    return sent


@pytest.mark.parametrize(("proxies", "restarts"), [(4, 0), (4, 1), (4, 8), (250, 0), (250, 25)])
def test_all_proxies_together_stay_within_a_starting_endpoints_budget(proxies: int, restarts: int) -> None:
    """The slow start invariant over every window, also with proxies that don't know what they sent before."""
    sent = work_under_flood(proxies, restarts)

    assert sent["a:1"]
    for endpoint_id, initial_share, slow_start in (("a:1", 0.2, 10 * SECOND), ("p:1", 0.1, 12 * SECOND)):
        for start, _ in sent[endpoint_id]:
            work = sum(work for sent_at, work in sent[endpoint_id] if start <= sent_at < start + 2 * SECOND)
            share = initial_share + (1 - initial_share) * (start - START) / slow_start
            assert share >= 1 or work <= 2.0 * share * LINK * 2 * SECOND


class FleetEvent(NamedTuple):
    """A proxy learns that the cache has started, or itself restarts where no start is given."""

    at: Instant
    proxy: int
    cache_started_at: Instant | None


def fleet_events(
    fleet: ProxyFleet, cache_starts: list[Instant], restarts: float, max_delay_s: float
) -> list[FleetEvent]:
    """Proxies learn of each start with different delays; a share of them restarts after the first."""
    proxies = len(fleet.routers)
    draw = fleet.random
    events = [
        FleetEvent(start + int(draw.random() * max_delay_s * SECOND), proxy, start)
        for start in cache_starts
        for proxy in range(proxies)
    ]
    events += [
        FleetEvent(cache_starts[0] + int(draw.random() * 10 * SECOND), draw.randrange(proxies), None)
        for _ in range(int(restarts * proxies))
    ]
    return sorted(events, key=lambda event: (event.at, event.proxy, event.cache_started_at or 0))


def play(fleet: ProxyFleet, events: list[FleetEvent], requests: int, duration: int) -> None:
    for now in sorted(START + int(fleet.random.random() * duration) for _ in range(requests)):
        while events and events[0].at <= now:
            event = events.pop(0)
            if event.cache_started_at is None:
                fleet.restart_proxy(event.proxy, event.at)
            else:
                fleet.announce_start(event.proxy, event.at, event.cache_started_at)
        fleet.request(now)


@pytest.mark.parametrize("proxies", [3, 30, 200])
@pytest.mark.parametrize(
    ("caches", "load", "restarts", "max_delay_s"),
    [(4, 0.7, 0.0, 0.0), (4, 1.0, 0.5, 0.0), (2, 2.0, 0.0, 1.0), (3, 1.5, 1.0, 1.0)],
)
def test_fleet_stays_within_a_starting_caches_budget_in_every_window(
    proxies: int, caches: int, load: float, restarts: float, max_delay_s: float
) -> None:
    """The slow start invariant for all proxies: N requests of mean work, and 2 * sqrt(N) + 2 for chance.

    The cache restarts twice; proxies learn of it at different times, have uneven traffic, and some restart
    meanwhile. Windows count of which over two thirds were sent by proxies that knew of the start.
    """
    cache_starts = [START + 6 * SECOND, START + 12 * SECOND]
    duration = 20 * SECOND
    for seed in (1, 2):
        fleet = ProxyFleet(proxies, caches, seed)
        events = fleet_events(fleet, cache_starts, restarts, max_delay_s)

        play(fleet, events, int(load * caches * LINK * 20 * SECOND / MEAN_WORK), duration)

        for start, end in zip(cache_starts, [cache_starts[1], START + duration], strict=True):
            check_slow_start(fleet, start, end)


def check_slow_start(fleet: ProxyFleet, start: Instant, end: Instant) -> None:
    """Checks all windows that begin with an attempt between a start of the cache and the next."""
    sent = [
        (attempt.sent_at, (attempt.known_start or 0) >= start)
        for attempt in fleet.sent
        if start <= attempt.sent_at < end
    ]
    assert sent or len(fleet.routers) > 30  # one of very many has less than one request's part at first
    for place, (window_start, _) in enumerate(sent):
        knowing = [knew for sent_at, knew in sent[place:] if sent_at < window_start + WINDOW]
        share = min(1.0, INITIAL_SHARE + (1 - INITIAL_SHARE) * (window_start - start) / SLOW_START)
        budget = OVERLOAD_MULTIPLE * share * LINK * WINDOW / MEAN_WORK
        if sum(knowing) * 3 > 2 * len(knowing):
            assert len(knowing) <= budget + 2 * math.sqrt(budget) + 2
