"""Construction and wiring of a proxy's parts from its configuration.

The parts do not listen for connections or poll service discovery until they are started.
"""

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

if TYPE_CHECKING:  # the shared store is imported only if it is configured
    from olivepost.operator_config.model import OperatorSettings
    from olivepost.shared_store.host import StoreHost


@dataclass(frozen=True, slots=True)
class _CommonParts:
    """Configuration and resources that several parts of one proxy use."""

    config: ProxyConfig
    operator: OperatorSettings | None
    clock: Clock
    log: EventLog
    events: EventQueue
    # Pool of buffers for bodies, and pool of buffers into which the proxy reads from sockets. They are
    # separate so that bodies that are held for slow clients can't use up the read buffers.
    body_buffers: BufferPool
    read_buffers: BufferPool


def build_parts(config: ProxyConfig, operator: OperatorSettings | None, log_descriptor: int) -> ProxyParts:
    """Builds all parts of one proxy; raises `RuntimeError` if the system can't start a thread for a part."""
    common = _build_common_parts(config, operator, log_descriptor)
    limits = config.limits
    response_cache = ResponseCache(limits.cache_buffers)
    upstream = _build_upstream(common)
    downstream = _build_downstream(common)
    discovery = DiscoveryClient(config.coordinator, common.clock, common.log, common.events.post, config.seed)
    discovery.max_open_polls = limits.max_discovery_connections
    discovery.max_response_bytes = limits.memory.max_discovery_response
    shared_store = _build_shared_store(common)
    resources = EventLoopResources(
        Router(_router_settings(config, operator), config.seed),
        common.clock,
        common.log,
        response_cache,
        config.transfer_bytes_per_s,
        upstream,
        limits.memory.executed_ids,
        shared_store,
    )
    shedder = MemoryShedder(
        common.events.post,
        downstream,
        limits.max_client_connections,
        (common.body_buffers, common.read_buffers),
    )
    return ProxyParts(
        config=common.config,
        clock=common.clock,
        log=common.log,
        body_buffers=common.body_buffers,
        read_buffers=common.read_buffers,
        response_cache=response_cache,
        upstream=upstream,
        downstream=downstream,
        discovery=discovery,
        shared_store=shared_store,
        event_loop=EventLoop(common.events, resources),
        memory_monitor=MemoryMonitor(limits.memory.limit, common.log, shedder.shed),
    )


def _build_common_parts(
    config: ProxyConfig, operator: OperatorSettings | None, log_descriptor: int
) -> _CommonParts:
    limits = config.limits
    clock = Clock()
    return _CommonParts(
        config=replace(config, known_events=None),
        operator=operator,
        clock=clock,
        log=EventLog(clock, config.name, limits.memory.log, log_descriptor),
        events=EventQueue(clock),
        body_buffers=BufferPool(limits.body_buffers, limits.buffer_bytes),
        read_buffers=BufferPool(limits.read_buffers, limits.buffer_bytes),
    )


def _build_upstream(common: _CommonParts) -> UpstreamPool:
    return UpstreamPool(
        UpstreamResources(
            common.config.limits,
            common.body_buffers,
            common.read_buffers,
            common.clock,
            common.log,
            common.events.post,
        )
    )


def _build_downstream(common: _CommonParts) -> DownstreamServer:
    config = common.config
    return DownstreamServer(
        DownstreamContext(
            config.limits,
            config.settings.classes,
            common.read_buffers,
            common.clock,
            common.log,
            common.events.post,
        )
    )


def _build_shared_store(common: _CommonParts) -> StoreHost | None:
    """Builds the shared store's host if one is configured.

    Otherwise, returns None and does not import the shared store's package.
    """
    sharing = common.operator.sharing if common.operator is not None else None
    if sharing is None:
        return None
    from olivepost.shared_store.host import StoreHost

    return StoreHost(
        sharing,
        common.config.name,
        common.clock,
        common.log,
        lambda event: common.events.post(StoreEvent(event)),
    )


def _router_settings(config: ProxyConfig, operator: OperatorSettings | None) -> Settings:
    """Returns the settings of the router.

    These are the platform's settings, with the limits from the memory budget and the operator's timeout for
    the shared store.
    """
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
