"""Buffers of one size, used again from a pool."""

from __future__ import annotations

import threading
from collections.abc import Iterator

from olivepost.proxy import invariants


class BufferPool:
    """Buffers of one size, all made at once: memory that grows later can't be told from a leak."""

    def __init__(self, most: int, size: int) -> None:
        self.capacity, self.size = most, size
        self._free = [bytearray(size) for _ in range(most)]
        self._out: set[int] = set()
        self.peak = self._waiting = 0
        self._returned = threading.Condition()

    @property
    def in_use(self) -> int:
        """How many are in use."""
        return len(self._out)

    def acquire(self, count: int, within: float = 0.0) -> list[bytearray] | None:
        """So many buffers at once, or none where they don't come free in time.

        All at once, so that bodies which each have a part of what they need can't wait for each other.
        """
        with self._returned:
            if len(self._free) < count:
                self._waiting += 1
                enough = self._returned.wait_for(lambda: len(self._free) >= count, within)
                self._waiting -= 1
                if not enough:
                    return None
            at = len(self._free) - count
            taken = self._free[at:]
            del self._free[at:]
            self._out.update(map(id, taken))
            self.peak = max(self.peak, len(self._out))
            return taken

    def release(self, buffers: list[bytearray]) -> None:
        """Takes buffers back, each once."""
        with self._returned:
            for buffer in buffers:
                if invariants.check(id(buffer) in self._out, "buffer_back_once"):
                    self._out.discard(id(buffer))
                    self._free.append(buffer)
            if self._waiting:
                self._returned.notify_all()


class PooledBody:
    """Bytes in buffers of a pool, which go back once, when the last who shares them lets go."""

    def __init__(self, pool: BufferPool, buffers: list[bytearray], length: int) -> None:
        self._pool, self._buffers, self.length = pool, buffers, length
        self._filled, self._shares = 0, 1
        self._lock = threading.Lock()

    @property
    def buffer_count(self) -> int:
        """How many buffers it holds."""
        return len(self._buffers)

    @classmethod
    def reserve(cls, pool: BufferPool, length: int, within: float) -> PooledBody | None:
        """Room for so many bytes; None where the pool has none in time."""
        buffers = pool.acquire(-(-length // pool.size), within)
        return None if buffers is None else cls(pool, buffers, length)

    def append(self, data: memoryview) -> None:
        """Appends bytes, no more than were reserved."""
        while data:
            index, start = divmod(self._filled, self._pool.size)
            part = data[: self._pool.size - start]
            self._buffers[index][start : start + len(part)] = part
            self._filled += len(part)
            data = data[len(part) :]

    def parts(self) -> Iterator[memoryview]:
        """The bytes, in order."""
        left = self.length
        for buffer in self._buffers:
            yield memoryview(buffer)[: min(left, len(buffer))]
            left -= len(buffer)

    def share(self) -> PooledBody:
        """One more who reads these bytes and releases them."""
        with self._lock:
            if invariants.check(self._shares > 0, "body_shared_while_held"):
                self._shares += 1
        return self

    def release(self) -> None:
        """Lets go; the last one gives the buffers back."""
        with self._lock:
            if not invariants.check(self._shares > 0, "body_released_once"):
                return
            self._shares -= 1
            if self._shares:
                return
            buffers, self._buffers = self._buffers, []
        self._pool.release(buffers)
