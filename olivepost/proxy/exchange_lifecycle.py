"""The lifecycle of a request on the event loop: its arrival, the outcomes of its attempts, its response.

The methods pass events to the router and execute the actions that the router returns. The router makes all
decisions.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from olivepost import interface as api
from olivepost.proxy.action_executor import ActionExecutor
from olivepost.proxy.event_loop_resources import EventLoopResources
from olivepost.proxy.exchange import Exchange, Response, ResponseKind
from olivepost.proxy.pending_exchanges import PendingExchange, PendingExchanges
from olivepost.proxy.response_cache import CacheEntry
from olivepost.proxy.upstream.request import UpstreamCompleted, UpstreamRequest
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# Time for which cached responses may still be used after service discovery has composed the last response
# that has arrived. After this time, the proxy may have missed an invalidation, so it uses no cached response.
# This time is shorter than the time within which discovery events must take effect.
DISCOVERY_VALID_FOR: Duration = 2 * SECOND


class ExchangeLifecycle:
    """Handler of the events of requests and of attempts. `PendingExchanges` records requests and attempts.

    Only the event loop's thread uses the handler, which also owns two times that affect how an arriving
    request is handled: `discovery_known_until` and `shutdown_at`.
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
        # Time up to which service discovery's events are known, as far as its responses tell; None if no
        # response has arrived since the start.
        self.discovery_known_until: Instant | None = None
        # Time at which all pending requests get their final response; None if no shutdown has begun or if
        # that time has passed.
        self.shutdown_at: Instant | None = None
        # True if the shutdown deadline has passed. An arriving request then gets its final response at once.
        self._is_shut_down = False

    # Arrival and shutdown

    def record_discovery(self, composed_by: Instant) -> None:
        """Records that a response has arrived which service discovery had composed by the given time.

        A response that arrives after a newer one changes nothing.
        """
        self.discovery_known_until = max(composed_by, self.discovery_known_until or composed_by)

    def receive(self, now: Instant, exchange: Exchange) -> None:
        """Handles the arrival of a client's request, which has been read completely.

        A request fails if its id was used before and that request may have been executed: another attempt
        would execute it twice, whether its first client still waits or has disconnected.
        """
        if self._pending.is_used(exchange.id):
            self._log.increment("duplicate_request_ids")
            exchange.close(Response(ResponseKind.FAILED))
            return
        entry = self._cache_entry(now, exchange)
        self._pending.add(exchange, entry)
        self._executor.execute(self._router.handle(now, self._router_request(now, exchange, entry)))

    def _router_request(self, now: Instant, exchange: Exchange, entry: CacheEntry | None) -> api.Request:
        """Builds the router's request, with the time left to respond and without HTTP fields and body."""
        return api.Request(
            exchange.id,
            exchange.class_name,
            exchange.object,
            self._remaining_time(now, exchange),
            group=exchange.group,
            part=exchange.part,
            cached_response=None if entry is None else self._cached_response(now, entry),
            is_write=exchange.is_write,
            is_client_retry=exchange.is_client_retry,
        )

    def _cache_entry(self, now: Instant, exchange: Exchange) -> CacheEntry | None:
        """Returns the response cache's entry for a request.

        Returns None if the proxy uses no response cache, if the cache has no entry for the request, or if
        service discovery has composed no response within `DISCOVERY_VALID_FOR` that has arrived.
        """
        if self._transfer_bytes_per_s is None or not self._is_discovery_current(now):
            return None
        return self._response_cache.get(exchange)

    def _is_discovery_current(self, now: Instant) -> bool:
        known_until = self.discovery_known_until
        return known_until is not None and now - known_until < DISCOVERY_VALID_FOR

    def _cached_response(self, now: Instant, entry: CacheEntry) -> api.CachedResponse:
        age = max(0, now - entry.generated_at)
        assert self._transfer_bytes_per_s is not None  # without this rate, the response cache is not used
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
        """Ends all pending requests with a final response, because the shutdown deadline has passed."""
        self.shutdown_at = None
        self._is_shut_down = True
        self._executor.execute(self._router.handle(now, api.Shutdown()))

    def abandon(self, now: Instant, exchange: Exchange, response: Response | None) -> None:
        """Ends a request, if it is still pending, and has the router cancel its attempts.

        `response` is the final response, or None if the client has disconnected.
        """
        pending = self._pending.of_exchange(exchange)
        if pending is not None:
            self._pending.close(pending, response)
            self._executor.execute(self._router.handle(now, api.ClientDisconnected(exchange.id)), pending)

    # Attempts

    def reroute(self, attempt: UpstreamRequest) -> None:
        """Forwards an attempt again on another connection, if the attempt is still in flight.

        The attempt's previous connection was lost before the first byte of the attempt was written.
        """
        if self._pending.of_attempt(attempt) is not None:
            attempt.is_rerouted = True
            self._upstream.forward(attempt)

    def forward_deferred(self, exchange: Exchange) -> None:
        """Records that the abort of one of the exchange's attempts has been written.

        If this was the last such abort, forwards the deferred attempt, which has waited for all of them.
        """
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

    def withdraw(
        self,
        now: Instant,
        matches: Callable[[UpstreamRequest], bool],
        withdrawn: Sequence[UpstreamRequest] = (),
    ) -> None:
        """Withdraws the attempts that `matches` selects and that no connection has begun to write.

        `withdrawn` are further attempts that have been withdrawn from their connections already. The router
        then decides again how to serve their requests. An attempt may have to wait for its connection. Until
        its first byte is written, it is withdrawn if its endpoint drains or its object is invalidated.
        """
        matching = self._pending.withdraw_deferred(matches) + self._upstream.withdraw(matches)
        for attempt in (*withdrawn, *matching):
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
        pending.unexecuted_count += event.status in api.NOT_EXECUTED
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
        """Closes the request if the attempt has a response; returns the router's actions on the outcome.

        Until this method returns, the method is one holder of the response's body, and the client's
        connection is another. Otherwise that connection could release the body before the router has decided
        whether to store the response.
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
