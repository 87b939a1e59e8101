"""Messages from service discovery to the event loop."""

from __future__ import annotations

import threading
from dataclasses import dataclass

from olivepost import interface as api
from olivepost.proxy.upstream.endpoint_address import EndpointAddress


@dataclass(frozen=True, slots=True)
class DiscoveryEvent:
    """One watch event: a change for the router, and the addresses of the endpoints that it lists."""

    change: api.EndpointUpdate | api.Invalidation
    addresses: list[EndpointAddress]


class DiscoveryHeartbeat:
    """The coordinator has answered a poll; the events of its response were posted before this message.

    The event loop sets `is_handled`. No further poll is sent until then, so that endpoint lists don't queue
    up before a busy event loop.
    """

    __slots__ = ("is_handled",)

    def __init__(self) -> None:
        self.is_handled = threading.Event()
