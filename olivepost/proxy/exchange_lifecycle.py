"""The lifecycle of a request on the event loop: its arrival, the outcomes of its attempts, its response.

Each step passes one event to the router and executes the actions that it returns. No decision is made here.
"""

from __future__ import annotations

from collections.abc import Callable

from olivepost import interface as api
from olivepost.proxy.action_executor import ActionExecutor
from olivepost.proxy.event_loop_resources import EventLoopResources
from olivepost.proxy.exchange import Exchange, Response, ResponseKind
from olivepost.proxy.pending_exchanges import PendingExchange, PendingExchanges
from olivepost.proxy.response_cache import CacheEntry
from olivepost.proxy.upstream.request import UpstreamCompleted, UpstreamRequest
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# Time after the last response of service discovery during which cached responses may be used. It is shorter
# than the time within which discovery events must take effect. After it, an invalidation may have been missed
# and no cached response is used.
DISCOVERY_VALID_FOR: Duration = 2 * SECOND


class ExchangeLifecycle:
    """Handler of the events of requests and their attempts, which `PendingExchanges` records.

    Only the event loop's thread uses it. It also owns the two times that the handling of an arriving request
    depends on: `discovery_received_at` and `shutdown_at`.
    """

    def __init__(
        self, resources: EventLoopResources, pending: PendingExchanges, executor: ActionExecutor
    ) -> None:
        self._router = resources.router
        self._clock = resources.clock
        self._log = resources.log
        self._response_cache = resources.response_cache
        self._transfer_bytes_per_s = resources.transfer_bytes_per_s
        self._upstream = resources.upstream
        self._pending = pending
        self._executor = executor
        # Time of the last response of service discovery; None if there was none since the start.
        self.discovery_received_at: Instant | None = None
        # Time at which all pending requests get their final response; None if no shutdown has begun or if
        # that time has passed.
        self.shutdown_at: Instant | None = None
        self._is_shut_down = False  # if true, an arriving request gets its final response at once

    # Arrival and shutdown

    def receive(self, now: Instant, exchange: Exchange) -> None:
        """Handles the arrival of a client's request, which has been read completely."""
        if exchange.id in self._pending:
            self._log.increment("duplicate_request_ids")
            exchange.close(Response(ResponseKind.FAILED))
            return
        entry = self._cache_entry(now, exchange)
        self._pending.add(exchange, entry)
        self._executor.execute(self._router.handle(now, self._router_request(now, exchange, entry)))

    def _router_request(self, now: Instant, exchange: Exchange, entry: CacheEntry | None) -> api.Request:
        """Builds the router's request, with the remaining time and without fields of the protocols."""
        return api.Request(
            exchange.id,
            exchange.class_name,
            exchange.object,
            self._remaining_time(now, exchange),
            group=exchange.group,
            part=exchange.part,
            cached_response=None if entry is None else self._cached_response(now, entry),
            is_write=exchange.is_write,
        )

    def _cache_entry(self, now: Instant, exchange: Exchange) -> CacheEntry | None:
        """Returns a request's cache entry; None without a cache or entry, or if discovery is out of date."""
        if self._transfer_bytes_per_s is None or not self._is_discovery_current(now):
            return None
        return self._response_cache.get(exchange)

    def _is_discovery_current(self, now: Instant) -> bool:
        received_at = self.discovery_received_at
        return received_at is not None and now - received_at < DISCOVERY_VALID_FOR

    def _cached_response(self, now: Instant, entry: CacheEntry) -> api.CachedResponse:
        age = max(0, now - entry.generated_at)
        assert self._transfer_bytes_per_s is not None  # without this rate there is no response cache
        transfer_time = int(entry.body.length / self._transfer_bytes_per_s * SECOND)
        return api.CachedResponse(age, transfer_time)

    def _remaining_time(self, now: Instant, exchange: Exchange) -> Duration:
        """Returns the time left until the client's timeout or the shutdown deadline, whichever is earlier."""
        if self._is_shut_down:
            return 0
        deadline = exchange.received_at + exchange.timeout
        if self.shutdown_at is not None:
            deadline = min(deadline, self.shutdown_at)
        return max(0, deadline - now)

    def finish_all(self, now: Instant) -> None:
        """Ends all pending requests with a final response; called when the shutdown deadline has passed."""
        self.shutdown_at = None
        self._is_shut_down = True
        self._executor.execute(self._router.handle(now, api.Shutdown()))

    def abandon(self, now: Instant, exchange: Exchange, response: Response | None) -> None:
        """Ends a request, if it is still pending, and has the router cancel its attempts.

        The response is None if the client has disconnected.
        """
        pending = self._pending.of_exchange(exchange)
        if pending is not None:
            self._pending.close(pending, response)
            self._executor.execute(self._router.handle(now, api.ClientDisconnected(exchange.id)), pending)

    # Attempts

    def reroute(self, attempt: UpstreamRequest) -> None:
        """Forwards an attempt on another connection if its own was lost before its first byte was written."""
        if self._pending.of_attempt(attempt) is not None:
            attempt.is_rerouted = True
            self._upstream.forward(attempt)

    def forward_deferred(self, exchange: Exchange) -> None:
        """Records that an abort has been written, and forwards the deferred attempt after the last one."""
        pending = self._pending.of_exchange(exchange)
        if pending is None:
            return
        pending.aborts_in_flight -= 1
        if pending.aborts_in_flight:
            return
        attempt = pending.deferred_attempt
        pending.deferred_attempt = None
        if attempt is not None and pending.attempts.get(attempt.number) is attempt:
            self._upstream.forward(attempt)

    def time_out_attempt(self, now: Instant, timer_id: int) -> None:
        """Ends an attempt whose timer has fired; has no effect if the attempt has already ended."""
        attempt = self._pending.attempt_of_timer(timer_id)
        if attempt is None:
            return
        if attempt.connection is not None:
            attempt.connection.abort(attempt)
        self.complete_attempt(now, UpstreamCompleted(attempt, api.AttemptStatus.TIMED_OUT, now))

    def withdraw(self, now: Instant, matches: Callable[[UpstreamRequest], bool]) -> None:
        """Withdraws the matching attempts that no connection has begun to write; the router decides again.

        An attempt may have to wait for its connection. Draining and invalidations apply to it until its first
        byte is written.
        """
        withdrawn = self._pending.withdraw_deferred(matches)
        withdrawn += self._upstream.withdraw(matches)
        for attempt in withdrawn:
            self.complete_attempt(now, UpstreamCompleted(attempt, api.AttemptStatus.NOT_SENT, now))

    def complete_attempt(self, now: Instant, event: UpstreamCompleted) -> None:
        """Handles an attempt's outcome, and delivers the first usable response to the client at once."""
        attempt = event.request
        response = event.response
        self._pending.discard_timeout(attempt)
        pending = self._pending.of_attempt(attempt)
        if pending is None:
            if response is not None:
                response.release()
            return
        del pending.attempts[attempt.number]
        if event.status is not api.AttemptStatus.OK:
            self._record_failed_attempt(event)
        pending.generated_at = None if response is None else response.generated_at
        actions = self._close_with_response(now, pending, event)
        self._executor.execute(actions, pending)

    def _record_failed_attempt(self, event: UpstreamCompleted) -> None:
        """Counts an attempt that did not succeed, and logs it unless the cache only reported a miss."""
        attempt = event.request
        self._log.increment(f"attempts_{event.status.name.lower()}")
        if event.status is not api.AttemptStatus.NOT_CACHED:
            self._log.sampled_event(
                "attempt_failed",
                request=attempt.exchange.id,
                attempt=attempt.number,
                endpoint=attempt.cache,
                source=attempt.source or attempt.cache,
                status=event.status.name.lower(),
                cache_status=event.cache_status.name.lower(),
                elapsed_ms=(event.completed_at - attempt.forwarded_at) // MILLISECOND,
            )

    def _close_with_response(
        self, now: Instant, pending: PendingExchange, event: UpstreamCompleted
    ) -> list[api.Action]:
        """Closes the request if there is a response, and returns the router's actions on the outcome.

        This method holds the body as well until it returns, because the client's connection may release it
        before the router has decided whether to store the response.
        """
        response = event.response
        outcome = _outcome(event)
        if response is None:
            return self._router.handle(now, outcome)
        body = response.body.share() if response.body is not None else None
        self._pending.close(pending, response)
        try:
            actions = self._router.handle(now, outcome)
            if api.StoreResponse(pending.exchange.id) in actions:
                self._response_cache.store(pending.exchange, response)
        finally:
            if body is not None:
                body.release()
        return actions


def _outcome(event: UpstreamCompleted) -> api.AttemptOutcome:
    attempt = event.request
    response = event.response
    return api.AttemptOutcome(
        attempt.exchange.id,
        attempt.number,
        event.status,
        max(0, event.completed_at - attempt.forwarded_at),
        response is not None,
        event.cache_status,
        event.is_repeated_loss,
        response is not None and response.kind is ResponseKind.NOT_MODIFIED,
    )
