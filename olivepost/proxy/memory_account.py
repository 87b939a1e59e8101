"""Accounts of memory for the metrics: the bytes that each owner uses, and those that its budget allows."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost.config.limits import CLIENT_CONNECTION_BYTES, UPSTREAM_CONNECTION_BYTES
from olivepost.config.memory_budget import INVALIDATION_BYTES, NAME_BYTES
from olivepost.proxy.parts import ProxyParts

# Estimated memory in bytes of one request, with its exchange, its attempts and the records of both.
PENDING_REQUEST_BYTES = 3_072
TIMER_BYTES = 220  # estimated memory in bytes of one timer
ENDPOINT_BYTES = 1_536  # estimated bytes of one endpoint in the router and in the connection pool


@dataclass(frozen=True, slots=True)
class OwnerAccount:
    """Account of one owner of memory, such as the log: the bytes that the owner uses and may use.

    The used bytes are estimated from the number of the owner's entries, unless the owner counts its bytes
    itself.
    """

    used_bytes: int
    allowed_bytes: int


def memory_account(parts: ProxyParts) -> dict[str, OwnerAccount]:
    """Returns the account of each owner of memory, by the owner's name.

    An owner is a part of the proxy that has a memory budget of its own, such as the connections or the log.
    Its account states the bytes that it uses and the bytes that its budget allows.

    Any thread may call this function, because it only reads counts.
    """
    budget = parts.config.limits.memory
    loop = parts.event_loop
    state = loop.router.state
    connections = (
        parts.downstream.open_count * CLIENT_CONNECTION_BYTES
        + parts.upstream.connection_count * UPSTREAM_CONNECTION_BYTES
        + parts.read_buffers.touched_bytes
    )
    bodies = parts.body_buffers.touched_bytes + parts.downstream.context.large_bodies.reserved_bytes
    requests = loop.pending_count * PENDING_REQUEST_BYTES + loop.timer_count * TIMER_BYTES
    return {
        "connections": OwnerAccount(connections, budget.connections),
        "bodies": OwnerAccount(bodies, budget.bodies),
        "names": OwnerAccount(len(state.names) * NAME_BYTES, budget.names),
        "requests": OwnerAccount(requests, budget.requests),
        "endpoints": OwnerAccount(parts.upstream.endpoint_count * ENDPOINT_BYTES, budget.endpoints),
        "routes": OwnerAccount(state.orders.used_bytes, budget.routes),
        "invalidations": OwnerAccount(len(state.invalidations) * INVALIDATION_BYTES, budget.invalidations),
        "log": OwnerAccount(parts.log.waiting_bytes, budget.log),
        "executed_ids": OwnerAccount(loop.executed_id_bytes, budget.executed_ids),
    }
