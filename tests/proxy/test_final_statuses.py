"""Tests of the status that tells a client whether it may repeat a write that got no response from a cache."""

from __future__ import annotations

from typing import Any

import pytest

from examples.toy_server import Command, ToyEndpoint
from olivepost.units import SECOND
from tests.proxy.fakes import settings_with_idempotency
from tests.proxy_harness import HttpClient, running_proxy

REJECTED = 503
FAILED = 502
CLASS_DEADLINE = 3 * SECOND


def answer_liveness_only(_endpoint: ToyEndpoint, command: Command) -> None:
    """Responds to `alive`, so that the connection stays open, but to no `fetch`."""
    if command.verb == "alive":
        command.sock.sendall(f"{command.id} PONG\r\n".encode())


def settings_of(effect: str, **changes: Any) -> dict[str, Any]:
    """Returns settings whose first class has this effect, and whose clients wait 3 s for all tries."""
    return settings_with_idempotency(effect, **{"deadline": CLASS_DEADLINE, **changes})


@pytest.mark.parametrize(
    ("window", "status"), [(2 * SECOND, FAILED), (CLASS_DEADLINE, REJECTED)], ids=["short", "lasting"]
)
def test_write_with_a_lost_response_is_rejected_only_if_its_key_outlasts_the_client(
    window: int, status: int
) -> None:
    """Guards against status 503 for a write whose repeat is executed, since its key is forgotten by then."""
    settings = settings_of("idempotency_key", window=window)
    with running_proxy(answer_liveness_only, settings=settings) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=400))
        proxy.wait_for_fetches()
        response = client.read_response()

    assert response.status == status
    assert ("x-come-back-ms" in response.headers) == (status == REJECTED)
