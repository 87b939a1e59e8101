"""The table of requests without a final response, and of their attempts in flight."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from olivepost.proxy import invariants
from olivepost.proxy.exchange import Exchange, Response
from olivepost.proxy.executed_ids import ExecutedRequestIds
from olivepost.proxy.response_cache import CacheEntry
from olivepost.proxy.upstream.request import UpstreamRequest
from olivepost.units import Instant


@dataclass(slots=True, eq=False)
class PendingExchange:
    """A request without a final response, and its attempts in flight.

    Only the event loop's thread uses it.
    """

    exchange: Exchange
    # The request's entry in the response cache when the request arrived; None if there was none.
    cache_entry: CacheEntry | None = None
    attempts: dict[int, UpstreamRequest] = field(default_factory=dict)  # attempts in flight, by number
    # Number of cancelled attempts whose aborts have not been written yet. An endpoint may still be executing
    # an attempt until the attempt's abort is written. Aborts are counted only if hedged requests are not
    # allowed, because a request may then have only one attempt in flight.
    aborts_in_flight: int = 0
    # The next attempt, which waits until the aborts of cancelled attempts are written.
    deferred_attempt: UpstreamRequest | None = None
    # Number of attempts so far, which is also the number that identifies the next attempt.
    attempt_count: int = 0
    unexecuted_count: int = 0  # number of attempts that are known not to have been executed
    generated_at: Instant | None = None  # time at which the origin generated the response; None if unknown

    @property
    def may_be_executed(self) -> bool:
        """Whether some attempt has been executed or may be."""
        return self.attempt_count > self.unexecuted_count


class PendingExchanges:
    """Pending requests by id, their attempts by the id of their timeout timer, and ids that are used up.

    An id is used up once its request is over and may have been executed. Only the event loop's thread uses
    the table, but any thread may read the number of pending requests with `len`.
    """

    def __init__(self, max_executed_bytes: int) -> None:
        """Creates the table; `max_executed_bytes` is the memory for ids that are used up."""
        self.by_id: dict[str, PendingExchange] = {}
        self._executed_ids = ExecutedRequestIds(max_executed_bytes)
        self._attempts_by_timer: dict[int, UpstreamRequest] = {}

    def __len__(self) -> int:
        return len(self.by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.by_id

    @property
    def executed_id_bytes(self) -> int:
        """Number of bytes that the ids which are used up occupy at most. Any thread may read it."""
        return self._executed_ids.max_bytes

    def is_used(self, request_id: str) -> bool:
        """Whether a request with this id is pending, or is over and may have been executed."""
        return request_id in self.by_id or request_id in self._executed_ids

    def get(self, request_id: str) -> PendingExchange | None:
        """Returns the pending request with this id; None if there is none."""
        return self.by_id.get(request_id)

    def expect(self, request_id: str, invariant: str) -> PendingExchange | None:
        """Returns the pending request with this id.

        If there is none, counts a violation of the invariant whose name is `invariant`, and returns None.
        """
        pending = self.by_id.get(request_id)
        invariants.check(pending is not None, invariant)
        return pending

    def of_exchange(self, exchange: Exchange) -> PendingExchange | None:
        """Returns the pending request of an exchange; None if the exchange is no longer pending.

        A later exchange may have the same id. The exchange found by the id is therefore compared with the
        given one.
        """
        pending = self.by_id.get(exchange.id)
        if pending is None or pending.exchange is not exchange:
            return None
        return pending

    def of_attempt(self, attempt: UpstreamRequest) -> PendingExchange | None:
        """Returns the pending request of an attempt; None if the attempt is no longer in flight."""
        pending = self.by_id.get(attempt.exchange.id)
        if pending is None or pending.attempts.get(attempt.number) is not attempt:
            return None
        return pending

    def add(self, exchange: Exchange, cache_entry: CacheEntry | None) -> None:
        """Adds a request that has arrived.

        `cache_entry` is the request's entry in the response cache, or None if there is none.
        """
        self.by_id[exchange.id] = PendingExchange(exchange, cache_entry)

    def close(self, pending: PendingExchange, response: Response | None) -> None:
        """Ends a request and closes its exchange with the response.

        Does not cancel attempts in flight, because the router decides whether they are cancelled.
        """
        del self.by_id[pending.exchange.id]
        if pending.may_be_executed:
            self._executed_ids.add(pending.exchange.id)
        pending.exchange.close(response)

    def add_attempt(self, pending: PendingExchange, attempt: UpstreamRequest) -> None:
        """Adds an attempt in flight, whose timer id must already be set."""
        pending.attempts[attempt.number] = attempt
        self._attempts_by_timer[attempt.timer_id] = attempt

    def attempt_of_timer(self, timer_id: int) -> UpstreamRequest | None:
        """Returns the attempt with this timeout timer; None if the attempt has already ended."""
        return self._attempts_by_timer.get(timer_id)

    def discard_timeout(self, attempt: UpstreamRequest) -> None:
        """Forgets the timer of an attempt that has ended, so that the timer has no effect when it fires."""
        self._attempts_by_timer.pop(attempt.timer_id, None)

    def withdraw_deferred(self, matches: Callable[[UpstreamRequest], bool]) -> list[UpstreamRequest]:
        """Withdraws and returns the deferred attempts that `matches` selects.

        A deferred attempt has no connection yet. It waits until the aborts of its request's earlier attempts
        are written.
        """
        withdrawn = []
        for pending in self.by_id.values():
            attempt = pending.deferred_attempt
            if attempt is not None and matches(attempt):
                pending.deferred_attempt = None
                withdrawn.append(attempt)
        return withdrawn
