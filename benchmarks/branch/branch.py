"""The emulated branch: proxies, caches, one parent, an origin and stores; requests of Zipf names."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from benchmarks.branch.budget_audit import BudgetUse, count_exceeded_quotas, slow_start_use
from benchmarks.branch.cache import Cache, CacheTier
from benchmarks.branch.counts import Counts
from benchmarks.branch.lease_audit import LeaseAudit
from benchmarks.branch.proxy import EmulatedProxy
from benchmarks.branch.simulation import Simulation
from benchmarks.branch.store_link import StoreLink, StoreLinks
from olivepost import interface as api
from olivepost.shared_store import messages
from olivepost.units import MILLISECOND, SECOND
from standins.redis.keyspace import Keyspace

PARENT_WEIGHT = 40.0  # transfers at once, of the parent and of the origin


@dataclass(frozen=True, slots=True)
class BranchOptions:
    """What a branch has, beside its proxies; times in nanoseconds."""

    has_store: bool = True  # whether proxies use the stores
    stores: int = 1
    caches: int = 8
    capacity: int = 150  # names that a cache stores
    weight: float = 4.0  # transfers that a cache carries at once
    names: int = 2_000
    skew: float = 0.9  # exponent of the names' Zipf distribution
    groups: int = 16
    size_kb: float = 50.0  # of each response
    reply_timeout: int = 10 * MILLISECOND  # of stores
    sync_interval: int = 50 * MILLISECOND
    fill_durations: tuple[int, int] = (
        60 * MILLISECOND,
        400 * MILLISECOND,
    )  # least and most that a fill takes


class Branch(Simulation):
    """A branch under simulation. Not thread-safe."""

    def __init__(self, settings: api.Settings, proxies: int, seed: int, **options: Any) -> None:
        """Takes the fields of BranchOptions as options."""
        super().__init__(seed)
        self.options = BranchOptions(**options)
        self.settings = settings
        self.groups = self.options.groups
        self.counts = Counts()
        self.log_events = Counter[str]()  # events of the proxies' logs by name
        self.caches = {
            f"c{number}": Cache(self.options.capacity, self.options.weight)
            for number in range(self.options.caches)
        }
        self.cache_tier = CacheTier(self, settings, self.counts, self.caches, self.options.fill_durations)
        self.stores = {f"s{number}": Keyspace(self.now_ms) for number in range(self.options.stores)}
        audit = LeaseAudit(self, self.counts, self.stores, lambda: self.proxies)
        self.store_links = StoreLinks(self, self.stores, audit)
        self._names = [f"{number:06x}" for number in range(self.options.names)]
        weights = [1 / (rank + 1) ** self.options.skew for rank in range(self.options.names)]
        self._cumulative_weights = list(itertools.accumulate(weights))
        self.proxies = [EmulatedProxy(self, number) for number in range(proxies)]

    @property
    def links(self) -> dict[str, StoreLink]:
        """The links to stores, whose faults may be set."""
        return self.store_links.by_store

    def endpoints(self) -> tuple[api.EndpointMetadata, ...]:
        """The endpoint list as it is."""
        ready = api.EndpointState.READY
        caches = [
            api.EndpointMetadata(name, ready, "standard", "west", 0, cache.weight, cache.started or None)
            for name, cache in self.caches.items()
        ]
        parent = api.EndpointMetadata("p", ready, "parent", "hub", 0, PARENT_WEIGHT)
        origin = api.EndpointMetadata("o", ready, "origin", "hub", 0, PARENT_WEIGHT)
        return (*caches, parent, origin)

    # Requests

    def request(self, proxy: EmulatedProxy, name: str | None = None) -> None:
        """Has a client ask a proxy for a name, by default a random one."""
        if proxy.paused_until > self.now:
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

    def load(self, rate: float, duration: int, select_proxy: Callable[[], int] | None = None) -> None:
        """Requests at so many a second for a while, to the proxies that are selected, by default evenly."""
        select = select_proxy or self._random_proxy
        self._load_until(self.now + duration, rate, select)

    def _random_proxy(self) -> int:
        return self.draw.randrange(len(self.proxies))

    def _load_until(self, end: int, rate: float, select_proxy: Callable[[], int]) -> None:
        self.request(self.proxies[select_proxy()])
        if self.now < end:
            gap = int(self.draw.expovariate(rate) * SECOND)
            self.after(gap, None, partial(self._load_until, end, rate, select_proxy))

    def _group_of(self, name: str) -> int:
        return int(name, 16) % self.groups

    # Endpoints and invalidations

    def publish_endpoints(self) -> None:
        """Sends all proxies the endpoint list as it is."""
        update = api.EndpointUpdate(api.EndpointUpdateKind.FULL, self.endpoints())
        for proxy in self.proxies:
            proxy.handle_routing_event(update)
            proxy.handle_store_event(update)

    def restart_cache(self, name: str) -> None:
        """A cache comes back empty and cold."""
        self.caches[name].restart(self.now)
        self.publish_endpoints()

    def purge(self, groups: list[int]) -> None:
        """Invalidates groups: proxies learn of it at once, caches carry it out within its lifetime."""
        drop = partial(self._drop_groups, frozenset(groups), self.now)
        self.after(self.settings.invalidation_lifetime, None, drop)
        for group in groups:
            self.cache_tier.invalidated_at[group] = self.now
            invalidation = api.Invalidation(None, group, 0)
            for proxy in self.proxies:
                proxy.handle_routing_event(invalidation)
                proxy.handle_store_event(messages.InvalidationReceived(invalidation, self.now_ms()))

    def _drop_groups(self, groups: frozenset[int], invalidated_at: int) -> None:
        def is_affected(name: str) -> bool:
            object_name, _, _ = name.partition(".")
            return self._group_of(object_name) in groups

        self.cache_tier.drop_stored_before(invalidated_at, is_affected)

    # Stores and audits

    def run_script(
        self, proxy: EmulatedProxy, command: messages.StoreCommand
    ) -> messages.StoreReply | messages.ReplyLost:
        """Runs a command's script at once, past the link."""
        return self.store_links.run_script(proxy, command)

    def check_quotas(self) -> None:
        """Checks all proxies' parts of each cold cache's quotas, with transfers, against the whole."""
        for name, cache in self.caches.items():
            if cache.started:
                self.counts.quota_checks += 1
                self.counts.quotas_exceeded += count_exceeded_quotas(self.now, self.proxies, name, cache)

    def slow_start_use(self, name: str) -> BudgetUse:
        """What a cold cache was sent in the windows so far, and what its whole budget was."""
        return slow_start_use(self.now, self.settings, self.caches[name])
