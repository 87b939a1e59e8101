"""Functions that collect the fields of the `metrics` event in the log."""

from __future__ import annotations

import os
from pathlib import Path

from olivepost.proxy import invariants
from olivepost.proxy.memory_account import memory_account
from olivepost.proxy.parts import ProxyParts

PROCESS_STATUS = Path("/proc/self/status")
DESCRIPTORS = Path("/proc/self/fd")
STATUS_FIELDS = {"VmRSS:": "memory_kb", "VmHWM:": "peak_memory_kb", "Threads:": "threads"}


def collect_metrics(parts: ProxyParts) -> dict[str, object]:
    """Returns the metrics by name.

    `events` and `queue_delay_ms` cover the time since the last call. All other metrics cover the time since
    the start, or are current values. The main thread calls this function. Other threads may change the values
    while it reads them.
    """
    delays = parts.event_loop.take_queue_delays()
    user_cpu_s, system_cpu_s, *_ = os.times()
    metrics: dict[str, object] = {
        "pending_requests": parts.event_loop.pending_count,
        "connections": parts.downstream.open_count,
        "peak_connections": parts.downstream.peak_count,
        "events": delays.count,
        "event_counts": parts.event_loop.event_counts(),
        "queue_delay_ms": delays.percentiles_ms(),
        "cpu_s": [round(user_cpu_s, 1), round(system_cpu_s, 1)],
        "descriptors": count_descriptors(),
        **read_process_status(),
        "memory_by_owner": {
            owner: [account.used_bytes, account.allowed_bytes]
            for owner, account in memory_account(parts).items()
        },
        "memory_level": parts.memory_monitor.level.name.lower(),
        "body_buffers": parts.body_buffers.in_use,
        "peak_body_buffers": parts.body_buffers.peak,
        "read_buffers": parts.read_buffers.in_use,
        "cached_responses": len(parts.response_cache),
        "invariant_violations": invariants.violations(),
        "counters": parts.log.counters(),
    }
    if parts.shared_store is not None:
        metrics["shared_store"] = parts.shared_store.metrics()
    return metrics


def count_descriptors() -> int:
    """Returns the number of open file descriptors of the process, or -1 if the system does not report it.

    The metric `descriptors` has the value that this function returns.
    """
    try:
        return sum(1 for _ in DESCRIPTORS.iterdir())
    except OSError:
        return -1


def read_process_status() -> dict[str, int]:
    """Returns the number of threads, and the current and the peak memory in KB, by name of the metric.

    The result is empty if the system does not report these values.
    """
    try:
        lines = PROCESS_STATUS.read_text().splitlines()
    except OSError:
        return {}
    status = {}
    for line in lines:
        words = line.split()
        if words and words[0] in STATUS_FIELDS:
            status[STATUS_FIELDS[words[0]]] = int(words[1])
    return status
