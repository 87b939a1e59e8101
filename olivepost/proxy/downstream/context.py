"""What all downstream connections of one proxy share."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from olivepost.config import ResourceLimits
from olivepost.interface import ClassSettings
from olivepost.proxy.buffers import BufferPool
from olivepost.proxy.clock import Clock
from olivepost.proxy.downstream.body_budget import LargeBodyBudget
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.exchange import RequestAbandoned, RequestReceived


@dataclass(slots=True, eq=False)
class DownstreamContext:
    """The services and limits that connections use.

    Any thread may read it. Only `is_draining` changes, once: the main thread sets it at the shutdown.
    """

    limits: ResourceLimits
    classes: Mapping[str, ClassSettings]
    read_buffers: BufferPool
    clock: Clock
    log: EventLog
    post: Callable[[RequestReceived | RequestAbandoned], None]  # to the event loop
    is_draining: bool = False  # every response from now on ends its connection
    large_bodies: LargeBodyBudget = field(init=False)

    def __post_init__(self) -> None:
        self.large_bodies = LargeBodyBudget(self.limits.large_body_bytes, self.limits.small_body_bytes)
