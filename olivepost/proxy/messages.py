"""Events that other threads post to the event loop.

`LoopEvent` is the union of all kinds. The events of requests, of attempts and of service discovery are
defined in the modules `exchange`, `upstream.request` and `discovery.messages`. The events of the shared
store, of memory pressure and of the shutdown are defined here.
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
    """Event: the shutdown has started.

    Requests that are pending or that arrive later get their final response by the deadline.
    """

    deadline: Instant


@dataclass(frozen=True, slots=True)
class MemoryPressureReport:
    """Event: a check of the memory found memory pressure at `level`, or found that the pressure has ended.

    The event is posted at each check under memory pressure, and once with the level `NONE` when the pressure
    ends.
    """

    level: api.MemoryPressureLevel


@dataclass(slots=True)
class StoreEvent:
    """Event that carries an event from the shared store to the router."""

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
