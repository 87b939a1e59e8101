"""The life cycle of an attempt: it is sent, checked while it has no response, and abandoned or closed.

An attempt is silent if it has had no response for its silence timeout.

The life cycle calls the decision functions of olivepost/routing and emits the actions for attempts. router.py
lists which decision leads to which action. The life cycle makes no decision itself and has none of the
decisions' tuning parameters. It reads no clock and does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from olivepost import interface as api
from olivepost.action_emitter import ActionEmitter
from olivepost.routing import idempotency, invalidation, outcomes, retries
from olivepost.routing_state import Attempt, ExecutedAttempt, PendingRequest, RoutingState
from olivepost.units import Instant


class AttemptLifecycle:
    """The attempts that one router has in flight. Not thread-safe: only the router's owner calls it.

    This class abandons a silent attempt if the attempt's cache is ejected and the request may be retried. It
    then calls `retry` for the request.
    """

    def __init__(
        self,
        state: RoutingState,
        actions: ActionEmitter,
        retry: Callable[[Instant, PendingRequest], None],
    ) -> None:
        self._state = state
        self._settings = state.settings
        self._actions = actions
        self._retry = retry

    def send(self, now: Instant, pending: PendingRequest, cache: str, source: str | None) -> None:
        """Sends a request's next attempt.

        If `source` is None, the attempt only looks the name up in the cache.
        """
        state = self._state
        request_class = pending.request_class
        hint = pending.hint
        pending.hint = None
        pending.hinted_cache = cache if hint is not None and hint.cache == cache else None
        forward = api.ForwardAttempt(
            pending.request.id,
            cache,
            source,
            pending.rank,
            timeout=pending.deadline - now,
            max_age=invalidation.max_age(state, now, pending, source or cache),
            # A response of rank 0 is not cached, so requests can't share its fill. Every write has rank 0.
            collapse_fills=self._settings.can_collapse_fills and pending.rank > 0,
            refresh=request_class.freshness_lifetime is not None and source is not None,
            start_before=idempotency.latest_start(state, pending),
        )
        timeout = outcomes.silence_timeout(state, pending)
        metadata = state.endpoints.by_id[cache].metadata
        attempt = Attempt(pending.attempt_count, cache, source, now, timeout, metadata)
        state.endpoints.open_attempt(now, attempt, state.mean_work(request_class))
        pending.in_flight[attempt.number] = attempt
        pending.attempt_count += 1
        self._actions.emit(forward)
        self._set_silence_timer(pending, attempt)

    def close(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Stops counting an attempt as in flight, for its request and at its endpoints."""
        pending.in_flight.pop(attempt.number, None)
        self._state.endpoints.close_attempt(attempt)

    def close_all(self, pending: PendingRequest) -> None:
        """Closes all attempts of a request that is over, and cancels them if `can_cancel_attempts` is set.

        Closing an attempt only stops counting it as in flight. Cancelling it also ends the wait for its
        response.
        """
        for attempt in list(pending.in_flight.values()):
            if self._settings.can_cancel_attempts:
                self._actions.emit(api.CancelAttempt(pending.request.id, attempt.number))
            self.close(pending, attempt)

    def _set_silence_timer(self, pending: PendingRequest, attempt: Attempt) -> None:
        check = partial(self._check_silence, pending=pending, attempt=attempt)
        self._actions.set_request_timer(attempt.silence_timeout, check, pending)

    def _check_silence(self, now: Instant, pending: PendingRequest, attempt: Attempt) -> None:
        """Checks an attempt that has had no response for its silence timeout, and may abandon the attempt.

        The attempt is abandoned for a retry if its cache is ejected and the request may be retried. Otherwise
        the attempt is checked again after another silence timeout.
        """
        if pending.is_response_started or attempt.number not in pending.in_flight:
            return
        check = outcomes.record_silence(self._state, now, pending, attempt)
        self._actions.report_outlier(check.ejection)
        if not (check.is_cache_ejected and retries.may_abandon_attempt(self._state, pending)):
            self._set_silence_timer(pending, attempt)
            return
        self._actions.emit(api.CancelAttempt(pending.request.id, attempt.number))
        self.close(pending, attempt)
        pending.executed.append(ExecutedAttempt(attempt.sent_at, attempt.cache_metadata))
        self._retry(now, pending)
