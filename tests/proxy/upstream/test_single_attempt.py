"""Tests of settings that allow only one attempt of a request at a time.

A retry waits until the attempt before it has ended.
"""

from __future__ import annotations

import threading
from typing import Any

import pytest

from examples.toy_server import Command, ToyEndpoint, respond_normally
from olivepost import interface as api
from olivepost.proxy import sockets
from olivepost.proxy.upstream.connection import UpstreamConnection
from olivepost.proxy.upstream.request import UpstreamCompleted
from tests.proxy.fakes import (
    DelayedAborts,
)
from tests.proxy_harness import (
    HttpClient,
    running_proxy,
    toy_config,
)


def settings_without_hedged_requests(**changes: Any) -> dict[str, Any]:
    """Returns the example's settings, changed so that only one attempt of a request may be in flight."""
    settings: dict[str, Any] = toy_config()["settings"]
    return {**settings, "limits": {**settings["limits"], "second-copies": False}, **changes}


class SlowFirstCache:
    """A reply function with which one cache, the first that receives a fetch, never responds to a fetch.

    That cache still replies to liveness checks, and the other caches reply normally.
    """

    def __init__(self) -> None:
        self.first_id: str | None = None

    def __call__(self, endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch" and self.first_id is None:
            self.first_id = endpoint.id
        if command.verb == "alive" or endpoint.id != self.first_id:
            respond_normally(endpoint, command)


@pytest.mark.parametrize("is_reset", [False, True])
def test_next_attempt_waits_for_the_abort_of_the_one_before(
    is_reset: bool, delayed_aborts: DelayedAborts
) -> None:
    """Guards against two attempts of one request in flight.

    The next attempt begins only after the abort of the attempt before is written, or after that attempt's
    connection is closed. The writer thread delays the abort, so that the deferred attempt can be observed.
    """
    slow = SlowFirstCache()
    delayed_aborts.is_reset = is_reset
    with running_proxy(slow, settings=settings_without_hedged_requests()) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        pending = proxy.parts.event_loop._pending.by_id
        assert proxy.wait_until(lambda: any(exchange.deferred_attempt for exchange in list(pending.values())))
        assert {endpoint.id for endpoint in proxy.caches if endpoint.received()} == {slow.first_id}
        delayed_aborts.may_abort.set()
        assert client.read_response().status == 200


def test_attempt_that_waits_for_an_abort_is_withdrawn_when_its_cache_drains(
    delayed_aborts: DelayedAborts,
) -> None:
    slow = SlowFirstCache()
    with running_proxy(slow, settings=settings_without_hedged_requests()) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        pending = proxy.parts.event_loop._pending.by_id
        assert proxy.wait_until(lambda: any(exchange.deferred_attempt for exchange in list(pending.values())))
        other = next(endpoint for endpoint in proxy.caches if endpoint.id != slow.first_id)
        entries = [
            {**entry, "state": "terminating"} for entry in proxy.listed_endpoints if entry["id"] == other.id
        ]
        proxy.coordinator.add(endpoints={"version": 2, "full": False, "servers": entries})
        assert proxy.wait_for_outcomes("NOT_SENT", 1)
        delayed_aborts.may_abort.set()
        assert client.read_response().status in (200, 503)
        assert not other.received()


def test_connection_is_closed_before_its_requests_are_reported_lost() -> None:
    """Guards against two attempts of one request in flight.

    A request may be retried as soon as its attempt is reported lost. The connection must be closed by then.
    """
    has_failed = threading.Event()

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if not has_failed.is_set():
            has_failed.set()
            command.sock.sendall(b"\0 nonsense\r\n")
        else:
            respond_normally(endpoint, command)

    with (
        running_proxy(reply, settings=settings_without_hedged_requests()) as proxy,
        proxy.connect() as client,
    ):
        resources = proxy.parts.upstream._resources
        post = resources.post
        was_closed: list[bool] = []

        def record_and_post(event: Any) -> None:
            if isinstance(event, UpstreamCompleted) and event.status is api.AttemptStatus.CONNECTION_LOST:
                assert isinstance(event.request.connection, UpstreamConnection)
                sock = event.request.connection._context.sock
                assert sock is not None
                was_closed.append(sockets.is_closed_by_peer(sock))
            post(event)

        resources.post = record_and_post
        assert client.request().status == 200
        assert was_closed == [True]
