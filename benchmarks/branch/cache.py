"""Modelled caches: what they store and fill, and how they answer an attempt."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from benchmarks.branch.counts import Counts
from benchmarks.branch.simulation import Simulation
from olivepost import interface as api
from olivepost.units import MILLISECOND, SECOND

MAX_CLOCK_DRIFT = 0.004  # share by which a proxy's clock runs fast or slow
PARENT_LATENCY = 80 * MILLISECOND  # of an attempt that goes straight to a parent
MISS_LATENCY = 2 * MILLISECOND
TRANSFER_LATENCY = 5 * MILLISECOND  # of a response after its fill has ended
INVALIDATION_DELAY = 300 * MILLISECOND  # that a proxy may take to learn of an invalidation


class CacheResponse(NamedTuple):
    """How an attempt ends, and after how long."""

    status: api.AttemptStatus
    cache_status: api.CacheStatus
    latency: int


@dataclass
class Cache:
    """The names that a cache stores since when, and its fills until when; least recently used first."""

    capacity: int  # names
    weight: float  # transfers that it carries at once
    started: int = 0  # 0: long ago
    stored: dict[str, int] = field(default_factory=dict)
    filling: dict[str, int] = field(default_factory=dict)
    work: list[tuple[int, float]] = field(default_factory=list)  # sent to it: when, how much

    def restart(self, now: int) -> None:
        """Comes back empty and cold."""
        self.stored = {}
        self.filling = {}
        self.work = []
        self.started = now

    def look_up(self, now: int, name: str, max_age: int | None) -> int | None:
        """When the response that may be served was stored; it is the latest used now. No maximum: any age."""
        stored_at = self.stored.get(name)
        if stored_at is None or (max_age is not None and now - stored_at > max_age):
            return None
        self.stored[name] = self.stored.pop(name)
        return stored_at

    def is_filling(self, now: int, name: str) -> bool:
        """Whether a fill of the name is under way."""
        return self.filling.get(name, 0) > now

    def complete_fill(self, name: str, started_at: int) -> None:
        """Stores what a fill brought, unless the cache was restarted meanwhile."""
        if self.filling.pop(name, 0) and self.started <= started_at:
            self.stored[name] = started_at
            while len(self.stored) > self.capacity:
                del self.stored[next(iter(self.stored))]


class CacheTier:
    """All caches of a branch, which know of each other what proxies don't."""

    def __init__(
        self,
        simulation: Simulation,
        settings: api.Settings,
        counts: Counts,
        caches: dict[str, Cache],
        fill_durations: tuple[int, int],
    ) -> None:
        self.caches = caches
        self._counts = counts
        self.invalidated_at: dict[int, int] = {}  # the last invalidation of each group
        self._simulation = simulation
        self._settings = settings
        self._fill_durations = fill_durations

    def respond(self, request: api.Request, attempt: api.ForwardAttempt) -> CacheResponse:
        """How a cache answers an attempt: from its store, by a fill under way, or by one of its own."""
        now = self._simulation.now
        cache = self.caches.get(attempt.cache)
        if cache is None:
            return CacheResponse(api.AttemptStatus.OK, api.CacheStatus.FILLED, PARENT_LATENCY)
        work = self._work_of(request)
        cache.work.append((now, work))
        name = f"{request.object}.{request.part}"
        max_age = attempt.max_age or self._settings.classes[request.class_name].freshness_lifetime
        stored_at = cache.look_up(now, name, max_age)
        if stored_at is not None:
            self._check_age(request, stored_at)
            return CacheResponse(api.AttemptStatus.OK, api.CacheStatus.HIT, int(work))
        if cache.is_filling(now, name):
            latency = cache.filling[name] - now + TRANSFER_LATENCY
            return CacheResponse(api.AttemptStatus.OK, api.CacheStatus.COLLAPSED, latency)
        if attempt.source is None:
            return CacheResponse(api.AttemptStatus.NOT_CACHED, api.CacheStatus.UNKNOWN, MISS_LATENCY)
        duration = self._start_fill(cache, name, request.group or 0)
        return CacheResponse(api.AttemptStatus.OK, api.CacheStatus.FILLED, duration + TRANSFER_LATENCY)

    def _work_of(self, request: api.Request) -> float:
        """The time that sending the response takes at full rate; a branch knows its requests' sizes."""
        rate = self._settings.transfer_rate_kb_per_s
        assert request.size_kb is not None
        assert rate is not None
        return request.size_kb / rate * SECOND

    def _start_fill(self, cache: Cache, name: str, group: int) -> int:
        """Starts a fill; its duration."""
        now = self._simulation.now
        self._counts.fills += 1
        if self._has_other_copy(cache, name, self.invalidated_at.get(group, 0)):
            self._counts.double_fills += 1
        duration = self._simulation.draw.randrange(*self._fill_durations)
        cache.filling[name] = now + duration
        self._simulation.after(duration, None, lambda: cache.complete_fill(name, now))
        return duration

    def _has_other_copy(self, cache: Cache, name: str, invalidated_at: int) -> bool:
        now = self._simulation.now
        others = [other for other in self.caches.values() if other is not cache]
        return any(
            other.stored.get(name, 0) > invalidated_at or other.is_filling(now, name) for other in others
        )

    def _check_age(self, request: api.Request, stored_at: int) -> None:
        """Rule 5, by as much as the proxy's clock may run wrong: it bounds the age by its own."""
        now = self._simulation.now
        invalidated_at = self.invalidated_at.get(request.group or 0, 0)
        if not invalidated_at or now <= invalidated_at + INVALIDATION_DELAY:
            return
        if now - stored_at > (now - invalidated_at) * (1 + MAX_CLOCK_DRIFT):
            self._counts.served_invalidated += 1

    def drop_stored_before(self, time: int, is_affected: Callable[[str], bool]) -> None:
        """Removes the affected names that were stored before a time from all caches."""
        for cache in self.caches.values():
            stale = [
                name for name, stored_at in cache.stored.items() if stored_at < time and is_affected(name)
            ]
            for name in stale:
                del cache.stored[name]
