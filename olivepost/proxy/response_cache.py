"""The front's own copies, in buffers of the pool. Which are kept and served, the router decides."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from olivepost.proxy.buffers import PooledBody
from olivepost.proxy.exchange import Exchange, Response, ResponseKind

CacheKey = tuple[str, str, int]


@dataclass(slots=True)
class CacheEntry:
    """One copy; `generated_at` is when the origin gave it out, in Unix nanoseconds."""

    group: int
    etag: str
    generated_at: int
    body: PooledBody


def cache_key(exchange: Exchange) -> CacheKey:
    """What names a copy."""
    return exchange.class_name, exchange.object, exchange.part


class ResponseCache:
    """Copies by name; the one that was used longest ago makes room. Only the engine's thread calls this."""

    def __init__(self, most: int) -> None:
        self._most, self._buffers = most, 0
        self._kept: OrderedDict[CacheKey, CacheEntry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kept)

    def get(self, exchange: Exchange) -> CacheEntry | None:
        """The copy of what is asked for."""
        key = cache_key(exchange)
        if key in self._kept:
            self._kept.move_to_end(key)
        return self._kept.get(key)

    def store(self, exchange: Exchange, answer: Response) -> None:
        """Takes a share of an answer's body, in place of an older copy."""
        if answer.body is None or answer.generated_at <= 0 or answer.body.buffer_count > self._most:
            return
        key = cache_key(exchange)
        self._drop(key)
        self._kept[key] = CacheEntry(exchange.group, answer.etag, answer.generated_at, answer.body.share())
        self._buffers += answer.body.buffer_count
        while self._buffers > self._most:
            self._drop(next(iter(self._kept)))

    def invalidate(self, name: str | None, group: int | None, before: int) -> None:
        """Drops what is older than a purge: a router forgets purges once no cache holds such copies."""
        for key, kept in list(self._kept.items()):
            named = key[1] == name if name else kept.group == group
            if named and kept.generated_at <= before:
                self._drop(key)

    def clear(self) -> None:
        for key in list(self._kept):
            self._drop(key)

    def _drop(self, key: CacheKey) -> None:
        kept = self._kept.pop(key, None)
        if kept is not None:
            self._buffers -= kept.body.buffer_count
            kept.body.release()


def response_from(exchange: Exchange, kept: CacheEntry) -> Response:
    """A copy as the answer: only word of it where the client has the same."""
    if exchange.etag and exchange.etag == kept.etag:
        return Response(ResponseKind.NOT_MODIFIED, kept.etag)
    return Response(ResponseKind.SERVED, kept.etag, kept.body.share(), kept.generated_at)
