"""Messages from service discovery to the event loop."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost import interface as api
from olivepost.proxy.upstream.endpoint_address import EndpointAddress


@dataclass(frozen=True, slots=True)
class DiscoveryEvent:
    """One watch event: a change for the router, and the addresses of the endpoints that it lists."""

    change: api.EndpointUpdate | api.Invalidation
    addresses: list[EndpointAddress]


class DiscoveryHeartbeat:
    """The coordinator has answered a poll; the events of its response were posted before."""
