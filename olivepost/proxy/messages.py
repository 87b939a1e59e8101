"""Events that other threads post to the event loop.

`LoopEvent` names all kinds. Those of requests, attempts and service discovery stand in the modules that post
them; those of the shared store, memory pressure and shutdown stand here.
"""

from __future__ import annotations

from dataclasses import dataclass

from olivepost import interface as api
from olivepost.proxy.discovery.messages import DiscoveryEvent, DiscoveryHeartbeat
from olivepost.proxy.exchange import RequestAbandoned, RequestReceived
from olivepost.proxy.upstream.request import UpstreamAborted, UpstreamCompleted, UpstreamUnsent
from olivepost.units import Instant


class StopEventLoop:
    """The last event: the event loop's thread ends."""


@dataclass(frozen=True, slots=True)
class ShutdownDeadline:
    """The proxy shuts down: requests that are pending or arrive later get their final response by then."""

    deadline: Instant


@dataclass(frozen=True, slots=True)
class MemoryPressureReport:
    """The process is at a level of memory pressure; posted at each check while it is at one."""

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
