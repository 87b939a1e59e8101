"""Unit tests of the proxy's response cache."""

from __future__ import annotations

import pytest

from olivepost.proxy.buffers import BufferPool, PooledBody
from olivepost.proxy.exchange import Exchange, Response, ResponseKind
from olivepost.proxy.response_cache import ResponseCache, response_from


def make_exchange(part: int, group: int = 1, etag: str | None = None) -> Exchange:
    return Exchange("1", "a", "b", part, group, etag, b"", 1, 1, lambda *_: None, bool)


def make_response(pool: BufferPool, text: bytes, generated_at: int | None) -> Response:
    body = PooledBody.reserve(pool, len(text), 0)
    assert body is not None
    body.append(memoryview(text))
    return Response(ResponseKind.SERVED, "t", body, generated_at)


def test_entries_are_evicted_by_use_and_by_invalidations() -> None:
    pool = BufferPool(20, 10)
    cache = ResponseCache(3)
    for part in range(4):
        response = make_response(pool, b"0123456789", 100 + part)
        cache.store(make_exchange(part, group=part % 2), response)
        response.release()
        assert cache.get(make_exchange(0)) is not None  # the most recently used entry is not evicted
    assert len(cache) == 3
    assert pool.in_use == 3
    assert cache.get(make_exchange(1)) is None
    cache.invalidate(None, 0, 101)
    assert cache.get(make_exchange(0)) is None
    assert cache.get(make_exchange(2)) is not None
    cache.invalidate("b", None, 102)
    assert cache.get(make_exchange(2)) is None
    assert cache.get(make_exchange(3)) is not None
    entry = cache.get(make_exchange(3))
    assert entry is not None
    assert response_from(make_exchange(3, etag="t"), entry).kind is ResponseKind.NOT_MODIFIED
    served = response_from(make_exchange(3, etag="u"), entry)
    cache.clear()
    assert served.body is not None
    assert b"".join(served.body.parts()) == b"0123456789"
    served.release()
    assert pool.in_use == 0


@pytest.mark.parametrize("generated_at", [None, 0])
def test_response_of_unknown_age_is_not_stored(generated_at: int | None) -> None:
    pool = BufferPool(4, 10)
    cache = ResponseCache(3)
    response = make_response(pool, b"x", generated_at)
    cache.store(make_exchange(1), response)
    response.release()
    assert len(cache) == 0
    assert pool.in_use == 0
