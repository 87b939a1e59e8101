"""State shared by the writer and reader threads of one upstream connection, and the connection's end."""

from __future__ import annotations

import socket

from olivepost.proxy import sockets
from olivepost.proxy.upstream.completion import events_of_loss
from olivepost.proxy.upstream.connection_state import ConnectionState
from olivepost.proxy.upstream.endpoint_address import EndpointAddress
from olivepost.proxy.upstream.liveness import LivenessMonitor
from olivepost.proxy.upstream.request import UpstreamAborted
from olivepost.proxy.upstream.resources import UpstreamResources


class ConnectionContext:
    """Parts of one connection that its writer and reader threads share.

    Only the writer thread sets `sock` and `is_closed`, and only the reader thread writes `liveness`. Both
    threads may call the methods.
    """

    def __init__(self, resources: UpstreamResources, address: EndpointAddress) -> None:
        self.resources = resources
        self.address = address
        self.state = ConnectionState(resources.limits.max_requests_per_connection)
        self.liveness = LivenessMonitor(resources.limits)
        self.sock: socket.socket | None = None  # None until the connection is established
        self.is_closed = False  # whether the connection has ended and holds no file descriptor

    def record_loss(self, reason: str) -> None:
        """Logs the loss of the connection and its reason, unless the connection is already closing."""
        if self.state.is_closing:
            return
        log = self.resources.log
        log.increment("upstream_connections_lost")
        log.event(
            "upstream_connection_lost",
            endpoint=self.address.id,
            reason=reason,
            open_requests=self.state.pending_count,
        )

    def confirm_abort(self, aborted: UpstreamAborted) -> None:
        """Reports to the event loop that an abort was written, or that this connection has ended.

        Each abort is reported only once, and only if the event loop awaits the report.
        """
        if self.state.take_awaited_abort(aborted):
            self.resources.post(aborted)

    def end(self, *, is_local_failure: bool = False) -> None:
        """Ends the connection, and reports exactly once the outcome of each request pending on it.

        `is_local_failure` means that the cause lies in this process or its machine and that the endpoint is
        not at fault.

        The socket is shut down before any outcome is reported. The event loop may forward a reported request
        again at once, and two attempts of an exchange must not be in flight at the same time.
        """
        unfinished = self.state.close()
        if self.sock is not None:
            sockets.shutdown(self.sock)
        for aborted in unfinished.aborts:
            self.confirm_abort(aborted)
        lost_at = self.resources.clock.now()
        was_connected = self.sock is not None
        for event in events_of_loss(unfinished.requests, lost_at, was_connected, is_local_failure):
            self.resources.post(event)
