"""The actions of the event that a router is handling, in order: what the router and the life cycles emit."""

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
    """Collects actions and registers the timers among them. Not thread-safe: the router's owner calls it."""

    __slots__ = ("_actions", "_state", "_timers", "emit")

    def __init__(self, state: RoutingState, timers: TimerTable) -> None:
        self._state = state
        self._timers = timers
        self._actions: list[api.Action] = []
        self.emit: Callable[[api.Action], None] = self._actions.append  # bound once: several calls a request

    def start_event(self) -> None:
        """Drops what is left of an event whose handling failed."""
        self._actions.clear()

    def take(self) -> list[api.Action]:
        """Returns what was emitted for the event in hand."""
        return self._actions.copy()

    def set_timer(self, delay: Duration, callback: TimerCallback) -> int:
        """Emits a timer that calls back once it has fired; returns its id."""
        timer_id = self._timers.add(callback)
        self.emit(api.SetTimer(delay, timer_id))
        return timer_id

    def set_request_timer(self, delay: Duration, callback: TimerCallback, pending: PendingRequest) -> None:
        """Emits a timer that is discarded with its request."""
        pending.timer_ids.append(self.set_timer(delay, callback))

    def request_quotas(self, shortages: tuple[QuotaShortage, ...]) -> None:
        """Asks other proxies for quotas that were short."""
        for shortage in shortages:
            self.emit(api.RequestQuota(shortage.key, shortage.amount))

    def report_outlier(self, ejection: Ejection | None) -> None:
        """Reports an ejected endpoint to other proxies, where the shared store is available."""
        if ejection is not None and self._state.is_store_available:
            self.emit(api.ReportOutlier(ejection.endpoint_id))
