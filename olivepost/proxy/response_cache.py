"""The proxy's own response cache. The bodies of its entries are in buffers of the body pool.

The router decides which responses are stored and served; this module decides which entries are evicted.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from olivepost.proxy.buffers import PooledBody
from olivepost.proxy.exchange import Exchange, Response, ResponseKind
from olivepost.units import Instant


class CacheKey(NamedTuple):
    """The fields that identify a cached response."""

    class_name: str
    object: str
    part: int


@dataclass(slots=True)
class CacheEntry:
    """One cached response. The entry is one of the holders of its body."""

    group: int
    etag: str | None
    generated_at: Instant  # time at which the origin generated the response
    body: PooledBody


def cache_key(exchange: Exchange) -> CacheKey:
    """Returns the key under which the cache stores the response to an exchange's request."""
    return CacheKey(exchange.class_name, exchange.object, exchange.part)


class ResponseCache:
    """A least-recently-used cache of responses by key, limited by the number of buffers of their bodies.

    Only the event loop's thread uses it, but any thread may read the number of entries with `len`. An entry
    is one holder of its body, and a response that is being written is another holder. If the entry is
    evicted, the buffers therefore remain in use until the response has been written.
    """

    def __init__(self, max_buffers: int) -> None:
        self._max_buffers = max_buffers
        self._buffer_count = 0
        self._entries: OrderedDict[CacheKey, CacheEntry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, exchange: Exchange) -> CacheEntry | None:
        """Returns the cache entry for an exchange's request, and marks the entry as the most recently used.

        Returns None if there is no such entry.
        """
        key = cache_key(exchange)
        if key in self._entries:
            self._entries.move_to_end(key)
        return self._entries.get(key)

    def store(self, exchange: Exchange, response: Response) -> None:
        """Stores a response, and replaces an older entry with the same key.

        The new entry becomes another holder of the response's body. A response is not stored if it has no
        body, if its age is unknown, or if it is larger than the whole cache.
        """
        body = response.body
        generated_at = response.generated_at
        if generated_at is None or generated_at <= 0:
            return
        if body is None or body.buffer_count > self._max_buffers:
            return
        key = cache_key(exchange)
        self._evict(key)
        self._entries[key] = CacheEntry(exchange.group, response.etag, generated_at, body.share())
        self._buffer_count += body.buffer_count
        while self._buffer_count > self._max_buffers:
            oldest = next(iter(self._entries))
            self._evict(oldest)

    def invalidate(self, object_name: str | None, group: int | None, invalidated_at: Instant) -> None:
        """Evicts the entries of an object, or of a group if no object is given.

        Only entries whose responses were generated at `invalidated_at` or earlier are evicted.
        """
        for key, entry in list(self._entries.items()):
            is_covered = key.object == object_name if object_name else entry.group == group
            if is_covered and entry.generated_at <= invalidated_at:
                self._evict(key)

    def evict_half(self) -> None:
        """Evicts the less recently used half of the entries."""
        for key in list(self._entries)[: (len(self._entries) + 1) // 2]:
            self._evict(key)

    def clear(self) -> None:
        """Evicts all entries."""
        for key in list(self._entries):
            self._evict(key)

    def _evict(self, key: CacheKey) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._buffer_count -= entry.body.buffer_count
            entry.body.release()


def response_from(exchange: Exchange, entry: CacheEntry) -> Response:
    """Builds the response to a request from a cache entry.

    The response has no body if the client's copy has the same entity tag.
    """
    if exchange.etag is not None and exchange.etag == entry.etag:
        return Response(ResponseKind.NOT_MODIFIED, entry.etag)
    return Response(ResponseKind.SERVED, entry.etag, entry.body.share(), entry.generated_at)
