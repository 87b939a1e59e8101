"""One proxy: wires its parts together, and runs it until a signal ends it."""

from __future__ import annotations

import gc
import sys
import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from olivepost import __version__
from olivepost import interface as api
from olivepost.config import Address, ConfigError, ProxyConfig, keys_needing_restart
from olivepost.proxy.buffers import BufferPool
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.client import DiscoveryClient
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.listener import DownstreamServer
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.event_loop import EventLoop
from olivepost.proxy.event_loop_resources import EventLoopResources
from olivepost.proxy.event_queue import EventQueue
from olivepost.proxy.memory_monitor import MemoryMonitor
from olivepost.proxy.messages import MemoryPressureReport, StoreEvent
from olivepost.proxy.metrics import collect_metrics
from olivepost.proxy.response_cache import ResponseCache
from olivepost.proxy.shutdown import GracefulShutdown
from olivepost.proxy.signals import SignalListener, SignalRequest, WaitForSignal, wait_without_signals
from olivepost.proxy.threads import START_TIMEOUT_S, start_thread
from olivepost.proxy.upstream.pool import UpstreamPool
from olivepost.proxy.upstream.resources import UpstreamResources
from olivepost.router import Router
from olivepost.units import SECOND, Duration, Instant

if TYPE_CHECKING:
    from olivepost.operator_config.model import OperatorSettings
    from olivepost.shared_store.host import StoreHost

METRICS_INTERVAL: Duration = 10 * SECOND
STDOUT = 1
# Objects allocated, more than freed, between two collections of cycles: requests make hardly any, and the
# default of 700 collects after every few dozen of them. Hurts where cycles hold much memory: none here does.
GC_THRESHOLD = 20_000
GC_GENERATION_THRESHOLD = 20  # collections of a generation before the next older one is collected


@dataclass(frozen=True, slots=True)
class ConfigurationSource:
    """Reads the configuration again on SIGHUP; both raise `ConfigError` where it is faulty."""

    read_config: Callable[[], ProxyConfig]
    read_operator_settings: Callable[[], OperatorSettings | None]


class ProxyServer:
    """One proxy. The thread that makes it starts it, runs it and shuts it down."""

    def __init__(
        self,
        config: ProxyConfig,
        log_descriptor: int = STDOUT,
        operator: OperatorSettings | None = None,
        source: ConfigurationSource | None = None,
        wait_for_signal: WaitForSignal = wait_without_signals,
    ) -> None:
        limits = config.limits
        self.config = config
        self._operator = operator
        self._source = source or ConfigurationSource(lambda: config, lambda: operator)
        self._wait_for_signal = wait_for_signal
        self.clock = Clock()
        self.log = EventLog(self.clock, config.name, limits.memory.log, log_descriptor)
        # Apart from each other, so that bodies which clients hold can't keep sockets from being read.
        self.body_buffers = BufferPool(limits.body_buffers, limits.buffer_bytes)
        self.read_buffers = BufferPool(limits.read_buffers, limits.buffer_bytes)
        self.response_cache = ResponseCache(limits.cache_buffers)
        events = EventQueue(self.clock)
        self.upstream = UpstreamPool(
            UpstreamResources(limits, self.body_buffers, self.read_buffers, self.clock, self.log, events.post)
        )
        self.downstream = DownstreamServer(
            DownstreamContext(
                limits, config.settings.classes, self.read_buffers, self.clock, self.log, events.post
            )
        )
        self.discovery = DiscoveryClient(config.coordinator, self.clock, self.log, events.post, config.seed)
        self.discovery.max_response_bytes = limits.memory.max_discovery_response
        self.shared_store = self._make_store(events)
        self.event_loop = self._make_event_loop(events)
        self.memory_monitor = MemoryMonitor(limits.memory.limit, self.log, self._give_way)

    def _make_store(self, events: EventQueue) -> StoreHost | None:
        """The shared store's host, if the operator wants one; otherwise nothing of it is even imported."""
        sharing = self._operator.sharing if self._operator is not None else None
        if sharing is None:
            return None
        from olivepost.shared_store.host import StoreHost

        return StoreHost(
            sharing,
            self.config.name,
            self.clock,
            self.log,
            lambda event: events.post(StoreEvent(event)),
        )

    def _make_event_loop(self, events: EventQueue) -> EventLoop:
        budget = self.config.limits.memory
        settings = replace(
            self.config.settings,
            max_names=budget.max_names,
            max_invalidations=budget.max_invalidations,
            max_order_bytes=budget.routes,
        )
        if self._operator is not None and self._operator.sharing is not None:
            settings = replace(settings, shared_store_timeout=self._operator.sharing.wait)
        resources = EventLoopResources(
            Router(settings, self.config.seed),
            self.clock,
            self.log,
            self.response_cache,
            self.config.transfer_bytes_per_s,
            self.upstream,
            self.shared_store,
        )
        return EventLoop(events, resources)

    def start(self) -> Address:
        """Applies the known endpoint list, then listens, so that no response precedes the list.

        Returns the address that is bound; raises `OSError` where it can't be.
        """
        start_thread(self.event_loop.run, "event-loop", START_TIMEOUT_S)
        if self.shared_store is not None:
            self.shared_store.start()
        self.discovery.start(self.config.known_events)
        # The decoded list is several times as large as what the endpoint tables make of it.
        self.config = replace(self.config, known_events=None)
        address = self.downstream.listen(self.config.listen)
        host, port = address
        self.log.event("started", version=__version__, listen=f"{host}:{port}")
        return address

    def run(self) -> None:
        """Serves until a signal asks for shutdown, then returns with nothing open."""
        metrics_due_at = self.clock.now() + METRICS_INTERVAL
        while self._wait_until(metrics_due_at) is not SignalRequest.SHUT_DOWN:
            if self.clock.now() >= metrics_due_at:
                self.log_metrics()
                metrics_due_at = self.clock.now() + METRICS_INTERVAL
        self.shut_down()

    def _wait_until(self, until: Instant) -> SignalRequest | None:
        """Waits for one signal until a time, and watches the memory; a reload is carried out here."""
        while True:
            now = self.clock.now()
            check_at = min(until, now + self.memory_monitor.interval)
            request = self._wait_for_signal(max(0, check_at - now))
            if request is SignalRequest.RELOAD:
                self._try(self.reload, "reload_error")
            self._try(self.memory_monitor.check, "memory_monitor_error")
            if request is not None or self.clock.now() >= until:
                return request

    def _try(self, step: Callable[[], None], error_event: str) -> None:
        """Carries out a step of the main thread, whose faults must not end a proxy that runs."""
        try:
            step()
        except Exception:  # whatever it is, what is pending is still owed
            self.log.exception(error_event)

    def _give_way(self, level: api.MemoryPressureLevel) -> None:
        """Has each owner of memory give way as the level asks for; called by the memory monitor."""
        self.event_loop.post(MemoryPressureReport(level))
        self.downstream.give_way(level)
        if level >= api.MemoryPressureLevel.EVICT_CACHE:
            self.body_buffers.trim()
            self.read_buffers.trim()

    def reload(self) -> None:
        """Reads the configuration again; a faulty one leaves everything as it was."""
        try:
            config = self._source.read_config()
            operator = self._source.read_operator_settings()
        except ConfigError as error:
            self.log.increment("reloads_failed")
            self.log.event("reload_failed", why=str(error))
            return
        has_moved = self.discovery.switch_coordinator(config.coordinator)
        host, port = config.coordinator
        self.log.event("reloaded", coordinator=f"{host}:{port}", moved=has_moved)
        keys = keys_needing_restart(self.config, config)
        if operator != self._operator:
            keys.append("operator")
        if keys:
            self.log.event("reload_needs_restart", keys=keys)

    def shut_down(self) -> None:
        """Responds to what is pending and to what still comes, and closes everything."""
        GracefulShutdown(self, self._wait_until).run()

    def log_metrics(self) -> None:
        """Logs one `metrics` event."""
        self._try(lambda: self.log.event("metrics", **collect_metrics(self)), "metrics_error")


def serve(
    config: ProxyConfig,
    signals: SignalListener,
    source: ConfigurationSource,
    operator: OperatorSettings | None,
) -> int:
    """Runs a proxy until SIGTERM or SIGINT; SIGHUP reloads its configuration. Returns the exit code."""
    threading.stack_size(config.limits.stack_bytes)
    try:
        proxy = ProxyServer(config, STDOUT, operator, source, signals.wait)
        proxy.start()
    except OSError as error:
        host, port = config.listen
        print(f"olivepost: can't listen on {host}:{port}: {error.strerror}", file=sys.stderr)
        return 1
    except RuntimeError as error:
        print(f"olivepost: can't start: {error}", file=sys.stderr)
        return 1
    del config  # with the decoded list of the start, which `ProxyServer.start` has dropped
    gc.collect()
    gc.set_threshold(GC_THRESHOLD, GC_GENERATION_THRESHOLD, GC_GENERATION_THRESHOLD)
    gc.freeze()
    proxy.run()
    return 0
