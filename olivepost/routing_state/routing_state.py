"""The complete state of one router, which all decisions read and change."""

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
    """Sizes, step sizes and initial values of the state. The routing package defines them."""

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
    """State of one router. Only this router may change it. Not thread-safe."""

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
        # Overload level that rises when requests find all caches at their concurrency limits.
        self.arrivals = OverloadLevel()
        self.fills = OverloadLevel()  # overload level that rises when fills are late or rejected
        self.quotas = QuotaLedger()
        self.is_store_available = False
        self.retry_balance = tuning.initial_retries  # the number of retries that are left in the retry budget
        # The end times of the transfers of responses that are served from the proxy's own cache.
        self.transfer_ends: list[Instant] = []
        self.class_work = MovingAverages(tuning.work_step)  # the mean transfer time of a response, by class
        # The mean rate at which work (transfer time) is sent to one endpoint that has no slow start, by role.
        self.warm_rates = {role: DecayingRate(tuning.rate_memory) for role in LISTED_ROLES}
        # The share of successful responses that took longer than their silence timeout.
        self.slow_share = MovingAverage(tuning.share_step, tuning.initial_slow_share)
        # The share of first errors that a second endpoint confirmed by an error of its own. Such errors are
        # the request's own fault.
        self.request_fault_share = MovingAverage(tuning.share_step, 0.0)

    def own_work(self, request: api.Request) -> float:
        """Returns the time in nanoseconds to send a request's response at the settings' transfer rate.

        Returns 0 if the response's size or the rate is unknown.
        """
        rate = self.settings.transfer_rate_kb_per_s
        if request.size_kb is None or rate is None:
            return 0.0
        return request.size_kb * SECOND / rate

    def mean_work(self, request_class: api.ClassSettings) -> float:
        """Returns a class's mean work, which is the mean transfer time of its responses in nanoseconds.

        Before the first sample, the result is the class's latency objective.
        """
        return self.class_work.get(request_class.name, float(request_class.latency_objective))

    def work_of(self, request: api.Request, request_class: api.ClassSettings) -> float:
        """Returns a request's own work, or its class's mean work if the size or the rate is unknown."""
        return self.own_work(request) or self.mean_work(request_class)
