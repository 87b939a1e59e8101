"""The parts of the proxy that the event loop uses, and its interface to the shared store."""

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
    """The event loop's interface to the shared store. No call waits for the store."""

    def look_up(self, lookup: api.LookUpHint, object_name: str, group: int | None, /) -> None:
        """Requests a hint for an object from the store.

        A hint names a cache that has or fills the object, or no cache if the store knows none. The store's
        answer is posted to the event loop as a `StoreEvent`.
        """

    def release_lease(self, release: api.ReleaseLease, generated_at: Instant | None, /) -> None:
        """Releases a fill lease.

        `generated_at` is the Unix time at which the origin generated the response of the fill. It is None if
        this time is unknown.
        """

    def notify(
        self,
        event: api.EndpointUpdate
        | api.ReportStaleHint
        | api.RequestQuota
        | api.DonateQuota
        | api.ReportOutlier,
        /,
    ) -> None:
        """Passes an event on to the store, because other proxies or the records in the store depend on it."""

    def invalidate(self, invalidation: api.Invalidation, now: Instant, /) -> None:
        """Passes an invalidation from service discovery on to the store.

        `now` is the Unix time at which the event loop handles the invalidation.
        """


@dataclass(frozen=True, slots=True)
class EventLoopResources:
    """The parts of one proxy that its event loop uses."""

    router: Router
    clock: Clock
    log: EventLog
    response_cache: ResponseCache
    # Rate, in bytes per second, at which one response body is sent over the proxy's own link. None if the
    # rate is unknown; the proxy then does not use its response cache.
    transfer_bytes_per_s: float | None
    upstream: UpstreamPool
    max_executed_id_bytes: int  # memory for ids of requests that may have been executed
    shared_store: SharedStore | None  # None if the operator has not configured one
