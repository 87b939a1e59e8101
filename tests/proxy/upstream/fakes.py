"""An exchange and resource limits for tests of upstream modules that need no sockets."""

from __future__ import annotations

from olivepost.config import ResourceLimits
from olivepost.config.memory_budget import MemoryBudget
from olivepost.proxy.exchange import Exchange
from olivepost.units import SECOND

START = 1_764_576_000 * SECOND
REQUEST_ID = "0123456789abcdef"
LIMITS = ResourceLimits(
    memory_mb=64,
    memory=MemoryBudget.of_limit(64),
    max_sockets=64,
    max_client_connections=8,
    max_connections_per_endpoint=3,
    max_upstream_connections=8,
    max_discovery_connections=4,
    read_buffers=16,
    body_buffers=16,
    cache_buffers=0,
    buffer_bytes=4_096,
    large_body_bytes=0,
    max_request_body_bytes=65_536,
)


def make_exchange(etag: str | None = None, idempotency_key: str | None = None) -> Exchange:
    return Exchange(
        id=REQUEST_ID,
        class_name="segment",
        object="7f3a",
        part=3,
        group=0,
        etag=etag,
        body=b"",
        timeout=SECOND,
        received_at=START,
        deliver=lambda exchange, response: None,
        is_client_disconnected=lambda: False,
        idempotency_key=idempotency_key,
    )
