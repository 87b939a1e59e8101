"""The whole state of one router, which all decisions read and change."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from olivepost import interface as api
from olivepost.routing_state.averages import DecayingRate, MovingAverage, MovingAverages
from olivepost.routing_state.endpoint_table import LISTED_ROLES, EndpointTable
from olivepost.routing_state.invalidation_table import InvalidationTable
from olivepost.routing_state.levels import ClassLevels, OverloadLevel
from olivepost.routing_state.name_table import ExpiringNameTable
from olivepost.routing_state.order_cache import OrderCache
from olivepost.routing_state.quota_ledger import QuotaLedger
from olivepost.units import SECOND, Duration, Instant


@dataclass(frozen=True, slots=True)
class Tuning:
    """Sizes, steps and first values of the state, as the routing package chooses them."""

    initial_levels: ClassLevels
    ranks: int
    max_names: int
    max_invalidations: int
    max_order_bytes: int
    order_entry_bytes: int
    order_reference_bytes: int
    work_step: float
    rate_memory: Duration
    share_step: float
    initial_late_share: float
    max_listing_delay: Duration
    initial_slow_share: float
    initial_retries: float


class RoutingState:
    """The state of one router, which alone may change it. Not thread-safe."""

    __slots__ = (
        "arrivals",
        "class_work",
        "endpoints",
        "fills",
        "invalidations",
        "is_store_available",
        "levels",
        "memory_pressure",
        "names",
        "orders",
        "quotas",
        "random",
        "request_fault_share",
        "retry_balance",
        "settings",
        "slow_share",
        "transfer_ends",
        "warm_rates",
    )

    def __init__(self, settings: api.Settings, seed: int, tuning: Tuning) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.endpoints = EndpointTable(
            settings.overload_window, tuning.initial_late_share, tuning.max_listing_delay
        )
        self.levels = {name: replace(tuning.initial_levels) for name in settings.classes}
        self.names = ExpiringNameTable(tuning.max_names, tuning.ranks)
        self.invalidations = InvalidationTable(tuning.max_invalidations)
        self.orders = OrderCache(
            tuning.max_order_bytes, tuning.order_entry_bytes, tuning.order_reference_bytes
        )
        self.memory_pressure = api.MemoryPressureLevel.NONE
        self.arrivals = OverloadLevel()  # raised by requests that find all caches full
        self.fills = OverloadLevel()  # raised by fills that are late or rejected
        self.quotas = QuotaLedger()
        self.is_store_available = False
        self.retry_balance = tuning.initial_retries  # retries that the budget holds now
        self.transfer_ends: list[Instant] = []  # of responses that are served from the proxy's own cache
        self.class_work = MovingAverages(tuning.work_step)  # mean transfer time of a response, by class
        # The work that one endpoint which started long ago does, by role.
        self.warm_rates = {role: DecayingRate(tuning.rate_memory) for role in LISTED_ROLES}
        # The share of good responses that outlasted their silence timeout.
        self.slow_share = MovingAverage(tuning.share_step, tuning.initial_slow_share)
        # The share of errors that a second endpoint confirmed, which were the request's own fault.
        self.request_fault_share = MovingAverage(tuning.share_step, 0.0)

    def own_work(self, request: api.Request) -> float:
        """The time that sending a request's response takes at full rate; 0 where size or rate are unknown."""
        rate = self.settings.transfer_rate_kb_per_s
        if request.size_kb is None or rate is None:
            return 0.0
        return request.size_kb * SECOND / rate

    def mean_work(self, request_class: api.ClassSettings) -> float:
        """The mean work of a class, at first its latency objective."""
        return self.class_work.get(request_class.name, float(request_class.latency_objective))

    def work_of(self, request: api.Request, request_class: api.ClassSettings) -> float:
        """A request's own work, its class's mean where its size is unknown."""
        return self.own_work(request) or self.mean_work(request_class)
