"""The record of requests without a final response, and of their attempts in flight."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from olivepost.proxy import invariants
from olivepost.proxy.exchange import Exchange, Response
from olivepost.proxy.response_cache import CacheEntry
from olivepost.proxy.upstream.request import UpstreamRequest
from olivepost.units import Instant


@dataclass(slots=True, eq=False)
class PendingExchange:
    """A request without a final response, and its attempts in flight.

    Only the event loop's thread uses it.
    """

    exchange: Exchange
    cache_entry: CacheEntry | None = None  # of the proxy's response cache, when the request arrived
    attempts: dict[int, UpstreamRequest] = field(default_factory=dict)  # in flight, by number
    # Aborts that are not written yet, where only one attempt may be in flight: an endpoint may still work on
    # each of these attempts.
    aborts_in_flight: int = 0
    deferred_attempt: UpstreamRequest | None = None  # the next one, which waits until these are written
    attempt_count: int = 0  # so far; the number of the next attempt
    generated_at: Instant | None = None  # when the origin generated its response; None: unknown


class PendingExchanges:
    """Pending requests by id, and their attempts by timeout timer.

    Only the event loop's thread calls this; another thread may read its length.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, PendingExchange] = {}
        self._attempts_by_timer: dict[int, UpstreamRequest] = {}

    def __len__(self) -> int:
        return len(self.by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.by_id

    def get(self, request_id: str) -> PendingExchange | None:
        """The pending request of an id."""
        return self.by_id.get(request_id)

    def expect(self, request_id: str, invariant: str) -> PendingExchange | None:
        """The pending request of an id that must be pending, by the named invariant."""
        pending = self.by_id.get(request_id)
        invariants.check(pending is not None, invariant)
        return pending

    def of_exchange(self, exchange: Exchange) -> PendingExchange | None:
        """The pending request of this very exchange; an id may have been used again since."""
        pending = self.by_id.get(exchange.id)
        if pending is None or pending.exchange is not exchange:
            return None
        return pending

    def of_attempt(self, attempt: UpstreamRequest) -> PendingExchange | None:
        """The pending request that has this very attempt in flight."""
        pending = self.by_id.get(attempt.exchange.id)
        if pending is None or pending.attempts.get(attempt.number) is not attempt:
            return None
        return pending

    def add(self, exchange: Exchange, cache_entry: CacheEntry | None) -> None:
        """Records a request that has just arrived."""
        self.by_id[exchange.id] = PendingExchange(exchange, cache_entry)

    def close(self, pending: PendingExchange, response: Response | None) -> None:
        """Ends a request; cancelling its attempts in flight is the router's decision."""
        del self.by_id[pending.exchange.id]
        pending.exchange.close(response)

    def add_attempt(self, pending: PendingExchange, attempt: UpstreamRequest) -> None:
        """Records an attempt in flight; its timer id is set."""
        pending.attempts[attempt.number] = attempt
        self._attempts_by_timer[attempt.timer_id] = attempt

    def attempt_of_timer(self, timer_id: int) -> UpstreamRequest | None:
        """The attempt whose timeout has fired; None where it has ended before."""
        return self._attempts_by_timer.get(timer_id)

    def discard_timeout(self, attempt: UpstreamRequest) -> None:
        """An attempt has ended: its timer, when it fires, finds nothing."""
        self._attempts_by_timer.pop(attempt.timer_id, None)

    def withdraw_deferred(self, concerns: Callable[[UpstreamRequest], bool]) -> list[UpstreamRequest]:
        """Withdraws deferred attempts, which no connection has yet."""
        withdrawn = []
        for pending in self.by_id.values():
            attempt = pending.deferred_attempt
            if attempt is not None and concerns(attempt):
                pending.deferred_attempt = None
                withdrawn.append(attempt)
        return withdrawn
