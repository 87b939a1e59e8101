"""Events that other threads post to the event loop.

`LoopEvent` is the union of all kinds. The events of requests, attempts and service discovery are defined in
the modules that post them; those of the shared store, memory pressure and shutdown are defined here.
"""

from __future__ import annotations

from dataclasses import dataclass

from olivepost import interface as api
from olivepost.proxy.discovery.messages import DiscoveryEvent, DiscoveryHeartbeat
from olivepost.proxy.exchange import RequestAbandoned, RequestReceived
from olivepost.proxy.upstream.request import UpstreamAborted, UpstreamCompleted, UpstreamUnsent
from olivepost.units import Instant


class StopEventLoop:
    """The last event, which ends the event loop's thread."""


@dataclass(frozen=True, slots=True)
class ShutdownDeadline:
    """Start of the shutdown: pending and later requests get their final response by the deadline."""

    deadline: Instant


@dataclass(frozen=True, slots=True)
class MemoryPressureReport:
    """The process's level of memory pressure, posted at each check under pressure and when it ends."""

    level: api.MemoryPressureLevel


@dataclass(slots=True)
class StoreEvent:
    """An event that the shared store sends to the router."""

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
