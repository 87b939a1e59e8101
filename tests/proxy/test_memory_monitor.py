"""Tests of memory pressure: its levels, and what the proxy frees or rejects at each of them."""

from __future__ import annotations

import os

import pytest

from olivepost import interface as api
from olivepost.interface import MemoryPressureLevel as Level
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.memory_account import memory_account
from olivepost.proxy.memory_monitor import (
    CHECK_INTERVAL,
    PRESSURE_CHECK_INTERVAL,
    MemoryMonitor,
    resident_bytes_reader,
)
from tests.proxy.fakes import DelayedReplies
from tests.proxy_harness import HttpClient, ProxyHarness, running_proxy

LIMIT = 100_000_000


class FakeMemory:
    """A memory monitor that reads the memory in use from `used`, which the test sets."""

    def __init__(self) -> None:
        self.used = 0
        self.levels: list[Level] = []
        self._descriptor = os.open(os.devnull, os.O_WRONLY)
        self.log = EventLog(Clock(), "n1", descriptor=self._descriptor)
        self.monitor = MemoryMonitor(LIMIT, self.log, self.levels.append, lambda: self.used)

    def level_at(self, share: float) -> Level:
        """Sets the memory in use to a share of the limit; returns the resulting memory pressure level."""
        self.used = int(share * LIMIT)
        self.monitor.check()
        return self.monitor.level


@pytest.mark.parametrize(
    ("share", "level"),
    [
        (0.5, Level.NONE),
        (0.81, Level.EVICT_CACHE),
        (0.85, Level.CLOSE_IDLE),
        (0.88, Level.FREEZE_NAMES),
        (0.91, Level.LIMIT_CONNECTIONS),
        (0.94, Level.REJECT),
        (1.2, Level.REJECT),
    ],
)
def test_level_follows_the_share_of_the_limit(share: float, level: Level) -> None:
    assert FakeMemory().level_at(share) is level


def test_level_ends_a_margin_below_its_share() -> None:
    memory = FakeMemory()
    assert [memory.level_at(share) for share in (0.94, 0.92, 0.90, 0.87, 0.5)] == [
        Level.REJECT,
        Level.REJECT,
        Level.LIMIT_CONNECTIONS,
        Level.FREEZE_NAMES,
        Level.NONE,
    ]
    assert memory.levels[-1] is Level.NONE
    assert memory.log.counters()["memory_pressure_reject"] == 1


def test_memory_is_checked_more_often_under_pressure() -> None:
    memory = FakeMemory()
    memory.level_at(0.5)
    assert (memory.monitor.interval, memory.levels) == (CHECK_INTERVAL, [])
    memory.level_at(0.9)
    memory.level_at(0.9)
    assert memory.monitor.interval == PRESSURE_CHECK_INTERVAL
    assert memory.levels == [Level.LIMIT_CONNECTIONS] * 2


def test_resident_memory_of_this_process_is_read() -> None:
    read = resident_bytes_reader()
    before = read()
    allocated = bytearray(b"x") * 30_000_000
    assert read() - before > 20_000_000
    assert allocated


def set_memory_use(proxy: ProxyHarness, share: float) -> None:
    """Makes a share of the proxy's memory limit appear as in use; runs the main thread's memory check."""
    limit = proxy.parts.config.limits.memory.limit
    proxy.parts.memory_monitor.read_resident_bytes = lambda: int(share * limit)
    proxy.parts.memory_monitor.check()


def test_response_cache_is_evicted_first() -> None:
    with (
        running_proxy(flow_bytes_per_s=1_000_000, link_bytes_per_s=8_000_000) as proxy,
        proxy.connect() as client,
    ):
        # Each name is requested twice, because only the second response for a name is stored.
        for part in (0, 1, 2, 3) * 2:
            assert client.request(part=part).status == 200
        assert proxy.wait_until(lambda: len(proxy.parts.response_cache) == 4)
        set_memory_use(proxy, 0.81)
        assert proxy.wait_until(lambda: len(proxy.parts.response_cache) == 2)
        set_memory_use(proxy, 0.81)
        set_memory_use(proxy, 0.81)
        assert proxy.wait_until(lambda: len(proxy.parts.response_cache) == 0)
        assert client.request().status == 200  # the client's connection is still open and served
        assert proxy.wait_until(lambda: proxy.parts.body_buffers.in_use <= 60)
        set_memory_use(proxy, 0.81)
        assert proxy.wait_until(lambda: proxy.parts.body_buffers.touched_bytes < 300_000)


def test_idle_connections_are_closed_under_pressure_and_busy_ones_kept() -> None:
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies) as proxy, proxy.connect() as busy, proxy.connect() as idle:
        idle.send(b"GET /-/healthy HTTP/1.1\r\n\r\n")
        assert idle.read_response().status == 200
        busy.send(HttpClient.encode_request(timeout_ms=15_000))
        proxy.wait_for_fetches()
        assert proxy.wait_until(lambda: has_evicted_under_pressure(proxy))
        assert idle.is_closed_by_proxy()
        delayed_replies.may_reply.set()
        assert busy.read_response().status == 200


def has_evicted_under_pressure(proxy: ProxyHarness) -> bool:
    """Puts the proxy under memory pressure; returns whether it has evicted an idle connection.

    Callers repeat the call until it returns True, because a connection is not evicted before it has been
    idle for `MIN_IDLE_BEFORE_EVICTION`.
    """
    set_memory_use(proxy, 0.85)
    return proxy.counter("connections_evicted") > 0


def test_requests_are_rejected_at_once_close_to_the_limit_and_served_again_below() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        set_memory_use(proxy, 0.95)
        status, headers, _ = client.request()
        assert status == 503
        assert int(headers["x-come-back-ms"]) > 0
        assert proxy.counter("given_up_memory") == 1
        set_memory_use(proxy, 0.5)
        assert client.request().status == 200


def test_names_are_frozen_and_halved_under_pressure() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        for part in range(8):
            client.request(part=part)
        names = proxy.parts.event_loop.router.state.names
        capacity = names.capacity
        names.capacity = 8
        set_memory_use(proxy, 0.88)
        assert proxy.wait_until(lambda: len(names) == 4)
        client.request(part=20)
        assert len(names) <= 4
        names.capacity = capacity
        set_memory_use(proxy, 0.5)
        assert client.request(part=21).status == 200
        assert proxy.wait_until(lambda: len(names) > 4 or proxy.parts.memory_monitor.level is Level.NONE)


def test_client_over_the_lowered_connection_limit_waits_for_a_slot() -> None:
    with running_proxy(limits={"sockets": 64, "memory_mb": 64}) as proxy:
        half = proxy.parts.config.limits.max_client_connections // 2
        clients = [proxy.connect() for _ in range(half + 2)]
        for client in clients:
            assert client.request().status == 200
        set_memory_use(proxy, 0.91)
        proxy.parts.downstream.limit_connections(half)
        proxy.parts.downstream.evict_idle()
        with proxy.connect() as late:
            late.send(HttpClient.encode_request(timeout_ms=15_000))
            assert late.read_response().status == 200
        for client in clients:
            client.sock.close()


def test_memory_account_names_every_owner_within_its_allowance() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        account = memory_account(proxy.parts)
    tables = {"names", "requests", "endpoints", "routes", "invalidations", "executed_ids"}
    assert set(account) == {"connections", "bodies", "log"} | tables
    assert all(owner.used_bytes <= owner.allowed_bytes for owner in account.values())
    assert account["names"].used_bytes > 0
    assert api.MemoryPressure(Level.NONE).level == 0
