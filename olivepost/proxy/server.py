"""The proxy server: its start, its run on the main thread until a signal, and configuration reloads."""

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

if TYPE_CHECKING:  # the operator's configuration is imported only if there is one
    from olivepost.operator_config.model import OperatorSettings

METRICS_INTERVAL: Duration = 10 * SECOND
STDOUT = 1
EXIT_OK = 0
EXIT_CANNOT_START = 1
# The garbage collector searches for reference cycles when, since its last search, the number of allocated
# objects exceeds the number of freed objects by this number. The number is high, because requests create
# hardly any cycles.
GC_THRESHOLD = 20_000
# The garbage collector groups objects by age into generations. This is the number of collections of one
# generation after which the next older generation is collected as well.
GC_GENERATION_THRESHOLD = 20


@dataclass(frozen=True, slots=True)
class ConfigurationSource:
    """Functions that read the configuration again on SIGHUP.

    Both functions raise `ConfigError` if the configuration is invalid.
    """

    read_config: Callable[[], ProxyConfig]
    read_operator_settings: Callable[[], OperatorSettings | None]


class ProxyServer:
    """One proxy. The main thread of a process creates it, starts it, runs it and shuts it down."""

    def __init__(
        self,
        config: ProxyConfig,
        log_descriptor: int = STDOUT,
        operator: OperatorSettings | None = None,
        source: ConfigurationSource | None = None,
        wait_for_signal: WaitForSignal = wait_without_signals,
    ) -> None:
        self.parts = build_parts(config, operator, log_descriptor)
        # Events of service discovery in the configuration, or None. `start` applies and then drops them.
        self._known_events = config.known_events
        self._operator = operator
        self._source = source or ConfigurationSource(lambda: config, lambda: operator)
        self._wait_for_signal = wait_for_signal
        # Whether the last reload has to be repeated, because no thread could be started for discovery.
        self._is_reload_due = False
        # Time from which reloads are ignored; None if no shutdown has begun. Reloads are ignored late in a
        # shutdown for two reasons: the proxy no longer depends on a coordinator then, and the read of the
        # configuration file could last until the platform kills the process.
        self._reloads_until: Instant | None = None
        self._activity = ThreadActivity("main")
        stall_watch = StallWatch(
            self.parts.clock, self.parts.log, (self._activity, self.parts.event_loop.activity)
        )
        self.parts.downstream.on_deadline_check = stall_watch.check

    def start(self) -> Address:
        """Starts the parts, applies the endpoint list in the configuration and then listens.

        The list is applied first, so that no request is answered without it. Returns the address to which the
        listener is bound. Raises `OSError` if the address cannot be bound, and `RuntimeError` if the system
        cannot start a thread that a part needs.
        """
        parts = self.parts
        start_thread(parts.event_loop.run, "event-loop", START_TIMEOUT_S)
        if parts.shared_store is not None:
            parts.shared_store.start()
        parts.discovery.start(self._known_events)
        # The decoded endpoint list is dropped, because it takes several times as much memory as the endpoint
        # tables that are built from it.
        self._known_events = None
        address = parts.downstream.listen(parts.config.listen)
        host, port = address
        parts.log.event("started", version=__version__, listen=f"{host}:{port}")
        return address

    def run(self) -> None:
        """Serves until a signal requests shutdown; returns after the shutdown."""
        clock = self.parts.clock
        metrics_due_at = clock.now() + METRICS_INTERVAL
        while self._wait_until(metrics_due_at) is not SignalRequest.SHUT_DOWN:
            if clock.now() >= metrics_due_at:
                self._log_metrics()
                metrics_due_at = clock.now() + METRICS_INTERVAL
        self.shut_down()

    def shut_down(self) -> None:
        """Shuts the proxy down.

        Responds to pending requests and to requests that still arrive. Then closes the connections and stops
        all parts.
        """
        shutdown = GracefulShutdown(self.parts, self._wait_until, self._log_metrics)
        self._reloads_until = shutdown.respond_by
        shutdown.run()

    def reload(self) -> None:
        """Reads the configuration again; an invalid configuration changes nothing.

        If the system cannot start a thread for discovery, the reload is repeated at the next check of the
        memory.
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
        """Waits for one signal and returns what it requests from the proxy.

        Returns None at the time `until` if no signal is received. Checks the memory and carries out reloads
        during the wait.
        """
        clock = self.parts.clock
        monitor = self.parts.memory_monitor
        while True:
            now = clock.now()
            check_at = min(until, now + monitor.interval)
            self._activity.end_step()
            request = self._wait_for_signal(max(0, check_at - now))
            self._activity.begin_step(clock.now())
            is_reload_requested = request is SignalRequest.RELOAD or self._is_reload_due
            if is_reload_requested and (self._reloads_until is None or clock.now() < self._reloads_until):
                self._run_guarded(self.reload, "reload_error")
            self._run_guarded(monitor.check, "memory_monitor_error")
            if request is not None or clock.now() >= until:
                return request

    def _log_metrics(self) -> None:
        """Logs one `metrics` event."""
        log = self.parts.log
        self._run_guarded(lambda: log.event("metrics", **collect_metrics(self.parts)), "metrics_error")

    def _run_guarded(self, step: Callable[[], None], error_event: str) -> None:
        """Calls the function `step`; if it raises an exception, logs that as the event `error_event`."""
        try:
            step()
        except Exception:  # if the main thread ended, all pending requests would stay unanswered
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
    # This frees the memory of `config.known_events`, because `ProxyServer.start` has dropped its reference to
    # these events, which are the endpoint list and other events of service discovery.
    del config
    _tune_garbage_collection()
    proxy.run()
    return EXIT_OK


def register_thread_dump() -> None:
    """Makes SIGUSR1 write the stacks of all threads to standard error.

    The signal has no effect if the process has no standard error.
    """
    try:
        faulthandler.register(signal.SIGUSR1)
    except (RuntimeError, OSError, ValueError):
        signal.signal(signal.SIGUSR1, signal.SIG_IGN)  # the signal's default action would end the process


def _tune_garbage_collection() -> None:
    """Frees the unreachable objects that the start has left, and reduces the work of later collections.

    Collections become rarer, and they no longer examine the objects that exist now.
    """
    gc.collect()
    gc.set_threshold(GC_THRESHOLD, GC_GENERATION_THRESHOLD, GC_GENERATION_THRESHOLD)
    gc.freeze()
