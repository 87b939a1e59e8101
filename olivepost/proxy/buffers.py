"""Pools of equally sized buffers, and bodies of HTTP messages that are stored in such buffers."""

from __future__ import annotations

import contextlib
import mmap
import threading
from collections.abc import Iterator

from olivepost.proxy import invariants


class BufferPool:
    """A pool of equally sized buffers in one memory mapping. A buffer occupies memory from its first use on.

    The buffer that was released last is acquired first. The number of buffers that occupy memory therefore
    never exceeds `peak`, the largest number that were in use at once. `trim` gives the memory of free buffers
    back to the system. The class is thread-safe: the lock of the condition `_released` guards all other
    private fields and `peak`. Any thread may read the counts without the lock.
    """

    def __init__(self, capacity: int, buffer_bytes: int) -> None:
        self.capacity = capacity  # number of buffers in the pool
        self.buffer_bytes = buffer_bytes  # size of one buffer in bytes
        self.peak = 0  # largest number of buffers in use at once so far
        self._mapping = map_privately(capacity * buffer_bytes)
        self._free: list[memoryview] = []  # the buffer released last is at the end
        # Offset in `_mapping` of each buffer created so far, by `id()` of the buffer.
        self._offsets: dict[int, int] = {}
        self._in_use: set[int] = set()
        self._touched: set[int] = set()  # `id()` of each buffer that occupies memory
        self._waiting_threads = 0
        self._released = threading.Condition()

    @property
    def in_use(self) -> int:
        """Number of buffers in use."""
        return len(self._in_use)

    @property
    def touched_bytes(self) -> int:
        """Total size in bytes of the buffers that occupy memory."""
        return len(self._touched) * self.buffer_bytes

    def acquire(self, count: int, timeout_s: float = 0.0) -> list[memoryview] | None:
        """Acquires `count` buffers; returns None if they do not become available within the timeout.

        All `count` buffers are acquired together. Otherwise, two bodies that have each acquired a part of
        their buffers could wait for each other.
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
        """Number of buffers that can be acquired now."""
        return self.capacity - len(self._in_use)

    def _new_buffer(self) -> memoryview:
        offset = len(self._offsets) * self.buffer_bytes
        buffer = memoryview(self._mapping)[offset : offset + self.buffer_bytes]
        self._offsets[id(buffer)] = offset
        return buffer

    def _wait_for(self, count: int, timeout_s: float) -> bool:
        """Waits until `count` buffers are available. The caller holds the lock of `_released`.

        Returns True if the buffers are available, and False if the timeout has ended the wait.
        """
        self._waiting_threads += 1
        is_enough = self._released.wait_for(lambda: self.available >= count, timeout_s)
        self._waiting_threads -= 1
        return is_enough

    def release(self, buffers: list[memoryview]) -> None:
        """Gives buffers back to the pool. Each acquired buffer must be released exactly once."""
        with self._released:
            for buffer in buffers:
                if invariants.check(id(buffer) in self._in_use, "buffer_released_once"):
                    self._in_use.discard(id(buffer))
                    self._free.append(buffer)
            if self._waiting_threads:
                self._released.notify_all()

    def trim(self) -> int:
        """Gives the memory of all free buffers back to the system.

        Returns the size in bytes of the free buffers that occupied memory before the call.
        """
        with self._released:
            trimmed = [buffer for buffer in self._free if id(buffer) in self._touched]
            for buffer in trimmed:
                # If `madvise` fails, the buffer keeps its memory pages, and `touched_bytes` still includes
                # it.
                with contextlib.suppress(OSError):
                    self._mapping.madvise(mmap.MADV_DONTNEED, self._offsets[id(buffer)], self.buffer_bytes)
                    self._touched.discard(id(buffer))
            return len(trimmed) * self.buffer_bytes


def map_privately(size_bytes: int) -> mmap.mmap:
    """Returns a mapping of private memory without huge pages.

    With huge pages, the first access to the mapping would make all of it occupy memory.
    """
    mapping = mmap.mmap(-1, size_bytes, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
    # `madvise` fails on a system that has no huge pages, where the advice is not needed.
    with contextlib.suppress(OSError):
        mapping.madvise(mmap.MADV_NOHUGEPAGE)
    return mapping


class PooledBody:
    """A message body in the buffers of a pool. The body's last holder releases the buffers, exactly once.

    A holder is any code that still needs the body. Only one thread at a time may call `append` and `parts`;
    the thread of any holder may call `share` and `release`. `_lock` guards `_holders` and, when the last
    holder releases the body, `_buffers`.
    """

    def __init__(self, pool: BufferPool, buffers: list[memoryview], length: int) -> None:
        self.length = length  # size of the complete body in bytes
        self._pool = pool
        self._buffers = buffers
        self._filled = 0  # bytes appended so far
        self._holders = 1
        self._lock = threading.Lock()

    @property
    def buffer_count(self) -> int:
        """Number of buffers that the body holds."""
        return len(self._buffers)

    @classmethod
    def reserve(cls, pool: BufferPool, length: int, timeout_s: float) -> PooledBody | None:
        """Returns an empty body with buffers for `length` bytes.

        Returns None if the pool does not have enough buffers available within the timeout.
        """
        buffer_count = -(-length // pool.buffer_bytes)
        buffers = pool.acquire(buffer_count, timeout_s)
        return None if buffers is None else cls(pool, buffers, length)

    def append(self, data: memoryview) -> None:
        """Appends bytes to the body. All appended bytes together must not exceed the reserved length."""
        while data:
            index, start = divmod(self._filled, self._pool.buffer_bytes)
            part = data[: self._pool.buffer_bytes - start]
            self._buffers[index][start : start + len(part)] = part
            self._filled += len(part)
            data = data[len(part) :]

    def parts(self) -> Iterator[memoryview]:
        """Yields the bytes of the body in order, one buffer after another."""
        remaining = self.length
        for buffer in self._buffers:
            yield buffer[: min(remaining, len(buffer))]
            remaining -= len(buffer)

    def share(self) -> PooledBody:
        """Adds a holder and returns this body. The new holder must call `release` as well."""
        with self._lock:
            if invariants.check(self._holders > 0, "shared_body_is_held"):
                self._holders += 1
        return self

    def release(self) -> None:
        """Removes a holder. If it was the last one, gives the buffers back to the pool."""
        with self._lock:
            if not invariants.check(self._holders > 0, "body_released_once"):
                return
            self._holders -= 1
            if self._holders:
                return
            buffers = self._buffers
            self._buffers = []
        self._pool.release(buffers)
