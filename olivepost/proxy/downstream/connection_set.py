"""The set of open client connections."""

from __future__ import annotations

import threading

from olivepost.proxy.downstream.connection_lifecycle import ConnectionLifecycle


class ConnectionSet:
    """The open downstream connections, as other threads than their own see them. Thread-safe.

    `_lock` guards `_connections` and `peak_count`; their length and the peak may be read without it.
    """

    def __init__(self) -> None:
        self.peak_count = 0  # of connections open at the same time
        self._lock = threading.Lock()
        self._connections: set[ConnectionLifecycle] = set()

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: ConnectionLifecycle) -> None:
        """Records a connection that has been accepted."""
        with self._lock:
            self._connections.add(connection)
            self.peak_count = max(self.peak_count, len(self._connections))

    def discard(self, connection: ConnectionLifecycle) -> None:
        """Removes a connection whose socket is closed."""
        with self._lock:
            self._connections.discard(connection)

    def snapshot(self) -> list[ConnectionLifecycle]:
        """The connections that are open now, in no order."""
        with self._lock:
            return list(self._connections)
