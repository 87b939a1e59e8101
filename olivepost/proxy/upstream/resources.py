"""Resources that all upstream connections of a proxy share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from olivepost.config import ResourceLimits
from olivepost.proxy.buffers import BufferPool
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.upstream.request import UpstreamEvent


@dataclass(slots=True)
class UpstreamResources:
    """Limits, buffers, clock, log and the callback to the event loop. Any thread may use each of them."""

    limits: ResourceLimits
    body_buffers: BufferPool
    read_buffers: BufferPool
    clock: Clock
    log: EventLog
    post: Callable[[UpstreamEvent], None]  # posts an event to the event loop
