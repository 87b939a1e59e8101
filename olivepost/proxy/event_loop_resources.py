"""What the event loop works with, and the shared store as it sees it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from olivepost import interface as api
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.response_cache import ResponseCache
from olivepost.proxy.upstream.pool import UpstreamPool
from olivepost.router import Router
from olivepost.units import Instant


class SharedStore(Protocol):
    """The shared store as the event loop sees it: no call here waits for it."""

    def look_up(self, lookup: api.LookUpHint, object_name: str, group: int | None, /) -> None:
        """Requests a hint, which is posted as a `StoreEvent`."""

    def release_lease(self, release: api.ReleaseLease, generated_at: Instant | None, /) -> None:
        """Releases a fill lease; `generated_at` is that of the response in Unix time, None: unknown."""

    def notify(
        self,
        event: api.EndpointUpdate
        | api.ReportStaleHint
        | api.RequestQuota
        | api.DonateQuota
        | api.ReportOutlier,
        /,
    ) -> None:
        """Passes on what concerns other proxies or the store's own records."""

    def invalidate(self, invalidation: api.Invalidation, now: Instant, /) -> None:
        """Passes on an invalidation that service discovery has just sent."""


@dataclass(frozen=True, slots=True)
class EventLoopResources:
    """One proxy's parts that its event loop drives."""

    router: Router
    clock: Clock
    log: EventLog
    response_cache: ResponseCache
    transfer_bytes_per_s: float | None  # of one transfer on the proxy's own link; None: no response cache
    upstream: UpstreamPool
    shared_store: SharedStore | None
