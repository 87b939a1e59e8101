"""Tests of the slow start invariant for proxies with shared endpoints.

What holds for 4 proxies must hold for 250. The invariant: all proxies together send an endpoint that is
warming up no more work than its budget.
"""

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
    LINK_WEIGHT,
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
    cache("a:1", weight=LINK_WEIGHT, started_at=START),
    parent("p:1", weight=LINK_WEIGHT, started_at=START),
    ORIGIN,
)


def work_under_flood(proxies: int, restarts: int) -> dict[str, list[tuple[Instant, float]]]:
    """Returns the work that all proxies send to a starting cache and to a starting parent, by endpoint id.

    Each amount of work comes with the time at which it was sent.

    Clients send a flood of requests, during which random proxies restart `restarts` times in all.
    """
    settings = make_settings(
        caches=api.TierSettings(proxies, 0.2, 10 * SECOND, 2.0),
        has_endpoint_weights=True,
        allows_direct_forwarding=False,
        parents=api.TierSettings(proxies, 0.1, 12 * SECOND, 2.0),
    )
    restored = api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, STARTING_ENDPOINTS)
    random_source = random.Random(5)
    routers = [Router(settings, seed) for seed in range(proxies)]
    for router in routers:
        router.handle(START, restored)
    sent: dict[str, list[tuple[Instant, float]]] = {"a:1": [], "p:1": []}
    for number in range(FLOOD_REQUESTS):
        now = START + number * FLOOD_DURATION // FLOOD_REQUESTS
        proxy = random_source.randrange(proxies)
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
    """Checks the slow start invariant in every window, even if proxies restart and forget what they sent."""
    sent = work_under_flood(proxies, restarts)

    assert sent["a:1"]
    for endpoint_id, initial_share, slow_start in (("a:1", 0.2, 10 * SECOND), ("p:1", 0.1, 12 * SECOND)):
        for start, _ in sent[endpoint_id]:
            work = sum(work for sent_at, work in sent[endpoint_id] if start <= sent_at < start + 2 * SECOND)
            share = initial_share + (1 - initial_share) * (start - START) / slow_start
            assert share >= 1 or work <= 2.0 * share * LINK_WEIGHT * 2 * SECOND


class FleetEvent(NamedTuple):
    """An event at one proxy: news that the cache has started, or a restart of the proxy.

    `cache_started_at` is None if the proxy restarts.
    """

    at: Instant
    proxy: int
    cache_started_at: Instant | None


def fleet_events(
    fleet: ProxyFleet, cache_starts: list[Instant], restarts: float, max_delay_s: float
) -> list[FleetEvent]:
    """Returns the events of all proxies in order of time.

    Proxies learn of each start of the cache after different delays. `restarts` is the number of restarts of
    proxies in the 10 s after the first start, as a share of the number of proxies.
    """
    proxies = len(fleet.routers)
    random_source = fleet.random
    events = [
        FleetEvent(start + int(random_source.random() * max_delay_s * SECOND), proxy, start)
        for start in cache_starts
        for proxy in range(proxies)
    ]
    events += [
        FleetEvent(
            cache_starts[0] + int(random_source.random() * 10 * SECOND),
            random_source.randrange(proxies),
            None,
        )
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
    """Checks the slow start invariant for all proxies together.

    The budget is N requests of mean work, and 2 * sqrt(N) + 2 more requests are allowed for random variation.

    The cache restarts twice. Proxies learn of each restart at different times and have uneven traffic, and
    some of the proxies restart in the meantime. A window is checked if more than two thirds of its attempts
    came from proxies that knew of the cache's start.
    """
    cache_starts = [START + 6 * SECOND, START + 12 * SECOND]
    duration = 20 * SECOND
    for seed in (1, 2):
        fleet = ProxyFleet(proxies, caches, seed)
        events = fleet_events(fleet, cache_starts, restarts, max_delay_s)

        play(fleet, events, int(load * caches * LINK_WEIGHT * 20 * SECOND / MEAN_WORK), duration)

        for start, end in zip(cache_starts, [cache_starts[1], START + duration], strict=True):
            check_slow_start(fleet, start, end)


def check_slow_start(fleet: ProxyFleet, start: Instant, end: Instant) -> None:
    """Checks each window that begins with an attempt against the budget of the cache that restarts.

    The cache started at `start`, and the windows begin before `end`.
    """
    sent = [
        (attempt.sent_at, (attempt.known_start or 0) >= start)
        for attempt in fleet.sent
        if start <= attempt.sent_at < end
    ]
    # With very many proxies, each proxy's part of the budget is at first less than one request, so the cache
    # may get no attempt.
    assert sent or len(fleet.routers) > 30
    for index, (window_start, _) in enumerate(sent):
        knew_start = [knew for sent_at, knew in sent[index:] if sent_at < window_start + WINDOW]
        share = min(1.0, INITIAL_SHARE + (1 - INITIAL_SHARE) * (window_start - start) / SLOW_START)
        budget = OVERLOAD_MULTIPLE * share * LINK_WEIGHT * WINDOW / MEAN_WORK
        if sum(knew_start) * 3 > 2 * len(knew_start):
            assert len(knew_start) <= budget + 2 * math.sqrt(budget) + 2
