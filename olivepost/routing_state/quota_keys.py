"""The quotas of an endpoint's present process."""

from __future__ import annotations

from olivepost.interface import QuotaKey, QuotaKind
from olivepost.routing_state.endpoint import Endpoint


def slow_start_key(endpoint: Endpoint) -> QuotaKey:
    """The slow start budget of an endpoint."""
    return QuotaKey(QuotaKind.SLOW_START, endpoint.metadata.id, endpoint.metadata.started_at)


def concurrency_key(endpoint: Endpoint) -> QuotaKey:
    """The concurrency of an endpoint."""
    return QuotaKey(QuotaKind.CONCURRENCY, endpoint.metadata.id, endpoint.metadata.started_at)
