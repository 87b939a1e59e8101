"""Collector of the actions that the router and its life cycle classes emit while they handle one event."""

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
    """Collector of the actions for one event, in the order in which they are emitted.

    It also registers the callbacks of the timers that it emits. Not thread-safe: only the router's owner
    calls it.
    """

    __slots__ = ("_actions", "_state", "_timers", "emit")

    def __init__(self, state: RoutingState, timers: TimerTable) -> None:
        self._state = state
        self._timers = timers
        self._actions: list[api.Action] = []
        # Keeps the list's bound method `append`, because each request emits several actions and each access
        # to `append` would bind the method anew.
        self.emit: Callable[[api.Action], None] = self._actions.append

    def start_event(self) -> None:
        """Drops the actions that are left over from an earlier event if its handling failed."""
        self._actions.clear()

    def take(self) -> list[api.Action]:
        """Returns the actions that were emitted for the current event."""
        return self._actions.copy()

    def set_timer(self, delay: Duration, callback: TimerCallback) -> int:
        """Emits a `SetTimer` whose timer calls `callback` when it fires; returns the timer's id."""
        timer_id = self._timers.add(callback)
        self.emit(api.SetTimer(delay, timer_id))
        return timer_id

    def set_request_timer(self, delay: Duration, callback: TimerCallback, pending: PendingRequest) -> None:
        """Emits a `SetTimer` for a pending request; the timer is discarded when the request is over."""
        pending.timer_ids.append(self.set_timer(delay, callback))

    def request_quotas(self, shortages: tuple[QuotaShortage, ...]) -> None:
        """Asks other proxies for the missing amount of each quota that was short."""
        for shortage in shortages:
            self.emit(api.RequestQuota(shortage.key, shortage.amount))

    def report_outlier(self, ejection: Ejection | None) -> None:
        """Reports `ejection` to other proxies, unless it is None or the shared store is unavailable."""
        if ejection is not None and self._state.is_store_available:
            self.emit(api.ReportOutlier(ejection.endpoint_id))
