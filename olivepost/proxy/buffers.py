"""Buffers of one size that are used again, and bodies that are held in them."""

from __future__ import annotations

import threading
from collections.abc import Iterator

from olivepost.proxy import invariants


class BufferPool:
    """Buffers of one size, all allocated at once: memory that grows later can't be told from a leak.

    Thread-safe. The condition's lock guards the free buffers, the ids of those in use, the peak and the
    count of threads that wait.
    """

    def __init__(self, capacity: int, size: int) -> None:
        self.capacity = capacity
        self.size = size  # of one buffer, in bytes
        self.peak = 0  # most buffers in use so far
        self._free = [bytearray(size) for _ in range(capacity)]
        self._in_use: set[int] = set()
        self._waiting = 0
        self._released = threading.Condition()

    @property
    def in_use(self) -> int:
        """Buffers in use."""
        return len(self._in_use)

    def acquire(self, count: int, timeout_s: float = 0.0) -> list[bytearray] | None:
        """So many buffers at once; None where they don't come free within the timeout.

        All at once, so that bodies which each have a part of what they need can't wait for each other.
        """
        with self._released:
            if len(self._free) < count and not self._wait_for(count, timeout_s):
                return None
            start = len(self._free) - count
            buffers = self._free[start:]
            del self._free[start:]
            self._in_use.update(map(id, buffers))
            self.peak = max(self.peak, len(self._in_use))
            return buffers

    def _wait_for(self, count: int, timeout_s: float) -> bool:
        """Waits with the lock held until so many buffers are free; false at the timeout."""
        self._waiting += 1
        is_enough = self._released.wait_for(lambda: len(self._free) >= count, timeout_s)
        self._waiting -= 1
        return is_enough

    def release(self, buffers: list[bytearray]) -> None:
        """Takes buffers back, each once."""
        with self._released:
            for buffer in buffers:
                if invariants.check(id(buffer) in self._in_use, "buffer_released_once"):
                    self._in_use.discard(id(buffer))
                    self._free.append(buffer)
            if self._waiting:
                self._released.notify_all()


class PooledBody:
    """Bytes in buffers of a pool, which go back once, when the last holder releases them.

    `append` and `parts` are for one thread at a time; any holder's thread may call `share` and `release`.
    The lock guards the count of holders and, at the end, the buffers.
    """

    def __init__(self, pool: BufferPool, buffers: list[bytearray], length: int) -> None:
        self.length = length
        self._pool = pool
        self._buffers = buffers
        self._filled = 0
        self._holders = 1
        self._lock = threading.Lock()

    @property
    def buffer_count(self) -> int:
        """Buffers that the body holds."""
        return len(self._buffers)

    @classmethod
    def reserve(cls, pool: BufferPool, length: int, timeout_s: float) -> PooledBody | None:
        """An empty body of so many bytes to come; None where the pool has no buffers within the timeout."""
        buffer_count = -(-length // pool.size)
        buffers = pool.acquire(buffer_count, timeout_s)
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
        remaining = self.length
        for buffer in self._buffers:
            yield memoryview(buffer)[: min(remaining, len(buffer))]
            remaining -= len(buffer)

    def share(self) -> PooledBody:
        """Adds a holder, who releases the body as well."""
        with self._lock:
            if invariants.check(self._holders > 0, "shared_body_is_held"):
                self._holders += 1
        return self

    def release(self) -> None:
        """Removes a holder; the last one's buffers go back to the pool."""
        with self._lock:
            if not invariants.check(self._holders > 0, "body_released_once"):
                return
            self._holders -= 1
            if self._holders:
                return
            buffers = self._buffers
            self._buffers = []
        self._pool.release(buffers)
