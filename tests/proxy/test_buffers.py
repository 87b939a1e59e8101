"""Tests of the buffer pool and of pooled bodies."""

from __future__ import annotations

import threading

import pytest

from olivepost.proxy.buffers import BufferPool, PooledBody


def test_released_buffers_are_used_again() -> None:
    pool = BufferPool(4, 10)
    body = PooledBody.reserve(pool, 25, 0)
    assert body is not None
    assert pool.in_use == 3
    body.append(memoryview(b"0123456789abc"))
    body.append(memoryview(b"defghijklmno"))
    assert b"".join(body.parts()) == b"0123456789abcdefghijklmno"
    last = pool.acquire(1)
    assert last is not None
    assert pool.acquire(1) is None
    body.release()
    with pytest.raises(AssertionError, match="body_released_once"):
        body.release()
    assert pool.in_use == 1
    again = pool.acquire(3)
    assert again is not None
    assert pool.peak == 4
    pool.release(again + last)
    assert pool.in_use == 0


def test_shared_body_is_released_by_its_last_holder() -> None:
    pool = BufferPool(4, 10)
    body = PooledBody.reserve(pool, 10, 0)
    assert body is not None
    shared = body.share()
    body.release()
    assert pool.in_use == 1
    shared.release()
    assert pool.in_use == 0


def test_empty_pool_waits_for_buffers_that_are_released() -> None:
    pool = BufferPool(1, 10)
    buffers = pool.acquire(1)
    assert buffers is not None
    acquired: list[list[memoryview] | None] = []
    waiter = threading.Thread(target=lambda: acquired.append(pool.acquire(1, 20.0)))
    waiter.start()
    pool.release(buffers)
    waiter.join(20.0)
    assert acquired == [buffers]


def test_buffer_is_released_only_once() -> None:
    pool = BufferPool(2, 10)
    buffers = pool.acquire(1)
    assert buffers is not None
    pool.release(buffers)
    with pytest.raises(AssertionError, match="buffer_released_once"):
        pool.release(buffers)
    assert len(set(map(id, pool.acquire(2) or []))) == 2


def test_buffers_take_memory_from_their_first_use_until_they_are_trimmed() -> None:
    pool = BufferPool(100, 4_096)
    assert pool.touched_bytes == 0
    taken = pool.acquire(10)
    assert taken is not None
    taken[0][:3] = b"abc"
    pool.release(taken)
    again = pool.acquire(4)
    assert again is not None
    # The pool hands out used buffers first, so the second `acquire` has touched no further buffer.
    assert pool.touched_bytes == 10 * 4_096
    assert pool.trim() == 6 * 4_096
    assert pool.touched_bytes == 4 * 4_096
    pool.release(again)
    all_buffers = pool.acquire(100)
    assert all_buffers is not None
    assert len({id(buffer) for buffer in all_buffers}) == 100
    for number, buffer in enumerate(all_buffers):
        buffer[:] = bytes([number]) * 4_096
    assert [buffer[4_095] for buffer in all_buffers] == list(range(100))
    pool.release(all_buffers)
