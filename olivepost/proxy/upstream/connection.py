"""Upstream connection as the event loop uses it: it accepts requests, aborts them and drains."""

from __future__ import annotations

from olivepost.proxy.upstream.connection_context import ConnectionContext
from olivepost.proxy.upstream.connection_state import WriterSignal
from olivepost.proxy.upstream.endpoint_address import EndpointAddress
from olivepost.proxy.upstream.request import RequestFilter, UpstreamRequest
from olivepost.proxy.upstream.resources import UpstreamResources
from olivepost.proxy.upstream.writer import ConnectionWriter


class UpstreamConnection:
    """One connection to an endpoint. Only the event loop's thread calls its methods, and none of them blocks.

    The connection's writer or reader thread posts the outcome of each request to the event loop.
    """

    def __init__(self, resources: UpstreamResources, address: EndpointAddress) -> None:
        self._context = ConnectionContext(resources, address)
        self._state = self._context.state

    def start(self) -> None:
        """Starts the writer thread, which connects; raises RuntimeError if no thread can be started."""
        ConnectionWriter(self._context).start()

    @property
    def pending_count(self) -> int:
        """Returns the number of pending requests."""
        return self._state.pending_count

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established and not closing."""
        return self._context.sock is not None and not self._state.is_closing

    @property
    def is_closing(self) -> bool:
        """Whether the connection no longer accepts requests."""
        return self._state.is_closing

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended and holds no file descriptor."""
        return self._context.is_closed

    def can_accept(self, request: UpstreamRequest) -> bool:
        """Whether the request can be sent on this connection.

        The connection must be below its request limit, and the request's id must not have been used on it.
        """
        return self._state.can_accept(request.exchange.id)

    def offer(self, request: UpstreamRequest) -> bool:
        """Accepts a request; returns False if the connection is closing."""
        return self._state.add(request, self)

    def abort(self, request: UpstreamRequest, is_awaited: bool = False) -> bool:
        """Gives a request up.

        A request that is not being written yet is never written. A request that is already being written is
        followed by an `abort` command. If `is_awaited` is set, returns whether an `UpstreamAborted` event
        will follow; until that event, the endpoint may still execute the request. Otherwise returns False.
        """
        return self._state.abort(request, is_awaited)

    def withdraw(self, matches: RequestFilter) -> list[UpstreamRequest]:
        """Removes and returns the requests that `matches` selects and that are not being written yet."""
        return self._state.withdraw(matches)

    def drain(self) -> None:
        """Asks the writer thread to close the connection once no request is pending on it."""
        self._state.outbox.put(WriterSignal.DRAIN)
