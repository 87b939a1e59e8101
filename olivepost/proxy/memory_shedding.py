"""Shedding of memory under memory pressure, by calls and a message to the owners of the memory."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from olivepost import interface as api
from olivepost.proxy.buffers import BufferPool
from olivepost.proxy.downstream.downstream_server import DownstreamServer
from olivepost.proxy.messages import MemoryPressureReport
from olivepost.routing import memory_pressure


class MemoryShedder:
    """Component that frees memory according to the level that `routing.memory_pressure` decides.

    Only the main thread calls it, through the memory monitor. Memory that the event loop's thread owns
    (response cache, upstream connections, names) is freed on that thread when it handles the posted report.
    """

    def __init__(
        self,
        post: Callable[[MemoryPressureReport], None],
        downstream: DownstreamServer,
        max_client_connections: int,
        buffer_pools: Sequence[BufferPool],
    ) -> None:
        self._post = post
        self._downstream = downstream
        self._max_client_connections = max_client_connections
        self._buffer_pools = buffer_pools

    def shed(self, level: api.MemoryPressureLevel) -> None:
        """Frees the memory that the level requires.

        Called at each check under memory pressure, and once with `NONE` when the pressure ends.
        """
        self._post(MemoryPressureReport(level))
        limit = memory_pressure.connection_limit(level, self._max_client_connections)
        self._downstream.limit_connections(limit)
        if level >= api.MemoryPressureLevel.CLOSE_IDLE:
            self._downstream.evict_idle()
        if level >= api.MemoryPressureLevel.EVICT_CACHE:
            for pool in self._buffer_pools:
                pool.trim()
