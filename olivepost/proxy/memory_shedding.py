"""Shedding of memory under memory pressure.

The owners of the memory are told to free it, either by a method call or by an event to the event loop.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from olivepost import interface as api
from olivepost.proxy.buffers import BufferPool
from olivepost.proxy.downstream.downstream_server import DownstreamServer
from olivepost.proxy.messages import MemoryPressureReport
from olivepost.routing import memory_pressure


class MemoryShedder:
    """Component that frees as much memory as the memory pressure level requires.

    `routing.memory_pressure` decides the level: a higher one requires that more memory is freed. Only the
    main thread calls this component, through the memory monitor. The event loop's thread owns the response
    cache, the upstream connections and the router's name table. That thread frees the memory of these three
    itself when it handles the `MemoryPressureReport` that `shed` posts.
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
        """Frees as much memory as the memory pressure level requires.

        The memory monitor calls this method at each check under memory pressure, and once with the level
        `NONE` when the pressure ends.
        """
        self._post(MemoryPressureReport(level))
        limit = memory_pressure.connection_limit(level, self._max_client_connections)
        self._downstream.limit_connections(limit)
        if level >= api.MemoryPressureLevel.CLOSE_IDLE:
            self._downstream.evict_idle()
        if level >= api.MemoryPressureLevel.EVICT_CACHE:
            for pool in self._buffer_pools:
                pool.trim()
