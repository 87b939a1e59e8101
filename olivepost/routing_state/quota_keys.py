"""The names of quotas, as the shared store has them."""

from __future__ import annotations

from olivepost.routing_state.endpoint import Endpoint

RETRY_KEY = "retry"


def slow_start_key(endpoint: Endpoint) -> str:
    """The slow start budget of one process of an endpoint."""
    return f"cold:{endpoint.metadata.id}@{endpoint.metadata.started_at or 0}"


def concurrency_key(endpoint: Endpoint) -> str:
    """The concurrency of one process of an endpoint."""
    return f"open:{endpoint.metadata.id}@{endpoint.metadata.started_at or 0}"


def endpoint_id_of(key: str) -> str:
    """The endpoint that a quota's key names."""
    _, _, process = key.partition(":")
    endpoint_id, _, _ = process.rpartition("@")
    return endpoint_id
