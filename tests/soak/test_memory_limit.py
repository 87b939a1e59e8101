"""Tests of the memory use of real proxy processes, which must stay under the limit that the platform sets."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import pytest

from tests.proxy_harness import toy_config
from tests.soak.endpoints_process import EndpointsProcess
from tests.soak.load_process import LoadOptions, LoadProcess
from tests.soak.misbehaving_clients_process import MisbehavingClientsProcess
from tests.soak.proxy_process import KILOBYTE, ProxyProcess

UNREACHABLE = "127.0.0.1:9"  # no coordinator listens at this address
SETTLING_TIME_S = 1.0
LOAD_S = 10.0


def process_config(listed_endpoints: list[dict[str, Any]], memory_mb: int, **changes: Any) -> dict[str, Any]:
    """Returns a proxy's configuration with the listed endpoints and a coordinator that cannot be reached."""
    known = {
        "index": 1,
        "updates": [{"index": 1, "endpoints": {"version": 1, "full": True, "servers": listed_endpoints}}],
    }
    limits = {"memory_mb": memory_mb, "sockets": 1024}
    return toy_config(name=f"m{memory_mb}", coordinator=UNREACHABLE, known=known, limits=limits, **changes)


@pytest.mark.parametrize("memory_mb", [32, 48])
def test_process_stays_under_its_limit_among_misbehaving_clients_and_repeated_names(
    memory_mb: int, tmp_path: Path
) -> None:
    with (
        EndpointsProcess(caches=4, body_bytes=2_000) as endpoints,
        ProxyProcess(process_config(endpoints.listed_endpoints, memory_mb), tmp_path) as proxy,
        MisbehavingClientsProcess(proxy.address, clients=100, seed=memory_mb),
    ):
        load = LoadProcess(proxy.address, LoadOptions(memory_mb, LOAD_S, connections=12, names=5_000))
        statuses = load.wait_for_end().statuses
        assert proxy.exit_code is None
        assert statuses["200"] > statuses.total() / 2
        assert proxy.status_kb("VmHWM") < memory_mb * KILOBYTE


def test_idle_process_uses_little_more_memory_than_the_interpreter(tmp_path: Path) -> None:
    """Guards against an idle proxy that already takes the memory that a later load may need.

    Hundreds of proxies share a machine, so memory that idle proxies take adds up.
    """
    resident_kb = []
    for memory_mb in (32, 192):
        with ProxyProcess(process_config([], memory_mb), tmp_path) as proxy:
            time.sleep(SETTLING_TIME_S)
            resident_kb.append(proxy.status_kb("VmRSS"))
    assert resident_kb[0] < 25 * KILOBYTE
    assert resident_kb[1] - resident_kb[0] < 2 * KILOBYTE
