"""Makes the parts of a proxy from its configuration and wires them together; nothing listens or polls yet."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from olivepost.config import ProxyConfig
from olivepost.interface import Settings
from olivepost.proxy.buffers import BufferPool
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.client import DiscoveryClient
from olivepost.proxy.downstream.context import DownstreamContext
from olivepost.proxy.downstream.downstream_server import DownstreamServer
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.event_loop import EventLoop
from olivepost.proxy.event_loop_resources import EventLoopResources
from olivepost.proxy.event_queue import EventQueue
from olivepost.proxy.memory_monitor import MemoryMonitor
from olivepost.proxy.memory_shedding import MemoryShedder
from olivepost.proxy.messages import StoreEvent
from olivepost.proxy.parts import ProxyParts
from olivepost.proxy.response_cache import ResponseCache
from olivepost.proxy.upstream.pool import UpstreamPool
from olivepost.proxy.upstream.resources import UpstreamResources
from olivepost.router import Router

if TYPE_CHECKING:  # the shared store is imported only where it is configured
    from olivepost.operator_config.model import OperatorSettings
    from olivepost.shared_store.host import StoreHost


@dataclass(frozen=True, slots=True)
class _Foundation:
    """What all parts share."""

    config: ProxyConfig
    operator: OperatorSettings | None
    clock: Clock
    log: EventLog
    events: EventQueue
    # Separate pools, so that bodies which slow clients hold can't keep sockets from being read.
    body_buffers: BufferPool
    read_buffers: BufferPool


def build_parts(config: ProxyConfig, operator: OperatorSettings | None, log_descriptor: int) -> ProxyParts:
    """Makes all parts of one proxy; raises `RuntimeError` where the system has no thread for one of them."""
    base = _build_foundation(config, operator, log_descriptor)
    limits = config.limits
    response_cache = ResponseCache(limits.cache_buffers)
    upstream = _build_upstream(base)
    downstream = _build_downstream(base)
    discovery = DiscoveryClient(config.coordinator, base.clock, base.log, base.events.post, config.seed)
    discovery.max_response_bytes = limits.memory.max_discovery_response
    shared_store = _build_shared_store(base)
    resources = EventLoopResources(
        Router(_router_settings(config, operator), config.seed),
        base.clock,
        base.log,
        response_cache,
        config.transfer_bytes_per_s,
        upstream,
        shared_store,
    )
    shedder = MemoryShedder(
        base.events.post,
        downstream,
        limits.max_client_connections,
        (base.body_buffers, base.read_buffers),
    )
    return ProxyParts(
        config=base.config,
        clock=base.clock,
        log=base.log,
        body_buffers=base.body_buffers,
        read_buffers=base.read_buffers,
        response_cache=response_cache,
        upstream=upstream,
        downstream=downstream,
        discovery=discovery,
        shared_store=shared_store,
        event_loop=EventLoop(base.events, resources),
        memory_monitor=MemoryMonitor(limits.memory.limit, base.log, shedder.shed),
    )


def _build_foundation(
    config: ProxyConfig, operator: OperatorSettings | None, log_descriptor: int
) -> _Foundation:
    limits = config.limits
    clock = Clock()
    return _Foundation(
        config=replace(config, known_events=None),
        operator=operator,
        clock=clock,
        log=EventLog(clock, config.name, limits.memory.log, log_descriptor),
        events=EventQueue(clock),
        body_buffers=BufferPool(limits.body_buffers, limits.buffer_bytes),
        read_buffers=BufferPool(limits.read_buffers, limits.buffer_bytes),
    )


def _build_upstream(base: _Foundation) -> UpstreamPool:
    return UpstreamPool(
        UpstreamResources(
            base.config.limits, base.body_buffers, base.read_buffers, base.clock, base.log, base.events.post
        )
    )


def _build_downstream(base: _Foundation) -> DownstreamServer:
    config = base.config
    return DownstreamServer(
        DownstreamContext(
            config.limits, config.settings.classes, base.read_buffers, base.clock, base.log, base.events.post
        )
    )


def _build_shared_store(base: _Foundation) -> StoreHost | None:
    """The shared store's host, where the operator configures one; otherwise its package isn't imported."""
    sharing = base.operator.sharing if base.operator is not None else None
    if sharing is None:
        return None
    from olivepost.shared_store.host import StoreHost

    return StoreHost(
        sharing,
        base.config.name,
        base.clock,
        base.log,
        lambda event: base.events.post(StoreEvent(event)),
    )


def _router_settings(config: ProxyConfig, operator: OperatorSettings | None) -> Settings:
    """The platform's settings, with the bounds of the memory budget and the operator's store timeout."""
    budget = config.limits.memory
    settings = replace(
        config.settings,
        max_names=budget.max_names,
        max_invalidations=budget.max_invalidations,
        max_order_bytes=budget.routes,
    )
    if operator is not None and operator.sharing is not None:
        settings = replace(settings, shared_store_timeout=operator.sharing.wait)
    return settings
