"""One soak: a real proxy among faults that a seed draws, and an oracle that knows what is owed.

    python -m tests.soak.run SEED [SEED...]

plays seeds alone and prints what broke, if anything did.
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

from tests.proxy_harness import toy_config
from tests.soak.clients import NAME_MULTIPLIER, NAMES, SoakClients
from tests.soak.environment import SoakEnvironment
from tests.soak.oracle import Oracle
from tests.soak.proxy_process import KILOBYTE, ProxyProcess

PLAY_S = 8.0
KILL_AFTER_S = 3.0 + 0.7  # after SIGTERM, at the earliest: the longest deadline, and for what still comes
NON_IDEMPOTENT_CLASS = "order"
ENDPOINT_FAULTS = (
    "hang",
    "cut",
    "reset",
    "garbled",
    "endless",
    "doubled",
    "unknown",
    "late",
    "FAULT",
    "SHED",
    "LATE",
)
CLOCK_ERRORS_S = (0, 0, 5, -5, 3_600, -3_600)
MEMORY_LIMITS_MB = (32, 48, 64, 96)
SAMPLE_PAUSE_S = 0.05
MAX_SAMPLE_GAP_S = 0.15
MAX_RESTART_READY_S = 6.0


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """What a seed draws for the whole run."""

    memory_mb: int
    failing_calls: float
    clock_s: int
    step_s: int
    has_crowd: bool
    is_killed: bool  # once on the way, with SIGKILL

    @classmethod
    def draw(cls, draw: random.Random) -> SoakOptions:
        """The options of a seed."""
        return cls(
            memory_mb=draw.choice(MEMORY_LIMITS_MB),
            failing_calls=draw.choice((0.0, 0.0, 0.02, 0.1)),
            clock_s=draw.choice(CLOCK_ERRORS_S),
            step_s=draw.choice(CLOCK_ERRORS_S),
            has_crowd=draw.random() < 0.3,
            is_killed=draw.random() < 0.2,
        )


def soak_config(environment: SoakEnvironment, memory_mb: int, listen: str) -> dict[str, Any]:
    """The proxy's configuration: three classes, of which one must not run twice."""
    config = toy_config(
        name="soak",
        listen=listen,
        coordinator=environment.coordinator.address,
        known=environment.coordinator.listed(),
        limits={"memory_mb": memory_mb, "sockets": 256},
        flow_bytes_per_s=10_000_000,
        link_bytes_per_s=40_000_000,
    )
    settings = config["settings"]
    order = {**settings["classes"][1], "name": NON_IDEMPOTENT_CLASS, "effect": "non_idempotent"}
    settings["classes"] = [*settings["classes"], order]
    family = settings["family-info"]
    family["max-age"] = [0, 8_000_000_000, 0]
    family["usable-after"] = [0, 30_000_000_000, 0]
    family["class-stale-worth"] = [0.7, 0.7, 0.7]
    family["pass-on"] = [False, False, True]
    return config


class SoakRun:
    """One run of a seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.draw = random.Random(seed)
        self.options = SoakOptions.draw(self.draw)
        self._seed = seed
        self._folder = folder
        self.oracle = Oracle(NON_IDEMPOTENT_CLASS)
        self.environment = SoakEnvironment(seed, self.oracle)
        self.proxy = self._start_proxy("127.0.0.1:0")
        self._is_over = threading.Event()

    def play(self) -> list[str]:
        """Plays the run; what broke a rule."""
        sampler = threading.Thread(target=self._sample, daemon=True)
        sampler.start()
        clients = SoakClients(self.proxy.address, self.oracle, self._seed)
        clients.start(usual=8, leaving=3, bad=3)
        if self.options.has_crowd:
            clients.rest()
        try:
            self._inject_faults()
            self._terminate()
        finally:
            clients.stop()
            self._is_over.set()
            sampler.join()
            self.proxy.kill()
            self.environment.close()
        return self._findings()

    def _start_proxy(self, listen: str) -> ProxyProcess:
        environment = {
            "SOAK_SEED": str(self._seed),
            "SOAK_CALLS": str(self.options.failing_calls),
            "SOAK_CLOCK_S": str(self.options.clock_s),
            "SOAK_STEP_S": str(self.options.step_s),
        }
        began_at = time.monotonic()
        config = soak_config(self.environment, self.options.memory_mb, listen)
        proxy = ProxyProcess(config, self._folder, environment, preload="tests.soak.faulty_calls").__enter__()
        if time.monotonic() - began_at > MAX_RESTART_READY_S:
            self.oracle.fault(f"the proxy took {time.monotonic() - began_at:.1f} s to start")
        return proxy

    # Faults on the way.

    def _inject_faults(self) -> None:
        until = time.monotonic() + PLAY_S
        steps = [self._fault_an_endpoint] * 4
        steps += [self._trouble_discovery, self._republish, self._drain, self._invalidate, self._invalidate]
        steps += [self._reload_in_series, self._stand_still]
        kill_at = until - PLAY_S / 2 if self.options.is_killed else float("inf")
        while time.monotonic() < until:
            self.draw.choice(steps)()
            time.sleep(self.draw.random() * 0.4)
            if time.monotonic() > kill_at:
                kill_at = float("inf")
                self._kill_and_restart()

    def _fault_an_endpoint(self) -> None:
        for plan in self.environment.plans.values():
            plan.kind = ""
        is_common = self.draw.random() < 0.15
        ids = (
            list(self.environment.plans) if is_common else self.draw.sample(sorted(self.environment.plans), 2)
        )
        kind = self.draw.choice(ENDPOINT_FAULTS)
        for id_ in ids:
            self.environment.plans[id_].share = self.draw.choice((0.1, 0.5, 1.0))
            self.environment.plans[id_].kind = kind

    def _trouble_discovery(self) -> None:
        began_at = time.monotonic()
        self.environment.coordinator.mode = self.draw.choice(("silent", "down"))
        time.sleep(self.draw.random() * 0.4)
        self.environment.coordinator.mode = ""
        self.oracle.silences.append((began_at, time.monotonic()))

    def _republish(self) -> None:
        """Whole lists in quick succession."""
        for _ in range(self.draw.randrange(1, 20)):
            self.environment.publish(list(self.environment.rows.values()), is_full=True)

    def _drain(self) -> None:
        ready = [
            id_ for id_, row in self.environment.rows.items() if row["state"] == "in_service" and id_ != "o0"
        ]
        if len(ready) > 3:
            self.environment.drain(self.draw.choice(ready))

    def _invalidate(self) -> None:
        for _ in range(5):
            number = min(self.draw.randrange(NAMES), self.draw.randrange(NAMES))
            self.environment.invalidate(f"{number * NAME_MULTIPLIER % 2**64:016x}")

    def _reload_in_series(self) -> None:
        for _ in range(self.draw.randrange(1, 6)):
            self.proxy.signal(signal.SIGHUP)
            time.sleep(self.draw.random() * 0.02)

    def _stand_still(self) -> None:
        began_at = time.monotonic()
        self.proxy.signal(signal.SIGSTOP)
        time.sleep(self.draw.random())
        self.proxy.signal(signal.SIGCONT)
        self.oracle.stops.append((began_at, time.monotonic()))

    def _kill_and_restart(self) -> None:
        host, port = self.proxy.address
        self.oracle.killed.append(time.monotonic())
        self.proxy.kill()
        self.proxy = self._start_proxy(f"{host}:{port}")

    # The end.

    def _terminate(self) -> None:
        """SIGTERM, twice and with SIGHUP; clients go on until the kill."""
        self.oracle.terminated_at = time.monotonic()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            self.proxy.signal(number)
            time.sleep(0.01)
        code = self.proxy.wait(KILL_AFTER_S - 0.04)
        if code is None:
            self.oracle.killed.append(time.monotonic())
            self.oracle.fault(f"the proxy still ran {KILL_AFTER_S} s after SIGTERM")
        elif code != 0:
            self.oracle.fault(f"the proxy ended with code {code}: {self.proxy.errors}")

    def _sample(self) -> None:
        """Watches memory and descriptors of the process that runs."""
        last_at = time.monotonic()
        while not self._is_over.wait(SAMPLE_PAUSE_S):
            now = time.monotonic()
            if now - last_at > MAX_SAMPLE_GAP_S:  # this process itself was held up
                self.oracle.stops.append((last_at, now))
            last_at = now
            peak_kb = self.proxy.status_kb("VmHWM")
            if peak_kb > self.options.memory_mb * KILOBYTE:
                self.oracle.fault(f"{peak_kb} KB of {self.options.memory_mb} MB")
                return
            if self.proxy.descriptor_count() > 256:
                self.oracle.fault("more descriptors than allowed")
                return

    def _findings(self) -> list[str]:
        found = self.oracle.violations()
        ids = [line.split()[1].rstrip(":") for line in found if line.startswith("request ")]
        found += [f"log: {event}" for event in self.proxy.events if event.get("request") in ids]
        if found and self.proxy.named_events("metrics"):
            found.append(f"log: {self.proxy.named_events('metrics')[-1]['counters']}")
        for event in self.proxy.events:
            if event["event"].endswith("_error"):
                found.append(f"log: {event}")
            if event["event"] in ("metrics", "stopped") and event.get("invariant_violations"):
                found.append(f"log: {event['invariant_violations']}")
        return found


def play(seed: int) -> list[str]:
    """Plays one seed; what broke, with the options of the seed in front."""
    with tempfile.TemporaryDirectory() as folder:
        run = SoakRun(seed, Path(folder))
        found = run.play()
    return [f"{run.options}", *found] if found else []


def main(seeds: list[int]) -> int:
    """Plays seeds one after another; how many broke a rule."""
    broken = 0
    for seed in seeds:
        found = play(seed)
        broken += bool(found)
        print(f"seed {seed}: {len(found) or 'kept'}", flush=True)
        for line in found[:8]:
            print(f"    {line[:3000]}", flush=True)
    print(f"{len(seeds)} seeds, {broken} broke a rule")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main([int(seed) for seed in sys.argv[1:]]))
