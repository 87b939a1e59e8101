"""Options of a whole soak, all derived from its seed, and the configuration of the soak's proxy."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from typing import Any

from olivepost.units import SECOND
from tests.proxy_harness import toy_config
from tests.soak.environment import SoakEnvironment

WRITE_CLASS = "order"
MAX_SOCKETS = 256  # descriptor limit of a proxy without a crowd
CLOCK_ERRORS_S = (0, 0, 5, -5, 3_600, -3_600)
MEMORY_LIMITS_MB = (32, 48, 64, 96)
FAILING_CALL_SHARES = (0.0, 0.0, 0.02, 0.1)
IDLE_CLIENTS_SHARE = 0.3  # share of all seeds whose runs have idle clients
KILLED_SHARE = 0.2  # share of all seeds whose runs kill the proxy and restart it

# Runs of seeds below this one have no pressure (the additional load and faults of `PressureOptions`), so that
# these runs are the same as before `PressureOptions` existed.
FIRST_PRESSURE_SEED = 1_000
# A crowd is a load with more clients than the proxy may have connections.
CROWD_FACTORS = (0, 2, 3, 4)  # clients for each connection that the proxy may have; 0 without a crowd
# Descriptor limits of a proxy with a crowd. They are low, so that the test's machine can run all clients.
CROWD_SOCKETS = (64, 96)
SLOW_READERS = (0, 1, 4)
STALLED_LOG_SHARE = 0.4  # share of the seeds with pressure whose runs stop reading the proxy's log
# Share of the seeds with pressure whose runs have a lasting shortage, during which peeks at sockets fail
# until the exit.
LASTING_SHORTAGE_SHARE = 0.25
UNRESPONSIVE_STORES = (0, 0, 4)
MIN_STORE_MEMORY_MB = 96  # lowest memory limit with shared stores, because their client libraries need memory
# In the runs of seeds below this one, writes are not idempotent. From this seed on, they have idempotency
# keys that are remembered for `KEY_WINDOW_S` only.
FIRST_KEY_SEED = 2_000
KEY_WINDOW_S = 0.5
RETRYING_CLIENTS = 3  # clients that repeat writes, in the runs whose writes have keys
SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Options of one soak run, all derived from its seed, whether or not the run has pressure."""

    memory_mb: int
    failing_call_share: float  # share of system calls and thread starts that fail
    clock_error_s: int  # error of the proxy's wall clock from the proxy's start on
    clock_step_s: int  # additional error of the wall clock from a later time on
    has_idle_clients: bool
    is_killed: bool  # whether the proxy is killed with SIGKILL once during the run, and restarted

    @classmethod
    def sample(cls, random_source: random.Random) -> SoakOptions:
        """Returns the options that a seed's random source chooses.

        Always draws the same number of values. The run later draws its faults from the same source, so a
        different number of values would change the faults of the seed.
        """
        return cls(
            memory_mb=random_source.choice(MEMORY_LIMITS_MB),
            failing_call_share=random_source.choice(FAILING_CALL_SHARES),
            clock_error_s=random_source.choice(CLOCK_ERRORS_S),
            clock_step_s=random_source.choice(CLOCK_ERRORS_S),
            has_idle_clients=random_source.random() < IDLE_CLIENTS_SHARE,
            is_killed=random_source.random() < KILLED_SHARE,
        )

    def variables(self, seed: int) -> dict[str, str]:
        """Returns the environment variables that `tests.soak.faulty_calls` reads."""
        return {
            "SOAK_SEED": str(seed),
            "SOAK_CALLS": str(self.failing_call_share),
            "SOAK_CLOCK_S": str(self.clock_error_s),
            "SOAK_STEP_S": str(self.clock_step_s),
        }


@dataclass(frozen=True, slots=True)
class PressureOptions:
    """Additional options of one run that put the proxy under pressure.

    A separate random source chooses them, so that `SoakOptions` and the injected faults don't depend on them.
    """

    max_sockets: int = MAX_SOCKETS
    crowd_factor: int = 0
    slow_readers: int = 0
    persistent_clients: int = 0  # clients that send a request even after `Connection: close`
    has_stalled_log: bool = False  # whether the test stops reading the log shortly before SIGTERM
    has_lasting_shortage: bool = False  # whether all peeks at sockets fail from a time until the exit
    unresponsive_stores: int = 0
    has_signal_series: bool = False  # whether SIGTERM, SIGHUP and SIGINT are sent until the process ends

    @classmethod
    def sample(cls, seed: int, options: SoakOptions) -> PressureOptions:
        """Returns the options of a seed, or the defaults if the seed is below `FIRST_PRESSURE_SEED`."""
        if seed < FIRST_PRESSURE_SEED:
            return cls()
        random_source = random.Random(f"pressure {seed}")
        crowd_factor = random_source.choice(CROWD_FACTORS)
        sockets = random_source.choice(CROWD_SOCKETS)
        slow_readers = random_source.choice(SLOW_READERS)
        has_stalled_log = random_source.random() < STALLED_LOG_SHARE
        has_lasting_shortage = random_source.random() < LASTING_SHORTAGE_SHARE
        unresponsive_stores = random_source.choice(UNRESPONSIVE_STORES)
        return cls(
            max_sockets=sockets if crowd_factor else MAX_SOCKETS,
            crowd_factor=crowd_factor,
            slow_readers=slow_readers,
            persistent_clients=2,
            has_stalled_log=has_stalled_log,
            has_lasting_shortage=has_lasting_shortage and not options.is_killed,
            unresponsive_stores=unresponsive_stores if options.memory_mb >= MIN_STORE_MEMORY_MB else 0,
            has_signal_series=True,
        )

    def variables(self) -> dict[str, str]:
        """Returns the environment variables that `tests.soak.faulty_calls` reads."""
        return {
            "SOAK_SMALL_SEND_BUFFERS": "1" if self.slow_readers else "",
            "SOAK_PEEK_SHORTAGE": "1" if self.has_lasting_shortage else "",
        }


def key_window_s(seed: int) -> float:
    """Returns the seconds for which endpoints remember the key of a write; 0 if writes are not idempotent."""
    return KEY_WINDOW_S if seed >= FIRST_KEY_SEED else 0.0


def soak_config(
    environment: SoakEnvironment,
    memory_mb: int,
    listen: str,
    max_sockets: int = MAX_SOCKETS,
    window_s: float = 0.0,
) -> dict[str, Any]:
    """Returns the proxy's configuration, which has three request classes; the last one is for writes.

    Writes have a key that is remembered for `window_s`, or are not idempotent if `window_s` is 0.
    """
    config = toy_config(
        name="soak",
        listen=listen,
        coordinator=environment.coordinator.address,
        known=environment.coordinator.listed(),
        limits={"memory_mb": memory_mb, "sockets": max_sockets},
        flow_bytes_per_s=10_000_000,
        link_bytes_per_s=40_000_000,
    )
    settings = config["settings"]
    writes = {**settings["classes"][1], "name": WRITE_CLASS, "effect": "non_idempotent"}
    if window_s:
        writes |= {"effect": "idempotency_key", "group": "all", "window": int(window_s * SECOND)}
    settings["classes"] = [*settings["classes"], writes]
    family = settings["family-info"]
    family["max-age"] = [0, 8_000_000_000, 0]
    family["usable-after"] = [0, 30_000_000_000, 0]
    family["class-stale-worth"] = [0.7, 0.7, 0.7]
    family["pass-on"] = [False, False, True]
    return config
