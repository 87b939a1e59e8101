"""The life of a request: from its arrival over its attempts to its final response.

It asks the decisions of olivepost/routing and carries out what they say; none is taken here, and no tuned
value stands here. No clock, no I/O.
"""

from __future__ import annotations

from functools import partial

from olivepost import interface as api
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
    TimerCallback,
    TimerTable,
)
from olivepost.units import Duration, Instant


class RequestLifecycle:
    """The pending requests of one router. Not thread-safe: the router's owner calls it."""

    def __init__(self, state: RoutingState, timers: TimerTable) -> None:
        self.pending: dict[str, PendingRequest] = {}
        self._state = state
        self._settings = state.settings
        self._timers = timers

    def _set_timer(self, delay: Duration, callback: TimerCallback, pending: PendingRequest) -> None:
        """Sets a timer that is discarded with its request."""
        timer_id = self._timers.add(callback)
        pending.timer_ids.append(timer_id)
        self._state.actions.append(api.SetTimer(delay, timer_id))

    def arrive(self, now: Instant, request: api.Request) -> None:
        """A client's request has come: it is ranked, and served from the own cache or forwarded."""
        request_class = self._settings.classes[request.class_name]
        name = f"{request.object}.{request.part}"
        rank, name_remaining = adaptive_ttl.rank_request(self._state, now, name, request)
        if invalidation.serve_cached(self._state, now, request):
            self._state.actions.append(api.ServeCachedResponse(request.id))
            return
        if request.size_kb is not None:
            self._state.class_work.add(request_class.name, self._state.own_work(request))
        retries.earn(self._state)
        # Longer than any client of the class waits proves nothing.
        timeout = min(request.timeout, request_class.deadline)
        pending = PendingRequest(request, request_class, name, now + timeout, rank, name_remaining)
        self.pending[request.id] = pending
        # Rule 1: whatever else happens, the response goes out before the client's time is up.
        last_moment = max(0, timeout - self._settings.deadline_margin)
        give_up = partial(self.give_up, pending=pending, reason=api.GiveUpReason.DEADLINE)
        self._set_timer(last_moment, give_up, pending)
        if memory_pressure.must_reject(self._state):
            self.give_up(now, pending, api.GiveUpReason.MEMORY)
            return
        is_full = selection.all_caches_full(self._state, now, name)
        admission.record_sample(
            self._state.arrivals, admission.ARRIVAL_STEP, admission.ARRIVAL_TARGET, is_full
        )
        self._forward(now, pending, overload=self._state.arrivals)

    def _forward(
        self,
        now: Instant,
        pending: PendingRequest,
        retry_cost: int = 0,
        overload: OverloadLevel | None = None,
    ) -> None:
        """Forwards the next attempt, or gives up at once where none can be made or it is too expensive."""
        cache, source = selection.select_route(self._state, now, pending)
        retries.request_quota(self._state, retry_cost)
        is_rejected = overload is not None and admission.is_too_expensive(self._state, pending, overload)
        if cache is None:
            self.give_up(now, pending, api.GiveUpReason.NO_ENDPOINT)
            return
        if is_rejected:
            self.give_up(now, pending, api.GiveUpReason.OVERLOAD)
            return
        if not retries.allows_attempt(self._state, now, pending, cache, retry_cost):
            self.give_up(now, pending, api.GiveUpReason.RETRY_NOT_ALLOWED)
            return
        if hints.should_look_up(self._state, pending, source):
            self._look_up(now, pending, cache, source, retry_cost)
            return
        self._state.retry_balance -= retry_cost
        self._send_attempt(now, pending, cache, source)

    def _look_up(
        self, now: Instant, pending: PendingRequest, cache: str, source: str | None, retry_cost: int
    ) -> None:
        """Asks the shared store; the attempt waits for the hint, or for the end of the time it may take."""
        timeout = hints.lookup_timeout(self._state, now, pending)
        if source is None:
            pending.has_looked_up_location = True
        else:
            pending.has_looked_up_fill = True
        remaining = pending.deadline - now
        request_id = pending.request.id
        lookup = api.LookUpHint(request_id, pending.name, cache, source, timeout, remaining)
        self._state.actions.append(lookup)
        self._wait_for_hint(now, pending, timeout, retry_cost, api.CacheHint(request_id))

    def _wait_for_hint(
        self,
        now: Instant,
        pending: PendingRequest,
        timeout: Duration,
        retry_cost: int,
        default: api.CacheHint,
    ) -> None:
        wait = HintWait(now, retry_cost)
        pending.hint_wait = wait
        self._set_timer(timeout, partial(self.resume, pending=pending, hint=default, wait=wait), pending)

    def resume(
        self, now: Instant, pending: PendingRequest, hint: api.CacheHint, wait: HintWait | None
    ) -> None:
        """The store has answered, or its time is over: the attempt that waited goes on."""
        if wait is None or pending.hint_wait is not wait:
            return
        pending.hint_wait = None
        pending.hint_time += now - wait.since
        pending.hint = hint if hint.cache is not None else None
        delay = hints.fill_delay(self._state, now, pending, hint)
        if delay:
            done = api.CacheHint(pending.request.id, hint.cache, is_filling=True)
            self._wait_for_hint(now, pending, delay, wait.retry_cost, done)
        else:
            self._forward(now, pending, wait.retry_cost)

    def _send_attempt(self, now: Instant, pending: PendingRequest, cache: str, source: str | None) -> None:
        request_class = pending.request_class
        hint = pending.hint
        pending.hint = None
        pending.hinted_cache = cache if hint is not None and hint.cache == cache else None
        action = api.ForwardAttempt(
            pending.request.id,
            cache,
            source,
            pending.rank,
            timeout=pending.deadline - now,
            max_age=invalidation.max_age(self._state, now, pending, source or cache),
            # What is never cached has a fill of its own, and writes theirs.
            collapse_fills=self._settings.can_collapse_fills and pending.rank > 0,
            refresh=request_class.freshness_lifetime is not None and source is not None,
            start_before=retries.latest_start(self._state, pending),
        )
        work = self._state.mean_work(request_class)
        self._state.endpoints.open_attempt(now, (cache, source or cache), work)
        silence_timeout = outcomes.silence_timeout(self._state, pending)
        attempt = Attempt(pending.attempt_count, cache, source, now, silence_timeout)
        pending.in_flight[attempt.number] = attempt
        pending.attempt_count += 1
        self._state.actions.append(action)
        self._check_later(pending, attempt)

    def _check_later(self, pending: PendingRequest, attempt: Attempt) -> None:
        check = partial(self._check_silence, pending=pending, attempt=attempt)
        self._set_timer(attempt.silence_timeout, check, pending)

    def _check_silence(self, now: Instant, pending: PendingRequest, attempt: Attempt) -> None:
        """An attempt has been in flight for long: it is left for a retry once its endpoint is ejected."""
        if pending.is_response_started or attempt.number not in pending.in_flight:
            return
        is_lost = outcomes.record_silence(self._state, now, pending, attempt)
        if not (is_lost and retries.may_abandon_attempt(self._state, pending)):
            self._check_later(pending, attempt)
            return
        self._state.actions.append(api.CancelAttempt(pending.request.id, attempt.number))
        self._close_attempt(pending, attempt)
        pending.executed.append(ExecutedAttempt(attempt.sent_at, attempt.cache))
        self._forward(now, pending, retry_cost=1)

    def _close_attempt(self, pending: PendingRequest, attempt: Attempt) -> None:
        pending.in_flight.pop(attempt.number, None)
        self._state.endpoints.close_attempt((attempt.cache, attempt.source_or_cache))

    def complete_attempt(self, now: Instant, outcome: api.AttemptOutcome) -> None:
        """Learns from an outcome; what is still owed is forwarded again or given up at once."""
        pending = self.pending.get(outcome.request_id)
        attempt = pending.in_flight.get(outcome.attempt) if pending is not None else None
        if pending is None or attempt is None:
            return
        self._close_attempt(pending, attempt)
        is_ok = outcome.status is api.AttemptStatus.OK
        if is_ok:
            outcomes.record_response(self._state, now, pending, attempt, outcome)
            if invalidation.should_store(self._state, pending, attempt.sent_at):
                self._state.actions.append(api.StoreResponse(outcome.request_id))
        else:
            outcomes.record_failed_attempt(self._state, now, pending, attempt, outcome)
        if outcome.is_final:
            self.forget(now, outcome.request_id)
        elif not is_ok:
            self._retry(now, pending, attempt, outcome)

    def _retry(
        self, now: Instant, pending: PendingRequest, attempt: Attempt, outcome: api.AttemptOutcome
    ) -> None:
        is_miss = outcome.status is api.AttemptStatus.NOT_CACHED and attempt.source is None
        if is_miss and attempt.cache != pending.missed_cache:
            pending.missed_cache = attempt.cache
            if attempt.cache == pending.hinted_cache:
                stale = api.ReportStaleHint(outcome.request_id, pending.name, attempt.cache)
                self._state.actions.append(stale)
            self._forward(now, pending, overload=self._state.fills)
        elif not pending.in_flight:
            if outcome.status not in api.NOT_EXECUTED:
                pending.executed.append(ExecutedAttempt(attempt.sent_at, attempt.cache))
            self._forward(now, pending, retry_cost=retries.cost_of(pending, outcome))

    def start_response(self, request_id: str) -> None:
        """A streamed response has begun: from here on the request is neither retried nor given up."""
        pending = self.pending.get(request_id)
        if pending is not None:
            pending.is_response_started = True

    def give_up_all(self, now: Instant) -> None:
        """Shutdown: every pending request gets its final response."""
        for pending in list(self.pending.values()):
            self.give_up(now, pending, api.GiveUpReason.SHUTDOWN)

    def give_up(self, now: Instant, pending: PendingRequest, reason: api.GiveUpReason) -> None:
        """The final response, at once."""
        request_id = pending.request.id
        if self.pending.get(request_id) is not pending or pending.is_response_started:
            return
        self._state.actions.append(retries.final_response(self._state, pending, reason))
        self.forget(now, request_id)

    def forget(self, now: Instant, request_id: str) -> None:
        """Drops a request that is over, with its attempts in flight."""
        pending = self.pending.pop(request_id, None)
        if pending is None:
            return
        if pending.has_looked_up_fill:
            release = api.ReleaseLease(request_id, pending.storing_cache, pending.rank)
            self._state.actions.append(release)
        outcomes.confirm_fault(self._state, now, pending)
        self._timers.discard(pending.timer_ids)
        for attempt in list(pending.in_flight.values()):
            if self._settings.can_cancel_attempts:
                self._state.actions.append(api.CancelAttempt(request_id, attempt.number))
            self._close_attempt(pending, attempt)
