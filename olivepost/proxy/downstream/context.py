"""Services, limits and flags that all client connections of one proxy share."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from olivepost.config import ResourceLimits
from olivepost.interface import ClassSettings
from olivepost.proxy.buffers import BufferPool, map_privately
from olivepost.proxy.clock import Clock
from olivepost.proxy.downstream.body_budget import LargeBodyBudget
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.exchange import RequestAbandoned, RequestReceived

# Size of the buffer for bytes that are dropped. It is many times that of a read buffer, so that a client that
# sends much and then closes its connection is noticed soon.
DROP_BUFFER_BYTES = 262_144


@dataclass(slots=True, eq=False)
class DownstreamContext:
    """Services, limits and flags that client connections use.

    Any thread may read the fields. Two of them change: the main thread sets `is_draining`, once, at the
    shutdown, and the accept thread sets `is_slot_wanted` while a client waits for a slot.
    """

    limits: ResourceLimits
    classes: Mapping[str, ClassSettings]
    read_buffers: BufferPool
    clock: Clock
    log: EventLog
    post: Callable[[RequestReceived | RequestAbandoned], None]  # posts a message to the event loop
    is_draining: bool = False  # whether the shutdown has begun; if so, every response ends its connection
    is_slot_wanted: bool = False  # whether responses end their connections, since a client waits for a slot
    large_bodies: LargeBodyBudget = field(init=False)
    # Buffer for bytes that all connections drop. Several threads may receive into it at once, since none
    # reads from it. It occupies no memory before its first use.
    drop_buffer: memoryview = field(init=False)

    def __post_init__(self) -> None:
        self.large_bodies = LargeBodyBudget(self.limits.large_body_bytes, self.limits.small_body_bytes)
        self.drop_buffer = memoryview(map_privately(DROP_BUFFER_BYTES))
