"""Tests of the values of the `metrics` event that are read from the operating system."""

from __future__ import annotations

from pathlib import Path

import pytest

from olivepost.proxy import metrics


def test_process_status_names_memory_and_threads() -> None:
    assert set(metrics.read_process_status()) == {"memory_kb", "peak_memory_kb", "threads"}
    assert metrics.count_descriptors() > 0


def test_system_without_process_files_has_no_such_metrics(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(metrics, "PROCESS_STATUS", Path("/nowhere"))
    monkeypatch.setattr(metrics, "DESCRIPTORS", Path("/nowhere"))
    assert metrics.read_process_status() == {}
    assert metrics.count_descriptors() == -1
