"""The emulated branch: proxies, caches, one parent, an origin, stores, and requests for random names.

`Branch` owns all of these parts and starts the requests, restarts and invalidations. The popularity of names
follows a Zipf distribution.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

from benchmarks.branch.budget_audit import BudgetUse, count_exceeded_quotas, slow_start_use
from benchmarks.branch.cache import Cache, CacheTier
from benchmarks.branch.counts import Counts
from benchmarks.branch.environment import BranchEnvironment
from benchmarks.branch.lease_audit import LeaseAudit
from benchmarks.branch.options import BranchOptions
from benchmarks.branch.proxy import EmulatedProxy
from benchmarks.branch.simulation import Simulation
from benchmarks.branch.store_link import StoreLink, StoreLinks
from olivepost import interface as api
from olivepost.shared_store import messages
from olivepost.units import SECOND, Duration, Instant
from standins.redis.keyspace import Keyspace


class Branch(Simulation):
    """An emulated branch: proxies that share caches and stores. Not thread-safe."""

    def __init__(self, settings: api.Settings, proxies: int, seed: int, **options: Any) -> None:
        """Starts the proxies; the keyword arguments `options` are fields of `BranchOptions`."""
        super().__init__(seed)
        self.options = BranchOptions(**options)
        self.settings = settings
        self.groups = self.options.groups
        self.counts = Counts()
        self.log_events = Counter[str]()  # number of the proxies' log events by name
        self.caches = {
            f"c{number}": Cache(self.options.capacity, self.options.weight)
            for number in range(self.options.caches)
        }
        self.cache_tier = CacheTier(self, settings, self.counts, self.caches, self.options.fill_durations)
        self.stores = {f"s{number}": Keyspace(self.now_ms) for number in range(self.options.stores)}
        self.proxies: list[EmulatedProxy] = []
        audit = LeaseAudit(self, self.counts, self.stores, self.proxies)
        self.store_links = StoreLinks(self, self.stores, audit)
        self._names = [f"{number:06x}" for number in range(self.options.names)]
        weights = [1 / (rank + 1) ** self.options.skew for rank in range(self.options.names)]
        self._cumulative_weights = list(itertools.accumulate(weights))
        environment = BranchEnvironment(
            simulation=self,
            settings=settings,
            options=self.options,
            counts=self.counts,
            log_events=self.log_events,
            cache_tier=self.cache_tier,
            store_links=self.store_links,
        )
        self.proxies.extend(EmulatedProxy(environment, number) for number in range(proxies))

    @property
    def links(self) -> dict[str, StoreLink]:
        """Returns the link to each store by the store's name; the caller may set a link's faults."""
        return self.store_links.by_store

    # Requests

    def request(self, proxy: EmulatedProxy, name: str | None = None) -> None:
        """Sends a client's request, by default for a random name, to a proxy, unless the proxy is paused."""
        if self.is_paused(proxy):
            return
        if name is None:
            (name,) = self.draw.choices(self._names, cum_weights=self._cumulative_weights)
        self.counts.requests += 1
        request_class = next(iter(self.settings.classes.values()))
        request = api.Request(
            f"r{self.counts.requests}",
            request_class.name,
            name,
            request_class.deadline,
            self.options.size_kb,
            self._group_of(name),
        )
        proxy.requests[request.id] = request
        proxy.handle_routing_event(request)

    def load(self, rate: float, duration: Duration, select_proxy: Callable[[], int] | None = None) -> None:
        """Starts a load of `rate` requests per second on average, which lasts for a duration.

        `select_proxy` returns the number of the proxy for each request. By default, all proxies have equal
        chances.
        """
        select = select_proxy or self._random_proxy
        self._load_until(self.now + duration, rate, select)

    def _random_proxy(self) -> int:
        return self.draw.randrange(len(self.proxies))

    def _load_until(self, end: Instant, rate: float, select_proxy: Callable[[], int]) -> None:
        self.request(self.proxies[select_proxy()])
        if self.now < end:
            gap = int(self.draw.expovariate(rate) * SECOND)
            self.after(gap, None, partial(self._load_until, end, rate, select_proxy))

    def _group_of(self, name: str) -> int:
        return int(name, 16) % self.groups

    # Endpoints and invalidations

    def publish_endpoints(self) -> None:
        """Sends the current endpoint list to all proxies."""
        update = api.EndpointUpdate(api.EndpointUpdateKind.FULL, self.cache_tier.listed_endpoints())
        for proxy in self.proxies:
            proxy.handle_routing_event(update)
            proxy.handle_store_event(update)

    def restart_cache(self, name: str) -> None:
        """Restarts a cache, which is then empty and warms up; sends all proxies its new start time."""
        self.caches[name].restart(self.now)
        self.publish_endpoints()

    def purge(self, groups: list[int]) -> None:
        """Invalidates groups of names.

        Proxies receive the invalidations at once. Caches remove the names when the invalidations' lifetime
        ends.
        """
        drop = partial(self._drop_groups, frozenset(groups), self.now)
        self.after(self.settings.invalidation_lifetime, None, drop)
        for group in groups:
            self.cache_tier.invalidated_at[group] = self.now
            invalidation = api.Invalidation(None, group, 0)
            for proxy in self.proxies:
                proxy.handle_routing_event(invalidation)
                proxy.handle_store_event(messages.InvalidationReceived(invalidation, self.now_ms()))

    def _drop_groups(self, groups: frozenset[int], invalidated_at: Instant) -> None:
        def is_affected(name: str) -> bool:
            object_name, _, _ = name.partition(".")
            return self._group_of(object_name) in groups

        self.cache_tier.drop_stored_before(invalidated_at, is_affected)

    # Store scripts and quota checks

    def run_script(
        self, proxy: EmulatedProxy, command: messages.StoreCommand
    ) -> messages.StoreReply | messages.ReplyLost:
        """Runs a command's script in its store at once; the faults of the link to the store don't apply."""
        return self.store_links.run_script(proxy, command)

    def check_quotas(self) -> None:
        """Checks the quotas of all caches with a known start time, and counts the exceeded ones.

        A quota is exceeded if all proxies together may use more than the whole quota.
        """
        for name, cache in self.caches.items():
            if cache.started_at is not None:
                self.counts.quota_checks += 1
                self.counts.quotas_exceeded += count_exceeded_quotas(self.now, self.proxies, name, cache)

    def slow_start_use(self, name: str) -> BudgetUse:
        """Returns how much of a cache's slow start budget is used so far, as transfer times in ns.

        The cache's start time must be known.
        """
        return slow_start_use(self.now, self.settings, self.caches[name])
