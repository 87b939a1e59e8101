"""One soak: a real proxy among seeded faults, and an oracle that finds violated invariants.

    python -m tests.soak.run SEED [SEED...]

plays seeds alone and prints what was violated, if anything was.
"""

from __future__ import annotations

import random
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

from tests.soak.clients import SoakClients
from tests.soak.environment import SoakEnvironment
from tests.soak.fault_injector import FaultInjector
from tests.soak.options import MAX_SOCKETS, NON_IDEMPOTENT_CLASS, SoakOptions, soak_config
from tests.soak.oracle import Oracle
from tests.soak.proxy_process import KILOBYTE, ProxyProcess

PLAY_S = 8.0
KILL_AFTER_S = 3.0 + 0.7  # after SIGTERM, at the earliest: the longest deadline, and the platform's margin
KILL_MARGIN_S = 0.04  # before that, for the test to see the end
SIGNAL_INTERVAL_S = 0.01
SAMPLE_INTERVAL_S = 0.05
MAX_SAMPLE_GAP_S = 0.15
MAX_START_S = 6.0
PRINTED_FINDINGS = 8
PRINTED_CHARACTERS = 3_000


class SoakRun:
    """One run of a seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self._random_source = random.Random(seed)
        self.options = SoakOptions.sample(self._random_source)
        self._seed = seed
        self._folder = folder
        self._oracle = Oracle(NON_IDEMPOTENT_CLASS)
        self._environment = SoakEnvironment(seed, self._oracle)
        self._proxy = self._start_proxy("127.0.0.1:0")
        self._is_over = threading.Event()

    def play(self) -> list[str]:
        """Plays the run; returns what was violated."""
        sampler = threading.Thread(target=self._sample_resources, daemon=True)
        sampler.start()
        clients = SoakClients(self._proxy.address, self._oracle, self._seed)
        clients.start(regular=8, disconnecting=3, misbehaving=3)
        if self.options.has_idle_clients:
            clients.open_idle_connections()
        try:
            self._inject_faults()
            self._terminate()
        finally:
            clients.stop()
            self._is_over.set()
            sampler.join()
            self._proxy.close()
            self._environment.close()
        return self._findings()

    def _start_proxy(self, listen: str) -> ProxyProcess:
        began_at = time.monotonic()
        config = soak_config(self._environment, self.options.memory_mb, listen)
        variables = self.options.variables(self._seed)
        proxy = ProxyProcess(config, self._folder, variables, preload="tests.soak.faulty_calls")
        proxy.wait_until_ready()
        start_s = time.monotonic() - began_at
        if start_s > MAX_START_S:
            self._oracle.record_fault(f"the proxy took {start_s:.1f} s to start")
        return proxy

    def _inject_faults(self) -> None:
        injector = FaultInjector(
            self._random_source, self._environment, self._oracle, proxy=lambda: self._proxy
        )
        end_at = time.monotonic() + PLAY_S
        kill_at = end_at - PLAY_S / 2 if self.options.is_killed else float("inf")
        while time.monotonic() < end_at:
            injector.inject_next()
            if time.monotonic() > kill_at:
                kill_at = float("inf")
                self._kill_and_restart()

    def _kill_and_restart(self) -> None:
        host, port = self._proxy.address
        self._oracle.killed_at.append(time.monotonic())
        self._proxy.close()
        self._proxy = self._start_proxy(f"{host}:{port}")

    def _terminate(self) -> None:
        """Sends SIGTERM, twice and with SIGHUP; clients go on until the process has ended or is killed."""
        self._oracle.terminated_at = time.monotonic()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            self._proxy.signal(number)
            time.sleep(SIGNAL_INTERVAL_S)
        code = self._proxy.wait(KILL_AFTER_S - KILL_MARGIN_S)
        if code is None:
            self._oracle.killed_at.append(time.monotonic())
            self._oracle.record_fault(f"the proxy still ran {KILL_AFTER_S} s after SIGTERM")
        elif code != 0:
            self._oracle.record_fault(f"the proxy ended with code {code}: {self._proxy.errors}")

    def _sample_resources(self) -> None:
        """Watches memory and descriptors of the process that runs; stops at the first excess."""
        last_at = time.monotonic()
        while not self._is_over.wait(SAMPLE_INTERVAL_S):
            now = time.monotonic()
            if now - last_at > MAX_SAMPLE_GAP_S:  # this process itself was held up
                self._oracle.pauses.append((last_at, now))
            last_at = now
            peak_kb = self._proxy.status_kb("VmHWM")
            if peak_kb > self.options.memory_mb * KILOBYTE:
                self._oracle.record_fault(f"{peak_kb} KB of {self.options.memory_mb} MB")
                return
            if self._proxy.descriptor_count() > MAX_SOCKETS:
                self._oracle.record_fault("more descriptors than allowed")
                return

    def _findings(self) -> list[str]:
        found = self._oracle.violations()
        request_ids = [line.split()[1].rstrip(":") for line in found if line.startswith("request ")]
        events = self._proxy.events
        found += [f"log: {event}" for event in events if event.get("request") in request_ids]
        if found and self._proxy.named_events("metrics"):
            found.append(f"log: {self._proxy.named_events('metrics')[-1]['counters']}")
        for event in events:
            if event["event"].endswith("_error"):
                found.append(f"log: {event}")
            if event["event"] in ("metrics", "stopped") and event.get("invariant_violations"):
                found.append(f"log: {event['invariant_violations']}")
        return found


def play(seed: int) -> list[str]:
    """Plays one seed; returns what was violated, with the options of the seed in front."""
    with tempfile.TemporaryDirectory() as folder:
        run = SoakRun(seed, Path(folder))
        found = run.play()
    return [f"{run.options}", *found] if found else []


def main(seeds: list[int]) -> int:
    """Plays seeds one after another; 1 where any of them violated an invariant."""
    failed = 0
    for seed in seeds:
        found = play(seed)
        if found:
            failed += 1
        print(f"seed {seed}: {len(found) or 'kept'}", flush=True)
        for line in found[:PRINTED_FINDINGS]:
            print(f"    {line[:PRINTED_CHARACTERS]}", flush=True)
    print(f"{len(seeds)} seeds, {failed} violated an invariant")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main([int(argument) for argument in sys.argv[1:]]))
