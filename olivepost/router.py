"""The router: events in, actions out.

It asks the decisions of olivepost/routing and carries out what they say; none is taken here, and no tuned
value stands here. Settings, events and actions stand in olivepost/interface. No clock, no I/O.
"""

from __future__ import annotations

from olivepost import interface as api
from olivepost.request_lifecycle import RequestLifecycle
from olivepost.routing import capacity, health, memory_pressure, retries
from olivepost.routing.initial_state import initial_state
from olivepost.routing_state import QuotaTransfer, TimerCallback, TimerTable
from olivepost.units import Duration, Instant


class Router:
    """One proxy's router. Not thread-safe: one owner calls `handle`."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.state = initial_state(settings, seed)
        self.timers = TimerTable()
        self.requests = RequestLifecycle(self.state, self.timers)

    def handle(self, now: Instant, event: api.Event) -> list[api.Action]:
        """Takes one event and returns what to do, in order."""
        self.state.actions = []
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
                memory_pressure.apply(self.state, event.level)
            case api.Shutdown():
                self.requests.give_up_all(now)
            case _:
                self._handle_store_event(now, event)
        return self.state.actions

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
        if event.key == api.RETRY_QUOTA:
            donation = capacity.donate(self.state, now, event, retries.quota_part(self.state))
            self.state.retry_balance -= donation.amount
        else:
            endpoint_id = event.key.endpoint_id
            endpoint = None if endpoint_id is None else self.state.endpoints.by_id.get(endpoint_id)
            part = capacity.quota_part(self.state, now, event.key, endpoint)
            donation = capacity.donate(self.state, now, event, part)
        self.state.actions.append(donation)

    def _receive_quota(self, now: Instant, event: api.QuotaReceived) -> None:
        """Quota that another proxy has donated, or this proxy's own that comes back."""
        if event.key == api.RETRY_QUOTA:
            self.state.retry_balance += event.amount
        self.state.quotas.record(now, QuotaTransfer(event.expires_at, event.key, event.amount))

    def _update_endpoints(self, now: Instant, event: api.EndpointUpdate) -> None:
        """Rule 3: what drains or is removed is neither a cache nor a source from here on."""
        self.state.endpoints.update(now, event, self.settings)
        if not self.settings.subscribes_to_endpoints:
            return
        if event.kind is api.EndpointUpdateKind.RESTORED:
            self._set_timer(0, self._subscribe)
        elif event.kind is api.EndpointUpdateKind.FAILED:
            self._set_timer(retries.subscription_delay(self.settings), self._subscribe)

    def _subscribe(self, _now: Instant) -> None:
        self.state.actions.append(api.Subscribe())

    def _fire_timer(self, now: Instant, timer_id: int) -> None:
        callback = self.timers.pop(timer_id)
        if callback is not None:
            callback(now)

    def _set_timer(self, delay: Duration, callback: TimerCallback) -> None:
        self.state.actions.append(api.SetTimer(delay, self.timers.add(callback)))
