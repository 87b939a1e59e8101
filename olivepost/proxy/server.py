"""One proxy: starts it, runs it on the main thread until a signal ends it, and reloads its configuration."""

from __future__ import annotations

import faulthandler
import gc
import signal
import sys
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from olivepost import __version__
from olivepost.config import Address, ConfigError, ProxyConfig, keys_needing_restart
from olivepost.proxy.metrics import collect_metrics
from olivepost.proxy.shutdown import GracefulShutdown
from olivepost.proxy.signals import SignalListener, SignalRequest, WaitForSignal, wait_without_signals
from olivepost.proxy.stall_watch import StallWatch, ThreadActivity
from olivepost.proxy.threads import START_TIMEOUT_S, start_thread
from olivepost.proxy.wiring import build_parts
from olivepost.units import SECOND, Duration, Instant

if TYPE_CHECKING:  # the operator's configuration is imported only where there is one
    from olivepost.operator_config.model import OperatorSettings

METRICS_INTERVAL: Duration = 10 * SECOND
STDOUT = 1
EXIT_OK = 0
EXIT_CANNOT_START = 1
# Objects allocated and not freed before the collector looks for cycles; requests make hardly any cycles.
GC_THRESHOLD = 20_000
# Collections of one generation before the next older one is collected.
GC_GENERATION_THRESHOLD = 20


@dataclass(frozen=True, slots=True)
class ConfigurationSource:
    """Reads the configuration again on SIGHUP; both raise `ConfigError` where it is invalid."""

    read_config: Callable[[], ProxyConfig]
    read_operator_settings: Callable[[], OperatorSettings | None]


class ProxyServer:
    """One proxy. The thread that makes it, a process's main thread, starts it, runs it and shuts it down."""

    def __init__(
        self,
        config: ProxyConfig,
        log_descriptor: int = STDOUT,
        operator: OperatorSettings | None = None,
        source: ConfigurationSource | None = None,
        wait_for_signal: WaitForSignal = wait_without_signals,
    ) -> None:
        self.parts = build_parts(config, operator, log_descriptor)
        self._known_events = config.known_events  # dropped at the start
        self._operator = operator
        self._source = source or ConfigurationSource(lambda: config, lambda: operator)
        self._wait_for_signal = wait_for_signal
        self._is_reload_due = False  # again: the last one had no thread for discovery
        # From then on nothing depends on a coordinator, and reading a file could take until the kill; None:
        # there is no shutdown.
        self._reloads_until: Instant | None = None
        self._activity = ThreadActivity("main")
        stall_watch = StallWatch(
            self.parts.clock, self.parts.log, (self._activity, self.parts.event_loop.activity)
        )
        self.parts.downstream.on_deadline_check = stall_watch.check

    def start(self) -> Address:
        """Applies the known endpoint list, then listens, so that no response precedes the list.

        Returns the address that is bound; raises `OSError` where it can't be, and `RuntimeError` where the
        system has no thread for a part.
        """
        parts = self.parts
        start_thread(parts.event_loop.run, "event-loop", START_TIMEOUT_S)
        if parts.shared_store is not None:
            parts.shared_store.start()
        parts.discovery.start(self._known_events)
        # The decoded list is several times as large as what the endpoint tables make of it.
        self._known_events = None
        address = parts.downstream.listen(parts.config.listen)
        host, port = address
        parts.log.event("started", version=__version__, listen=f"{host}:{port}")
        return address

    def run(self) -> None:
        """Serves until a signal asks for shutdown, then returns with nothing open."""
        clock = self.parts.clock
        metrics_due_at = clock.now() + METRICS_INTERVAL
        while self._wait_until(metrics_due_at) is not SignalRequest.SHUT_DOWN:
            if clock.now() >= metrics_due_at:
                self._log_metrics()
                metrics_due_at = clock.now() + METRICS_INTERVAL
        self.shut_down()

    def shut_down(self) -> None:
        """Responds to pending requests and to those that still arrive, and closes everything."""
        shutdown = GracefulShutdown(self.parts, self._wait_until, self._log_metrics)
        self._reloads_until = shutdown.respond_by
        shutdown.run()

    def reload(self) -> None:
        """Reads the configuration again; an invalid one changes nothing.

        Where the system has no thread for discovery, it is repeated at the next check of the memory.
        """
        log = self.parts.log
        self._is_reload_due = False
        try:
            config = self._source.read_config()
            operator = self._source.read_operator_settings()
        except ConfigError as error:
            log.increment("reloads_failed")
            log.event("reload_failed", why=str(error))
            return
        try:
            has_moved = self.parts.discovery.switch_coordinator(config.coordinator)
        except RuntimeError:
            log.increment("threads_short")
            self._is_reload_due = True
            return
        host, port = config.coordinator
        log.event("reloaded", coordinator=f"{host}:{port}", moved=has_moved)
        keys = keys_needing_restart(self.parts.config, config)
        if operator != self._operator:
            keys.append("operator")
        if keys:
            log.event("reload_needs_restart", keys=keys)

    def _wait_until(self, until: Instant) -> SignalRequest | None:
        """Waits for one signal until an instant; meanwhile watches the memory and carries out reloads."""
        clock = self.parts.clock
        monitor = self.parts.memory_monitor
        while True:
            now = clock.now()
            check_at = min(until, now + monitor.interval)
            self._activity.end_step()
            request = self._wait_for_signal(max(0, check_at - now))
            self._activity.begin_step(clock.now())
            is_reload_asked = request is SignalRequest.RELOAD or self._is_reload_due
            if is_reload_asked and (self._reloads_until is None or clock.now() < self._reloads_until):
                self._run_guarded(self.reload, "reload_error")
            self._run_guarded(monitor.check, "memory_monitor_error")
            if request is not None or clock.now() >= until:
                return request

    def _log_metrics(self) -> None:
        """Logs one `metrics` event."""
        log = self.parts.log
        self._run_guarded(lambda: log.event("metrics", **collect_metrics(self.parts)), "metrics_error")

    def _run_guarded(self, step: Callable[[], None], error_event: str) -> None:
        """Carries out a step of the main thread, and logs what it raises."""
        try:
            step()
        except Exception:  # the main thread's top: its end would leave all pending requests unanswered
            self.parts.log.exception(error_event)


def serve(
    config: ProxyConfig,
    signals: SignalListener,
    source: ConfigurationSource,
    operator: OperatorSettings | None,
) -> int:
    """Runs a proxy until SIGTERM or SIGINT; SIGHUP reloads its configuration. Returns the exit code."""
    register_thread_dump()
    threading.stack_size(config.limits.stack_bytes)
    try:
        proxy = ProxyServer(config, STDOUT, operator, source, signals.wait)
        proxy.start()
    except OSError as error:
        host, port = config.listen
        print(f"olivepost: can't listen on {host}:{port}: {error.strerror}", file=sys.stderr)
        return EXIT_CANNOT_START
    except RuntimeError as error:
        print(f"olivepost: can't start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    del config  # with the known events, which `ProxyServer.start` has dropped as well
    _tune_garbage_collection()
    proxy.run()
    return EXIT_OK


def register_thread_dump() -> None:
    """Has SIGUSR1 write to standard error where each thread is; without standard error it has no effect."""
    try:
        faulthandler.register(signal.SIGUSR1)
    except (RuntimeError, OSError, ValueError):
        signal.signal(signal.SIGUSR1, signal.SIG_IGN)  # else it would end the process


def _tune_garbage_collection() -> None:
    """Collects the garbage of the start, excludes surviving objects from collection, and makes it rarer."""
    gc.collect()
    gc.set_threshold(GC_THRESHOLD, GC_GENERATION_THRESHOLD, GC_GENERATION_THRESHOLD)
    gc.freeze()
