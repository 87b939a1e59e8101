"""Messages from service discovery to the event loop."""

from __future__ import annotations

import threading
from dataclasses import dataclass

from olivepost import interface as api
from olivepost.proxy.upstream.endpoint_address import EndpointAddress
from olivepost.units import Instant


@dataclass(frozen=True, slots=True)
class DiscoveryEvent:
    """A watch event: a change for the router, and the addresses of the endpoints that the change lists."""

    change: api.EndpointUpdate | api.Invalidation
    addresses: list[EndpointAddress]


class DiscoveryHeartbeat:
    """Message that the coordinator has answered a poll. The message is posted after that answer's events.

    `composed_by` is the time by which the coordinator had composed the answer, which may be much earlier than
    its arrival. Events that occurred after that time may be missing.

    The event loop sets `is_handled` when it handles the message. The long poll waits for this before it polls
    again, so that endpoint lists don't accumulate in the queue of a busy event loop.
    """

    __slots__ = ("composed_by", "is_handled")

    def __init__(self, composed_by: Instant) -> None:
        self.composed_by = composed_by
        self.is_handled = threading.Event()
