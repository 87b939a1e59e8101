"""Keys of the quotas that belong to an endpoint's current process."""

from __future__ import annotations

from olivepost.interface import QuotaKey, QuotaKind
from olivepost.routing_state.endpoint import Endpoint


def slow_start_key(endpoint: Endpoint) -> QuotaKey:
    """Returns the key of an endpoint's slow start budget."""
    return QuotaKey(QuotaKind.SLOW_START, endpoint.metadata.id, endpoint.metadata.started_at)


def concurrency_key(endpoint: Endpoint) -> QuotaKey:
    """Returns the key of an endpoint's concurrency limit."""
    return QuotaKey(QuotaKind.CONCURRENCY, endpoint.metadata.id, endpoint.metadata.started_at)
