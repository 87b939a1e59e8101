"""Limits on clients: connections, times and buffers."""

from __future__ import annotations

import threading
import time

import pytest

from examples.toy_server import Command, Coordinator, Member, serve_all
from olivepost.proxy.downstream.listener import SLOT_RETRY_INTERVAL_S
from tests.proxy.fakes import MS, cache_a_is_draining, draining_entries, idle_connection
from tests.rig import WITHIN, Client, ask_narrowly, large, rig


@pytest.mark.usefixtures("narrow")
def test_client_that_does_not_read_delays_no_other() -> None:
    with rig(large) as made:
        stuck = [ask_narrowly(made) for _ in range(8)]  # more than there are writer threads
        assert made.until(lambda: made.counted("slow_clients") == 8)
        with made.client() as client:
            assert client.ask()[0] == 200
        for sock in stuck:
            sock.close()


@pytest.mark.usefixtures("narrow")
def test_slow_reader_is_closed_at_an_absolute_limit() -> None:
    with rig(large, bounds={"slow_client_timeout": 300_000_000}) as made:
        sock = ask_narrowly(made, patience=15_000)
        got, pause = 0, threading.Event()
        try:
            while piece := sock.recv(64):
                got += len(piece)
                pause.wait(0.005)
        except ConnectionResetError:
            pass
        assert got < 240_000
        assert made.until(lambda: made.proxy.downstream.open_count == 0)
        sock.close()


def test_exhausted_body_buffers_leave_the_proxy_responsive() -> None:
    """Requests are still rejected in time, and no endpoint's failure score rises."""
    with rig() as made, made.client() as client:
        taken = made.proxy.body_buffers.acquire(made.proxy.config.limits.body_buffers)
        assert taken is not None
        assert client.ask(patience=15_000)[0] == 503
        assert made.counted("pool_empty") >= 1
        assert not any(
            member.failure_score for member in made.proxy.event_loop._router.state.endpoints.by_id.values()
        )
        with made.client() as other:
            other.send(b"GET /-/healthy HTTP/1.1\r\n\r\n")
            assert other.read()[0] == 200
        made.proxy.body_buffers.release(taken)
        assert client.ask()[0] == 200


def test_at_the_connection_limit_the_longest_idle_is_evicted() -> None:
    with rig(limits={"sockets": 64, "memory_mb": 64}) as made:
        cap = made.proxy.config.limits.max_client_connections
        clients = [made.client() for _ in range(cap)]
        for client in clients:
            assert client.ask()[0] == 200
        assert clients[0].ask()[0] == 200  # no longer the longest idle
        with made.client() as late:
            assert late.ask()[0] == 200
        assert clients[1].closed()
        assert clients[0].ask()[0] == 200
        assert made.proxy.downstream.open_count <= cap
        for client in clients:
            client.sock.close()


def test_at_the_connection_limit_silent_clients_are_evicted_first() -> None:
    with rig(limits={"sockets": 64, "memory_mb": 64}, bounds={"first_request_timeout": 60 * 10**9}) as made:
        cap = made.proxy.config.limits.max_client_connections
        with made.client() as usual:
            assert usual.ask()[0] == 200
            quiet = [made.client() for _ in range(2 * cap)]
            assert all(client.closed() for client in quiet[:cap])
            assert usual.ask()[0] == 200
            assert made.counted("connections_evicted") >= cap
            for client in quiet:
                client.sock.close()


def test_at_the_connection_limit_busy_clients_are_waited_for() -> None:
    gate = threading.Event()

    def reply(member: Member, command: Command) -> None:
        gate.wait(WITHIN)
        serve_all(member, command)

    with rig(reply, limits={"sockets": 64, "memory_mb": 64}) as made:
        clients = [made.client() for _ in range(made.proxy.config.limits.max_client_connections)]
        for client in clients:
            client.send(Client.request(patience=15_000))
        assert made.until(lambda: made.proxy.event_loop.pending_count == len(clients))
        with made.client() as late:
            late.send(Client.request())
            assert made.until(lambda: made.counted("connection_cap_reached") == 1)
            gate.set()
            assert late.read()[0] == 200
            assert [client.read()[0] for client in clients] == [200] * len(clients)
        for client in clients:
            client.sock.close()


SHORT_TIMEOUTS = {"first_request_timeout": 300_000_000, "keepalive_timeout": 300_000_000}


def test_silent_client_is_closed_in_time() -> None:
    with rig(bounds=SHORT_TIMEOUTS) as made, made.client() as client:
        assert client.closed()
        assert made.counted("connection_deadlines_exceeded") >= 1
    with rig(bounds=SHORT_TIMEOUTS) as made, made.client() as client:
        assert client.ask()[0] == 200
        assert client.closed()  # after one request, idle


@pytest.mark.parametrize("data", [b"GET /api/v2/segm", Client.request(Content_Length="9")])
def test_partial_request_gets_408_in_time_however_slowly_it_comes(data: bytes) -> None:
    with rig(bounds=SHORT_TIMEOUTS) as made, made.client() as client:
        client.sock.settimeout(WITHIN)
        client.send(data)
        over = threading.Event()

        def trickle() -> None:
            try:
                while not over.wait(0.02):
                    client.send(b"x" if b"\r\n" not in data else b"")
            except OSError:
                pass

        thread = threading.Thread(target=trickle)
        thread.start()
        assert client.read()[0] == 408
        over.set()
        thread.join(WITHIN)
        assert not any(member.seen() for member in made.members)


def send_endlessly(client: Client) -> None:
    for _ in range(10_000):
        client.send(b"x" * 65_536)


def test_endless_sender_is_closed_after_its_rejection() -> None:
    """What is read after the proxy's close is bounded in bytes and in time."""
    with rig() as made, made.client() as client:
        client.send(Client.request(Content_Length="60000000"))
        with pytest.raises(ConnectionError):
            send_endlessly(client)
        assert made.until(lambda: made.proxy.downstream.open_count == 0)


def test_client_that_never_closes_is_closed() -> None:
    with rig() as made, made.client() as client:
        client.send(b"nonsense\r\n\r\n")
        assert client.read()[0] == 400
        assert client.closed()
        assert made.until(lambda: made.proxy.downstream.open_count == 0)


def test_idle_client_that_then_writes_slowly_has_time_for_its_request() -> None:
    with rig(bounds={"keepalive_timeout": 800 * MS}) as made, made.client() as client:
        assert client.ask()[0] == 200
        connection, request = idle_connection(made), Client.request()
        rests = connection.deadline
        client.send(request[:20])
        assert made.until(lambda: not connection._parser.is_idle)
        assert made.until(lambda: made.proxy.clock.now() > rests + 200 * MS)
        client.send(request[20:])
        assert client.read()[0] == 200


def test_client_that_was_just_served_is_not_evicted() -> None:
    """A reset could overtake the response; at the limit another is evicted, or none yet."""
    with rig(limits={"sockets": 64, "memory_mb": 64}) as made:
        cap = made.proxy.config.limits.max_client_connections
        held = [made.client() for _ in range(cap)]
        for client in held:
            assert client.ask()[0] == 200
        now = made.proxy.clock.now()
        made.proxy.downstream.context.clock = type("Still", (), {"now": staticmethod(lambda: now)})()
        for connection in made.proxy.downstream._connections:
            connection.idle_since = now
        with made.client() as late:
            assert made.until(lambda: made.counted("connection_cap_reached") == 1)
            assert made.counted("connections_evicted") == 0
            held[0].sock.close()
            assert late.ask()[0] == 200
        for client in held[1:]:
            assert client.ask()[0] == 200
            client.sock.close()


@pytest.mark.usefixtures("narrow")
def test_slow_reader_is_closed_where_no_thread_can_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without a thread for the rest of a response the connection closes and its buffers are released."""
    with rig(large) as made:
        start = threading.Thread.start

        def short(thread: threading.Thread) -> None:
            if thread.name == "slow-writer":
                raise RuntimeError("can't start new thread")
            start(thread)

        monkeypatch.setattr(threading.Thread, "start", short)
        sock = ask_narrowly(made)
        assert made.until(lambda: made.counted("threads_short") == 1)
        assert made.until(lambda: made.proxy.body_buffers.in_use == 0)
        sock.close()


def test_idle_clients_at_the_limit_keep_out_neither_discovery_nor_upstream_nor_clients() -> None:
    """Discovery is down meanwhile; when it is back, a descriptor is left to poll it."""
    with rig(limits={"sockets": 64, "memory_mb": 64}) as made:
        assert made.coordinator.wait_for_poll(1)
        made.coordinator.close()
        assert made.until(lambda: made.counted("poll_failures") >= 1)
        idle = [made.client() for _ in range(3 * made.proxy.config.limits.max_client_connections)]
        for piece in range(6):
            with made.client() as client:
                assert client.ask(piece=piece)[0] == 200
        assert made.proxy.downstream.peak_count <= made.proxy.config.limits.max_client_connections
        again = Coordinator(int(made.coordinator.address.rpartition(":")[2]))
        again.events = list(made.coordinator.events)
        again.add(endpoints={"version": 2, "full": False, "servers": draining_entries(made, 1)})
        assert made.until(lambda: cache_a_is_draining(made))
        again.close()
        for client in idle:
            client.sock.close()


def test_flood_of_idle_clients_is_taken_as_fast_as_places_come_free() -> None:
    """A place that an evicted client leaves goes to the next one at once, not at the next look."""
    with rig(limits={"sockets": 64, "memory_mb": 64}) as made:
        flood = [made.client() for _ in range(10 * made.proxy.config.limits.max_client_connections)]
        began_at = time.monotonic()
        with made.client() as client:
            assert client.ask(patience=15_000)[0] == 200
        assert time.monotonic() - began_at < len(flood) * SLOT_RETRY_INTERVAL_S / 2
        for idle in flood:
            idle.sock.close()
