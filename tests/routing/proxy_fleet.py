"""A simulation of one zone's proxies, which have uneven traffic and share caches.

The first of the caches restarts during the simulation.
"""

from __future__ import annotations

import random
from heapq import heappop, heappush
from typing import NamedTuple

from olivepost import interface as api
from olivepost.router import Router
from olivepost.units import Duration, Instant
from tests.router_harness import MS, ORIGIN, SECOND, START, cache, forwarded_attempts, make_settings, parent

LINK_TRANSFERS = 5  # concurrent transfers that a cache's link carries
LINK_WEIGHT = float(LINK_TRANSFERS)
MEAN_WORK: Duration = 250 * MS
WINDOW: Duration = 2 * SECOND
SLOW_START: Duration = 10 * SECOND
INITIAL_SHARE = 0.2
OVERLOAD_MULTIPLE = 3.0
HIT_SHARE = 0.75  # share of lookups in a cache that are hits


class FleetAttempt(NamedTuple):
    """An attempt in flight. Attempts are ordered by the time at which their responses are complete."""

    completed_at: Instant
    proxy: int
    number: int  # number of the attempt within its request
    request_id: str
    request_number: int
    fills: bool


class SentAttempt(NamedTuple):
    """An attempt that was sent to the cache that restarts."""

    sent_at: Instant
    known_start: Instant | None  # the cache's start as the sending proxy knew it; None if it knew none


class ProxyFleet:
    """The routers of all proxies, and caches whose links limit how many transfers run at once."""

    def __init__(self, proxies: int, caches: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.settings = make_settings(
            caches=api.TierSettings(proxies, INITIAL_SHARE, SLOW_START, OVERLOAD_MULTIPLE),
            has_endpoint_weights=True,
            allows_direct_forwarding=False,
            overload_window=WINDOW,
            transfer_rate_kb_per_s=None,
        )
        self.cache_ids = [f"c{number}:1" for number in range(caches)]
        self.restarting_id = self.cache_ids[0]
        # The restarting cache's start time as each proxy knows it, by the proxy's number. None if a proxy
        # knows no start.
        self.known_starts: list[Instant | None] = [None] * proxies
        self.routers = [self._start_router(proxy) for proxy in range(proxies)]
        self.traffic = [self.random.expovariate(1) + 0.1 for _ in range(proxies)]
        self.link_free_at = {cache_id: [0] * LINK_TRANSFERS for cache_id in self.cache_ids}
        self.in_flight: list[FleetAttempt] = []  # a heap ordered by completion time
        self.request_count = 0
        self.last_numbers: dict[str, int] = {}  # number of the last attempt, by request id
        self.sent: list[SentAttempt] = []

    def _start_router(self, proxy: int, now: Instant = START) -> Router:
        router = Router(self.settings, self.random.randrange(1 << 30))
        starts = dict.fromkeys(self.cache_ids) | {self.restarting_id: self.known_starts[proxy]}
        caches = [cache(cache_id, weight=LINK_WEIGHT, started_at=start) for cache_id, start in starts.items()]
        endpoints = (*caches, parent("p:1", weight=100.0), ORIGIN)
        router.handle(now, api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, endpoints))
        return router

    def restart_proxy(self, proxy: int, now: Instant) -> None:
        """Replaces the proxy's process by a new one, which doesn't know what the earlier process sent."""
        self.routers[proxy] = self._start_router(proxy, now)

    def announce_start(self, proxy: int, now: Instant, started_at: Instant) -> None:
        """Informs a proxy that the restarting cache began to run again at `started_at`."""
        self.known_starts[proxy] = started_at
        restarted = cache(self.restarting_id, weight=LINK_WEIGHT, started_at=started_at)
        update = api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, (restarted,))
        self.routers[proxy].handle(now, update)

    def request(self, now: Instant) -> None:
        """Completes all responses that are due, then passes a new request to one of the proxies."""
        self._complete_until(now)
        self.request_count += 1
        proxy = self.random.choices(range(len(self.routers)), self.traffic)[0]
        name = f"n{int(self.random.paretovariate(0.6))}"
        request = api.Request(f"r{self.request_count}", "image", name, 3 * SECOND, group=1)
        self._execute(proxy, now, self.routers[proxy].handle(now, request))

    def _execute(self, proxy: int, now: Instant, actions: list[api.Action]) -> None:
        for attempt in forwarded_attempts(actions):
            if attempt.cache == self.restarting_id:
                self.sent.append(SentAttempt(now, self.known_starts[proxy]))
            number = self.last_numbers.get(attempt.request_id, -1) + 1
            self.last_numbers[attempt.request_id] = number
            in_flight = FleetAttempt(
                self._transfer(attempt.cache, now),
                proxy,
                number,
                attempt.request_id,
                self.request_count,
                attempt.source is not None,
            )
            heappush(self.in_flight, in_flight)

    def _transfer(self, cache_id: str, now: Instant) -> Instant:
        """Starts the transfer of a response on a cache's link; returns the end time of the transfer."""
        free_at = self.link_free_at[cache_id]
        slot = min(range(LINK_TRANSFERS), key=free_at.__getitem__)
        free_at[slot] = max(now, free_at[slot]) + int(self.random.expovariate(1 / MEAN_WORK))
        return free_at[slot]

    def _complete_until(self, now: Instant) -> None:
        while self.in_flight and self.in_flight[0].completed_at <= now:
            attempt = heappop(self.in_flight)
            actions = self.routers[attempt.proxy].handle(attempt.completed_at, self._outcome(attempt))
            self._execute(attempt.proxy, attempt.completed_at, actions)

    def _outcome(self, attempt: FleetAttempt) -> api.AttemptOutcome:
        status = api.AttemptStatus.OK
        cache_status = api.CacheStatus.HIT
        if attempt.fills:
            cache_status = api.CacheStatus.FILLED
        elif self.random.random() >= HIT_SHARE:
            status = api.AttemptStatus.NOT_CACHED
            cache_status = api.CacheStatus.UNKNOWN
        is_final = status is api.AttemptStatus.OK
        return api.AttemptOutcome(
            attempt.request_id, attempt.number, status, MEAN_WORK, is_final, cache_status
        )
