"""What a seed chooses for a whole soak, and the proxy's configuration that follows from it."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from tests.proxy_harness import toy_config
from tests.soak.environment import SoakEnvironment

NON_IDEMPOTENT_CLASS = "order"
MAX_SOCKETS = 256
CLOCK_ERRORS_S = (0, 0, 5, -5, 3_600, -3_600)
MEMORY_LIMITS_MB = (32, 48, 64, 96)
FAILING_CALL_SHARES = (0.0, 0.0, 0.02, 0.1)
IDLE_CLIENTS_SHARE = 0.3  # of all seeds
KILLED_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """The options of one run."""

    memory_mb: int
    failing_calls: float  # share of system calls that fail
    clock_s: int  # error of the proxy's wall clock at its start
    step_s: int  # by which that clock is stepped later
    has_idle_clients: bool
    is_killed: bool  # once on the way, with SIGKILL

    @classmethod
    def sample(cls, random_source: random.Random) -> SoakOptions:
        """The options that a seed's random source gives; always the same number of draws."""
        return cls(
            memory_mb=random_source.choice(MEMORY_LIMITS_MB),
            failing_calls=random_source.choice(FAILING_CALL_SHARES),
            clock_s=random_source.choice(CLOCK_ERRORS_S),
            step_s=random_source.choice(CLOCK_ERRORS_S),
            has_idle_clients=random_source.random() < IDLE_CLIENTS_SHARE,
            is_killed=random_source.random() < KILLED_SHARE,
        )

    def variables(self, seed: int) -> dict[str, str]:
        """The environment variables that `tests.soak.faulty_calls` reads."""
        return {
            "SOAK_SEED": str(seed),
            "SOAK_CALLS": str(self.failing_calls),
            "SOAK_CLOCK_S": str(self.clock_s),
            "SOAK_STEP_S": str(self.step_s),
        }


def soak_config(environment: SoakEnvironment, memory_mb: int, listen: str) -> dict[str, Any]:
    """The proxy's configuration: three classes, of which one is not idempotent."""
    config = toy_config(
        name="soak",
        listen=listen,
        coordinator=environment.coordinator.address,
        known=environment.coordinator.listed(),
        limits={"memory_mb": memory_mb, "sockets": MAX_SOCKETS},
        flow_bytes_per_s=10_000_000,
        link_bytes_per_s=40_000_000,
    )
    settings = config["settings"]
    non_idempotent = {**settings["classes"][1], "name": NON_IDEMPOTENT_CLASS, "effect": "non_idempotent"}
    settings["classes"] = [*settings["classes"], non_idempotent]
    family = settings["family-info"]
    family["max-age"] = [0, 8_000_000_000, 0]
    family["usable-after"] = [0, 30_000_000_000, 0]
    family["class-stale-worth"] = [0.7, 0.7, 0.7]
    family["pass-on"] = [False, False, True]
    return config
