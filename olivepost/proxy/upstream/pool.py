"""Pool of upstream connections: the connections to each endpoint of the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass, field

from olivepost import interface as api
from olivepost.proxy import invariants
from olivepost.proxy.upstream.connection import UpstreamConnection
from olivepost.proxy.upstream.endpoint_address import EndpointAddress
from olivepost.proxy.upstream.request import RequestFilter, UpstreamCompleted, UpstreamRequest
from olivepost.proxy.upstream.resources import UpstreamResources


@dataclass(slots=True)
class EndpointConnections:
    """An endpoint of the endpoint list, with the connections to it that may accept requests."""

    address: EndpointAddress
    connections: list[UpstreamConnection] = field(default_factory=list)


class UpstreamPool:
    """All endpoints of the endpoint list and their connections.

    Only the event loop's thread may call the methods, except for those that allow any thread.
    """

    def __init__(self, resources: UpstreamResources) -> None:
        self._resources = resources
        self._endpoints: dict[str, EndpointConnections] = {}
        # All connections that may still hold a file descriptor, including those of removed endpoints.
        self._connections: list[UpstreamConnection] = []

    def update(self, addresses: list[EndpointAddress], is_full: bool) -> list[UpstreamRequest]:
        """Applies an endpoint list. If `is_full` is true, endpoints that are not listed are removed.

        Otherwise the list is incremental, and unlisted endpoints stay as they are. A connection belongs to
        one process of one endpoint. The connection is not used for another process or endpoint with the same
        socket address. Removes and returns the requests that no connection has begun to write and whose
        process is no longer listed: a connection that is still being established may reach another process.
        """
        withdrawn: list[UpstreamRequest] = []
        for address in addresses:
            withdrawn += self._update_endpoint(address)
        if is_full:
            listed = {address.id for address in addresses}
            removed = [endpoint_id for endpoint_id in self._endpoints if endpoint_id not in listed]
            for endpoint_id in removed:
                withdrawn += self._remove_endpoint(endpoint_id)
        return withdrawn

    @property
    def addresses(self) -> list[EndpointAddress]:
        """Returns the addresses of all endpoints in the endpoint list."""
        return [endpoint.address for endpoint in self._endpoints.values()]

    def withdraw(self, matches: RequestFilter) -> list[UpstreamRequest]:
        """Removes and returns the requests that `matches` selects and no connection has begun to write."""
        withdrawn: list[UpstreamRequest] = []
        for endpoint in self._endpoints.values():
            for connection in endpoint.connections:
                withdrawn.extend(connection.withdraw(matches))
        return withdrawn

    def forward(self, request: UpstreamRequest) -> None:
        """Gives a request to the connection with the fewest pending requests, or to a new connection.

        Only connections to the request's endpoint are used. Established connections are preferred to those
        that are still being established.
        """
        endpoint = self._ready_endpoint(request)
        if endpoint is None:
            self._report(request, api.AttemptStatus.CONNECT_FAILED)
            return
        usable = [connection for connection in endpoint.connections if not connection.is_closing]
        endpoint.connections = usable
        candidates = [connection for connection in usable if connection.can_accept(request)]
        candidates.sort(key=lambda connection: (not connection.is_connected, connection.pending_count))
        for connection in candidates:
            if connection.offer(request):
                return
        self._forward_on_new_connection(request, endpoint)

    def close_idle(self) -> None:
        """Drains the connections that have no pending requests."""
        for endpoint in self._endpoints.values():
            for connection in endpoint.connections:
                if not connection.pending_count:
                    connection.drain()

    @property
    def connection_count(self) -> int:
        """Returns the number of connections that may hold a file descriptor. Any thread may read it."""
        return len(self._connections)

    @property
    def endpoint_count(self) -> int:
        """Returns the number of endpoints in the endpoint list. Any thread may read it."""
        return len(self._endpoints)

    def close(self) -> None:
        """Removes all endpoints and drains their connections."""
        for endpoint_id in list(self._endpoints):
            self._remove_endpoint(endpoint_id)

    def _update_endpoint(self, address: EndpointAddress) -> list[UpstreamRequest]:
        """Applies one entry of an endpoint list; a new process of an endpoint gets new connections.

        Returns the withdrawn requests of the process before, or of a removed endpoint.
        """
        known = self._endpoints.get(address.id)
        if address.state is api.EndpointState.REMOVED:
            return self._remove_endpoint(address.id)
        if known is not None and known.address.is_same_process(address):
            known.address = address
            return []
        withdrawn = self._remove_endpoint(address.id)
        self._endpoints[address.id] = EndpointConnections(address)
        return withdrawn

    def _remove_endpoint(self, endpoint_id: str) -> list[UpstreamRequest]:
        """Removes an endpoint. Each of its connections closes once no request is pending on it.

        Returns the requests that no connection has begun to write. They are withdrawn.
        """
        endpoint = self._endpoints.pop(endpoint_id, None)
        withdrawn: list[UpstreamRequest] = []
        for connection in endpoint.connections if endpoint is not None else ():
            withdrawn += connection.withdraw(lambda _: True)
            connection.drain()
        return withdrawn

    def _ready_endpoint(self, request: UpstreamRequest) -> EndpointConnections | None:
        """Returns the request's endpoint; None if the endpoint is not listed or accepts no new requests."""
        endpoint = self._endpoints.get(request.cache)
        is_ready = endpoint is not None and endpoint.address.state is api.EndpointState.READY
        # Only a rerouted request may be forwarded after its endpoint has begun to drain. Such a request is
        # forwarded again, because its first connection was lost before the request's first byte was written.
        invariants.check(is_ready or request.is_rerouted, "only_to_ready_endpoints")
        return endpoint if is_ready else None

    def _forward_on_new_connection(self, request: UpstreamRequest, endpoint: EndpointConnections) -> None:
        """Gives a request to a new connection.

        Reports the request as not sent if a limit on connections is reached or the system can't start a
        thread.
        """
        limits = self._resources.limits
        self._connections = [connection for connection in self._connections if not connection.is_closed]
        is_endpoint_full = len(endpoint.connections) >= limits.max_connections_per_endpoint
        if is_endpoint_full or len(self._connections) >= limits.max_upstream_connections:
            self._resources.log.increment("upstream_connections_full")
            self._report(request, api.AttemptStatus.NOT_SENT)
            return
        connection = UpstreamConnection(self._resources, endpoint.address)
        try:
            connection.start()
        except RuntimeError:
            self._resources.log.increment("threads_short")
            self._report(request, api.AttemptStatus.NOT_SENT)
            return
        endpoint.connections.append(connection)
        self._connections.append(connection)
        connection.offer(request)

    def _report(self, request: UpstreamRequest, status: api.AttemptStatus) -> None:
        """Reports to the event loop the outcome of a request that was not given to any connection."""
        self._resources.post(UpstreamCompleted(request, status, request.forwarded_at))
