"""The set of open client connections."""

from __future__ import annotations

import threading

from olivepost.proxy.downstream.connection_lifecycle import ConnectionLifecycle


class ConnectionSet:
    """Thread-safe set of the open client connections, through which other threads reach them.

    `_lock` guards `_connections` and `peak_count`. The number of connections and the peak may be read without
    the lock.
    """

    def __init__(self) -> None:
        self.peak_count = 0  # largest number of connections open at the same time
        self._lock = threading.Lock()
        self._connections: set[ConnectionLifecycle] = set()

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: ConnectionLifecycle) -> None:
        """Adds a connection that has been accepted."""
        with self._lock:
            self._connections.add(connection)
            self.peak_count = max(self.peak_count, len(self._connections))

    def discard(self, connection: ConnectionLifecycle) -> None:
        """Removes a connection whose socket is closed."""
        with self._lock:
            self._connections.discard(connection)

    def snapshot(self) -> list[ConnectionLifecycle]:
        """Returns the connections that are open now, in no particular order."""
        with self._lock:
            return list(self._connections)
