"""The parts of one running proxy, for those that start, watch, account for and stop them."""

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

if TYPE_CHECKING:  # the shared store is imported only where it is configured
    from olivepost.shared_store.host import StoreHost


@dataclass(frozen=True, slots=True)
class ProxyParts:
    """One proxy's parts, wired together by `wiring.build_parts`.

    Any thread may read the fields; each part says which of its methods that thread may call.
    """

    config: ProxyConfig  # without its known events, which `ProxyServer` holds until the start
    clock: Clock
    log: EventLog
    body_buffers: BufferPool
    read_buffers: BufferPool
    response_cache: ResponseCache
    upstream: UpstreamPool
    downstream: DownstreamServer
    discovery: DiscoveryClient
    shared_store: StoreHost | None  # None: the operator's configuration has none
    event_loop: EventLoop
    memory_monitor: MemoryMonitor
