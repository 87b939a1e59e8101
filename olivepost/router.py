"""The router of one proxy, which turns each event into actions.

It calls the decision functions of olivepost/routing and carries out their results. It makes no decision
itself and has none of the decisions' tuning parameters. Settings, events and actions are defined in
olivepost/interface. It reads no clock and does no I/O.

The table lists which decision leads to which action. Actions are emitted by `Router`, by `RequestLifecycle`
and by `AttemptLifecycle`.

| decision | action |
| --- | --- |
| `selection.select_route`, `admission.is_too_expensive`, `retries.allows_attempt` | ForwardAttempt |
| `invalidation.reserve_cached_transfer` | ServeCachedResponse |
| `invalidation.should_store` | StoreResponse |
| `outcomes.record_silence` with `retries.may_abandon_attempt`; the end of a request | CancelAttempt |
| `retries.final_response` | Reject, RejectIfUnsent, Fail |
| `hints.should_look_up` | LookUpHint; for a fill also ReleaseLease at the end of the request |
| a lookup-only attempt that misses in the hinted cache | ReportStaleHint |
| `selection.select_route`, `retries.budget_shortage` | RequestQuota |
| `capacity.donate_quota` | DonateQuota |
| `outcomes.record_silence`, `record_failed_attempt`, `record_unconfirmed_fault` | ReportOutlier |
| `retries.subscription_delay` | SetTimer, then Subscribe |
| a request's deadline, `outcomes.silence_timeout`, `hints.lookup_timeout`, `hints.fill_delay` | SetTimer |
"""

from __future__ import annotations

from olivepost import interface as api
from olivepost.action_emitter import ActionEmitter
from olivepost.request_lifecycle import RequestLifecycle
from olivepost.routing import capacity, health, memory_pressure, retries
from olivepost.routing.initial_state import initial_state
from olivepost.routing_state import QuotaTransfer, TimerTable
from olivepost.units import Instant


class Router:
    """The router of one proxy. Not thread-safe: only its owner calls `handle`."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.state = initial_state(settings, seed)
        self.timers = TimerTable()
        self._actions = ActionEmitter(self.state, self.timers)
        self.requests = RequestLifecycle(self.state, self.timers, self._actions)

    def handle(self, now: Instant, event: api.Event) -> list[api.Action]:
        """Handles one event and returns the actions to carry out, in order."""
        self._actions.start_event()
        match event:
            case api.Request():
                self.requests.arrive(now, event)
            case api.AttemptOutcome():
                self.requests.complete_attempt(now, event)
            case api.TimerFired():
                self._fire_timer(now, event.timer_id)
            case api.EndpointUpdate():
                self._update_endpoints(now, event)
            case api.Invalidation():
                self.state.invalidations.add(now, event)
            case api.ResponseStarted():
                self.requests.start_response(event.request_id)
            case api.ClientDisconnected():
                self.requests.forget(now, event.request_id)
            case api.MemoryPressure():
                memory_pressure.apply_level(self.state, event.level)
            case api.Shutdown():
                self.requests.give_up_all(now)
            case _:
                self._handle_store_event(now, event)
        return self._actions.take()

    def _handle_store_event(self, now: Instant, event: api.Event) -> None:
        match event:
            case api.CacheHint() if event.request_id in self.requests.pending:
                pending = self.requests.pending[event.request_id]
                self.requests.resume(now, pending, event, pending.hint_wait)
            case api.StoreAvailability():
                self.state.is_store_available = event.is_available
            case api.QuotaRequested():
                self._donate_quota(now, event)
            case api.QuotaReceived():
                self._receive_quota(now, event)
            case api.OutlierReported() if event.endpoint_id in self.state.endpoints.by_id:
                health.record_outlier_report(self.state.endpoints.by_id[event.endpoint_id])

    def _donate_quota(self, now: Instant, event: api.QuotaRequested) -> None:
        """Donates quota to the proxy that requested it; the donated amount is 0 if none can be spared."""
        if event.key == api.RETRY_QUOTA:
            donation = capacity.donate_quota(self.state, now, event, retries.quota_part(self.state))
            self.state.retry_balance -= donation.amount
        else:
            part = capacity.quota_part(self.state, now, event.key)
            donation = capacity.donate_quota(self.state, now, event, part)
        self._actions.emit(donation)

    def _receive_quota(self, now: Instant, event: api.QuotaReceived) -> None:
        """Records quota that another proxy has donated, or a donation of this proxy that comes back to it.

        A donation comes back if the store has not granted it to the proxy that requested it.
        """
        if event.key == api.RETRY_QUOTA:
            self.state.retry_balance += event.amount
        self.state.quotas.record(now, QuotaTransfer(event.expires_at, event.key, event.amount))

    def _update_endpoints(self, now: Instant, event: api.EndpointUpdate) -> None:
        """Applies an endpoint update, and may set a timer after which the router subscribes to the list.

        The timer is set after a restored list or a failed subscription, if the setting
        `subscribes_to_endpoints` is on. The update upholds the draining invariant: no later attempt goes to a
        draining or removed endpoint.
        """
        self.state.endpoints.update(now, event, self.settings)
        if not self.settings.subscribes_to_endpoints:
            return
        if event.kind is api.EndpointUpdateKind.RESTORED:
            self._actions.set_timer(0, self._subscribe)
        elif event.kind is api.EndpointUpdateKind.FAILED:
            self._actions.set_timer(retries.subscription_delay(self.settings), self._subscribe)

    def _subscribe(self, _now: Instant) -> None:
        self._actions.emit(api.Subscribe())

    def _fire_timer(self, now: Instant, timer_id: int) -> None:
        callback = self.timers.pop(timer_id)
        if callback is not None:
            callback(now)
