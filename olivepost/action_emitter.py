"""The actions that the router and the life cycles emit for the event that is being handled, in order."""

from __future__ import annotations

from collections.abc import Callable

from olivepost import interface as api
from olivepost.routing_state import (
    Ejection,
    PendingRequest,
    QuotaShortage,
    RoutingState,
    TimerCallback,
    TimerTable,
)
from olivepost.units import Duration


class ActionEmitter:
    """Collector of an event's actions, which also registers the timers among them.

    Not thread-safe: only the router's owner calls it.
    """

    __slots__ = ("_actions", "_state", "_timers", "emit")

    def __init__(self, state: RoutingState, timers: TimerTable) -> None:
        self._state = state
        self._timers = timers
        self._actions: list[api.Action] = []
        # The method is bound once, because it is called several times for each request.
        self.emit: Callable[[api.Action], None] = self._actions.append

    def start_event(self) -> None:
        """Drops actions that are left over from an earlier event whose handling failed."""
        self._actions.clear()

    def take(self) -> list[api.Action]:
        """Returns the actions that were emitted for the current event."""
        return self._actions.copy()

    def set_timer(self, delay: Duration, callback: TimerCallback) -> int:
        """Emits a timer that calls `callback` when it fires; returns the timer's id."""
        timer_id = self._timers.add(callback)
        self.emit(api.SetTimer(delay, timer_id))
        return timer_id

    def set_request_timer(self, delay: Duration, callback: TimerCallback, pending: PendingRequest) -> None:
        """Emits a timer that is discarded when its request is over."""
        pending.timer_ids.append(self.set_timer(delay, callback))

    def request_quotas(self, shortages: tuple[QuotaShortage, ...]) -> None:
        """Requests from other proxies the quotas that were short."""
        for shortage in shortages:
            self.emit(api.RequestQuota(shortage.key, shortage.amount))

    def report_outlier(self, ejection: Ejection | None) -> None:
        """Reports the ejected endpoint, if any, to other proxies if the shared store is available."""
        if ejection is not None and self._state.is_store_available:
            self.emit(api.ReportOutlier(ejection.endpoint_id))
