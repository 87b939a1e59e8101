"""Endings: what may arrive in the instant in which something ends, and what is still owed then.

Each test makes one bad order happen on every play: gates hold a thread at a named point until the other side
has done what must not be lost. The rows stand in docs/endings.md.
"""

from __future__ import annotations

import dataclasses
import os
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from examples.toy_server import Command, Coordinator, Member, body_of, serve_all
from olivepost import interface as api
from olivepost.config import read_address, read_config
from olivepost.proxy import shutdown, sockets
from olivepost.proxy.discovery import long_poll
from olivepost.proxy.downstream.connection import DownstreamConnection
from olivepost.proxy.messages import StopEventLoop
from olivepost.proxy.request_lifecycle import RequestLifecycle
from olivepost.proxy.server import ConfigurationSource, ProxyServer
from olivepost.proxy.signals import SignalRequest, wait_without_signals
from olivepost.proxy.upstream.reader import ConnectionReader
from olivepost.proxy.upstream.request import UpstreamCompleted, UpstreamRequest
from olivepost.proxy.upstream.writer import ConnectionWriter
from olivepost.units import SECOND
from tests.rig import NAME, WITHIN, Client, Rig, ask_narrowly, large, rig, toy_config

MS = 1_000_000
KILL = 1500 * MS  # after SIGTERM, with `short_end`


def silent(member: Member, command: Command) -> None:
    """A member that takes all and says nothing."""


class Held:
    """Members that answer once they are let go."""

    def __init__(self) -> None:
        self.gate = threading.Event()

    def __call__(self, member: Member, command: Command) -> None:
        self.gate.wait(WITHIN)
        serve_all(member, command)


def connection_of(made: Rig) -> DownstreamConnection:
    """The one connection that is open."""
    assert made.until(lambda: made.front.downstream.open_count == 1)
    (connection,) = made.front.downstream._connections
    return connection


def rested(made: Rig) -> DownstreamConnection:
    """The one connection, once its answer is written and its writer is done with it."""
    connection = connection_of(made)
    assert made.until(lambda: connection.is_idle and not connection._lock.locked())
    return connection


def no_fetch(made: Rig) -> bool:
    return not any(member.seen() for member in made.members)


# Connections of clients


@pytest.mark.parametrize("end", ["evict", "expire", "close_if_idle"])
def test_a_request_that_comes_while_its_connection_is_ended_is_not_sent_on(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is in the machine's buffer when the connection ends: read after that, it is not taken up."""
    with rig() as made, made.client() as client:
        assert client.ask()[0] == 200
        connection, hang_up = rested(made), sockets.shutdown
        before, sent, posted = len(made.fetches()), list[bytes](), list[Any]()
        made.front.downstream.context.post = posted.append

        def crossed(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
            if sock is connection._sock and not sent:
                sent.append(Client.request())
                client.send(sent[0])
                made.until(lambda: not sockets.has_nothing_unread(sock))
            hang_up(sock, how)

        monkeypatch.setattr(sockets, "shutdown", crossed)
        connection.deadline = 1 if end == "expire" else 0
        getattr(connection, end)()
        assert sent and client.closed()
        client.sock.close()
        assert made.until(lambda: made.front.downstream.open_count == 0)
        monkeypatch.setattr(sockets, "shutdown", hang_up)
        assert not posted and len(made.fetches()) == before


def test_a_request_that_waits_to_be_read_is_not_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    gate, wait = threading.Event(), sockets.wait_readable

    def late(sock: socket.socket) -> bool:
        came = wait(sock)
        return (asked.is_set() and gate.wait(WITHIN) and came) or came

    asked = threading.Event()
    monkeypatch.setattr(sockets, "wait_readable", late)
    with rig() as made, made.client() as client:
        assert client.ask()[0] == 200
        connection = rested(made)
        asked.set()
        client.send(Client.request())
        assert made.until(lambda: not connection.has_nothing_unread)
        assert not connection.evict()
        gate.set()
        assert client.read()[0] == 200


def test_a_request_that_has_been_read_is_answered_though_its_limit_was_past() -> None:
    """The limit was looked at before the request came, and is acted on after."""
    held = Held()
    with rig(held) as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        made.fetches()
        connection_of(made).expire()
        held.gate.set()
        assert client.read()[0] == 200


def test_a_reader_that_has_its_connection_in_hand_is_not_cut_by_a_limit() -> None:
    with rig() as made, made.client() as client:
        assert client.ask()[0] == 200
        connection = rested(made)
        connection.deadline = 1
        with connection._lock:
            connection.expire()
        connection.deadline = 0
        assert client.ask()[0] == 200


def test_who_rests_and_then_writes_slowly_has_time_for_the_whole_request() -> None:
    with rig(bounds={"keepalive_timeout": 800 * MS}) as made, made.client() as client:
        assert client.ask()[0] == 200
        connection, request = rested(made), Client.request()
        rests = connection.deadline
        client.send(request[:20])
        assert made.until(lambda: not connection._parser.is_idle)
        assert made.until(lambda: made.front.clock.now() > rests + 200 * MS)
        client.send(request[20:])
        assert client.read()[0] == 200


def test_who_has_just_been_answered_is_not_evicted() -> None:
    """A reset could overtake the answer; where the cap is reached another, or nobody yet, goes."""
    with rig(limits={"sockets": 64, "memory_mb": 64}) as made:
        cap = made.front.config.limits.max_client_connections
        held = [made.client() for _ in range(cap)]
        for client in held:
            assert client.ask()[0] == 200
        now = made.front.clock.now()
        made.front.downstream.context.clock = type("Still", (), {"now": staticmethod(lambda: now)})()
        for connection in made.front.downstream._connections:
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
def test_a_client_that_reads_slowly_gets_a_thread_or_an_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """No thread to be had for the rest of an answer: the connection ends and the buffers come back."""
    with rig(large) as made:
        start = threading.Thread.start

        def short(thread: threading.Thread) -> None:
            if thread.name == "slow-writer":
                raise RuntimeError("can't start new thread")
            start(thread)

        monkeypatch.setattr(threading.Thread, "start", short)
        sock = ask_narrowly(made)
        assert made.until(lambda: made.counted("threads_short") == 1)
        assert made.until(lambda: made.front.body_buffers.in_use == 0)
        sock.close()


# Clients that have gone


class Connecting:
    """Links whose connections come up once they are let go."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.gate, self.begun = threading.Event(), threading.Event()
        connect = sockets.connect

        def late(*args: Any) -> socket.socket:
            if threading.current_thread().name.startswith("upstream-writer-"):
                self.begun.set()
                self.gate.wait(WITHIN)
            return connect(*args)

        monkeypatch.setattr(sockets, "connect", late)


@pytest.fixture
def connecting(monkeypatch: pytest.MonkeyPatch) -> Connecting:
    return Connecting(monkeypatch)


Leave = Callable[[socket.socket], object]


def reset(sock: socket.socket) -> None:
    """Ends it by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


@pytest.mark.parametrize(
    "leave",
    [socket.socket.close, reset, lambda sock: sock.shutdown(socket.SHUT_WR)],
    ids=["close", "reset", "half-close"],
)
@pytest.mark.parametrize("who", ["engine", "reader"])
def test_no_attempt_begins_for_a_client_that_has_left_while_its_request_waited(
    connecting: Connecting, monkeypatch: pytest.MonkeyPatch, leave: Leave, who: str
) -> None:
    """The word of its going waits behind other work: in the engine's queue, or with its own reader."""
    late = threading.Event()
    if who == "engine":
        abandon = RequestLifecycle.abandon

        def abandoned(self: RequestLifecycle, now: int, exchange: Any, answer: Any) -> None:
            if answer is not None or late.is_set():
                abandon(self, now, exchange, answer)

        monkeypatch.setattr(RequestLifecycle, "abandon", abandoned)
    else:
        wait, asked = sockets.wait_readable, threading.Event()

        def waits(sock: socket.socket) -> bool:
            if asked.is_set() and threading.current_thread().name.startswith("Dummy"):
                late.wait(WITHIN)
            asked.set()
            return wait(sock)

        monkeypatch.setattr(sockets, "wait_readable", waits)
    with rig() as made:
        client = made.client()
        client.send(Client.request(patience=3000))
        assert made.until(lambda: made.front.event_loop.pending_count == 1) and connecting.begun.wait(WITHIN)
        (connection,) = made.front.downstream._connections
        leave(client.sock)
        assert made.until(connection.is_closed_by_client)
        connecting.gate.set()
        assert made.until(lambda: made.counted("requests_of_disconnected_clients") == 1)
        assert no_fetch(made)
        late.set()
        client.sock.close()
        with made.client() as other:  # the link goes on
            assert other.ask(piece=7)[0] == 200
        assert made.front.event_loop._router.state.endpoints.by_id["a"].failure_score == 0
        assert made.front.event_loop._router.state.endpoints.by_id["b"].failure_score == 0


def test_what_a_burst_of_leaving_clients_had_out_is_aborted() -> None:
    def alive(member: Member, command: Command) -> None:
        if command.verb == "alive":
            serve_all(member, command)

    with rig(alive, settings=settings_of("read_like", aim=15 * SECOND)) as made:
        leaving = [made.client() for _ in range(6)]
        for number, client in enumerate(leaving):
            client.send(Client.request(piece=number, patience=15_000))
        sent = {command.id for command in made.fetches(6)}
        for client in leaving:
            client.sock.close()
        assert made.until(lambda: made.front.event_loop.pending_count == 0)
        assert made.until(lambda: {it.id for cache in made.caches for it in cache.seen("abort")} == sent)
        assert not any(
            member.failure_score for member in made.front.event_loop._router.state.endpoints.by_id.values()
        )


# Links to caches


@pytest.fixture
def resting(monkeypatch: pytest.MonkeyPatch) -> Iterator[threading.Event]:
    """The first link's member ends it before its first call is written, and its reader is late to see it."""
    gate, first, connect = threading.Event(), threading.Event(), sockets.connect

    def ended(*args: Any) -> socket.socket:
        sock = connect(*args)
        if threading.current_thread().name.startswith("upstream-writer-") and not first.is_set():
            first.set()
            until = time.monotonic() + WITHIN
            while not sockets.is_closed_by_peer(sock) and time.monotonic() < until:
                threading.Event().wait(0.001)
        return sock

    read = ConnectionReader.run

    def late(self: ConnectionReader, sock: socket.socket) -> None:
        if sockets.is_closed_by_peer(sock):
            gate.wait(WITHIN)
        read(self, sock)

    monkeypatch.setattr(sockets, "connect", ended)
    monkeypatch.setattr(ConnectionReader, "run", late)
    yield gate
    gate.set()


class Closing(Member):
    """Ends its first connection at once."""

    def serve(self, sock: socket.socket, lines: Any) -> None:
        if len(self.connections) > 1:
            super().serve(sock, lines)


def test_a_call_is_not_written_to_a_link_that_its_member_has_ended(
    resting: threading.Event, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Written there it may have run for all that is known, and one that may not be repeated has failed."""
    monkeypatch.setattr("tests.rig.Member", Closing)
    with rig(settings=settings_of("non_idempotent")) as made, made.client() as client:
        threading.Timer(0, resting.wait, (0.2,)).start()
        ask = threading.Thread(target=client.send, args=(Client.request(patience=15_000),))
        ask.start()
        assert made.until(
            lambda: (
                made.counted("upstream_connections_lost") >= 1
                or made.counted("upstream_connections_opened") >= 1
            )
        )
        resting.set()
        assert client.read()[0] == 200
        ask.join(WITHIN)


def settings_of(effect: str, **changes: Any) -> dict[str, Any]:
    """The example's settings with a first class of that effect."""
    settings: dict[str, Any] = toy_config()["settings"]
    row = {**settings["classes"][0], "effect": effect, **changes}
    return {**settings, "classes": [row, *settings["classes"][1:]]}


def test_a_repeat_that_comes_up_after_its_window_is_not_begun(connecting: Connecting) -> None:
    """Rule 2 counts the first byte: a connection that comes up late must not carry it past the window."""
    with rig(settings=settings_of("idempotency_key", window=5 * SECOND)) as made, made.client() as client:
        send = made.front.upstream.forward

        def sent(request: UpstreamRequest) -> None:
            made.front.upstream.forward = send  # type: ignore[method-assign]
            request.start_before = made.front.clock.now() + 50 * MS  # as the router gives it to a repeat
            send(request)

        made.front.upstream.forward = sent  # type: ignore[method-assign]
        client.send(Client.request(patience=3000))
        assert connecting.begun.wait(WITHIN)
        past = made.front.clock.now() + 60 * MS
        assert made.until(lambda: made.front.clock.now() > past)
        connecting.gate.set()
        assert made.outcomes("NOT_SENT", 1)
        assert client.read()[0] == 200  # it never ran: another may
        assert len(made.fetches()) == 1


def one_at_a_time(**changes: Any) -> dict[str, Any]:
    """The example's settings where two attempts of a request may not be out together."""
    settings: dict[str, Any] = toy_config()["settings"]
    return {**settings, "limits": {**settings["limits"], "second-copies": False}, **changes}


class Slow:
    """The cache that is asked first says that it lives, and answers nothing."""

    def __init__(self) -> None:
        self.first = ""

    def __call__(self, member: Member, command: Command) -> None:
        if command.verb == "fetch":
            self.first = self.first or member.id
        if command.verb == "alive" or member.id != self.first:
            serve_all(member, command)


class Aborting:
    """Aborts wait to be written until they are let go; with `resets`, their link is reset instead."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.gate, self.resets, send = threading.Event(), False, ConnectionWriter._send

        def late(writer: ConnectionWriter, sock: socket.socket, data: bytes, call: Any) -> None:
            if data.startswith(b"abort"):
                self.gate.wait(WITHIN)
                if self.resets:
                    raise ConnectionError("reset by the member")
            send(writer, sock, data, call)

        monkeypatch.setattr(ConnectionWriter, "_send", late)


@pytest.fixture
def aborting(monkeypatch: pytest.MonkeyPatch) -> Aborting:
    return Aborting(monkeypatch)


@pytest.mark.parametrize("resets", [False, True])
def test_the_next_attempt_goes_once_the_one_before_is_given_up(resets: bool, aborting: Aborting) -> None:
    """An abort waits in its link's queue while another link's thread runs; a link's end gives up too."""
    slow, aborting.resets = Slow(), resets
    with rig(slow, settings=one_at_a_time()) as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        pending = made.front.event_loop._pending.by_id
        assert made.until(lambda: any(it.deferred_attempt is not None for it in list(pending.values())))
        assert {member.id for member in made.caches if member.seen()} == {slow.first}
        aborting.gate.set()
        assert client.read()[0] == 200


def test_what_waits_for_an_abort_is_taken_back_when_its_cache_drains(aborting: Aborting) -> None:
    slow = Slow()
    with rig(slow, settings=one_at_a_time()) as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        pending = made.front.event_loop._pending.by_id
        assert made.until(lambda: any(it.deferred_attempt is not None for it in list(pending.values())))
        other = next(member for member in made.caches if member.id != slow.first)
        rows = [{**row, "state": "terminating"} for row in made.entries if row["id"] == other.id]
        made.coordinator.add(endpoints={"version": 2, "full": False, "servers": rows})
        assert made.outcomes("NOT_SENT", 1)
        aborting.gate.set()
        assert client.read()[0] in (200, 503) and not other.seen()


def test_a_link_is_ended_before_its_calls_are_told_of() -> None:
    """What is told of may be sent elsewhere at once: the old attempt must not be out any more."""
    asked = threading.Event()

    def reply(member: Member, command: Command) -> None:
        if not asked.is_set():
            asked.set()
            command.sock.sendall(b"\0 nonsense\r\n")
        else:
            serve_all(member, command)

    with rig(reply, settings=one_at_a_time()) as made, made.client() as client:
        tools, ended = made.front.upstream._resources, list[bool]()
        post = tools.post

        def noted(event: Any) -> None:
            if isinstance(event, UpstreamCompleted) and event.status is api.AttemptStatus.CONNECTION_LOST:
                assert event.request.connection is not None and event.request.connection._sock is not None
                ended.append(sockets.is_closed_by_peer(event.request.connection._sock))
            post(event)

        tools.post = noted
        assert client.ask()[0] == 200
        assert ended == [True]


def test_only_the_copy_that_the_client_named_is_called_current() -> None:
    """A cache that names another copy, or none, has not said that the client's holds."""
    names = iter(["other", ""])

    def reply(member: Member, command: Command) -> None:
        if command.verb == "fetch":
            tag = next(names, None)
            fields = {} if tag == "" else {"entity": "mine" if tag is None else tag}
            command.answer("VALID", why="warm", issued="1", **fields)

    with rig(reply) as made, made.client() as client:
        assert client.ask(If_None_Match='"mine"')[0] != 304
        assert made.counted("unexpected_responses") == 2
        assert client.ask(If_None_Match='"mine"')[0] == 304


def test_a_call_whose_link_broke_does_not_go_to_a_member_that_drains_meanwhile() -> None:
    with rig() as made, made.client() as client:
        assert client.ask()[0] == 200
        call = made_call(made, client)
        draining = [
            dataclasses.replace(server.address, state=api.EndpointState.DRAINING)
            for server in made.front.upstream._endpoints.values()
        ]
        before = len(made.fetches())
        call.is_rerouted = True
        told: list[Any] = []
        tools = made.front.upstream._resources
        post, tools.post = tools.post, told.append
        made.front.upstream.update(draining, False)
        made.front.upstream.forward(call)
        tools.post = post
        assert [it.status for it in told] == [api.AttemptStatus.CONNECT_FAILED]
        assert len(made.fetches()) == before


def made_call(made: Rig, client: Client) -> UpstreamRequest:
    """A call that has been on a link."""
    kept: list[UpstreamRequest] = []
    send = made.front.upstream.forward

    def noted(request: UpstreamRequest) -> None:
        kept.append(request)
        send(request)

    made.front.upstream.forward = noted  # type: ignore[method-assign]
    assert client.ask(piece=9)[0] == 200
    made.front.upstream.forward = send  # type: ignore[method-assign]
    return kept[0]


# Exit


@pytest.fixture
def short_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """The platform kills one and a half seconds after SIGTERM, however long the deadlines are."""
    monkeypatch.setattr(shutdown, "MAX_DEADLINE", 1100 * MS)
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 400 * MS)
    monkeypatch.setattr(shutdown, "RESPONSE_MARGIN", 600 * MS)
    monkeypatch.setattr(shutdown, "CLIENT_CLOSE_S", 0.05)


def end(made: Rig) -> tuple[threading.Thread, int]:
    """SIGTERM; its time."""
    thread, at = threading.Thread(target=made.front.shut_down), made.front.clock.now()
    thread.start()
    assert made.until(lambda: made.front.downstream.is_draining)
    return thread, at


@pytest.mark.usefixtures("short_end")
def test_all_that_is_held_is_answered_before_the_kill_where_all_caches_hang() -> None:
    with rig(silent) as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        made.fetches()
        ending, began = end(made)
        with made.client() as late:
            late.send(Client.request(patience=15_000))
            assert (client.read()[0], late.read()[0]) == (503, 503)
            assert made.front.clock.now() < began + KILL
        ending.join(WITHIN)
        assert made.front.event_loop.pending_count == 0


@pytest.mark.usefixtures("short_end")
def test_a_request_that_waits_for_a_connection_is_answered_before_the_kill(connecting: Connecting) -> None:
    with rig() as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        assert made.until(lambda: made.front.event_loop.pending_count == 1) and connecting.begun.wait(WITHIN)
        ending, began = end(made)
        assert client.read()[0] == 503 and made.front.clock.now() < began + KILL
        ending.join(WITHIN)
        connecting.gate.set()
        assert no_fetch(made)


@pytest.mark.usefixtures("short_end")
def test_an_answer_in_the_writers_queue_is_written_before_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    gate, write = threading.Event(), DownstreamConnection.write

    def late(self: DownstreamConnection, *args: Any) -> Any:
        gate.wait(WITHIN)
        return write(self, *args)

    monkeypatch.setattr(DownstreamConnection, "write", late)
    with rig() as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        made.fetches()
        assert made.until(lambda: made.front.event_loop.pending_count == 0)
        ending, began = end(made)
        assert made.until(lambda: made.front.clock.now() > began + 600 * MS)  # past the lingering
        gate.set()
        assert client.read()[0] == 200
        client.sock.close()
        ending.join(WITHIN)


def test_one_that_waits_for_a_place_at_the_end_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """The accept thread holds it while all places are busy; the listener's end must not lose it."""
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 100 * MS)
    held = Held()
    with rig(held, limits={"sockets": 64, "memory_mb": 64}) as made:
        busy = [made.client() for _ in range(made.front.config.limits.max_client_connections)]
        for client in busy:
            client.send(Client.request(patience=15_000))
        assert made.until(lambda: made.front.event_loop.pending_count == len(busy))
        with made.client() as late:
            late.send(Client.request(patience=15_000))
            assert made.until(lambda: made.counted("connection_cap_reached") == 1)
            ending, began = end(made)
            assert made.until(lambda: made.front.clock.now() > began + 200 * MS)
            held.gate.set()
            for client in busy:
                assert client.read()[0] in (200, 503)
                client.sock.close()
            assert late.read()[0] == 200
        ending.join(WITHIN)


@pytest.mark.usefixtures("short_end")
def test_an_unsafe_request_that_may_have_run_fails_at_the_end_and_is_not_refused() -> None:
    with rig(silent, settings=settings_of("non_idempotent")) as made, made.client() as client:
        client.send(Client.request(patience=15_000))
        made.fetches()
        ending, _ = end(made)
        assert client.read()[0] == 502
        ending.join(WITHIN)


@pytest.mark.usefixtures("narrow")
def test_an_answer_half_written_to_a_slow_reader_is_finished_before_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(shutdown, "CLIENT_CLOSE_S", 0.05)
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 100 * MS)
    with rig(large) as made:
        sock = ask_narrowly(made, patience=15_000)
        assert made.until(
            lambda: made.counted("slow_clients") == 1 and made.front.event_loop.pending_count == 0
        )
        ending, began = end(made)
        # Past the accepting and the lingering: what is owed is waited for all the same.
        assert made.until(lambda: made.front.clock.now() > began + 400 * MS)
        assert ending.is_alive()
        got = b""
        while piece := sock.recv(65_536):
            got += piece
        assert got.count(b"x") >= 240_000
        sock.close()
        ending.join(WITHIN)


def test_a_request_half_read_at_the_end_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown, "CLIENT_CLOSE_S", 0.05)
    monkeypatch.setattr(shutdown, "ACCEPT_FOR", 100 * MS)
    with rig() as made, made.client() as client:
        request = Client.request(patience=15_000)
        client.send(request[:30])
        connection = connection_of(made)
        assert made.until(lambda: not connection._parser.is_idle)
        ending, began = end(made)
        assert made.until(lambda: made.front.clock.now() > began + 400 * MS)
        client.send(request[30:])
        status, headers, body = client.read()
        assert (status, headers["connection"], body) == (200, "close", body_of(NAME, "3"))
        client.sock.close()
        ending.join(WITHIN)


def test_a_second_sigterm_and_a_reload_during_the_drain_change_nothing() -> None:
    held = Held()
    with rig(held) as made, made.client() as client:
        requests = iter([SignalRequest.RELOAD, SignalRequest.SHUT_DOWN] * 2)

        def wait_for_signal(timeout_ns: int) -> SignalRequest | None:
            request = next(requests, None)
            if request is None:
                wait_without_signals(min(timeout_ns, 10 * MS))
            return request

        made.front._wait_for_signal = wait_for_signal
        client.send(Client.request(patience=15_000))
        made.fetches()
        ending, _ = end(made)
        assert made.until(lambda: next(requests, None) is None)
        held.gate.set()
        assert client.read()[0] == 200
        client.sock.close()
        ending.join(WITHIN)
        assert made.front.downstream.open_count == 0


# The watch of the list


class Pieces(Coordinator):
    """Answers a byte at a time."""

    def reply(self, sock: socket.socket, data: bytes) -> None:
        for at in range(len(data)):
            sock.sendall(data[at : at + 1])


class Mute(Coordinator):
    """Takes so many polls and says nothing to them; each stays open."""

    def __init__(self, polls: int) -> None:
        self.left, self.over = polls, threading.Event()
        super().__init__()

    def reply(self, sock: socket.socket, data: bytes) -> None:
        self.left -= 1
        if self.left >= 0:
            self.over.wait(WITHIN)
        else:
            super().reply(sock, data)


def draining(made: Rig, count: int) -> list[dict[str, Any]]:
    return [{**row, "state": "terminating"} for row in made.entries[:count]]


def drained(made: Rig) -> bool:
    return (
        made.front.event_loop._router.state.endpoints.by_id["a"].metadata.state is api.EndpointState.DRAINING
    )


def test_a_list_in_pieces_is_read() -> None:
    with rig() as made, made.client() as client:
        other = Pieces()
        other.events = list(made.coordinator.events)
        other.add(endpoints={"version": 2, "full": False, "servers": draining(made, 1)})
        made.front.discovery.switch_coordinator(read_address(other.address))
        assert made.until(lambda: drained(made))
        assert client.ask()[0] == 200 and made.caches[0].seen() == []
        other.close()


def test_drains_told_within_a_silence_are_heard_and_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """The open poll falls silent, and the next one too; the cache drains meanwhile and stays up."""
    monkeypatch.setattr(long_poll, "POLL_WAIT_NS", 100 * MS)
    monkeypatch.setattr(long_poll, "FIRST_RESPONSE_TIMEOUT_NS", 100 * MS)
    with rig() as made, made.client() as client:
        other = Mute(2)
        other.events = list(made.coordinator.events)
        made.front.discovery.switch_coordinator(read_address(other.address))
        assert other.wait_for_poll(1)
        other.add(endpoints={"version": 2, "full": False, "servers": draining(made, 1)})
        assert made.until(lambda: drained(made))
        before = len(made.caches[0].seen())
        # On a full machine the one cache that is left may stand still for a moment: a refusal then
        # is no fault of the list's. What counts is that nothing goes to the one that drains.
        assert 200 in {client.ask(piece=piece)[0] for piece in range(12)}
        assert len(made.caches[0].seen()) == before
        other.over.set()
        other.close()


def test_a_reload_moves_discovery_while_the_old_one_is_down() -> None:
    with rig() as made:
        assert made.coordinator.wait_for_poll(1)
        made.coordinator.close()
        assert made.until(lambda: made.counted("poll_failures") >= 1)
        other = Coordinator()
        other.events = list(made.coordinator.events)
        other.add(endpoints={"version": 2, "full": False, "servers": draining(made, 1)})
        moved = dataclasses.replace(made.front.config, coordinator=read_address(other.address))
        made.front._source = ConfigurationSource(lambda: moved, lambda: None)
        made.front.reload()
        assert made.until(lambda: drained(made)) and other.follows[0] == 1
        other.close()


# Descriptors and starts


def test_idle_clients_at_the_cap_keep_out_neither_list_nor_caches_nor_new_clients() -> None:
    """Discovery is down meanwhile; when it comes back, there is a descriptor to ask it."""
    with rig(limits={"sockets": 64, "memory_mb": 64}) as made:
        assert made.coordinator.wait_for_poll(1)
        made.coordinator.close()
        assert made.until(lambda: made.counted("poll_failures") >= 1)
        idle = [made.client() for _ in range(3 * made.front.config.limits.max_client_connections)]
        for piece in range(6):
            with made.client() as client:
                assert client.ask(piece=piece)[0] == 200
        assert made.front.downstream.peak_count <= made.front.config.limits.max_client_connections
        again = Coordinator(int(made.coordinator.address.rpartition(":")[2]))
        again.events = list(made.coordinator.events)
        again.add(endpoints={"version": 2, "full": False, "servers": draining(made, 1)})
        assert made.until(lambda: drained(made))
        again.close()
        for client in idle:
            client.sock.close()


def test_a_front_is_ready_before_it_has_heard_the_list() -> None:
    """Discovery is down at the start: the list that is known serves."""
    coordinator = Coordinator()
    coordinator.close()
    with rig() as other:
        config = toy_config(coordinator=coordinator.address, known=other.coordinator.listed())
        nowhere = os.open(os.devnull, os.O_WRONLY)
        made = ProxyServer(read_config(config, {}), nowhere)
        with Client(made.start()) as client:
            client.send(b"GET /-/healthy HTTP/1.1\r\n\r\n")
            assert client.read()[0] == 200
            assert client.ask()[0] == 200
        made.discovery.stop()
        made.downstream.stop_accepting()
        made.downstream.stop_watching()
        made.event_loop.post(StopEventLoop())
        made.log.close(WITHIN)
        os.close(nowhere)


def test_small_writes_leave_at_once_on_every_socket() -> None:
    with rig() as made, made.client() as client:
        assert client.ask()[0] == 200 and made.coordinator.wait_for_poll(1)
        follower = made.front.discovery._long_poll
        links = [link for server in made.front.upstream._endpoints.values() for link in server.connections]
        assert follower is not None and links
        for sock in (connection_of(made)._sock, follower._sock, *(link._sock for link in links)):
            assert sock is not None and sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
