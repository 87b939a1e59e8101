"""The life cycle of a request, from its arrival through its attempts to its final response.

It calls the decision functions of olivepost/routing, carries out their results and emits the actions.
router.py lists which decision leads to which action. The life cycle makes no decision itself and has none of
the decisions' tuning parameters. It reads no clock and does no I/O.
"""

from __future__ import annotations

from functools import partial

from olivepost import interface as api
from olivepost.action_emitter import ActionEmitter
from olivepost.attempt_lifecycle import AttemptLifecycle
from olivepost.routing import (
    adaptive_ttl,
    admission,
    hints,
    invalidation,
    memory_pressure,
    outcomes,
    retries,
    selection,
)
from olivepost.routing_state import (
    Attempt,
    ExecutedAttempt,
    HintWait,
    OverloadLevel,
    PendingRequest,
    RoutingState,
    TimerTable,
)
from olivepost.units import Duration, Instant


class RequestLifecycle:
    """The life cycles of one router's pending requests. Not thread-safe: only the router's owner calls it."""

    def __init__(self, state: RoutingState, timers: TimerTable, actions: ActionEmitter) -> None:
        self.pending: dict[str, PendingRequest] = {}
        self._state = state
        self._settings = state.settings
        self._timers = timers
        self._actions = actions
        self._attempts = AttemptLifecycle(state, actions, self._retry_abandoned)

    # Arrival

    def arrive(self, now: Instant, request: api.Request) -> None:
        """Serves a client's request from the proxy's own cache, forwards it or gives it up."""
        state = self._state
        name = f"{request.object}.{request.part}"
        ranked = adaptive_ttl.rank_and_renew_name(state, now, name, request)
        if invalidation.reserve_cached_transfer(state, now, request):
            self._actions.emit(api.ServeCachedResponse(request.id))
            return
        request_class = self._settings.classes[request.class_name]
        if request.size_kb is not None:
            state.class_work.add(request_class.name, state.own_work(request))
        retries.earn_retries(state)
        # The timeout is capped: a request may state a longer timeout than clients of its class ever wait.
        timeout = min(request.timeout, request_class.deadline)
        pending = PendingRequest(
            request, request_class, name, now, now + timeout, ranked.rank, ranked.name_remaining
        )
        self.pending[request.id] = pending
        self._set_deadline_timer(pending, timeout)
        if memory_pressure.must_reject(state):
            self.give_up(now, pending, api.GiveUpReason.MEMORY)
            return
        admission.record_arrival(state, selection.all_caches_full(state, now, name))
        self._forward(now, pending, overload=state.arrivals)

    def _set_deadline_timer(self, pending: PendingRequest, timeout: Duration) -> None:
        """Sets the timer that gives a request up shortly, by `deadline_margin`, before its deadline."""
        # This upholds the deadline invariant: the final response is sent before the client's timeout is over.
        delay = max(0, timeout - self._settings.deadline_margin)
        give_up = partial(self.give_up, pending=pending, reason=api.GiveUpReason.DEADLINE)
        self._actions.set_request_timer(delay, give_up, pending)

    # Forwarding

    def _forward(
        self,
        now: Instant,
        pending: PendingRequest,
        retry_cost: int = 0,
        overload: OverloadLevel | None = None,
    ) -> None:
        """Forwards the next attempt, or gives up at once if none can be made or the cost is too high.

        The request's cost is checked against the overload level of `overload`, unless `overload` is None.
        `retry_cost` is the number of retries that the attempt takes from the retry budget.
        """
        state = self._state
        route = selection.select_route(state, now, pending)
        self._actions.request_quotas(route.shortages + retries.budget_shortage(state, retry_cost))
        is_too_expensive = False
        if overload is not None:
            cost = admission.record_cost(state, pending, overload)
            is_too_expensive = admission.is_too_expensive(state, pending, overload, cost)
        if route.cache is None:
            self.give_up(now, pending, api.GiveUpReason.NO_ENDPOINT)
        elif is_too_expensive:
            self.give_up(now, pending, api.GiveUpReason.OVERLOAD)
        elif not retries.allows_attempt(state, now, pending, route.cache, retry_cost):
            self.give_up(now, pending, api.GiveUpReason.RETRY_NOT_ALLOWED)
        elif hints.should_look_up(state, pending, route.source):
            self._look_up(now, pending, route.cache, route.source, retry_cost)
        else:
            state.retry_balance -= retry_cost
            self._attempts.send(now, pending, route.cache, route.source)

    def _retry_abandoned(self, now: Instant, pending: PendingRequest) -> None:
        """Retries a request whose attempt was abandoned at an unresponsive cache."""
        self._forward(now, pending, retry_cost=1)

    # Hints of the shared store

    def _look_up(
        self, now: Instant, pending: PendingRequest, cache: str, source: str | None, retry_cost: int
    ) -> None:
        """Looks the name up in the shared store; the attempt waits for the store's hint until a timeout."""
        timeout = hints.lookup_timeout(self._state, now, pending)
        if source is None:
            pending.has_looked_up_location = True
        else:
            pending.has_looked_up_fill = True
        request_id = pending.request.id
        lease_duration = pending.deadline - now
        self._actions.emit(api.LookUpHint(request_id, pending.name, cache, source, timeout, lease_duration))
        self._wait_for_hint(now, pending, timeout, retry_cost, api.CacheHint(request_id))

    def _wait_for_hint(
        self,
        now: Instant,
        pending: PendingRequest,
        timeout: Duration,
        retry_cost: int,
        default: api.CacheHint,
    ) -> None:
        """Makes the attempt wait for a hint; after `timeout`, the attempt continues with `default`."""
        wait = HintWait(now, retry_cost)
        pending.hint_wait = wait
        resume = partial(self.resume, pending=pending, hint=default, wait=wait)
        self._actions.set_request_timer(timeout, resume, pending)

    def resume(
        self, now: Instant, pending: PendingRequest, hint: api.CacheHint, wait: HintWait | None
    ) -> None:
        """Continues the attempt that waits for a hint; does nothing if `wait` is None or already over.

        The attempt is forwarded, unless it first waits for the end of a fill that it can't join.
        """
        if wait is None or pending.hint_wait is not wait:
            return
        pending.hint_wait = None
        pending.hint_time += now - wait.since
        pending.hint = hint if hint.cache is not None else None
        delay = hints.fill_delay(self._state, now, pending, hint)
        if delay:
            filled = api.CacheHint(pending.request.id, hint.cache, is_filling=True)
            self._wait_for_hint(now, pending, delay, wait.retry_cost, filled)
        else:
            self._forward(now, pending, wait.retry_cost)

    # Outcomes

    def complete_attempt(self, now: Instant, outcome: api.AttemptOutcome) -> None:
        """Records an attempt's outcome; after a failure, forwards the request again or gives it up."""
        pending = self.pending.get(outcome.request_id)
        attempt = pending.in_flight.get(outcome.attempt) if pending is not None else None
        if pending is None or attempt is None:
            return
        self._attempts.close(pending, attempt)
        is_ok = outcome.status is api.AttemptStatus.OK
        if is_ok:
            outcomes.record_response(self._state, now, pending, attempt, outcome)
            if invalidation.should_store(self._state, pending, attempt.sent_at):
                self._actions.emit(api.StoreResponse(outcome.request_id))
        else:
            ejection = outcomes.record_failed_attempt(self._state, now, pending, attempt, outcome)
            self._actions.report_outlier(ejection)
            if outcome.status not in api.NOT_EXECUTED:
                pending.executed.append(ExecutedAttempt(attempt.sent_at, attempt.cache_metadata))
        if outcome.is_final:
            self.forget(now, outcome.request_id)
        elif not is_ok:
            self._retry(now, pending, attempt, outcome)

    def _retry(
        self, now: Instant, pending: PendingRequest, attempt: Attempt, outcome: api.AttemptOutcome
    ) -> None:
        """Forwards a request again; after a lookup-only attempt that missed, its cache is asked to fill."""
        is_lookup_miss = outcome.status is api.AttemptStatus.NOT_CACHED and attempt.source is None
        if is_lookup_miss and attempt.cache != pending.missed_cache:
            pending.missed_cache = attempt.cache
            if attempt.cache == pending.hinted_cache:
                stale = api.ReportStaleHint(outcome.request_id, pending.name, attempt.cache)
                self._actions.emit(stale)
            self._forward(now, pending, overload=self._state.fills)
        elif not pending.in_flight:
            self._forward(now, pending, retry_cost=retries.cost_of(pending, outcome))

    def start_response(self, request_id: str) -> None:
        """Records that a streamed response has begun; the request is now neither retried nor given up."""
        pending = self.pending.get(request_id)
        if pending is not None:
            pending.is_response_started = True

    # Ends

    def give_up_all(self, now: Instant) -> None:
        """Gives up all pending requests at shutdown, so that each one gets its final response."""
        for pending in list(self.pending.values()):
            self.give_up(now, pending, api.GiveUpReason.SHUTDOWN)

    def give_up(self, now: Instant, pending: PendingRequest, reason: api.GiveUpReason) -> None:
        """Emits the final response, unless the request is over or its response has begun."""
        request_id = pending.request.id
        if self.pending.get(request_id) is not pending or pending.is_response_started:
            return
        self._actions.emit(retries.final_response(self._state, now, pending, reason))
        self.forget(now, request_id)

    def forget(self, now: Instant, request_id: str) -> None:
        """Removes a request that is over; releases its lease, discards its timers and closes its attempts."""
        pending = self.pending.pop(request_id, None)
        if pending is None:
            return
        if pending.has_looked_up_fill:
            self._actions.emit(api.ReleaseLease(request_id, pending.storing_cache, pending.rank))
        self._actions.report_outlier(outcomes.record_unconfirmed_fault(self._state, now, pending))
        self._timers.discard(pending.timer_ids)
        self._attempts.close_all(pending)
