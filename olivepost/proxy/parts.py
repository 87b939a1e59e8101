"""The parts of one running proxy, for the modules that start, monitor, measure and stop them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from olivepost.config import ProxyConfig
from olivepost.proxy.buffers import BufferPool
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.client import DiscoveryClient
from olivepost.proxy.downstream.downstream_server import DownstreamServer
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.event_loop import EventLoop
from olivepost.proxy.memory_monitor import MemoryMonitor
from olivepost.proxy.response_cache import ResponseCache
from olivepost.proxy.upstream.pool import UpstreamPool

if TYPE_CHECKING:  # the shared store is imported only if it is configured
    from olivepost.shared_store.host import StoreHost


@dataclass(frozen=True, slots=True)
class ProxyParts:
    """All parts of one proxy, as `wiring.build_parts` creates and connects them.

    Any thread may read the fields. Each part's class documents which threads may call its methods.
    """

    # The configuration. Its field `known_events`, the endpoint list and other events of service discovery
    # that the configuration contains, is None here. `ProxyServer` holds these events instead, and drops them
    # when it has applied them at its start, so that their memory is freed.
    config: ProxyConfig
    clock: Clock
    log: EventLog
    body_buffers: BufferPool
    read_buffers: BufferPool
    response_cache: ResponseCache
    upstream: UpstreamPool
    downstream: DownstreamServer
    discovery: DiscoveryClient
    shared_store: StoreHost | None  # None if the operator has not configured one
    event_loop: EventLoop
    memory_monitor: MemoryMonitor
