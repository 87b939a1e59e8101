"""Tests of the response cache in a complete proxy."""

from __future__ import annotations

import socket
import time
from typing import Any

import pytest

from examples.toy_server import Command, Coordinator, ToyEndpoint, body_of, respond_normally, tag_of
from olivepost.proxy.exchange_lifecycle import DISCOVERY_VALID_FOR
from tests.proxy.fakes import DelayedReplies
from tests.proxy_harness import OBJECT_NAME, HttpClient, ProxyHarness, running_proxy

CACHE_CONFIG: dict[str, Any] = {"flow_bytes_per_s": 100_000_000, "link_bytes_per_s": 400_000_000}


def request_until_cached(proxy: ProxyHarness, client: HttpClient) -> None:
    """Requests the same object three times; the third response comes from the response cache.

    The first response is not stored because the name is new. The second one is stored.
    """
    assert proxy.wait_until(lambda: proxy.parts.event_loop._lifecycle.discovery_known_until)
    for _ in range(3):
        assert client.request().body == body_of(OBJECT_NAME, "3")
    assert proxy.counter("cached_responses_served") == 1
    assert len(proxy.wait_for_fetches(2)) == 2


def test_repeated_request_is_served_from_the_response_cache() -> None:
    with running_proxy(**CACHE_CONFIG) as proxy, proxy.connect() as client:
        request_until_cached(proxy, client)
        tag = tag_of(OBJECT_NAME, "3")
        assert client.request(If_None_Match=f'"{tag}"') == (304, {"etag": f'"{tag}"'}, b"")
        assert proxy.counter("cached_responses_served") == 2
        assert len(proxy.wait_for_fetches(2)) == 2


def test_invalidation_evicts_cached_responses() -> None:
    with running_proxy(**CACHE_CONFIG) as proxy, proxy.connect() as client:
        request_until_cached(proxy, client)
        proxy.coordinator.add(evict={"shard": 17, "unix_ms": time.time_ns() // 1_000_000 + 1})
        assert proxy.wait_until(lambda: len(proxy.parts.response_cache) == 0)
        assert client.request().status == 200
        assert len(proxy.wait_for_fetches(3)) == 3


def test_no_cached_response_is_served_without_service_discovery() -> None:
    with running_proxy(**CACHE_CONFIG) as proxy, proxy.connect() as client:
        request_until_cached(proxy, client)
        proxy.coordinator.close()
        assert proxy.wait_until(lambda: proxy.counter("poll_failures") >= 2)
        proxy.parts.event_loop._lifecycle.discovery_known_until = (
            proxy.parts.clock.now() - DISCOVERY_VALID_FOR
        )
        assert client.request().status == 200
        assert proxy.counter("cached_responses_served") == 1


@pytest.mark.parametrize("clock_error_ms", [5_000, -5_000, 3_600_000, -3_600_000])
def test_invalidation_evicts_cached_responses_whatever_the_wall_clock_was(clock_error_ms: int) -> None:
    """Guards against a cached response that survives its invalidation because this process's clock is wrong.

    The clock may be ahead of or behind the clock of the endpoints and the coordinator.
    """

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb != "fetch":
            respond_normally(endpoint, command)
            return
        issued = str(time.time_ns() // 1_000_000 + clock_error_ms)
        body = body_of(command.fields["name"], command.fields["piece"])
        command.respond("HIT", body, why="warm", entity=tag_of(OBJECT_NAME, "3"), issued=issued)

    with running_proxy(reply, **CACHE_CONFIG) as proxy, proxy.connect() as client:
        request_repeatedly(proxy, client)
        proxy.coordinator.add(evict={"shard": 17, "unix_ms": time.time_ns() // 1_000_000 + clock_error_ms})
        assert proxy.wait_until(lambda: len(proxy.parts.response_cache) == 0)


def test_response_in_flight_at_its_invalidation_is_not_stored() -> None:
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies, **CACHE_CONFIG) as proxy, proxy.connect() as client:
        assert proxy.wait_until(lambda: proxy.parts.event_loop._lifecycle.discovery_known_until)
        delayed_replies.may_reply.set()
        assert client.request().status == 200
        delayed_replies.may_reply.clear()
        client.send(HttpClient.encode_request(timeout_ms=15_000))
        proxy.wait_for_fetches(2)
        proxy.coordinator.add(evict={"shard": 17, "unix_ms": time.time_ns() // 1_000_000})
        assert proxy.wait_until(lambda: len(proxy.parts.event_loop.router.state.invalidations) == 1)
        delayed_replies.may_reply.set()
        assert client.read_response().status == 200
        assert len(proxy.parts.response_cache) == 0


def request_repeatedly(proxy: ProxyHarness, client: HttpClient) -> None:
    """Sends two requests for the same object and waits until a response is stored."""
    assert proxy.wait_until(lambda: proxy.parts.event_loop._lifecycle.discovery_known_until)
    for _ in range(2):
        assert client.request().status == 200
    assert proxy.wait_until(lambda: len(proxy.parts.response_cache) == 1)


def test_no_cached_response_is_served_for_a_late_response_of_service_discovery(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a late response that is taken for a sign that no invalidation has been missed.

    The coordinator composed it long ago, and an invalidation since then may already count as notified.
    """

    def reply_late(_coordinator: Coordinator, sock: socket.socket, data: bytes) -> None:
        time.sleep(2.5)
        sock.sendall(data)

    with running_proxy(**CACHE_CONFIG) as proxy, proxy.connect() as client:
        request_until_cached(proxy, client)
        monkeypatch.setattr(Coordinator, "reply", reply_late)
        assert proxy.wait_until(lambda: proxy.counter("polls_late") >= 2)
        assert client.request().status == 200
        assert proxy.counter("cached_responses_served") == 1
