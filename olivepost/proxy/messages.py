"""Messages that other threads post to the event loop, beside those of their own modules.

`LoopEvent` names all of them: what a client asks, what became of an attempt, what service discovery and the
shared store report, and the two messages of shutdown.
"""

from __future__ import annotations

from dataclasses import dataclass

from olivepost import interface as api
from olivepost.proxy.discovery.messages import DiscoveryEvent, DiscoveryHeartbeat
from olivepost.proxy.exchange import RequestAbandoned, RequestReceived
from olivepost.proxy.upstream.request import UpstreamAborted, UpstreamCompleted, UpstreamUnsent
from olivepost.units import Instant


class StopEventLoop:
    """The last message: the event loop's thread ends."""


@dataclass(frozen=True, slots=True)
class ShutdownDeadline:
    """The proxy shuts down: what is pending then, or comes later, gets its final response by this time."""

    deadline: Instant  # nanoseconds on the proxy's clock


@dataclass(frozen=True, slots=True)
class MemoryPressureReport:
    """The process is at a level of memory use; sent again and again while it is."""

    level: api.MemoryPressureLevel


@dataclass(slots=True)
class StoreEvent:
    """An event of the shared store for the router."""

    event: api.Event


LoopEvent = (
    RequestReceived
    | RequestAbandoned
    | UpstreamCompleted
    | UpstreamUnsent
    | UpstreamAborted
    | DiscoveryEvent
    | DiscoveryHeartbeat
    | StoreEvent
    | MemoryPressureReport
    | ShutdownDeadline
    | StopEventLoop
)
