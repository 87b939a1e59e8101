"""Buffers, invariants, exchange, log, engine faults: the front's smaller parts."""

import os
import struct
import subprocess
import sys
import threading
import time

import orjson
import pytest

from olivepost.proxy import invariants
from olivepost.proxy.buffers import BufferPool, PooledBody
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.exchange import Exchange, Response, ResponseKind
from olivepost.proxy.response_cache import ResponseCache, response_from
from olivepost.proxy.sockets import _timeval


def test_buffers_are_used_again() -> None:
    pool = BufferPool(4, 10)
    body = PooledBody.reserve(pool, 25, 0)
    assert body is not None and pool.in_use == 3
    body.append(memoryview(b"0123456789abc"))
    body.append(memoryview(b"defghijklmno"))
    assert b"".join(body.parts()) == b"0123456789abcdefghijklmno"
    first = pool.acquire(1)
    assert first is not None and pool.acquire(1) is None
    body.release()
    with pytest.raises(AssertionError, match="body_released_once"):
        body.release()
    assert pool.in_use == 1
    again = pool.acquire(3)
    assert again is not None and pool.peak == 4
    pool.release(again + first)
    assert pool.in_use == 0


def test_a_shared_body_goes_back_with_the_last_share() -> None:
    pool = BufferPool(4, 10)
    body = PooledBody.reserve(pool, 10, 0)
    assert body is not None
    other = body.share()
    body.release()
    assert pool.in_use == 1
    other.release()
    assert pool.in_use == 0


def make_exchange(part: int, group: int = 1, tag: str = "") -> Exchange:
    return Exchange("1", "a", "b", part, group, tag, b"", 1, 1, lambda *_: None, bool)


def make_answer(pool: BufferPool, text: bytes, issued: int) -> Response:
    body = PooledBody.reserve(pool, len(text), 0)
    assert body is not None
    body.append(memoryview(text))
    return Response(ResponseKind.SERVED, "t", body, issued)


def test_own_copies_make_room_and_go_with_purges() -> None:
    pool = BufferPool(20, 10)
    copies = ResponseCache(3)
    for part in range(4):
        answer = make_answer(pool, b"0123456789", 100 + part)
        copies.store(make_exchange(part, group=part % 2), answer)
        answer.release()
        assert copies.get(make_exchange(0)) is not None  # used last, so it stays
    assert len(copies) == 3 and pool.in_use == 3 and copies.get(make_exchange(1)) is None
    copies.invalidate(None, 0, 101)
    assert copies.get(make_exchange(0)) is None and copies.get(make_exchange(2)) is not None
    copies.invalidate("b", None, 102)
    assert copies.get(make_exchange(2)) is None and copies.get(make_exchange(3)) is not None
    kept = copies.get(make_exchange(3))
    assert kept is not None
    assert response_from(make_exchange(3, tag="t"), kept).kind is ResponseKind.NOT_MODIFIED
    served = response_from(make_exchange(3, tag="u"), kept)
    copies.clear()
    assert served.body is not None and b"".join(served.body.parts()) == b"0123456789"
    served.release()
    assert pool.in_use == 0


def test_a_copy_of_unknown_age_is_not_kept() -> None:
    pool = BufferPool(4, 10)
    copies, answer = ResponseCache(3), make_answer(pool, b"x", 0)
    copies.store(make_exchange(1), answer)
    answer.release()
    assert len(copies) == 0 and pool.in_use == 0


def test_an_empty_pool_waits_for_buffers_that_come_back() -> None:
    pool = BufferPool(1, 10)
    taken = pool.acquire(1)
    assert taken is not None
    got: list[list[bytearray] | None] = []
    waiter = threading.Thread(target=lambda: got.append(pool.acquire(1, 20.0)))
    waiter.start()
    pool.release(taken)
    waiter.join(20.0)
    assert got == [taken]


def test_a_wait_is_never_rounded_to_for_ever() -> None:
    for span, told in ((1, (0, 1)), (999_999_999, (1, 0)), (1_600_000_001, (1, 600_001)), (0, (0, 0))):
        assert struct.unpack("ll", _timeval(span)) == told


def test_a_buffer_goes_back_once() -> None:
    pool = BufferPool(2, 10)
    taken = pool.acquire(1)
    assert taken is not None
    pool.release(taken)
    with pytest.raises(AssertionError, match="buffer_released_once"):
        pool.release(taken)
    assert len(set(map(id, pool.acquire(2) or []))) == 2


def test_an_exchange_is_answered_once() -> None:
    given: list[Response] = []
    exchange = Exchange("1", "a", "b", 0, 0, "", b"", 1, 1, lambda _, answer: given.append(answer), bool)
    assert exchange.close(Response(ResponseKind.REJECTED))
    with pytest.raises(AssertionError, match="exchange_closed_once"):
        exchange.close(Response(ResponseKind.FAILED))
    assert [answer.kind for answer in given] == [ResponseKind.REJECTED]


RELEASE = """
from olivepost.proxy import invariants
from olivepost.proxy.buffers import BufferPool
assert False, "no assertions in this build"
pool = BufferPool(2, 10)
taken = pool.acquire(1)
pool.release(taken)
pool.release(taken)
print(invariants.violations(), pool.in_use, len(pool._free))
"""


def test_release_builds_count_instead() -> None:
    done = subprocess.run([sys.executable, "-O", "-c", RELEASE], capture_output=True, text=True, check=True)
    assert done.stdout == "{'buffer_released_once': 1} 0 2\n"


def test_debug_builds_count_and_assert() -> None:
    before = invariants.violations().get("of_this_test", 0)
    with pytest.raises(AssertionError, match="of_this_test"):
        invariants.check(False, "of_this_test")
    assert invariants.violations()["of_this_test"] == before + 1
    assert invariants.check(True, "of_this_test")


def test_the_log_writes_one_json_line_an_event() -> None:
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
    assert first["event"] == "first" and first["proxy"] == "n1" and first["why"] == "a\nb"
    assert "ValueError: odd" in second["trace"] and log.counters() == {"second": 1}


def test_a_log_that_nobody_reads_loses_lines_only() -> None:
    read, write = os.pipe()
    log = EventLog(Clock(), "n1", max_lines=3, descriptor=write)
    for _ in range(2_000):
        log.event("long", text="x" * 1_000)
    assert log.counters()["log_lines_dropped"] > 0
    os.close(read)
    log.close(20.0)
    os.close(write)


def test_the_clock_does_not_lag_when_a_thread_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    waits = iter([50_000_000, 0, 20_000_000])
    monkeypatch.setattr(time, "monotonic_ns", lambda real=time.monotonic_ns: real() + next(waits, 10_000_000))
    clock = Clock()
    monkeypatch.undo()
    assert abs(clock.now() - time.time_ns()) < 10_000_000


def test_the_clock_is_unix_time_and_does_not_go_back() -> None:
    clock = Clock()
    first = clock.now()
    assert abs(first - time.time_ns()) < 5_000_000_000 and clock.now() >= first
