"""Checks of a cache in slow start: its quotas, and how much of its slow start budget the proxies use.

A quota is exceeded if all proxies together may use more than the whole quota.

The functions read the proxies' routing state and change nothing.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from benchmarks.branch.cache import Cache
from benchmarks.branch.proxy import EmulatedProxy
from olivepost import interface as api
from olivepost.routing import capacity
from olivepost.units import Duration, Instant

RELATIVE_TOLERANCE = 1e-9  # rounding error of a sum of floating point numbers, as a share of the sum
ABSOLUTE_TOLERANCE = 1e-6
# Number of windows that begin within the duration of one window, so that consecutive windows overlap.
STEPS_PER_WINDOW = 4


class QuotaSums(NamedTuple):
    """One quota of an endpoint, as two sums over all proxies: what they may use, and the parts they have.

    Both sums have the unit of the quota: transfer time in ns for the slow start budget, and attempts in
    flight for the concurrency.
    """

    # Sum of the amounts that the proxies may use. Each proxy has a part of the quota, and the proxies may
    # transfer some of their parts to each other. A proxy may use its part, plus what transfers add to the
    # part or minus what transfers take from it, but at least 0.
    usable: float = 0.0
    whole: float = 0.0  # sum of the proxies' parts, without transfers between proxies

    def add(self, part: float, transferred: float) -> QuotaSums:
        """Returns the sums with one more proxy added.

        `part` is the proxy's part of the quota. `transferred` is what transfers between proxies add to the
        part, or less than 0 if the transfers take from the part.
        """
        return QuotaSums(self.usable + max(0.0, part + transferred), self.whole + part)

    def is_exceeded(self) -> bool:
        """Whether the proxies may use more than the whole quota, by more than rounding errors."""
        return self.usable > self.whole * (1 + RELATIVE_TOLERANCE) + ABSOLUTE_TOLERANCE


def count_exceeded_quotas(now: Instant, proxies: Sequence[EmulatedProxy], name: str, cache: Cache) -> int:
    """Returns how many of a cache's two quotas, slow start budget and concurrency, are exceeded now."""
    budget = QuotaSums()
    concurrency = QuotaSums()
    slow_start_key = api.QuotaKey(api.QuotaKind.SLOW_START, name, cache.started_at)
    concurrency_key = api.QuotaKey(api.QuotaKind.CONCURRENCY, name, cache.started_at)
    for proxy in proxies:
        state = proxy.router.state
        local_now = proxy.clock(now)
        endpoint = state.endpoints.by_id.get(name)
        if endpoint is None or endpoint.metadata.started_at != cache.started_at:
            continue
        window = state.settings.overload_window
        share = capacity.slow_start_share(local_now - window, endpoint)
        budget_per_link = state.settings.caches.overload_multiple * share * window
        part = budget_per_link * capacity.configured_link_transfers(state, endpoint)
        budget = budget.add(part, capacity.transferred(state, local_now, slow_start_key, part))
        part = capacity.concurrency_part(state, local_now, endpoint)
        concurrency = concurrency.add(part, capacity.transferred(state, local_now, concurrency_key, part))
    return int(budget.is_exceeded()) + int(concurrency.is_exceeded())


class BudgetUse(NamedTuple):
    """Work that was sent to a cache, and the cache's slow start budget, both as transfer times at full rate.

    Both are sums over the overlapping windows since the cache's start. Work that was sent within several
    windows is therefore counted several times.
    """

    used: float  # work that was sent to the cache, in ns
    whole: float  # budget of all proxies together, in ns


def slow_start_use(now: Instant, settings: api.Settings, cache: Cache) -> BudgetUse:
    """Returns the work that was sent to a cache so far and the slow start budget for the same windows.

    The cache's start time must be known.
    """
    assert cache.started_at is not None
    window = settings.overload_window
    used = 0.0
    whole = 0.0
    start = cache.started_at
    end = min(now, cache.started_at + settings.caches.slow_start_duration)
    while start + window <= end:
        used += sum(work.amount for work in cache.work if start <= work.sent_at < start + window)
        whole += _whole_budget(settings, cache, start - cache.started_at)
        start += window // STEPS_PER_WINDOW
    return BudgetUse(used, whole)


def _whole_budget(settings: api.Settings, cache: Cache, age: Duration) -> float:
    """Returns the slow start budget of all proxies together for one window, in ns.

    `age` is the cache's age at the start of the window.
    """
    tier = settings.caches
    initial_share = tier.slow_start_initial_share
    share = initial_share + (1 - initial_share) * age / tier.slow_start_duration
    return tier.overload_multiple * share * settings.overload_window * cache.weight
