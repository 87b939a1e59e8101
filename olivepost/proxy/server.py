"""Wires the parts of one front together, runs it, and ends it on a signal."""

from __future__ import annotations

import gc
import os
import select
import signal
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from olivepost import __version__
from olivepost.config import MILLISECOND, SECOND, ConfigError, ProxyConfig, keys_needing_restart
from olivepost.proxy import invariants
from olivepost.proxy.buffers import BufferPool
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.client import DiscoveryClient
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.listener import ACCEPT_STOP_TIMEOUT_S, DownstreamServer
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.event_loop import EventLoop, ShutdownDeadline, StopEventLoop, StoreEvent
from olivepost.proxy.response_cache import ResponseCache
from olivepost.proxy.upstream.pool import UpstreamPool, UpstreamResources
from olivepost.router import Router

if TYPE_CHECKING:
    from olivepost.operator_config.model import OperatorSettings
    from olivepost.shared_store.host import StoreHost

FIGURES_EVERY = 10 * SECOND
TERM_ACCEPTS = (
    700 * MILLISECOND
)  # after SIGTERM for which clients still come, and a busy front has to read it
TERM_LINGERS = 1.0  # seconds that clients have to end their connections after their last answer
# After SIGTERM the platform waits for the longest deadline, 3 s at most, and for as long as clients may still
# come before it kills. All that is held gets its final answer so long before that, and then the front ends.
TERM_LONGEST, TERM_SPARE, TERM_EXIT = 3 * SECOND, 250 * MILLISECOND, 100 * MILLISECOND
# Seconds that a thread may keep the interpreter while others wait. A tenth of it made a full core change
# threads all the time, a fifth of its work; hurts where a thread computes for long, which none here does.
SWITCH = 0.005
# Objects made, more than freed, between two looks for cycles: requests make hardly any, and the default of
# 700 looks after every few dozen of them. Hurts where cycles hold much memory: none here does.
GC_EVERY = 20_000


class Signals:
    """Signals, told at once to the thread that waits.

    The system hands a signal to any thread of the process, and one that comes behind another mostly not to
    the main thread, which then sleeps on; a byte in a pipe wakes it all the same.
    """

    def __init__(self) -> None:
        self._read, write = os.pipe()
        os.set_blocking(self._read, False)
        os.set_blocking(write, False)
        signal.set_wakeup_fd(write, warn_on_full_buffer=False)
        self._told: set[str] = set()
        for number, told in ((signal.SIGHUP, "reload"), (signal.SIGTERM, "end"), (signal.SIGINT, "end")):
            signal.signal(number, lambda *_, told=told: self._told.add(told))

    def wait(self, span: int) -> str:
        """The next signal, by name; empty where none comes in time."""
        until = time.monotonic_ns() + span
        while not self._told and (left := until - time.monotonic_ns()) > 0:
            if select.select([self._read], [], [], left / SECOND)[0]:
                os.read(self._read, 4_096)
        return self._told.pop() if self._told else ""


class ProxyServer:
    """One front."""

    def __init__(
        self,
        config: ProxyConfig,
        log_to: int = 1,
        signals: Callable[[int], str] | None = None,
        read_again: Callable[[], ProxyConfig] | None = None,
        operator: OperatorSettings | None = None,
        operator_again: Callable[[], OperatorSettings | None] | None = None,
    ) -> None:
        self.config, bounds = config, config.limits
        self._operator, self._operator_again = operator, operator_again or (lambda: operator)
        self._signals, self._read_again = signals or _none, read_again or (lambda: config)
        self.clock = Clock()
        self.log = EventLog(self.clock, config.name, bounds.max_log_lines, log_to)
        self.body_buffers = BufferPool(bounds.body_buffers, bounds.buffer_size)
        self.read_buffers = BufferPool(bounds.read_buffers, bounds.buffer_size)  # to read into
        self.response_cache = ResponseCache(bounds.cache_buffers)
        sharing = operator.sharing if operator else None
        settings = replace(config.settings, shared_store_timeout=sharing.wait) if sharing else config.settings
        router = Router(settings, config.seed)
        self.event_loop = EventLoop(
            router, self.clock, self.log, self.response_cache, config.transfer_bytes_per_s
        )
        self.upstream = UpstreamPool(
            UpstreamResources(
                bounds, self.body_buffers, self.read_buffers, self.clock, self.log, self.event_loop.post
            )
        )
        self.event_loop.attach_upstream(self.upstream)
        self.downstream = DownstreamServer(
            DownstreamContext(
                bounds, config.settings.classes, self.read_buffers, self.clock, self.log, self.event_loop.post
            )
        )
        self.discovery = DiscoveryClient(
            config.coordinator, self.clock, self.log, self.event_loop.post, config.seed
        )
        self.shared_store: StoreHost | None = None
        if sharing:  # what is off is not even imported
            from olivepost.shared_store.host import StoreHost

            self.shared_store = StoreHost(
                sharing,
                config.name,
                self.clock,
                self.log,
                lambda event: self.event_loop.post(StoreEvent(event)),
            )
            self.event_loop.attach_shared_store(self.shared_store)

    def start(self) -> tuple[str, int]:
        """Applies the list that is known, then opens the listener, so that no answer precedes the list."""
        threading.Thread(target=self.event_loop.run, name="engine", daemon=True).start()
        if self.shared_store:
            self.shared_store.start()
        self.discovery.start(self.config.known_events)
        address = self.downstream.listen(self.config.listen)
        self.log.event("started", version=__version__, listen=f"{address[0]}:{address[1]}")
        return address

    def run(self) -> None:
        """Serves until a signal, then ends with nothing open."""
        due = self.clock.now() + FIGURES_EVERY
        while self._hear(due) != "end":
            if self.clock.now() >= due:
                self.log_metrics()
                due += FIGURES_EVERY
        self.finish()

    def _hear(self, until: int) -> str:
        """Waits for a signal at most so long; one that asks to read the configuration again is done here."""
        told = self._signals(max(0, until - self.clock.now()))
        if told == "reload":
            try:
                self.reload()
            except Exception:  # no configuration may end a front that runs
                self.log.exception("reload_fault")
        return told

    def reload(self) -> None:
        """Reads the configuration again; a faulty one leaves all as it was."""
        try:
            config, operator = self._read_again(), self._operator_again()
        except ConfigError as fault:
            self.log.increment("reloads_failed")
            self.log.event("reload_failed", why=str(fault))
            return
        moved = self.discovery.switch_coordinator(config.coordinator)
        fixed = keys_needing_restart(self.config, config) + ["operator"] * (operator != self._operator)
        host, port = config.coordinator
        self.log.event("reloaded", coordinator=f"{host}:{port}", moved=moved)
        if fixed:
            self.log.event("reload_needs_restart", keys=fixed)

    def finish(self) -> None:
        """Goes on taking what still comes after SIGTERM, answers all of it, and closes."""
        began = self.clock.now()
        self.log.event("draining", open=self.event_loop.pending_count, connections=self.downstream.open_count)
        longest = max(spec.deadline for spec in self.config.settings.classes.values())
        killed = began + min(longest, TERM_LONGEST) + TERM_ACCEPTS
        self.downstream.drain()
        self.event_loop.post(ShutdownDeadline(killed - TERM_SPARE))
        while self.clock.now() < began + TERM_ACCEPTS:
            self._hear(began + TERM_ACCEPTS)
        self.downstream.close_idle()
        until, lingers = killed - TERM_EXIT, TERM_LINGERS
        self.downstream.stop_accepting(min(ACCEPT_STOP_TIMEOUT_S, max(0, until - self.clock.now()) / SECOND))
        while self.clock.now() < until and self.downstream.open_count and lingers > 0:
            lingers = TERM_LINGERS if self.downstream.has_pending_responses else lingers - 0.01
            self._hear(self.clock.now() + 10 * MILLISECOND)
        self.discovery.stop()
        if self.shared_store:
            self.shared_store.close()
        self.downstream.stop_watching()
        self.log_metrics()
        self.log.event("ended", open=self.event_loop.pending_count, connections=self.downstream.open_count)
        self.event_loop.post(StopEventLoop())
        self.log.close()

    def log_metrics(self) -> None:
        """One line on how the front is doing."""
        delays = self.event_loop.take_queue_delays()
        count = len(delays)
        shares = {"p50": count // 2, "p95": count * 95 // 100, "p99": count * 99 // 100, "most": count - 1}
        self.log.event(
            "figures",
            open=self.event_loop.pending_count,
            connections=self.downstream.open_count,
            most_connections=self.downstream.peak_count,
            events=count,
            engine_delay_ms={name: delays[at] / MILLISECOND for name, at in shares.items()} if count else {},
            cpu_s=[round(span, 1) for span in os.times()[:2]],  # the front's own code, the system's
            descriptors=_descriptors(),
            **_process(),
            buffers=self.body_buffers.in_use,
            most_buffers=self.body_buffers.peak,
            readers=self.read_buffers.in_use,
            copies=len(self.response_cache),
            broken=invariants.violations(),
            counts=self.log.counters(),
            **({"sharing": self.shared_store.metrics()} if self.shared_store else {}),
        )


def _none(span: int) -> str:
    """No signal comes."""
    threading.Event().wait(span / SECOND)
    return ""


def _descriptors() -> int:
    """Open descriptors; -1 where the system does not tell."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return -1


def _process() -> dict[str, int]:
    """Threads, memory held now and at most so far, in KB; nothing where the system does not tell."""
    names = {"VmRSS:": "memory_kb", "VmHWM:": "most_memory_kb", "Threads:": "threads"}
    try:
        lines = [line.split() for line in Path("/proc/self/status").read_text().splitlines()]
    except OSError:
        return {}
    return {names[words[0]]: int(words[1]) for words in lines if words and words[0] in names}


def serve(
    config: ProxyConfig,
    read_again: Callable[[], ProxyConfig],
    operator: OperatorSettings | None = None,
    operator_again: Callable[[], OperatorSettings | None] | None = None,
) -> int:
    """Runs a front until SIGTERM or SIGINT; SIGHUP has it read its configuration again. The exit code."""
    threading.stack_size(config.limits.stack_size)
    sys.setswitchinterval(SWITCH)
    front = ProxyServer(
        config,
        signals=Signals().wait,
        read_again=read_again,
        operator=operator,
        operator_again=operator_again,
    )
    try:
        front.start()
    except OSError as fault:
        host, port = config.listen
        print(f"olivepost: can't listen on {host}:{port}: {fault.strerror}", file=sys.stderr)
        return 1
    gc.collect()
    gc.set_threshold(GC_EVERY, 20, 20)
    gc.freeze()
    front.run()
    return 0
