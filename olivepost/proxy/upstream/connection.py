"""An upstream connection as the event loop uses it: it accepts requests, gives them up and drains."""

from __future__ import annotations

from olivepost.proxy.upstream.connection_context import ConnectionContext
from olivepost.proxy.upstream.connection_state import WriterSignal
from olivepost.proxy.upstream.endpoint_address import EndpointAddress
from olivepost.proxy.upstream.request import RequestFilter, UpstreamRequest
from olivepost.proxy.upstream.resources import UpstreamResources
from olivepost.proxy.upstream.writer import ConnectionWriter


class UpstreamConnection:
    """One connection to an endpoint. The event loop's thread alone calls it, and no method blocks.

    What became of each request is posted to the event loop by the connection's writer or reader thread.
    """

    def __init__(self, resources: UpstreamResources, address: EndpointAddress) -> None:
        self._context = ConnectionContext(resources, address)
        self._state = self._context.state

    def start(self) -> None:
        """Starts the writer thread, which connects; raises RuntimeError where no thread can be started."""
        ConnectionWriter(self._context).start()

    @property
    def pending_count(self) -> int:
        """How many requests are pending."""
        return self._state.pending_count

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established and not closing."""
        return self._context.sock is not None and not self._state.is_closing

    @property
    def is_closing(self) -> bool:
        """Whether the connection accepts no more requests."""
        return self._state.is_closing

    @property
    def is_closed(self) -> bool:
        """Whether its descriptor is free."""
        return self._context.is_closed

    def can_accept(self, request: UpstreamRequest) -> bool:
        """Whether the request can be sent here: below the limit, and under an id not used here before."""
        return self._state.can_accept(request.exchange.id)

    def offer(self, request: UpstreamRequest) -> bool:
        """Accepts a request; False where the connection is closing."""
        return self._state.add(request, self)

    def abort(self, request: UpstreamRequest, is_awaited: bool = False) -> bool:
        """Gives a request up: one not begun is never written, one being written is followed by an abort.

        With `is_awaited`, returns whether an `UpstreamAborted` will follow; until then the endpoint may still
        execute the request.
        """
        return self._state.abort(request, is_awaited)

    def withdraw(self, matches: RequestFilter) -> list[UpstreamRequest]:
        """Takes back the matching requests that are not being written yet."""
        return self._state.withdraw(matches)

    def drain(self) -> None:
        """Lets the connection end once nothing is pending on it."""
        self._state.outbox.put(WriterSignal.DRAIN)
