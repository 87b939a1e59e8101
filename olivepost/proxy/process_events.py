"""Handler of events that concern the whole process: discovery, shared store, memory, shutdown."""

from __future__ import annotations

from olivepost import interface as api
from olivepost.proxy.action_executor import ActionExecutor
from olivepost.proxy.discovery.messages import DiscoveryEvent, DiscoveryHeartbeat
from olivepost.proxy.discovery_changes import DiscoveryChanges
from olivepost.proxy.event_loop_resources import EventLoopResources
from olivepost.proxy.exchange_lifecycle import ExchangeLifecycle
from olivepost.proxy.messages import LoopEvent, MemoryPressureReport, ShutdownDeadline, StoreEvent
from olivepost.units import Instant


class ProcessEventHandler:
    """The event loop's handler of process-wide events. Only the event loop's thread uses it."""

    def __init__(
        self, resources: EventLoopResources, lifecycle: ExchangeLifecycle, executor: ActionExecutor
    ) -> None:
        self._router = resources.router
        self._response_cache = resources.response_cache
        self._upstream = resources.upstream
        self._lifecycle = lifecycle
        self._executor = executor
        self._discovery_changes = DiscoveryChanges(resources, lifecycle, executor)

    def handle(self, now: Instant, event: LoopEvent) -> None:
        """Handles one event of the process; ignores an event of a request or an attempt."""
        match event:
            case DiscoveryEvent():
                self._discovery_changes.apply(now, event)
            case DiscoveryHeartbeat():
                self._lifecycle.record_discovery(event.composed_by)
                event.is_handled.set()
            case StoreEvent():
                self._handle_store_event(now, event.event)
            case MemoryPressureReport():
                self._shed_memory(now, event.level)
            case ShutdownDeadline():
                self._lifecycle.shutdown_at = event.deadline

    def _handle_store_event(self, now: Instant, event: api.Event) -> None:
        """Handles an event from the shared store.

        An invalidation from the shared store is applied like an invalidation from service discovery.
        """
        if isinstance(event, api.Invalidation):
            self._discovery_changes.invalidate(now, event)
        else:
            self._executor.execute(self._router.handle(now, event))

    def _shed_memory(self, now: Instant, level: api.MemoryPressureLevel) -> None:
        """Frees memory that the event loop's thread owns, as much as the memory pressure level requires."""
        if level >= api.MemoryPressureLevel.EVICT_CACHE:
            self._response_cache.evict_half()
        if level >= api.MemoryPressureLevel.CLOSE_IDLE:
            self._upstream.close_idle()
        self._executor.execute(self._router.handle(now, api.MemoryPressure(level)))
