"""Tests of real processes at the smallest memory limit, beside clients that send too much or too little."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.proxy.fakes import settings_with_idempotency
from tests.soak.endpoints_process import EndpointsProcess
from tests.soak.load_process import LoadOptions, LoadProcess, LoadReport, LoadRequest
from tests.soak.misbehaving_clients_process import MisbehavingClientsProcess
from tests.soak.proxy_process import KILOBYTE, ProxyProcess
from tests.soak.test_memory_limit import process_config

MEMORY_MB = 32
LOAD_S = 4.0
CONNECTIONS = 8
THINK_TIME_S = 0.02
LAST_MOMENT_S = 0.5  # requests that were sent this short a time before the end may be pending then


def late_requests(report: LoadReport) -> list[LoadRequest]:
    """Returns the requests that were answered late or not at all, without those of the load's last moment."""
    requests = report.late_requests
    last_sent_at = max((request.sent_at for request in requests), default=0.0)
    return [
        request
        for request in requests
        if request.ended_at is not None or last_sent_at - request.sent_at > LAST_MOMENT_S
    ]


@pytest.mark.parametrize(
    ("misbehavior", "clients", "effect"),
    [
        ("send_many_fields", 400, "read_like"),
        ("write_slowly", 400, "idempotency_key"),
        ("stop_within_large_body", 400, "non_idempotent"),
        ("send_health_checks", 1, "read_like"),
        ("send_garbage", 1, "read_like"),
        ("send_new_names", 1, "idempotency_key"),
        ("request_new_names_in_turn", 1, "non_idempotent"),
    ],
)
def test_other_clients_are_served_and_memory_is_bounded_beside_abusive_clients(
    misbehavior: str, clients: int, effect: str, tmp_path: Path
) -> None:
    """Guards against clients that take the time or the memory that the requests of others need."""
    settings = settings_with_idempotency(effect)
    settings["family-info"] = {**settings["family-info"], "pass-on": [True, False]}
    with EndpointsProcess(caches=4, body_bytes=2_000) as endpoints:
        config = process_config(endpoints.listed_endpoints, MEMORY_MB, settings=settings)
        with (
            ProxyProcess(config, tmp_path) as proxy,
            MisbehavingClientsProcess(proxy.address, clients, 1, misbehavior),
        ):
            options = LoadOptions(
                2, LOAD_S, CONNECTIONS, names=200, class_name="image", think_time_s=THINK_TIME_S
            )
            report = LoadProcess(proxy.address, options).wait_for_end()
            assert proxy.exit_code is None
            assert late_requests(report) == []
            assert report.statuses["200"] >= 0.99 * report.statuses.total()
            assert proxy.status_kb("VmHWM") < MEMORY_MB * KILOBYTE
