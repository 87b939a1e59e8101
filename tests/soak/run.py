"""One soak: a real proxy process, faults that a seed chooses, and an oracle that finds violated invariants.

    python -m tests.soak.run SEED [SEED...]

runs the seeds one after another and prints the first violations of each seed.
"""

from __future__ import annotations

import random
import signal
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from olivepost.config import read_config
from tests.soak.clients import NAMES, SoakClients
from tests.soak.environment import SoakEnvironment
from tests.soak.fault_injector import FaultInjector
from tests.soak.load_process import LoadOptions, LoadProcess, LoadRequest
from tests.soak.options import (
    RETRYING_CLIENTS,
    SHUTDOWN_SIGNALS,
    WRITE_CLASS,
    PressureOptions,
    SoakOptions,
    key_window_s,
    soak_config,
)
from tests.soak.oracle import ClientRequest, Oracle, Outcome
from tests.soak.proxy_process import KILOBYTE, ProxyProcess
from tests.soak.unresponsive_store import UnresponsiveStores

ANY_PORT = "127.0.0.1:0"  # the system chooses the port
FAULT_PHASE_S = 8.0  # time for which faults are injected before SIGTERM
# Earliest time after SIGTERM at which the platform kills a process: the longest deadline plus a margin.
KILL_AFTER_S = 3.0 + 0.7
# The proxy must have ended this long before `KILL_AFTER_S`, so that the test sees the end in time.
KILL_MARGIN_S = 0.04
SIGNAL_INTERVAL_S = 0.01
IDLE_CLIENTS_BEFORE_SIGTERM = 100  # idle connections that are opened just before SIGTERM
# If the proxy still runs this long before `KILL_AFTER_S`, the run has it write its main thread's stack.
STACK_BEFORE_KILL_S = 0.5
LOG_STALL_BEFORE_SIGTERM_S = 1.0
CROWD_THINK_TIME_S = 0.05
CROWD_TIMEOUT_MS = 2_500
# Added to the run's seed to get the seed of the crowd, which is a load from a separate process. The crowd's
# request ids then differ from those of the clients in the run's own process.
CROWD_SEED_SHIFT = 1_000_000
SAMPLE_INTERVAL_S = 0.05  # interval at which memory and descriptors are sampled
MAX_SAMPLE_GAP_S = 0.15  # a longer time between two samples is recorded as a pause of the test
MAX_START_S = 6.0  # longest time that the proxy may take to start
MAX_PRINTED_FINDINGS = 8  # maximum number of printed findings of a seed
MAX_FINDING_CHARACTERS = 3_000  # maximum number of printed characters of a finding


class SoakRun:
    """One soak run with the options and faults that its seed chooses."""

    def __init__(self, seed: int, folder: Path) -> None:
        self._random_source = random.Random(seed)
        self.options = SoakOptions.sample(self._random_source)
        self.pressure = PressureOptions.sample(seed, self.options)
        self.exit_s: float | None = None  # time from SIGTERM to the exit; None if the proxy was killed
        self.longest_first_wait_s = 0.0  # longest wait of the crowd for the first response on a connection
        self._seed = seed
        self._folder = folder
        self._oracle = Oracle(WRITE_CLASS, key_window_s(seed))
        self._environment = SoakEnvironment(seed, self._oracle)
        self._stores = UnresponsiveStores(self.pressure.unresponsive_stores, folder)
        self._proxy = self._start_proxy(ANY_PORT)
        self._is_over = threading.Event()

    def run(self) -> list[str]:
        """Runs the soak; returns lines of text for all violations and for the log events related to them."""
        sampler = threading.Thread(target=self._sample_resources, daemon=True)
        sampler.start()
        clients = SoakClients(self._proxy.address, self._oracle, self._seed)
        clients.start(
            regular=8,
            disconnecting=3,
            misbehaving=3,
            slow=self.pressure.slow_readers,
            persistent=self.pressure.persistent_clients,
        )
        clients.start_retrying(RETRYING_CLIENTS if key_window_s(self._seed) else 0)
        if self.options.has_idle_clients:
            clients.open_idle_connections()
        crowd = self._start_crowd()
        try:
            self._inject_faults()
            if self.options.has_idle_clients and self.pressure.has_signal_series:
                # The first idle connections have reached their deadline by now. New ones replace them.
                clients.open_idle_connections(IDLE_CLIENTS_BEFORE_SIGTERM)
            self._terminate(crowd)
        finally:
            clients.stop()
            if crowd is not None:
                self._add_report(crowd)
                crowd.close()
            self._is_over.set()
            sampler.join()
            self._proxy.close()
            self._environment.close()
            self._stores.close()
        return self._findings()

    def _start_proxy(self, listen: str) -> ProxyProcess:
        began_at = time.monotonic()
        variables = self.options.variables(self._seed) | self.pressure.variables() | self._stores.variables
        proxy = ProxyProcess(
            self._config(listen),
            self._folder,
            variables,
            preload="tests.soak.faulty_calls",
            has_small_log_pipe=self.pressure.has_stalled_log,
        )
        proxy.wait_until_ready()
        start_s = time.monotonic() - began_at
        if start_s > MAX_START_S:
            self._oracle.record_fault(f"the proxy took {start_s:.1f} s to start, longer than {MAX_START_S} s")
        return proxy

    def _config(self, listen: str) -> dict[str, Any]:
        return soak_config(
            self._environment,
            self.options.memory_mb,
            listen,
            max_sockets=self.pressure.max_sockets,
            window_s=key_window_s(self._seed),
        )

    def _start_crowd(self) -> LoadProcess | None:
        """Starts a crowd, a process with more clients than the proxy may have connections.

        Returns None if the options have no crowd.
        """
        if not self.pressure.crowd_factor:
            return None
        limits = read_config(self._config(ANY_PORT), {}).limits
        clients = self.pressure.crowd_factor * limits.max_client_connections
        options = LoadOptions(
            seed=self._seed + CROWD_SEED_SHIFT,
            duration_s=3 * FAULT_PHASE_S,
            connections=clients,
            names=NAMES,
            timeout_ms=CROWD_TIMEOUT_MS,
            think_time_s=CROWD_THINK_TIME_S,
        )
        self._oracle.load_id_prefix = options.id_prefix
        return LoadProcess(self._proxy.address, options)

    def _add_report(self, crowd: LoadProcess) -> None:
        """Passes the crowd's late and unanswered requests to the oracle."""
        report = crowd.wait_for_report()
        self.longest_first_wait_s = report.longest_first_wait_s
        for request in report.late_requests:
            self._oracle.add_request(crowd_request(request))

    def _inject_faults(self) -> None:
        injector = FaultInjector(
            self._random_source, self._environment, self._oracle, proxy=lambda: self._proxy
        )
        end_at = time.monotonic() + FAULT_PHASE_S
        kill_at = end_at - FAULT_PHASE_S / 2 if self.options.is_killed else float("inf")
        while time.monotonic() < end_at:
            if self.pressure.has_stalled_log and time.monotonic() > end_at - LOG_STALL_BEFORE_SIGTERM_S:
                self._proxy.stall_log()
            injector.inject_next()
            if time.monotonic() > kill_at:
                kill_at = float("inf")
                self._kill_and_restart()

    def _kill_and_restart(self) -> None:
        host, port = self._proxy.address
        self._oracle.killed_at.append(time.monotonic())
        self._proxy.close()
        self._proxy = self._start_proxy(f"{host}:{port}")

    def _terminate(self, crowd: LoadProcess | None) -> None:
        """Sends SIGTERM and other signals, and waits until the proxy has ended or its time is up.

        The time is up `KILL_MARGIN_S` before `KILL_AFTER_S`. If the proxy still runs then, records a fault.
        The clients continue to send requests during this wait.
        """
        began_at = time.monotonic()
        self._oracle.terminated_at = began_at
        if crowd is not None:
            crowd.stop_connecting()
        self._send_signals(began_at + KILL_AFTER_S - STACK_BEFORE_KILL_S)
        code = self._proxy.wait(max(0.0, began_at + KILL_AFTER_S - STACK_BEFORE_KILL_S - time.monotonic()))
        stack = self._proxy.main_thread_stack() if code is None else ""
        if code is None:
            code = self._proxy.wait(max(0.0, began_at + KILL_AFTER_S - KILL_MARGIN_S - time.monotonic()))
        if code is None:
            self._oracle.killed_at.append(time.monotonic())
            self._oracle.record_fault(
                f"the proxy still ran {KILL_AFTER_S} s after SIGTERM; main thread: {stack}"
            )
            return
        self.exit_s = self._proxy.ended_at - began_at
        if code != 0:
            self._oracle.record_fault(f"the proxy exited with code {code}: {self._proxy.errors}")

    def _send_signals(self, until: float) -> None:
        """Sends SIGTERM twice, each followed by SIGHUP.

        If the options ask for a series of signals, then sends random shutdown signals until the process has
        ended or the time `until` has come.
        """
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            self._proxy.signal(number)
            time.sleep(SIGNAL_INTERVAL_S)
        while self.pressure.has_signal_series and self._proxy.exit_code is None and time.monotonic() < until:
            self._proxy.signal(self._random_source.choice(SHUTDOWN_SIGNALS))
            time.sleep(SIGNAL_INTERVAL_S)

    def _sample_resources(self) -> None:
        """Checks the current proxy's memory peak and number of descriptors until the run is over.

        Stops early, with a recorded fault, if the peak or the number exceeds its limit. Also records the
        pauses in which the test's process did not run.
        """
        last_at = time.monotonic()
        while not self._is_over.wait(SAMPLE_INTERVAL_S):
            now = time.monotonic()
            if now - last_at > MAX_SAMPLE_GAP_S:  # the test's own process has not run since `last_at`
                self._oracle.pauses.append((last_at, now))
            last_at = now
            peak_kb = self._proxy.status_kb("VmHWM")
            if peak_kb > self.options.memory_mb * KILOBYTE:
                self._oracle.record_fault(f"memory peak of {peak_kb} KB exceeds {self.options.memory_mb} MB")
                return
            if self._proxy.descriptor_count() > self.pressure.max_sockets:
                self._oracle.record_fault("the proxy has more open descriptors than allowed")
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


def crowd_request(request: LoadRequest) -> ClientRequest:
    """Returns a request of the crowd in the form that the oracle checks.

    The returned request has no status and no body, so that the oracle doesn't check the bytes of a response.
    """
    outcome = Outcome.CLOSED if request.is_closed else Outcome.COMPLETED
    if request.ended_at is None:
        outcome = Outcome.PENDING
    return ClientRequest(
        request.id,
        request.name,
        "segment",
        request.sent_at,
        CROWD_TIMEOUT_MS / 1_000,
        is_first_on_connection=request.is_first_on_connection,
        outcome=outcome,
        ended_at=request.ended_at or 0.0,
    )


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The result of one seed."""

    findings: list[str]  # the seed's options and all violations; empty if there is no violation
    # Time from SIGTERM to the proxy's exit, or that the proxy was killed; then the crowd's longest wait for
    # the first response on a connection.
    summary: str


def run_seed(seed: int) -> SoakResult:
    """Makes the soak run of one seed and returns the result."""
    with tempfile.TemporaryDirectory() as folder:
        soak = SoakRun(seed, Path(folder))
        found = soak.run()
    exit_text = "killed" if soak.exit_s is None else f"exit {soak.exit_s:.2f} s after SIGTERM"
    summary = f"{exit_text}, longest first wait {soak.longest_first_wait_s:.2f} s"
    options = f"{soak.options} {soak.pressure}"
    return SoakResult([options, *found] if found else [], summary)


def main(seeds: list[int]) -> int:
    """Runs seeds one after another; returns 1 if any of them violated an invariant, 0 otherwise."""
    failed = 0
    for seed in seeds:
        result = run_seed(seed)
        found = result.findings
        if found:
            failed += 1
        print(f"seed {seed}: {len(found) or 'kept'}, {result.summary}", flush=True)
        for line in found[:MAX_PRINTED_FINDINGS]:
            print(f"    {line[:MAX_FINDING_CHARACTERS]}", flush=True)
    print(f"{len(seeds)} seeds, {failed} violated an invariant")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main([int(argument) for argument in sys.argv[1:]]))
