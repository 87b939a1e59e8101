"""The event log and its counters."""

from __future__ import annotations

import os

import orjson

from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog


def test_each_event_is_one_json_line() -> None:
    read, write = os.pipe()
    log = EventLog(Clock(), "n1", descriptor=write)
    log.event("first", why="a\nb", number=3)
    try:
        raise ValueError("odd")
    except ValueError:
        log.exception("second")
    log.close(20.0)
    os.close(write)
    with os.fdopen(read, "rb") as lines:
        first, second = (orjson.loads(line) for line in lines)
    assert first["event"] == "first"
    assert first["proxy"] == "n1"
    assert first["why"] == "a\nb"
    assert "ValueError: odd" in second["trace"]
    assert log.counters() == {"second": 1}


def test_log_that_nobody_reads_drops_and_counts_lines() -> None:
    read, write = os.pipe()
    log = EventLog(Clock(), "n1", max_lines=3, descriptor=write)
    for _ in range(2_000):
        log.event("long", text="x" * 1_000)
    assert log.counters()["log_lines_dropped"] > 0
    os.close(read)
    log.close(20.0)
    os.close(write)
