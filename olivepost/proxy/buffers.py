"""Buffers of one size that are used again, and bodies that are held in them."""

from __future__ import annotations

import contextlib
import mmap
import threading
from collections.abc import Iterator

from olivepost.proxy import invariants


class BufferPool:
    """Buffers of one size in one mapping, whose pages take memory from their first use on.

    The buffer that was released last is used first, so that no more pages are touched than were ever in use
    at once; `trim` gives the pages of free buffers back to the system. Thread-safe. The condition's lock
    guards the free buffers, the ids of those in use, the peak and the count of threads that wait.
    """

    def __init__(self, capacity: int, size: int) -> None:
        self.capacity = capacity
        self.size = size  # of one buffer, in bytes
        self.peak = 0  # most buffers in use so far
        self._mapping = _map_privately(capacity * size)
        self._free: list[memoryview] = []  # that were in use before, the last one released at the end
        self._offsets: dict[int, int] = {}  # in the mapping, of the buffers made so far, by id
        self._in_use: set[int] = set()
        self._touched: set[int] = set()  # ids of buffers whose pages take memory
        self._waiting = 0
        self._released = threading.Condition()

    @property
    def in_use(self) -> int:
        """Buffers in use."""
        return len(self._in_use)

    @property
    def touched_bytes(self) -> int:
        """Bytes of the mapping that take memory."""
        return len(self._touched) * self.size

    def acquire(self, count: int, timeout_s: float = 0.0) -> list[memoryview] | None:
        """So many buffers at once; None where they don't come free within the timeout.

        All at once, so that bodies which each have a part of what they need can't wait for each other.
        """
        with self._released:
            if self.available < count and not self._wait_for(count, timeout_s):
                return None
            while len(self._free) < count:
                self._free.insert(0, self._new_buffer())
            start = len(self._free) - count
            buffers = self._free[start:]
            del self._free[start:]
            ids = [id(buffer) for buffer in buffers]
            self._in_use.update(ids)
            self._touched.update(ids)
            self.peak = max(self.peak, len(self._in_use))
            return buffers

    @property
    def available(self) -> int:
        """Buffers that could be acquired now."""
        return self.capacity - len(self._in_use)

    def _new_buffer(self) -> memoryview:
        offset = len(self._offsets) * self.size
        buffer = memoryview(self._mapping)[offset : offset + self.size]
        self._offsets[id(buffer)] = offset
        return buffer

    def _wait_for(self, count: int, timeout_s: float) -> bool:
        """Waits with the lock held until so many buffers are free; false at the timeout."""
        self._waiting += 1
        is_enough = self._released.wait_for(lambda: self.available >= count, timeout_s)
        self._waiting -= 1
        return is_enough

    def release(self, buffers: list[memoryview]) -> None:
        """Takes buffers back, each once."""
        with self._released:
            for buffer in buffers:
                if invariants.check(id(buffer) in self._in_use, "buffer_released_once"):
                    self._in_use.discard(id(buffer))
                    self._free.append(buffer)
            if self._waiting:
                self._released.notify_all()

    def trim(self) -> int:
        """Gives the pages of all free buffers back to the system; returns their bytes."""
        with self._released:
            trimmed = [buffer for buffer in self._free if id(buffer) in self._touched]
            for buffer in trimmed:
                # A system that does not do so keeps the pages; they stay in the account then.
                with contextlib.suppress(OSError):
                    self._mapping.madvise(mmap.MADV_DONTNEED, self._offsets[id(buffer)], self.size)
                    self._touched.discard(id(buffer))
            return len(trimmed) * self.size


def _map_privately(size: int) -> mmap.mmap:
    """Maps memory of this process alone; huge pages would take all of it at the first touch."""
    mapping = mmap.mmap(-1, size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
    with contextlib.suppress(OSError):  # a system without huge pages
        mapping.madvise(mmap.MADV_NOHUGEPAGE)
    return mapping


class PooledBody:
    """Bytes in buffers of a pool, which go back once, when the last holder releases them.

    `append` and `parts` are for one thread at a time; any holder's thread may call `share` and `release`.
    The lock guards the count of holders and, at the end, the buffers.
    """

    def __init__(self, pool: BufferPool, buffers: list[memoryview], length: int) -> None:
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
            yield buffer[: min(remaining, len(buffer))]
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
