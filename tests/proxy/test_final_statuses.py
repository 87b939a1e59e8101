"""Tests of the status that tells a client whether it may repeat a write that got no response from a cache."""

from __future__ import annotations

import itertools
import socket
import time
from typing import Any

import pytest

from examples.toy_server import Command, Reply, ToyEndpoint, respond_normally
from olivepost.units import MILLISECOND, SECOND
from tests.proxy.fakes import DelayedConnects, answer_liveness_only, settings_with_idempotency
from tests.proxy_harness import WAIT_TIMEOUT_S, HttpClient, running_proxy

REJECTED = 503
FAILED = 502
CLASS_DEADLINE = 3 * SECOND


def reply_after_one_reset() -> Reply:
    """Returns a reply that resets the connection of the first `fetch` and responds normally to others."""
    fetches = itertools.count()

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch" and next(fetches) == 0:
            command.sock.shutdown(socket.SHUT_RDWR)
        else:
            respond_normally(endpoint, command)

    return reply


def settings_of(effect: str, **changes: Any) -> dict[str, Any]:
    """Returns settings whose first class has this effect, and whose clients wait 3 s for all tries."""
    return settings_with_idempotency(effect, **{"deadline": CLASS_DEADLINE, **changes})


@pytest.mark.parametrize(
    ("window", "status"),
    [(SECOND, FAILED), (2 * SECOND, REJECTED), (CLASS_DEADLINE, REJECTED)],
    ids=["too short for a return", "long enough for a return", "as long as the client waits"],
)
def test_write_with_a_lost_response_is_rejected_only_if_its_key_outlasts_the_return(
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


WRITES_THAT_MUST_NOT_BE_REPEATED = pytest.mark.parametrize(
    "settings",
    [
        settings_of("non_idempotent"),
        settings_of("idempotency_key", window=SECOND),
        settings_of("idempotency_key", window=5 * SECOND, group="zone"),
    ],
    ids=["not idempotent", "short-lived key", "key of one zone"],
)


@WRITES_THAT_MUST_NOT_BE_REPEATED
def test_write_that_waits_for_its_connection_is_rejected_and_never_sent(
    delayed_connects: DelayedConnects, settings: dict[str, Any]
) -> None:
    """Guards against status 502 for a write that no cache has got, whose client does not come back then."""
    with running_proxy(settings=settings) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=400))
        assert delayed_connects.has_started.wait(WAIT_TIMEOUT_S)
        response = client.read_response()
        delayed_connects.may_connect.set()
        assert proxy.wait_until(lambda: proxy.counter("upstream_connections_opened"))
        # A second write goes through the same connection, behind the first one.
        assert client.request().status == 200
        sent = [command.id for endpoint in proxy.endpoints for command in endpoint.received()]

    assert response.status == REJECTED
    assert "x-come-back-ms" in response.headers
    assert len(sent) == 1


@WRITES_THAT_MUST_NOT_BE_REPEATED
def test_write_that_a_cache_has_got_fails_at_its_deadline(settings: dict[str, Any]) -> None:
    with running_proxy(answer_liveness_only, settings=settings) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=400))
        proxy.wait_for_fetches()
        assert client.read_response().status == FAILED


@pytest.mark.parametrize(
    ("retry_field", "timeout_ms", "status", "fetch_count"),
    [("", 400, 200, 2), ("1", 2_500, 200, 2), ("1", 400, REJECTED, 0)],
    ids=["first try", "retry that may come 0.5 s later", "retry that may come 2.6 s later"],
)
def test_write_is_sent_only_while_the_key_of_the_first_try_is_remembered(
    retry_field: str, timeout_ms: int, status: int, fetch_count: int
) -> None:
    """Guards against a second effect of a client's retry, whose first try may have been executed."""
    settings = settings_of("idempotency_key", window=2 * SECOND)
    with running_proxy(reply_after_one_reset(), settings=settings) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=timeout_ms, X_Repeat=retry_field))
        assert client.read_response().status == status
        assert len(proxy.wait_for_fetches(fetch_count)) == fetch_count


@pytest.mark.parametrize(
    ("pause_s", "status", "fetch_count"),
    [(0.0, 200, 2), (1.0, REJECTED, 1)],
    ids=["back in time", "back after the window"],
)
def test_rejected_write_is_served_to_a_client_that_is_back_within_the_window_of_its_key(
    pause_s: float, status: int, fetch_count: int
) -> None:
    """Guards against a failure that keeps the client away, and against a second effect if it is late."""
    settings = settings_of("idempotency_key", window=SECOND)
    settings["limits"] = {**settings["limits"], "attempts-cap": 1}
    with running_proxy(reply_after_one_reset(), settings=settings) as proxy, proxy.connect() as client:
        began_at = time.monotonic()
        assert client.request(timeout_ms=2_500).status == REJECTED
        time.sleep(pause_s)
        remaining_ms = int(CLASS_DEADLINE / MILLISECOND - (time.monotonic() - began_at) * 1_000)
        assert client.request(timeout_ms=remaining_ms, X_Repeat="1").status == status
        assert len(proxy.wait_for_fetches()) == fetch_count
