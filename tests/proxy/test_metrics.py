"""What the metrics line is made of."""

from __future__ import annotations

from pathlib import Path

import pytest

from olivepost.proxy import metrics


def test_percentiles_are_milliseconds_of_sorted_delays() -> None:
    delays = [position * 1_000_000 for position in range(100)]
    assert metrics.delay_percentiles(delays) == {"p50": 50.0, "p95": 95.0, "p99": 99.0, "max": 99.0}
    assert metrics.delay_percentiles([]) == {}


def test_process_status_names_memory_and_threads() -> None:
    assert set(metrics.read_process_status()) == {"memory_kb", "peak_memory_kb", "threads"}
    assert metrics.count_descriptors() > 0


def test_system_without_process_files_has_no_such_metrics(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(metrics, "PROCESS_STATUS", Path("/nowhere"))
    monkeypatch.setattr(metrics, "DESCRIPTORS", Path("/nowhere"))
    assert metrics.read_process_status() == {}
    assert metrics.count_descriptors() == -1
