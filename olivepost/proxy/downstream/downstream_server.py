"""The whole client side: listener, admission, connections and deadline watch."""

from __future__ import annotations

import threading
from collections.abc import Callable

from olivepost.config import Address
from olivepost.proxy.downstream.connection_admission import ConnectionAdmission
from olivepost.proxy.downstream.connection_lifecycle import ConnectionLifecycle
from olivepost.proxy.downstream.connection_set import ConnectionSet
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.deadline_watch import DeadlineWatch
from olivepost.proxy.downstream.eviction import ConnectionEvictor
from olivepost.proxy.downstream.listener import ACCEPT_STOP_TIMEOUT_S, Listener


class DownstreamServer:
    """Owner of the parts of the client side; the main thread starts and stops them.

    Any thread may read the counts and flags. The parts share two objects. `connections` has its own lock, and
    the event `_stopped` ends the deadline thread and any wait for a slot.
    """

    def __init__(self, context: DownstreamContext) -> None:
        self.context = context
        self.connections = ConnectionSet()
        self._stopped = threading.Event()
        self._evictor = ConnectionEvictor(context, self.connections)
        self.admission = ConnectionAdmission(context, self.connections, self._evictor, self._stopped)
        self._listener = Listener(context.log, context.limits.backlog, self.admission.admit)
        # Function that the deadline thread calls at each check. The owner may set this field before `listen`.
        self.on_deadline_check: Callable[[], object] = lambda: None
        self._deadline_watch = DeadlineWatch(
            context, self.connections, self._stopped, lambda: self.on_deadline_check()
        )

    @property
    def open_count(self) -> int:
        """Returns the number of open connections."""
        return len(self.connections)

    @property
    def peak_count(self) -> int:
        """Returns the largest number of connections that were open at the same time."""
        return self.connections.peak_count

    @property
    def is_draining(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self.context.is_draining

    @property
    def has_pending_responses(self) -> bool:
        """Whether any client waits for a response or the rest of one, or has sent a part of a request."""
        return any(connection.has_pending_response for connection in self.connections.snapshot())

    def listen(self, address: Address) -> Address:
        """Binds the address and starts to accept connections; returns the bound address.

        Raises OSError if the address can't be bound.
        """
        bound = self._listener.listen(address)
        self._deadline_watch.start()
        return bound

    # `MemoryShedder` calls the next two methods on the main thread. The memory pressure level determines the
    # limit on connections, and whether idle connections are evicted.

    def limit_connections(self, limit: int) -> None:
        """Sets the number of open connections at which no further connection is admitted."""
        self.admission.connection_limit = limit

    def evict_idle(self) -> None:
        """Closes up to `MAX_EVICTIONS_AT_ONCE` connections without a pending response.

        If connections that have had no request may be evicted, only these are closed.
        """
        self._evictor.evict_idle()

    # The graceful shutdown calls the methods below, in this order.

    def drain(self) -> None:
        """Begins the graceful shutdown: every response from now on ends its connection."""
        self.context.is_draining = True

    def close_idle(self) -> list[ConnectionLifecycle]:
        """Half-closes connections without a request in flight; returns those that are not ending yet."""
        return [connection for connection in self.connections.snapshot() if not connection.close_if_idle()]

    def stop_accepting(self, timeout_s: float = ACCEPT_STOP_TIMEOUT_S) -> None:
        """Closes the listener once its accept queue is empty, and waits for the close.

        Returns after `timeout_s` seconds at the latest. The accept thread closes the listener later if its
        accept queue is not empty by then.
        """
        self._listener.stop(timeout_s)

    def stop_watching(self) -> None:
        """Ends the deadline thread and any wait for a slot."""
        self._stopped.set()
