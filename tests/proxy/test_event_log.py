"""Tests of the event log and its counters."""

from __future__ import annotations

import os

import orjson

from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import MAX_SAMPLES_PER_S, EventLog


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


def test_log_without_a_reader_drops_and_counts_lines() -> None:
    read, write = os.pipe()
    log = EventLog(Clock(), "n1", max_bytes=3_600, descriptor=write)  # 3,600 bytes hold three lines
    for _ in range(2_000):
        log.event("long", text="x" * 1_000)
        assert log.waiting_bytes <= 3_600
    assert log.counters()["log_lines_dropped"] > 0
    os.close(read)
    log.close(20.0)
    os.close(write)


def test_line_is_complete_where_a_full_pipe_accepts_a_part_at_a_time() -> None:
    read, write = os.pipe()
    os.set_blocking(write, False)
    log = EventLog(Clock(), "n1", descriptor=write)
    for number in range(100):
        log.event("long", number=number, text="x" * 3_000)
    with os.fdopen(read, "rb") as lines:
        numbers = [orjson.loads(next(lines))["number"] for _ in range(100)]
    assert numbers == list(range(100))
    log.close(20.0)
    os.close(write)


def test_frequent_events_are_sampled_and_all_counted() -> None:
    read, write = os.pipe()
    log = EventLog(Clock(), "n1", descriptor=write)
    for _ in range(1_000):
        log.sampled_event("frequent")
    log.close(20.0)
    os.close(write)
    with os.fdopen(read, "rb") as lines:
        logged_count = len(list(lines))
    # The limit holds for each second, and the events may be spread over two seconds.
    assert logged_count <= 2 * MAX_SAMPLES_PER_S
    assert log.counters()["frequent_not_logged"] == 1_000 - logged_count


def test_field_that_cannot_be_written_drops_its_line_only() -> None:
    read, write = os.pipe()
    log = EventLog(Clock(), "n1", descriptor=write)
    log.event("odd", number=1 << 70)
    log.event("good")
    log.close(20.0)
    os.close(write)
    with os.fdopen(read, "rb") as lines:
        assert [orjson.loads(line)["event"] for line in lines] == ["good"]
    assert log.counters() == {"log_lines_dropped": 1}
