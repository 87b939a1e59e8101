"""The executor, which carries out the router's actions in order and has one branch per kind of action."""

from __future__ import annotations

from collections.abc import Callable

from olivepost import interface as api
from olivepost.proxy.discovery.messages import DiscoveryEvent
from olivepost.proxy.event_loop_resources import EventLoopResources, SharedStore
from olivepost.proxy.exchange import Response, ResponseKind
from olivepost.proxy.messages import LoopEvent
from olivepost.proxy.pending_exchanges import PendingExchange, PendingExchanges
from olivepost.proxy.response_cache import response_from
from olivepost.proxy.timers import TimerQueue
from olivepost.proxy.upstream.command import command_fields
from olivepost.proxy.upstream.request import UpstreamRequest
from olivepost.units import MILLISECOND


class ActionExecutor:
    """Executor of actions on timers, upstream connections, clients and the shared store.

    Only the event loop's thread uses it. No method blocks or calls the router. An action that forwards an
    attempt, responds to a client or looks up a hint needs a pending request. If the request is no longer
    pending, such an action has no effect and is counted as a violation of an invariant. The cancellation of
    an attempt has no effect if the request is neither pending nor closed by the current event.
    """

    def __init__(
        self,
        resources: EventLoopResources,
        pending: PendingExchanges,
        timers: TimerQueue,
        post: Callable[[LoopEvent], None],
    ) -> None:
        self._clock = resources.clock
        self._log = resources.log
        self._upstream = resources.upstream
        self._shared_store = resources.shared_store
        self._allows_hedged_requests = resources.router.settings.allows_hedged_requests
        self._pending = pending
        self._timers = timers
        self._post = post
        # Requests that have been closed while the current event is handled, by id. They are kept until all
        # actions of that event have been executed, because some of these actions still cancel attempts of the
        # closed requests and release their leases.
        self._closed: dict[str, PendingExchange] = {}

    def execute(self, actions: list[api.Action], closed: PendingExchange | None = None) -> None:
        """Executes the actions that the router returned for one event, in order.

        `closed` is the request that the caller has already closed while it handled the event. `closed` is
        None if the caller has closed no request.
        """
        if closed is not None:
            self._closed[closed.exchange.id] = closed
        try:
            for action in actions:
                self._execute(action)
        finally:
            self._closed.clear()

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.SetTimer():
                self._timers.schedule(self._clock.now() + action.delay, action.timer_id)
            case api.ForwardAttempt():
                self._forward(action)
            case api.CancelAttempt():
                self._cancel(action)
            case api.Reject() | api.Fail() | api.RejectIfUnsent():
                self._give_up(action)
            case api.ServeCachedResponse():
                self._serve_cached(action)
            case api.StoreResponse():
                pass  # `ExchangeLifecycle` executes this action, because that class has the response
            case api.Subscribe():
                self._subscribe()
            case _ if self._shared_store is not None:
                self._execute_on_store(self._shared_store, action)

    # Attempts

    def _forward(self, action: api.ForwardAttempt) -> None:
        pending = self._pending.expect(action.request_id, "attempt_has_pending_request")
        if pending is None:
            return
        attempt = self._new_attempt(pending, action)
        timeout_at = self._clock.now() + action.timeout
        self._timers.schedule(timeout_at, attempt.timer_id, is_attempt_timeout=True)
        if pending.aborts_in_flight:
            pending.deferred_attempt = attempt
        else:
            self._upstream.forward(attempt)

    def _new_attempt(self, pending: PendingExchange, action: api.ForwardAttempt) -> UpstreamRequest:
        number = pending.attempt_count
        pending.attempt_count += 1
        fields = command_fields(pending.exchange, action)
        attempt = UpstreamRequest(
            pending.exchange,
            number,
            action.cache,
            action.source,
            self._clock.now(),
            fields,
            action.start_before,
        )
        attempt.timer_id = self._timers.new_timer_id()
        self._pending.add_attempt(pending, attempt)
        return attempt

    def _cancel(self, action: api.CancelAttempt) -> None:
        """Cancels an attempt of a request.

        If hedged requests are not allowed, a request may have only one attempt at a time. If an abort command
        has to be sent for the cancelled attempt, the request's next attempt therefore waits until that
        command has been written.
        """
        request_id = action.request_id
        pending = self._pending.get(request_id) or self._closed.get(request_id)
        if pending is None:
            return
        attempt = pending.attempts.pop(action.attempt, None)
        if attempt is None:
            return
        self._pending.discard_timeout(attempt)
        if attempt.connection is None:
            return
        must_wait = not self._allows_hedged_requests and request_id in self._pending
        if attempt.connection.abort(attempt, must_wait):
            pending.aborts_in_flight += 1

    # Responses

    def _give_up(self, action: api.FinalResponse) -> None:
        pending = self._pending.expect(action.request_id, "response_has_pending_request")
        if pending is None:
            return
        response = _final_response(pending, action)
        self._log.increment(f"given_up_{action.reason.value}")
        self._log.sampled_event(
            "request_given_up",
            request=action.request_id,
            response=response.kind.value,
            reason=action.reason.value,
            attempts=pending.attempt_count,
            age_ms=(self._clock.now() - pending.exchange.received_at) // MILLISECOND,
        )
        self._closed[action.request_id] = pending
        self._pending.close(pending, response)

    def _serve_cached(self, action: api.ServeCachedResponse) -> None:
        pending = self._pending.expect(action.request_id, "response_has_pending_request")
        if pending is not None and pending.cache_entry is not None:
            self._log.increment("cached_responses_served")
            self._pending.close(pending, response_from(pending.exchange, pending.cache_entry))

    # Service discovery and the shared store

    def _subscribe(self) -> None:
        """Confirms the router's subscription to endpoint updates with an update that contains no change.

        Nothing else has to be done, because the long poll of service discovery is always active.
        """
        no_change = api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, ())
        self._post(DiscoveryEvent(no_change, []))

    def _execute_on_store(self, store: SharedStore, action: api.Action) -> None:
        match action:
            case api.LookUpHint():
                pending = self._pending.expect(action.request_id, "lookup_has_pending_request")
                if pending is not None:
                    store.look_up(action, pending.exchange.object, pending.exchange.group)
            case api.ReleaseLease():
                closed = self._closed.get(action.request_id)
                store.release_lease(action, closed.generated_at if closed is not None else None)
            case api.ReportStaleHint() | api.RequestQuota() | api.DonateQuota() | api.ReportOutlier():
                store.notify(action)


def _final_response(pending: PendingExchange, action: api.FinalResponse) -> Response:
    """Returns the response that the action asks for; for `RejectIfUnsent`, withdraws the attempts first."""
    match action:
        case api.Reject():
            return Response(ResponseKind.REJECTED, retry_after=action.retry_after)
        case api.RejectIfUnsent() if _withdraw_unsent(pending):
            return Response(ResponseKind.REJECTED, retry_after=action.retry_after)
        case _:
            return Response(ResponseKind.FAILED)


def _withdraw_unsent(pending: PendingExchange) -> bool:
    """Withdraws the attempts that no connection has begun to write; none of them will be written.

    Returns whether there are attempts in flight and all of them were withdrawn.
    """
    sent = [attempt for attempt in pending.attempts.values() if not _withdraw(attempt)]
    pending.unexecuted_count += len(pending.attempts) - len(sent)
    return bool(pending.attempts) and not sent


def _withdraw(attempt: UpstreamRequest) -> bool:
    """Withdraws one attempt; returns False if a connection has begun to write it."""
    if attempt.connection is None:
        return True
    return attempt in attempt.connection.withdraw(lambda request: request is attempt)
