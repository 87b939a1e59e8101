"""Wires the parts of one front together, runs it, and ends it on a signal."""

from __future__ import annotations

import gc
import os
import signal
import sys
import threading
from pathlib import Path

from olivepost import __version__
from olivepost.choice import Router
from olivepost.config import MS, SECOND, Config
from olivepost.net import invariants
from olivepost.net.buffers import Pool
from olivepost.net.clients import Clients
from olivepost.net.clock import Clock
from olivepost.net.copies import Copies
from olivepost.net.engine import Engine, Stop
from olivepost.net.log import Log
from olivepost.net.registry import Registry
from olivepost.net.servers import Servers, Tools

FIGURES_EVERY = 10.0  # seconds
TERM_ACCEPTS = 0.65  # seconds after SIGTERM for which clients still come
TERM_LINGERS = 1.0  # seconds that clients have to end their connections after their last answer
# Seconds that a thread may keep the interpreter while others wait. A tenth of it made a full core change
# threads all the time, a fifth of its work; hurts where a thread computes for long, which none here does.
SWITCH = 0.005


class Front:
    """One front."""

    def __init__(self, config: Config, log_to: int = 1) -> None:
        self.config, bounds = config, config.bounds
        self.clock = Clock()
        self.log = Log(self.clock, config.name, bounds.log_lines, log_to)
        self.pool = Pool(bounds.buffers, bounds.buffer_size)
        self.copies = Copies(bounds.copies)
        router = Router(config.settings, config.seed)
        self.engine = Engine(router, self.clock, self.log, self.copies, config.flow)
        self.servers = Servers(Tools(bounds, self.pool, self.clock, self.log, self.engine.post))
        self.engine.join_servers(self.servers)
        self.clients = Clients(
            bounds, config.settings.classes, self.pool, self.clock, self.log, self.engine.post
        )
        self.registry = Registry(config.coordinator, self.clock, self.log, self.engine.post, config.seed)
        self.ending = threading.Event()

    def start(self) -> tuple[str, int]:
        """Applies the list that is known, then opens the listener, so that no answer precedes the list."""
        threading.Thread(target=self.engine.run, name="engine", daemon=True).start()
        self.registry.start(self.config.known)
        address = self.clients.listen(self.config.listen)
        self.log.event("started", version=__version__, listen=f"{address[0]}:{address[1]}")
        return address

    def run(self) -> None:
        """Serves until a signal, then ends with nothing open."""
        while not self.ending.wait(FIGURES_EVERY):
            self.figures()
        self.finish()

    def finish(self) -> None:
        """Goes on taking what still comes after SIGTERM, answers all of it, and closes."""
        began = self.clock.now()
        self.log.event("draining", open=self.engine.open, connections=self.clients.open)
        self.clients.drain()
        rest = threading.Event()
        rest.wait(TERM_ACCEPTS)
        self.clients.close_idle()
        self.clients.stop()
        longest = max(spec.deadline for spec in self.config.settings.classes.values())
        until, lingers = began + longest + SECOND, TERM_LINGERS
        while self.clock.now() < until and (self.engine.open or (self.clients.open and lingers > 0)):
            lingers -= 0 if self.engine.open else 0.01
            rest.wait(0.01)
        self.registry.stop()
        self.figures()
        self.log.event("ended", open=self.engine.open, connections=self.clients.open)
        self.engine.post(Stop())
        self.log.close()

    def figures(self) -> None:
        """One line on how the front is doing."""
        delays = self.engine.delays()
        count = len(delays)
        shares = {"p50": count // 2, "p95": count * 95 // 100, "p99": count * 99 // 100, "most": count - 1}
        self.log.event(
            "figures", open=self.engine.open,
            connections=self.clients.open, most_connections=self.clients.peak,
            events=count,
            engine_delay_ms={name: delays[at] / MS for name, at in shares.items()} if count else {},
            cpu_s=[round(span, 1) for span in os.times()[:2]],  # the front's own code, the system's
            threads=threading.active_count(), descriptors=_descriptors(), memory_kb=_memory_kb(),
            buffers=self.pool.out, most_buffers=self.pool.peak,
            copies=len(self.copies), broken=invariants.broken(),
            counts=self.log.totals(),
        )


def _descriptors() -> int:
    """Open descriptors; -1 where the system does not tell."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return -1


def _memory_kb() -> int:
    """The most memory held so far, in KB; -1 where the system does not tell."""
    try:
        lines = Path("/proc/self/status").read_text().splitlines()
    except OSError:
        return -1
    return next((int(line.split()[1]) for line in lines if line.startswith("VmHWM:")), -1)


def serve(config: Config) -> int:
    """Runs a front until SIGTERM or SIGINT; returns the exit code."""
    threading.stack_size(config.bounds.stack_size)
    sys.setswitchinterval(SWITCH)
    front = Front(config)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: front.ending.set())
    try:
        front.start()
    except OSError as fault:
        host, port = config.listen
        print(f"olivepost: can't listen on {host}:{port}: {fault.strerror}", file=sys.stderr)
        return 1
    gc.collect()
    gc.freeze()
    front.run()
    return 0
