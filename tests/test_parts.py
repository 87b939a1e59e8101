"""Buffers, invariants, exchange, log, engine faults: the front's smaller parts."""

import os
import subprocess
import sys
import threading

import orjson
import pytest

from olivepost.net import invariants
from olivepost.net.buffers import Body, Pool
from olivepost.net.clock import Clock
from olivepost.net.exchange import Answer, Exchange, Verdict
from olivepost.net.log import Log


def test_buffers_are_used_again() -> None:
    pool = Pool(4, 10)
    body = Body.reserve(pool, 25, 0)
    assert body is not None and pool.out == 3
    body.add(memoryview(b"0123456789abc"))
    body.add(memoryview(b"defghijklmno"))
    assert b"".join(body.parts()) == b"0123456789abcdefghijklmno"
    first = pool.take(1)
    assert first is not None and pool.take(1) is None
    body.release()
    body.release()
    assert pool.out == 1
    again = pool.take(3)
    assert again is not None and pool.peak == 4
    pool.give_back(again + first)
    assert pool.out == 0


def test_an_empty_pool_waits_for_buffers_that_come_back() -> None:
    pool = Pool(1, 10)
    taken = pool.take(1)
    assert taken is not None
    got: list[list[bytearray] | None] = []
    waiter = threading.Thread(target=lambda: got.append(pool.take(1, 20.0)))
    waiter.start()
    pool.give_back(taken)
    waiter.join(20.0)
    assert got == [taken]


def test_a_buffer_goes_back_once() -> None:
    pool = Pool(2, 10)
    taken = pool.take(1)
    assert taken is not None
    pool.give_back(taken)
    with pytest.raises(AssertionError, match="buffer_back_once"):
        pool.give_back(taken)
    assert len(set(map(id, pool.take(2) or []))) == 2


def test_an_exchange_is_answered_once() -> None:
    given: list[Answer] = []
    exchange = Exchange("1", "a", "b", 0, 0, "", b"", 1, 1, lambda _, answer: given.append(answer))
    assert exchange.close(Answer(Verdict.REFUSED))
    with pytest.raises(AssertionError, match="answered_once"):
        exchange.close(Answer(Verdict.FAILED))
    assert [answer.verdict for answer in given] == [Verdict.REFUSED]


RELEASE = """
from olivepost.net import invariants
from olivepost.net.buffers import Pool
assert False, "no assertions in this build"
pool = Pool(2, 10)
taken = pool.take(1)
pool.give_back(taken)
pool.give_back(taken)
print(invariants.broken(), pool.out, len(pool._free))
"""


def test_release_builds_count_instead() -> None:
    done = subprocess.run([sys.executable, "-O", "-c", RELEASE], capture_output=True, text=True, check=True)
    assert done.stdout == "{'buffer_back_once': 1} 0 1\n"


def test_debug_builds_count_and_assert() -> None:
    before = invariants.broken().get("of_this_test", 0)
    with pytest.raises(AssertionError, match="of_this_test"):
        invariants.check(False, "of_this_test")
    assert invariants.broken()["of_this_test"] == before + 1
    assert invariants.check(True, "of_this_test")


def test_the_log_writes_one_json_line_an_event() -> None:
    read, write = os.pipe()
    log = Log(Clock(), "n1", descriptor=write)
    log.event("first", why="a\nb", number=3)
    try:
        raise ValueError("odd")
    except ValueError:
        log.fault("second")
    log.close(20.0)
    os.close(write)
    with os.fdopen(read, "rb") as lines:
        first, second = (orjson.loads(line) for line in lines)
    assert first["event"] == "first" and first["front"] == "n1" and first["why"] == "a\nb"
    assert "ValueError: odd" in second["trace"] and log.totals() == {"second": 1}


def test_a_log_that_nobody_reads_loses_lines_only() -> None:
    read, write = os.pipe()
    log = Log(Clock(), "n1", most=3, descriptor=write)
    for _ in range(2_000):
        log.event("long", text="x" * 1_000)
    assert log.totals()["log_lines_dropped"] > 0
    os.close(read)
    log.close(20.0)
    os.close(write)


def test_the_clock_is_unix_time_and_does_not_go_back() -> None:
    import time

    clock = Clock()
    first = clock.now()
    assert abs(first - time.time_ns()) < 5_000_000_000 and clock.now() >= first
