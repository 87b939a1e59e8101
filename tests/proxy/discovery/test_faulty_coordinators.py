"""Tests with coordinators that stall, lag, send responses byte by byte or do not respond."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from examples.toy_server import Coordinator, port_of
from olivepost import interface as api
from olivepost.config import read_address
from olivepost.proxy.discovery import open_polls
from tests.proxy.fakes import MS, cache_a_is_draining, draining_entries
from tests.proxy_harness import CHECK_INTERVAL_S, WAIT_TIMEOUT_S, running_proxy

# Time from a switch of the coordinator to the second poll, if the first one has no complete response by then.
NEXT_POLL_AFTER_S = 0.5
# An event that a stalled response has counts as notified 2 s after the poll's wait of 1 s.
NOTIFIED_AFTER_S = 3.0
DRAIN_KNOWN_AFTER_S = 7.55  # an event counts as notified 7 s after it was published, and 0.55 s are allowed


class StallingCoordinator(Coordinator):
    """A coordinator that stalls within its response to the first poll.

    The coordinator sends half of that response and keeps the connection open. After that, it sends nothing.
    If `trickles` is true, it sends one byte every 100 ms until `is_over` is set. Later polls get complete
    responses.
    """

    def __init__(self, trickles: bool) -> None:
        self.trickles = trickles
        self.has_stalled = False
        self.is_over = threading.Event()
        super().__init__()

    def reply(self, sock: socket.socket, data: bytes) -> None:
        if self.has_stalled:
            super().reply(sock, data)
            return
        self.has_stalled = True
        sock.sendall(data[: len(data) // 2])
        while self.trickles and not self.is_over.wait(0.1):
            sock.sendall(b" ")


@pytest.mark.parametrize("trickles", [False, True])
def test_coordinator_that_stalls_in_a_response_is_polled_again_in_time(trickles: bool) -> None:
    with running_proxy() as proxy:
        other = StallingCoordinator(trickles)
        other.events = list(proxy.coordinator.events)
        other.add(evict={"shard": 2, "unix_ms": time.time_ns() // 1_000_000})
        started_at = time.monotonic()
        proxy.parts.discovery.switch_coordinator(read_address(other.address))
        invalidations = proxy.parts.event_loop._router.state.invalidations
        assert proxy.wait_until(lambda: ("group", 2) in invalidations._times)
        assert other.has_stalled
        duration_s = time.monotonic() - started_at
        assert NEXT_POLL_AFTER_S <= duration_s < NOTIFIED_AFTER_S
        assert proxy.counter("poll_failures") <= 2
        other.is_over.set()
        other.close()


def test_lagging_coordinator_is_not_taken_for_a_new_one() -> None:
    with running_proxy() as proxy:
        proxy.coordinator.add(
            endpoints={
                "version": 2,
                "full": False,
                "servers": [{**proxy.listed_endpoints[0], "state": "terminating"}],
            }
        )
        assert proxy.wait_until(lambda: proxy.parts.discovery._watch_state.last_index == 2)
        lagging = Coordinator()
        lagging.events = proxy.coordinator.events[:1]
        proxy.parts.discovery.switch_coordinator(read_address(lagging.address))
        assert lagging.wait_for_poll(2)
        assert lagging.follows[:2] == [2, 2]
        assert proxy.wait_until(lambda: proxy.parts.discovery._watch_state.lagging_responses >= 1)
        lagging.events = list(proxy.coordinator.events)
        lagging.add(evict={"shard": 2, "unix_ms": time.time_ns() // 1_000_000})
        invalidations = proxy.parts.event_loop._router.state.invalidations
        assert proxy.wait_until(lambda: ("group", 2) in invalidations._times)
        assert (
            proxy.parts.event_loop._router.state.endpoints.by_id["a"].metadata.state
            is api.EndpointState.DRAINING
        )
        assert 0 not in lagging.follows
        lagging.close()


class BytewiseCoordinator(Coordinator):
    """A coordinator that sends its responses one byte at a time."""

    def reply(self, sock: socket.socket, data: bytes) -> None:
        for position in range(len(data)):
            sock.sendall(data[position : position + 1])


class UnresponsiveCoordinator(Coordinator):
    """A coordinator that leaves its first `polls` polls open without a response and answers later ones."""

    def __init__(self, polls: int) -> None:
        self.polls_left = polls
        self.is_over = threading.Event()
        super().__init__()

    def reply(self, sock: socket.socket, data: bytes) -> None:
        self.polls_left -= 1
        if self.polls_left >= 0:
            self.is_over.wait(WAIT_TIMEOUT_S)
        else:
            super().reply(sock, data)


def test_endpoint_list_may_arrive_in_chunks() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        other = BytewiseCoordinator()
        other.events = list(proxy.coordinator.events)
        other.add(endpoints={"version": 2, "full": False, "servers": draining_entries(proxy, 1)})
        proxy.parts.discovery.switch_coordinator(read_address(other.address))
        assert proxy.wait_until(lambda: cache_a_is_draining(proxy))
        assert client.request().status == 200
        assert proxy.caches[0].received() == []
        other.close()


def test_drain_during_unresponsive_polls_is_applied_and_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """Checks a cache that begins to drain while the open poll and the poll after it get no response.

    The draining cache stays reachable, so it would receive a request that is wrongly sent to it.
    """
    monkeypatch.setattr(open_polls, "POLL_WAIT", 100 * MS)
    monkeypatch.setattr(open_polls, "RESPONSE_PAUSE", 100 * MS)
    with running_proxy() as proxy, proxy.connect() as client:
        other = UnresponsiveCoordinator(2)
        other.events = list(proxy.coordinator.events)
        proxy.parts.discovery.switch_coordinator(read_address(other.address))
        assert other.wait_for_poll(1)
        other.add(endpoints={"version": 2, "full": False, "servers": draining_entries(proxy, 1)})
        assert proxy.wait_until(lambda: cache_a_is_draining(proxy))
        fetches_before = len(proxy.caches[0].received())
        # One response with status 200 is enough. On a busy machine the only remaining cache may stall
        # briefly, and requests are then rejected for a reason other than discovery. The draining cache must
        # get no request.
        assert 200 in {client.request(part=part).status for part in range(12)}
        assert len(proxy.caches[0].received()) == fetches_before
        other.is_over.set()
        other.close()


def test_coordinator_that_comes_up_anew_with_more_events_is_not_taken_for_the_one_before() -> None:
    """Guards against events of a new numbering that are skipped, since their indices count as known."""
    with running_proxy() as proxy:
        port = port_of(proxy.coordinator.address)
        assert proxy.wait_until(lambda: proxy.parts.discovery._watch_state.last_index == 1)
        proxy.coordinator.close()
        anew = Coordinator(port)
        servers = [*draining_entries(proxy, 1), *proxy.listed_endpoints[1:]]
        anew.add(endpoints={"version": 1, "full": True, "servers": servers})
        anew.add(evict={"shard": 2, "unix_ms": time.time_ns() // 1_000_000})
        published_at = time.monotonic()
        invalidations = proxy.parts.event_loop._router.state.invalidations
        try:
            assert proxy.wait_until(lambda: ("group", 2) in invalidations._times)
            while not cache_a_is_draining(proxy) and time.monotonic() - published_at < DRAIN_KNOWN_AFTER_S:
                time.sleep(CHECK_INTERVAL_S)
            assert cache_a_is_draining(proxy)
        finally:
            anew.close()
