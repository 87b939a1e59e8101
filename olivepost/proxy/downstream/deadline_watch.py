"""The thread that closes client connections whose deadline has passed."""

from __future__ import annotations

import threading
from collections.abc import Callable

from olivepost.proxy.downstream.connection_set import ConnectionSet
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.threads import START_TIMEOUT_S, start_thread

# Time between two checks of all deadlines. A connection may stay open for this time after its deadline.
DEADLINE_CHECK_INTERVAL_S = 0.1


class DeadlineWatch:
    """The deadline thread, which checks all client connections and closes those whose deadline has passed.

    The thread runs from `start` until `stopped` is set. It does not set the deadlines; each connection sets
    its own. The thread also calls `on_check` at each check.
    """

    def __init__(
        self,
        context: DownstreamContext,
        connections: ConnectionSet,
        stopped: threading.Event,
        on_check: Callable[[], object],
    ) -> None:
        self._context = context
        self._connections = connections
        self._stopped = stopped
        self._on_check = on_check

    def start(self) -> None:
        """Starts the thread; raises RuntimeError if the system can't start one in time."""
        start_thread(self._run, "deadlines", START_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopped.wait(DEADLINE_CHECK_INTERVAL_S):
            try:
                self._expire_connections()
                self._on_check()
            # Top level of the thread: no error may end it, since all deadlines depend on it.
            except Exception:
                self._context.log.exception("deadline_error")

    def _expire_connections(self) -> None:
        log = self._context.log
        now = self._context.clock.now()
        overdue = [connection for connection in self._connections.snapshot() if connection.is_overdue(now)]
        for connection in overdue:
            log.increment("connection_deadlines_exceeded")
            try:
                connection.expire()
            except Exception:  # an unexpected error in one connection must not keep the others open
                log.exception("downstream_connection_error")
