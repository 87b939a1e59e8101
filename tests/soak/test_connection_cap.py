"""Tests of real proxy processes, some with more clients than the connections that a proxy allows."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.soak.endpoints_process import EndpointsProcess
from tests.soak.load_process import LoadOptions, LoadProcess, LoadReport
from tests.soak.proxy_process import ProxyProcess
from tests.soak.test_memory_limit import process_config

MEMORY_MB = 64
SOCKETS = 64
CONNECTION_CAP = 30  # client connections that a proxy with `SOCKETS` descriptors allows
CLIENTS = (CONNECTION_CAP, 2 * CONNECTION_CAP)
LOAD_S = 4.0
THINK_TIME_S = 0.02
MAX_FIRST_WAIT_S = 1.0
# Lowest allowed throughput with `2 * CONNECTION_CAP` clients, as a share of the throughput with
# `CONNECTION_CAP` clients.
MIN_THROUGHPUT_SHARE = 0.8


@pytest.fixture(scope="module")
def reports(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[int, LoadReport]]:
    """Yields the reports of two loads by number of clients: `CONNECTION_CAP`, and twice as many.

    The loads run at the same time on two proxies.
    """
    with ExitStack() as stack, EndpointsProcess(caches=4, body_bytes=2_000) as endpoints:
        loads = {}
        for clients in CLIENTS:
            config = process_config(endpoints.listed_endpoints, MEMORY_MB)
            config["limits"] = {"memory_mb": MEMORY_MB, "sockets": SOCKETS}
            proxy = stack.enter_context(ProxyProcess(config, _folder(tmp_path_factory, clients)))
            options = LoadOptions(clients, LOAD_S, clients, names=500, think_time_s=THINK_TIME_S)
            loads[clients] = stack.enter_context(LoadProcess(proxy.address, options))
        yield {clients: load.wait_for_end() for clients, load in loads.items()}


def _folder(tmp_path_factory: pytest.TempPathFactory, clients: int) -> Path:
    return tmp_path_factory.mktemp(f"clients{clients}")


@pytest.mark.parametrize("clients", CLIENTS)
def test_every_client_of_a_crowd_has_a_response_soon(reports: dict[int, LoadReport], clients: int) -> None:
    """Guards against clients that wait for a connection slot until other clients disconnect."""
    report = reports[clients]
    assert report.longest_first_wait_s < MAX_FIRST_WAIT_S
    assert report.statuses["closed"] == 0


def test_crowd_at_twice_the_cap_is_served_as_much_as_clients_at_the_cap(
    reports: dict[int, LoadReport],
) -> None:
    at_cap, beyond = (reports[clients].statuses["200"] for clients in CLIENTS)
    assert beyond >= MIN_THROUGHPUT_SHARE * at_cap
