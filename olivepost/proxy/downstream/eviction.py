"""Eviction: which client connections are closed where others need their slots, threads or memory."""

from __future__ import annotations

from olivepost.proxy.downstream.connection_lifecycle import ConnectionLifecycle
from olivepost.proxy.downstream.connection_set import ConnectionSet
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.units import MILLISECOND, Duration

# A connection that was accepted, or became idle, less long ago is not evicted: its request may be on its way,
# and a reset could overtake its response.
MIN_IDLE_BEFORE_EVICTION: Duration = 50 * MILLISECOND
MAX_EVICTIONS_AT_ONCE = 8  # idle connections that one call of `evict_idle` closes
# Once connections without any request reach a quarter of the cap, they count as a flood: their deadlines end
# them, and no connection that has had requests is evicted for them.
UNUSED_FLOOD_DIVISOR = 4


class ConnectionEvictor:
    """Closes connections without a request in flight. Any thread may call it; it keeps no state."""

    def __init__(self, context: DownstreamContext, connections: ConnectionSet) -> None:
        self._context = context
        self._connections = connections

    def evict_one(self) -> bool:
        """Closes the first candidate that can be closed; returns whether there was one."""
        if not any(connection.evict() for connection in self._candidates()):
            return False
        self._context.log.increment("connections_evicted")
        return True

    @property
    def has_unused_flood(self) -> bool:
        """Whether connections without any request take a large share of the cap."""
        return self._is_flood(self._unused(self._connections.snapshot()))

    def evict_idle(self, needed: ConnectionLifecycle | None = None) -> None:
        """Closes up to `MAX_EVICTIONS_AT_ONCE` connections without a pending response, but not `needed`."""
        for connection in self._candidates()[:MAX_EVICTIONS_AT_ONCE]:
            is_unused = connection is not needed and not connection.has_pending_response
            if is_unused and connection.evict():
                self._context.log.increment("connections_evicted")

    def _candidates(self) -> list[ConnectionLifecycle]:
        """Connections to evict, in order: those without any request yet, else the longest idle.

        One that has sent a part of its first request is left to finish it, but in a flood.
        """
        latest = self._context.clock.now() - MIN_IDLE_BEFORE_EVICTION
        connections = self._connections.snapshot()
        unused = self._unused(connections)
        is_flood = self._is_flood(unused)
        candidates = [
            connection
            for connection in unused
            if connection.idle_since < latest and (is_flood or not connection.has_pending_response)
        ]
        if not candidates and not is_flood:
            candidates = [
                connection
                for connection in connections
                if connection.is_idle and connection.idle_since < latest
            ]
        return sorted(
            candidates, key=lambda connection: (connection.has_pending_response, connection.idle_since)
        )

    def _unused(self, connections: list[ConnectionLifecycle]) -> list[ConnectionLifecycle]:
        return [connection for connection in connections if not connection.has_received_request]

    def _is_flood(self, unused: list[ConnectionLifecycle]) -> bool:
        return len(unused) >= self._context.limits.max_client_connections // UNUSED_FLOOD_DIVISOR
