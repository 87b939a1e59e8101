"""Tests of more clients than the connection limit allows: evicted, waiting and rejected clients."""

from __future__ import annotations

import contextlib
import time

import pytest

from examples.toy_server import Coordinator
from olivepost.proxy.downstream import connection_admission
from olivepost.proxy.downstream.connection_admission import SLOT_RETRY_INTERVAL_S
from olivepost.proxy.downstream.eviction import ConnectionEvictor
from tests.proxy.fakes import (
    DelayedReplies,
    cache_a_is_draining,
    draining_entries,
    only_connection,
)
from tests.proxy_harness import (
    HttpClient,
    ProxyHarness,
    running_proxy,
)

MAX_BUSY_CLIENT_REQUESTS = 200
# Resource limits that allow few client connections.
FEW_CONNECTIONS = {"sockets": 64, "memory_mb": 64}


def clients_with_pending_requests(proxy: ProxyHarness) -> list[HttpClient]:
    """Returns as many clients as the limit allows, each with a request that has no response yet."""
    clients = [proxy.connect() for _ in range(proxy.parts.config.limits.max_client_connections)]
    for client in clients:
        client.send(HttpClient.encode_request(timeout_ms=15_000))
    assert proxy.wait_until(lambda: proxy.parts.event_loop.pending_count == len(clients))
    return clients


def test_at_the_connection_limit_the_longest_idle_is_evicted() -> None:
    with running_proxy(limits={"sockets": 64, "memory_mb": 64}) as proxy:
        cap = proxy.parts.config.limits.max_client_connections
        clients = [proxy.connect() for _ in range(cap)]
        for client in clients:
            assert client.request().status == 200
        # After this request, another client has been idle longest, so the proxy does not evict the first one.
        assert clients[0].request().status == 200
        with proxy.connect() as late:
            assert late.request().status == 200
        assert clients[1].is_closed_by_proxy()
        assert clients[0].request().status == 200
        assert proxy.parts.downstream.open_count <= cap
        for client in clients:
            client.sock.close()


def test_at_the_connection_limit_clients_without_a_request_are_evicted_first() -> None:
    with running_proxy(
        limits={"sockets": 64, "memory_mb": 64}, bounds={"first_request_timeout": 60 * 10**9}
    ) as proxy:
        cap = proxy.parts.config.limits.max_client_connections
        with proxy.connect() as served:
            assert served.request().status == 200
            unused = [proxy.connect() for _ in range(2 * cap)]
            assert all(client.is_closed_by_proxy() for client in unused[:cap])
            assert served.request().status == 200
            assert proxy.counter("connections_evicted") >= cap
            for client in unused:
                client.sock.close()


def test_at_the_connection_limit_busy_clients_are_waited_for() -> None:
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies, limits={"sockets": 64, "memory_mb": 64}) as proxy:
        clients = clients_with_pending_requests(proxy)
        with proxy.connect() as late:
            late.send(HttpClient.encode_request())
            assert proxy.wait_until(lambda: proxy.counter("connection_cap_reached") == 1)
            delayed_replies.may_reply.set()
            assert late.read_response().status == 200
            assert [client.read_response().status for client in clients] == [200] * len(clients)
        for client in clients:
            client.sock.close()


def test_responses_end_connections_only_while_a_client_waits_for_a_slot() -> None:
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies, limits=FEW_CONNECTIONS) as proxy:
        clients = clients_with_pending_requests(proxy)
        with proxy.connect() as late:
            late.send(HttpClient.encode_request(timeout_ms=15_000))
            assert proxy.wait_until(lambda: proxy.parts.downstream.context.is_slot_wanted)
            delayed_replies.may_reply.set()
            assert "close" in [client.read_response().headers.get("connection") for client in clients]
            assert late.read_response().status == 200
            assert proxy.wait_until(lambda: not proxy.parts.downstream.context.is_slot_wanted)
            assert "connection" not in late.request(timeout_ms=15_000).headers
        for client in clients:
            client.sock.close()


def test_client_is_rejected_where_no_slot_becomes_free_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against leaving a client without a response while pending requests take all connection slots."""
    monkeypatch.setattr(connection_admission, "MAX_SLOT_WAIT_S", 0.1)
    monkeypatch.setattr(connection_admission, "PATIENT_SLOT_WAIT_S", 0.1)
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies, limits=FEW_CONNECTIONS) as proxy:
        clients = clients_with_pending_requests(proxy)
        for _ in range(2):
            with proxy.connect() as late:
                status, headers, _ = late.request(timeout_ms=15_000)
                assert (status, headers["connection"]) == (503, "close")
                assert late.is_closed_by_proxy()
        assert proxy.counter("connections_rejected") == 2
        delayed_replies.may_reply.set()
        assert [client.read_response().status for client in clients] == [200] * len(clients)
        for client in clients:
            client.sock.close()


def test_wait_for_a_slot_is_taken_from_the_time_of_the_request() -> None:
    """Guards against a late response: the request's timeout includes the wait for a connection slot."""
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies, limits=FEW_CONNECTIONS) as proxy:
        clients = clients_with_pending_requests(proxy)
        with proxy.connect() as late:
            sent_at = time.monotonic()
            late.send(HttpClient.encode_request(timeout_ms=1_000))
            time.sleep(0.5)
            # Frees a connection slot for the late client, whose request also gets no reply from any endpoint.
            clients[0].sock.close()
            assert late.read_response().status == 503
            assert time.monotonic() < sent_at + 1.2
        delayed_replies.may_reply.set()
        for client in clients[1:]:
            client.read_response()
            client.sock.close()


def test_client_is_rejected_where_the_wait_for_its_slot_raises(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against closing a new connection without a response if evicting an idle one raises an error."""
    with running_proxy(limits=FEW_CONNECTIONS) as proxy:
        clients = [proxy.connect() for _ in range(proxy.parts.config.limits.max_client_connections)]
        for client in clients:
            assert client.request(timeout_ms=15_000).status == 200
        monkeypatch.setattr(ConnectionEvictor, "evict_one", None)
        with proxy.connect() as late:
            assert late.request(timeout_ms=15_000).status == 503
        # The proxy counts the error after it has sent the response, so the test waits for the count.
        assert proxy.wait_until(lambda: proxy.counter("accept_error") == 1)
        for client in clients:
            client.sock.close()


def test_flood_of_connections_without_a_request_ends_no_connection_in_use() -> None:
    with running_proxy(limits=FEW_CONNECTIONS, bounds={"first_request_timeout": 60 * 10**9}) as proxy:
        cap = proxy.parts.config.limits.max_client_connections
        with proxy.connect() as served:
            assert served.request().status == 200
            unused = [proxy.connect() for _ in range(3 * cap)]
            while proxy.counter("connections_evicted") < cap:
                assert "connection" not in served.request().headers
            for client in unused:
                client.sock.close()


def test_client_that_writes_its_first_request_slowly_is_not_evicted() -> None:
    """Guards against evicting a client whose first request was read in part: it would get no response."""
    with running_proxy(limits=FEW_CONNECTIONS) as proxy, proxy.connect() as slow:
        request = HttpClient.encode_request(timeout_ms=15_000)
        slow.send(request[:30])
        assert proxy.wait_until(lambda: not only_connection(proxy).parser.is_idle)
        others = [proxy.connect() for _ in range(proxy.parts.config.limits.max_client_connections - 1)]
        for client in others:
            assert client.request(timeout_ms=15_000).status == 200
        with proxy.connect() as late:
            assert late.request(timeout_ms=15_000).status == 200
        slow.send(request[30:])
        assert slow.read_response().status == 200
        for client in others:
            client.sock.close()


def test_partial_requests_of_a_flood_are_evicted_with_a_rejection() -> None:
    with running_proxy(limits=FEW_CONNECTIONS, bounds={"first_request_timeout": 60 * 10**9}) as proxy:
        clients = [proxy.connect() for _ in range(proxy.parts.config.limits.max_client_connections)]
        for client in clients:
            client.send(HttpClient.encode_request()[:30])
        assert proxy.wait_until(
            lambda: all(
                connection.has_pending_response
                for connection in proxy.parts.downstream.connections.snapshot()
            )
        )
        with proxy.connect() as late:
            assert late.request(timeout_ms=15_000).status == 200
        status, headers, _ = clients[0].read_response()
        assert (status, headers["connection"]) == (503, "close")
        for client in clients:
            client.sock.close()


def test_client_beyond_the_limit_of_memory_pressure_takes_its_turn() -> None:
    with running_proxy() as proxy, proxy.connect() as busy:
        assert busy.request().status == 200
        proxy.parts.downstream.limit_connections(1)
        with proxy.connect() as late:
            late.send(HttpClient.encode_request(timeout_ms=15_000))
            headers: dict[str, str] = {}
            # The proxy may evict the busy client between two requests. The next one then raises this error.
            with contextlib.suppress(ConnectionError):
                for _ in range(MAX_BUSY_CLIENT_REQUESTS):
                    if "connection" in headers:
                        break
                    headers = busy.request(timeout_ms=15_000).headers
            busy.sock.close()
            assert late.read_response().status == 200


def test_client_that_was_just_served_is_not_evicted() -> None:
    """Guards against evicting a client right after its response was sent.

    The eviction could reset the connection, and the reset could overtake the response. At the connection
    limit, the proxy therefore evicts another client. If no client has been idle for
    `MIN_IDLE_BEFORE_EVICTION` yet, the proxy evicts none until one has.
    """
    with running_proxy(limits={"sockets": 64, "memory_mb": 64}) as proxy:
        cap = proxy.parts.config.limits.max_client_connections
        served = [proxy.connect() for _ in range(cap)]
        for client in served:
            assert client.request().status == 200
        now = proxy.parts.clock.now()
        proxy.parts.downstream.context.clock = type("StoppedClock", (), {"now": staticmethod(lambda: now)})()
        for connection in proxy.parts.downstream.connections.snapshot():
            connection.idle_since = now
        with proxy.connect() as late:
            assert proxy.wait_until(lambda: proxy.counter("connection_cap_reached") == 1)
            assert proxy.counter("connections_evicted") == 0
            served[0].sock.close()
            assert late.request().status == 200
        for client in served[1:]:
            assert client.request().status == 200
            client.sock.close()


def test_idle_clients_at_the_limit_keep_out_neither_discovery_nor_upstream_nor_clients() -> None:
    """Guards against idle clients that use up all descriptors.

    The coordinator restarts after the clients have connected, and a descriptor must be left to poll it.
    Upstream connections and further clients need descriptors, too.
    """
    with running_proxy(limits={"sockets": 64, "memory_mb": 64}) as proxy:
        assert proxy.coordinator.wait_for_poll(1)
        proxy.coordinator.close()
        assert proxy.wait_until(lambda: proxy.counter("poll_failures") >= 1)
        idle = [proxy.connect() for _ in range(3 * proxy.parts.config.limits.max_client_connections)]
        for part in range(6):
            with proxy.connect() as client:
                assert client.request(part=part).status == 200
        assert proxy.parts.downstream.peak_count <= proxy.parts.config.limits.max_client_connections
        restarted = Coordinator(int(proxy.coordinator.address.rpartition(":")[2]))
        restarted.events = list(proxy.coordinator.events)
        restarted.add(endpoints={"version": 2, "full": False, "servers": draining_entries(proxy, 1)})
        assert proxy.wait_until(lambda: cache_a_is_draining(proxy))
        restarted.close()
        for client in idle:
            client.sock.close()


def test_flood_of_idle_clients_is_admitted_as_fast_as_slots_become_free() -> None:
    """Checks that a waiting client gets an evicted client's connection slot at once.

    If each client of a flood got its slot only when the proxy next checks for a free one, every client would
    take `SLOT_RETRY_INTERVAL_S` to be admitted.
    """
    with running_proxy(limits={"sockets": 64, "memory_mb": 64}) as proxy:
        flood = [proxy.connect() for _ in range(10 * proxy.parts.config.limits.max_client_connections)]
        began_at = time.monotonic()
        with proxy.connect() as client:
            assert client.request(timeout_ms=15_000).status == 200
        assert time.monotonic() - began_at < len(flood) * SLOT_RETRY_INTERVAL_S / 2
        for idle in flood:
            idle.sock.close()
