"""The response cache in a whole proxy."""

from __future__ import annotations

import time
from typing import Any

import pytest

from examples.toy_server import Command, Member, body_of, serve_all, tag_of
from olivepost.proxy.exchange_lifecycle import DISCOVERY_VALID_FOR
from tests.proxy.fakes import HeldReplies
from tests.rig import NAME, Client, Rig, rig

CACHE_CONFIG: dict[str, Any] = {"flow_bytes_per_s": 100_000_000, "link_bytes_per_s": 400_000_000}


def request_until_cached(made: Rig, client: Client) -> None:
    """The first response is for a new name, the second is stored, the third comes from the cache."""
    assert made.until(lambda: made.proxy.event_loop._lifecycle.discovery_heard_at)
    for _ in range(3):
        assert client.ask()[2] == body_of(NAME, "3")
    assert made.counted("cached_responses_served") == 1
    assert len(made.fetches(2)) == 2


def test_repeated_request_is_served_from_the_response_cache() -> None:
    with rig(**CACHE_CONFIG) as made, made.client() as client:
        request_until_cached(made, client)
        tag = tag_of(NAME, "3")
        assert client.ask(If_None_Match=f'"{tag}"') == (304, {"etag": f'"{tag}"'}, b"")
        assert made.counted("cached_responses_served") == 2
        assert len(made.fetches(2)) == 2


def test_invalidation_evicts_cached_responses() -> None:
    with rig(**CACHE_CONFIG) as made, made.client() as client:
        request_until_cached(made, client)
        made.coordinator.add(evict={"shard": 17, "unix_ms": time.time_ns() // 1_000_000 + 1})
        assert made.until(lambda: len(made.proxy.response_cache) == 0)
        assert client.ask()[0] == 200
        assert len(made.fetches(3)) == 3


def test_no_cached_response_is_served_without_service_discovery() -> None:
    with rig(**CACHE_CONFIG) as made, made.client() as client:
        request_until_cached(made, client)
        made.coordinator.close()
        assert made.until(lambda: made.counted("poll_failures") >= 2)
        made.proxy.event_loop._lifecycle.discovery_heard_at -= DISCOVERY_VALID_FOR
        assert client.ask()[0] == 200
        assert made.counted("cached_responses_served") == 1


@pytest.mark.parametrize("clock_error_ms", [5_000, -5_000, 3_600_000, -3_600_000])
def test_invalidation_evicts_cached_responses_whatever_the_wall_clock_was(clock_error_ms: int) -> None:
    """Endpoints and coordinator share a clock, which this process's may be ahead of or behind."""

    def reply(member: Member, command: Command) -> None:
        if command.verb != "fetch":
            serve_all(member, command)
            return
        issued = str(time.time_ns() // 1_000_000 + clock_error_ms)
        body = body_of(command.fields["name"], command.fields["piece"])
        command.answer("HIT", body, why="warm", entity=tag_of(NAME, "3"), issued=issued)

    with rig(reply, **CACHE_CONFIG) as made, made.client() as client:
        request_repeatedly(made, client)
        made.coordinator.add(evict={"shard": 17, "unix_ms": time.time_ns() // 1_000_000 + clock_error_ms})
        assert made.until(lambda: len(made.proxy.response_cache) == 0)


def test_response_that_was_under_way_at_its_invalidation_is_not_stored() -> None:
    held = HeldReplies()
    with rig(held, **CACHE_CONFIG) as made, made.client() as client:
        assert made.until(lambda: made.proxy.event_loop._lifecycle.discovery_heard_at)
        held.gate.set()
        assert client.ask()[0] == 200
        held.gate.clear()
        client.send(Client.request(patience=15_000))
        made.fetches(2)
        made.coordinator.add(evict={"shard": 17, "unix_ms": time.time_ns() // 1_000_000})
        assert made.until(lambda: len(made.proxy.event_loop.router.state.invalidations) == 1)
        held.gate.set()
        assert client.read()[0] == 200
        assert len(made.proxy.response_cache) == 0


def request_repeatedly(made: Rig, client: Client) -> None:
    """Asks until a response is stored."""
    assert made.until(lambda: made.proxy.event_loop._lifecycle.discovery_heard_at)
    for _ in range(2):
        assert client.ask()[0] == 200
    assert made.until(lambda: len(made.proxy.response_cache) == 1)
