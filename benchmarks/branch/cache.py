"""Modelled caches: their contents, their fills and their responses to attempts.

`CacheTier` owns the caches' contents and fills. Only the branch and its emulated proxies call the tier. The
proxies' routers see only responses, never the contents.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from benchmarks.branch.counts import Counts
from benchmarks.branch.simulation import Simulation
from olivepost import interface as api
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

PARENT_WEIGHT = 40.0  # concurrent transfers that the parent can serve; the same for the origin
PARENT_LATENCY: Duration = 80 * MILLISECOND  # latency of an attempt sent directly to the parent or origin
MISS_LATENCY: Duration = 2 * MILLISECOND
TRANSFER_LATENCY: Duration = 5 * MILLISECOND  # time from the end of a fill to the end of the response
# Time from an invalidation until every proxy has received it.
INVALIDATION_DELAY: Duration = 300 * MILLISECOND
MAX_CLOCK_DRIFT_SHARE = 0.004  # largest share by which a proxy's clock runs too fast or too slow


class CacheResponse(NamedTuple):
    """The outcome of an attempt, and its latency."""

    status: api.AttemptStatus
    cache_status: api.CacheStatus
    latency: Duration


class ReceivedWork(NamedTuple):
    """The work of one attempt that was sent to a cache: its response's transfer time at full rate."""

    sent_at: Instant
    amount: float  # transfer time in ns


@dataclass(slots=True)
class Cache:
    """One cache, which evicts the least recently used name."""

    capacity: int  # number of names that the cache can store
    weight: float  # concurrent transfers that the cache can serve
    # Time of the cache's last restart. `None` if the cache has not restarted during the simulation. Such a
    # cache started before the simulation and is warm.
    started_at: Instant | None = None
    # Storage time by name, least recently used first.
    stored: dict[str, Instant] = field(default_factory=dict)
    # End of each fill in flight, by the name that is being filled.
    filling: dict[str, Instant] = field(default_factory=dict)
    work: list[ReceivedWork] = field(default_factory=list)  # work received since the cache's start

    def restart(self, now: Instant) -> None:
        """Restarts the cache as an empty process that warms up."""
        self.stored = {}
        self.filling = {}
        self.work = []
        self.started_at = now

    def look_up(self, now: Instant, name: str, max_age: Duration | None) -> Instant | None:
        """Returns when the name's response was stored, or `None` if no stored response may be served.

        A name that is found becomes the most recently used one. If there is no maximum age, a response of any
        age may be served.
        """
        stored_at = self.stored.get(name)
        if stored_at is None or (max_age is not None and now - stored_at > max_age):
            return None
        self.stored[name] = self.stored.pop(name)
        return stored_at

    def is_filling(self, now: Instant, name: str) -> bool:
        """Whether a fill of the name is in flight."""
        ends_at = self.filling.get(name)
        return ends_at is not None and ends_at > now

    def complete_fill(self, name: str, fill_started_at: Instant) -> None:
        """Stores the response of a fill, unless the cache was restarted since the fill began."""
        is_in_flight = self.filling.pop(name, None) is not None
        if not is_in_flight or (self.started_at is not None and self.started_at > fill_started_at):
            return
        self.stored[name] = fill_started_at
        while len(self.stored) > self.capacity:
            del self.stored[next(iter(self.stored))]


class CacheTier:
    """All caches of a branch. Unlike a proxy, the tier knows every cache's contents and all invalidations.

    The tier counts fills, double fills (fills of a name that another cache stores or is filling), and
    responses that were served although an invalidation forbids them.
    """

    def __init__(
        self,
        simulation: Simulation,
        settings: api.Settings,
        counts: Counts,
        caches: dict[str, Cache],
        fill_durations: tuple[Duration, Duration],
    ) -> None:
        self.caches = caches
        self.invalidated_at: dict[int, Instant] = {}  # for each group, the time of its last invalidation
        self._counts = counts
        self._simulation = simulation
        self._settings = settings
        self._fill_durations = fill_durations

    def listed_endpoints(self) -> tuple[api.EndpointMetadata, ...]:
        """Returns the endpoint list: the caches, one parent and the origin."""
        ready = api.EndpointState.READY
        caches = [
            api.EndpointMetadata(name, ready, "standard", "west", 0, cache.weight, cache.started_at)
            for name, cache in self.caches.items()
        ]
        parent = api.EndpointMetadata("p", ready, "parent", "hub", 0, PARENT_WEIGHT)
        origin = api.EndpointMetadata("o", ready, "origin", "hub", 0, PARENT_WEIGHT)
        return (*caches, parent, origin)

    def respond(self, request: api.Request, attempt: api.ForwardAttempt) -> CacheResponse:
        """Returns the response to an attempt: from the cache, from a fill in flight or from a new fill.

        If the attempt names no source for a new fill, the response is that the name is not cached. The
        parent and the origin have every name.
        """
        now = self._simulation.now
        cache = self.caches.get(attempt.cache)
        if cache is None:
            return CacheResponse(api.AttemptStatus.OK, api.CacheStatus.FILLED, PARENT_LATENCY)
        work = self._work_of(request)
        cache.work.append(ReceivedWork(now, work))
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
        """Returns the transfer time of a response at full rate, in ns; size and rate are always known."""
        rate = self._settings.transfer_rate_kb_per_s
        assert request.size_kb is not None
        assert rate is not None
        return request.size_kb / rate * SECOND

    def _start_fill(self, cache: Cache, name: str, group: int) -> Duration:
        """Starts a fill and returns its duration."""
        now = self._simulation.now
        self._counts.fills += 1
        if self._is_in_another_cache(cache, name, self.invalidated_at.get(group)):
            self._counts.double_fills += 1
        duration = self._simulation.draw.randrange(*self._fill_durations)
        cache.filling[name] = now + duration
        self._simulation.after(duration, None, lambda: cache.complete_fill(name, now))
        return duration

    def _is_in_another_cache(self, cache: Cache, name: str, invalidated_at: Instant | None) -> bool:
        """Whether a cache other than `cache` is filling the name or stores a valid response for it.

        A stored response is valid if it is newer than `invalidated_at`, the last invalidation of the name's
        group, or if `invalidated_at` is `None`, because the group was never invalidated.
        """
        now = self._simulation.now
        for other in self.caches.values():
            if other is cache:
                continue
            stored_at = other.stored.get(name)
            is_stored = stored_at is not None and (invalidated_at is None or stored_at > invalidated_at)
            if is_stored or other.is_filling(now, name):
                return True
        return False

    def _check_age(self, request: api.Request, stored_at: Instant) -> None:
        """Counts a response that is older than an invalidation that all proxies have received.

        This checks the invalidation invariant, by which no such response is served. A proxy limits the
        age of responses by its own clock, so the check allows for the largest drift of a proxy's clock.
        """
        now = self._simulation.now
        invalidated_at = self.invalidated_at.get(request.group or 0)
        if invalidated_at is None or now <= invalidated_at + INVALIDATION_DELAY:
            return
        if now - stored_at > (now - invalidated_at) * (1 + MAX_CLOCK_DRIFT_SHARE):
            self._counts.served_invalidated += 1

    def drop_stored_before(self, invalidated_at: Instant, is_affected: Callable[[str], bool]) -> None:
        """Removes from all caches the affected names that were stored before an invalidation."""
        for cache in self.caches.values():
            stale = [
                name
                for name, stored_at in cache.stored.items()
                if stored_at < invalidated_at and is_affected(name)
            ]
            for name in stale:
                del cache.stored[name]
