"""Eviction of client connections whose slots, threads or memory are needed for other connections."""

from __future__ import annotations

from olivepost.proxy.downstream.connection_lifecycle import ConnectionLifecycle
from olivepost.proxy.downstream.connection_set import ConnectionSet
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.units import MILLISECOND, Duration

# A connection is not evicted within this time after it was accepted or became idle, because its next request
# may be on its way, and a reset could overtake its last response.
MIN_IDLE_BEFORE_EVICTION: Duration = 50 * MILLISECOND
MAX_EVICTIONS_AT_ONCE = 8  # largest number of connections that one call of `evict_idle` closes
# Unused connections, which have had no request, are a flood if they are at least a quarter of the connection
# cap. The connections of a flood are closed at their own deadlines at the latest, and no connection that has
# had a request is evicted to make room for them.
UNUSED_FLOOD_DIVISOR = 4


class ConnectionEvictor:
    """Stateless evictor of connections without a request in flight. Any thread may call its methods."""

    def __init__(self, context: DownstreamContext, connections: ConnectionSet) -> None:
        self._context = context
        self._connections = connections

    def evict_one(self) -> bool:
        """Closes the first evictable connection that can be closed; returns whether one was closed."""
        if not any(connection.evict() for connection in self._candidates()):
            return False
        self._context.log.increment("connections_evicted")
        return True

    @property
    def has_unused_flood(self) -> bool:
        """Whether connections that have had no request take at least a quarter of the connection cap.

        Such connections are called a flood.
        """
        return self._is_flood(self._unused(self._connections.snapshot()))

    def evict_idle(self, excluded: ConnectionLifecycle | None = None) -> None:
        """Closes up to `MAX_EVICTIONS_AT_ONCE` connections without a pending response, except `excluded`."""
        for connection in self._candidates()[:MAX_EVICTIONS_AT_ONCE]:
            is_evictable = connection is not excluded and not connection.has_pending_response
            if is_evictable and connection.evict():
                self._context.log.increment("connections_evicted")

    def _candidates(self) -> list[ConnectionLifecycle]:
        """Returns the connections that may be evicted, in the order in which to evict them.

        Each of these connections has been idle for longer than `MIN_IDLE_BEFORE_EVICTION`. There is a flood
        if connections that have had no request take at least a quarter of the connection cap.

        Unless there is a flood, the method returns the connections that have sent nothing yet or, if there
        are none, the idle connections that have had a request. A connection that has sent a part of its first
        request is not evicted, so that it can finish the request. In a flood, the method returns all
        connections that have not sent a complete request, and no others. Connections that have sent a part of
        a request come last; otherwise the connection that has been idle longest comes first.
        """
        idle_before = self._context.clock.now() - MIN_IDLE_BEFORE_EVICTION
        connections = self._connections.snapshot()
        unused = self._unused(connections)
        is_flood = self._is_flood(unused)
        candidates = [
            connection
            for connection in unused
            if connection.idle_since < idle_before and (is_flood or not connection.has_pending_response)
        ]
        if not candidates and not is_flood:
            candidates = [
                connection
                for connection in connections
                if connection.is_idle and connection.idle_since < idle_before
            ]
        return sorted(
            candidates, key=lambda connection: (connection.has_pending_response, connection.idle_since)
        )

    def _unused(self, connections: list[ConnectionLifecycle]) -> list[ConnectionLifecycle]:
        return [connection for connection in connections if not connection.has_received_request]

    def _is_flood(self, unused: list[ConnectionLifecycle]) -> bool:
        return len(unused) >= self._context.limits.max_client_connections // UNUSED_FLOOD_DIVISOR
