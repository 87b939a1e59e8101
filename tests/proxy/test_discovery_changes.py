"""Tests of service discovery: changes of the endpoint list, invalidations and faulty coordinators."""

from __future__ import annotations

import dataclasses
import os
import time

import pytest

from examples.toy_server import Coordinator, listed_endpoint
from olivepost import interface as api
from olivepost.config import read_address, read_config
from olivepost.proxy.discovery.client import DiscoveryClient
from olivepost.proxy.discovery.messages import DiscoveryEvent, DiscoveryHeartbeat
from olivepost.proxy.messages import StopEventLoop
from olivepost.proxy.server import ConfigurationSource, ProxyServer
from tests.proxy.fakes import MS, cache_a_is_draining, draining_entries
from tests.proxy_harness import OBJECT_NAME, WAIT_TIMEOUT_S, HttpClient, running_proxy, toy_config


def test_draining_endpoint_gets_no_new_request() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        proxy.coordinator.add(
            endpoints={
                "version": 2,
                "full": False,
                "servers": [{**proxy.listed_endpoints[0], "state": "terminating"}],
            }
        )
        endpoints_before = proxy.parts.event_loop._router.state.endpoints.by_id
        assert proxy.wait_until(
            lambda: endpoints_before is not proxy.parts.event_loop._router.state.endpoints.by_id
        )
        for part in range(20):
            assert client.request(part=part).status == 200
        assert proxy.caches[0].received() == []
        assert len(proxy.caches[1].received()) == 20


def test_new_endpoint_on_an_old_address_gets_new_connections() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        for part in range(12):
            assert client.request(part=part).status == 200
        old = proxy.caches[0]
        assert len(old.connections) == 1
        proxy.coordinator.add(
            endpoints={
                "version": 2,
                "full": False,
                "servers": [
                    {**proxy.listed_endpoints[0], "state": "terminated"},
                    {**proxy.listed_endpoints[0], "id": "new"},
                ],
            }
        )
        assert proxy.wait_until(lambda: "new" in proxy.parts.event_loop._router.state.endpoints.by_id)
        for part in range(12):
            assert client.request(part=part).status == 200
        assert len(old.connections) == 2


HOUR_MS = 3_600_000


@pytest.mark.parametrize("clock_error_ms", [0, -500, 5_000, -5_000, HOUR_MS, -HOUR_MS])
def test_invalidations_bound_the_age_of_cached_responses(clock_error_ms: int) -> None:
    """Checks the maximum age that the proxy sends with a request after its object was invalidated.

    The maximum age counts from the invalidation. This process reads the wall clock at its start, and an
    error of that clock must make no difference.
    """
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        invalidated_at = time.monotonic()
        proxy.coordinator.add(
            evict={"ref": OBJECT_NAME, "unix_ms": time.time_ns() // 1_000_000 + clock_error_ms}
        )
        proxy.coordinator.add(evict={"shard": 18, "unix_ms": time.time_ns() // 1_000_000})
        invalidations = proxy.parts.event_loop._router.state.invalidations
        assert proxy.wait_until(lambda: len(invalidations) == 2)
        assert client.request().status == 200
        assert client.request("1" * 16).status == 200
        first, bounded, other = (
            proxy.wait_for_fetches(3)
            if len(proxy.caches[0].received()) in (0, 3)
            else sorted(proxy.wait_for_fetches(3), key=lambda command: command.id)
        )
        assert "within" not in first.fields
        assert "within" not in other.fields
        assert 1 <= int(bounded.fields["within"]) <= (time.monotonic() - invalidated_at) * 1000


def test_gap_in_the_events_is_resynced() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert proxy.coordinator.wait_for_poll(1)
        draining = listed_endpoint(proxy.caches[0], state="terminating")
        full_list = {"version": 3, "full": True, "servers": proxy.listed_endpoints[1:]}
        with proxy.coordinator._change:
            proxy.coordinator.events[:] = [
                {"index": 5, "endpoints": {"version": 2, "full": False, "servers": [draining]}},
                {"index": 6, "endpoints": full_list},
            ]
            proxy.coordinator._change.notify_all()
        assert proxy.wait_until(lambda: "a" not in proxy.parts.event_loop._router.state.endpoints.by_id)
        assert client.request().status == 200


def test_invalid_events_do_not_stop_later_ones() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        proxy.coordinator.add(endpoints={"servers": [{"id": "x y", "addr": "127.0.0.1:1"}]})
        proxy.coordinator.add(evict={})
        proxy.coordinator.add(evict={"ref": OBJECT_NAME, "unix_ms": time.time_ns() // 1_000_000})
        assert proxy.wait_until(lambda: len(proxy.parts.event_loop._router.state.invalidations) == 1)
        assert proxy.counter("invalid_events") == 2
        assert client.request().status == 200


def test_last_endpoint_list_holds_while_the_coordinator_is_down() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert proxy.coordinator.wait_for_poll(1)
        proxy.coordinator.close()
        assert proxy.wait_until(lambda: proxy.counter("poll_failures") >= 2)
        assert client.request().status == 200


def test_new_coordinator_is_polled_at_once_from_the_last_index() -> None:
    with running_proxy() as proxy:
        other = Coordinator()
        proxy.coordinator.add(evict={"shard": 1, "unix_ms": time.time_ns() // 1_000_000})
        invalidations = proxy.parts.event_loop._router.state.invalidations
        assert proxy.wait_until(lambda: len(invalidations) == 1)
        other.events = list(proxy.coordinator.events)
        other.add(evict={"shard": 2, "unix_ms": time.time_ns() // 1_000_000})
        assert proxy.parts.discovery.switch_coordinator(read_address(other.address))
        assert not proxy.parts.discovery.switch_coordinator(read_address(other.address))
        # The first coordinator is no longer polled, so this event has no effect.
        proxy.coordinator.add(evict={"shard": 3, "unix_ms": time.time_ns() // 1_000_000})
        assert proxy.wait_until(lambda: len(invalidations) == 2)
        assert other.wait_for_poll(2)
        assert other.follows[0] == 2
        other.add(evict={"shard": 4, "unix_ms": time.time_ns() // 1_000_000})
        assert proxy.wait_until(lambda: ("group", 4) in invalidations._times)
        assert set(invalidations._times) == {("group", 1), ("group", 2), ("group", 4)}
        assert proxy.counter("discovery_error") == 0
        other.close()


def test_reload_moves_discovery_while_the_old_coordinator_is_down() -> None:
    with running_proxy() as proxy:
        assert proxy.coordinator.wait_for_poll(1)
        proxy.coordinator.close()
        assert proxy.wait_until(lambda: proxy.counter("poll_failures") >= 1)
        other = Coordinator()
        other.events = list(proxy.coordinator.events)
        other.add(endpoints={"version": 2, "full": False, "servers": draining_entries(proxy, 1)})
        changed_config = dataclasses.replace(proxy.parts.config, coordinator=read_address(other.address))
        proxy.server._source = ConfigurationSource(lambda: changed_config, lambda: None)
        proxy.server.reload()
        assert proxy.wait_until(lambda: cache_a_is_draining(proxy))
        assert other.follows[0] == 1
        other.close()


def test_proxy_serves_by_the_known_list_before_discovery_responds() -> None:
    """Checks that the configuration's endpoint list is used if the coordinator is down at the start."""
    with running_proxy() as other:
        # The coordinator ends after all other servers have their ports, so that none of them reuses its port.
        coordinator = Coordinator()
        coordinator.close()
        config = toy_config(coordinator=coordinator.address, known=other.coordinator.listed())
        devnull = os.open(os.devnull, os.O_WRONLY)
        proxy = ProxyServer(read_config(config, {}), devnull)
        with HttpClient(proxy.start()) as client:
            client.send(b"GET /-/healthy HTTP/1.1\r\n\r\n")
            assert client.read_response().status == 200
            assert client.request().status == 200
        proxy.parts.discovery.stop()
        proxy.parts.downstream.stop_accepting()
        proxy.parts.downstream.stop_watching()
        proxy.parts.event_loop.post(StopEventLoop())
        proxy.parts.log.close(WAIT_TIMEOUT_S)
        os.close(devnull)


@pytest.mark.parametrize("clock_error_ms", [0, 5_000, -5_000, HOUR_MS, -HOUR_MS])
def test_invalidations_of_the_start_are_no_older_than_their_distance_from_the_last(
    clock_error_ms: int,
) -> None:
    """Checks the ages of the configuration's invalidations if this process's clock may be wrong at the start.

    Only the differences between the invalidations' times are certain. The last invalidation may have
    happened just now, so its age is taken to be 0, and the age of an earlier one to be at most its distance
    from the last.
    """
    now_ms = time.time_ns() // 1_000_000 - clock_error_ms
    updates = [
        {"index": index, "evict": {"shard": index, "unix_ms": now_ms - age_ms}}
        for index, age_ms in enumerate((9_000, 2_000), 1)
    ]
    ages: list[int] = []

    def post(event: DiscoveryEvent | DiscoveryHeartbeat) -> None:
        if isinstance(event, DiscoveryEvent) and isinstance(event.change, api.Invalidation):
            ages.append(event.change.age)

    with running_proxy() as proxy:
        closed_address = read_address("127.0.0.1:9")
        client = DiscoveryClient(closed_address, proxy.parts.clock, proxy.parts.log, post, seed=1)
        client.start({"index": 2, "updates": updates})
        client.stop()
    assert len(ages) == 2
    assert ages[1] == 0
    assert 0 <= ages[0] <= 7_000 * MS
