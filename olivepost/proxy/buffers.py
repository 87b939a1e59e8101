"""Pools of buffers of one size, and bodies in such buffers."""

from __future__ import annotations

import contextlib
import mmap
import threading
from collections.abc import Iterator

from olivepost.proxy import invariants


class BufferPool:
    """Buffers of one size in one memory mapping; each takes memory from its first use on.

    The buffer that was released last is used first, so that no more of them are touched than were ever in use
    at once; `trim` returns the memory of free buffers to the system. Thread-safe: the lock of `_released`
    guards all other private fields and `peak`; counts may be read without it.
    """

    def __init__(self, capacity: int, buffer_bytes: int) -> None:
        self.capacity = capacity  # in buffers
        self.buffer_bytes = buffer_bytes  # of one buffer
        self.peak = 0  # most buffers in use so far
        self._mapping = _map_privately(capacity * buffer_bytes)
        self._free: list[memoryview] = []  # in the order in which they were released
        self._offsets: dict[int, int] = {}  # in the mapping, of the buffers made so far, by id
        self._in_use: set[int] = set()
        self._touched: set[int] = set()  # ids of buffers whose pages take memory
        self._waiting_threads = 0
        self._released = threading.Condition()

    @property
    def in_use(self) -> int:
        """Buffers in use."""
        return len(self._in_use)

    @property
    def touched_bytes(self) -> int:
        """Bytes of the mapping that take memory."""
        return len(self._touched) * self.buffer_bytes

    def acquire(self, count: int, timeout_s: float = 0.0) -> list[memoryview] | None:
        """Takes so many buffers; None where they don't come free within the timeout.

        They are taken all at once: bodies that each had some of their buffers could wait for each other.
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
        offset = len(self._offsets) * self.buffer_bytes
        buffer = memoryview(self._mapping)[offset : offset + self.buffer_bytes]
        self._offsets[id(buffer)] = offset
        return buffer

    def _wait_for(self, count: int, timeout_s: float) -> bool:
        """Waits, with the lock held, until so many buffers are free; false at the timeout."""
        self._waiting_threads += 1
        is_enough = self._released.wait_for(lambda: self.available >= count, timeout_s)
        self._waiting_threads -= 1
        return is_enough

    def release(self, buffers: list[memoryview]) -> None:
        """Returns buffers to the pool, each once."""
        with self._released:
            for buffer in buffers:
                if invariants.check(id(buffer) in self._in_use, "buffer_released_once"):
                    self._in_use.discard(id(buffer))
                    self._free.append(buffer)
            if self._waiting_threads:
                self._released.notify_all()

    def trim(self) -> int:
        """Returns the memory of all free buffers to the system; returns its size in bytes."""
        with self._released:
            trimmed = [buffer for buffer in self._free if id(buffer) in self._touched]
            for buffer in trimmed:
                # Where the system keeps the pages, they still count in `touched_bytes`.
                with contextlib.suppress(OSError):
                    self._mapping.madvise(mmap.MADV_DONTNEED, self._offsets[id(buffer)], self.buffer_bytes)
                    self._touched.discard(id(buffer))
            return len(trimmed) * self.buffer_bytes


def _map_privately(size_bytes: int) -> mmap.mmap:
    """Maps memory of this process alone, without huge pages: they would take all of it at the first touch."""
    mapping = mmap.mmap(-1, size_bytes, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
    with contextlib.suppress(OSError):  # a system without huge pages
        mapping.madvise(mmap.MADV_NOHUGEPAGE)
    return mapping


class PooledBody:
    """Bytes in buffers of a pool, which are released once, by the last holder.

    `append` and `parts` are for one thread at a time; any holder's thread may call `share` and `release`.
    `_lock` guards `_holders` and, at the end, `_buffers`.
    """

    def __init__(self, pool: BufferPool, buffers: list[memoryview], length: int) -> None:
        self.length = length  # in bytes
        self._pool = pool
        self._buffers = buffers
        self._filled = 0  # bytes appended so far
        self._holders = 1
        self._lock = threading.Lock()

    @property
    def buffer_count(self) -> int:
        """Buffers that the body holds."""
        return len(self._buffers)

    @classmethod
    def reserve(cls, pool: BufferPool, length: int, timeout_s: float) -> PooledBody | None:
        """Makes an empty body for so many bytes; None where the pool has no buffers within the timeout."""
        buffer_count = -(-length // pool.buffer_bytes)
        buffers = pool.acquire(buffer_count, timeout_s)
        return None if buffers is None else cls(pool, buffers, length)

    def append(self, data: memoryview) -> None:
        """Appends bytes, no more than were reserved."""
        while data:
            index, start = divmod(self._filled, self._pool.buffer_bytes)
            part = data[: self._pool.buffer_bytes - start]
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
        """Removes a holder; the last one releases the buffers to the pool."""
        with self._lock:
            if not invariants.check(self._holders > 0, "body_released_once"):
                return
            self._holders -= 1
            if self._holders:
                return
            buffers = self._buffers
            self._buffers = []
        self._pool.release(buffers)
