"""The whole front on loopback sockets, before toy members that behave and that don't."""

from __future__ import annotations

import socket
import threading
import time
from typing import Any

import pytest

from examples.toy_server import Command, Coordinator, Member, body_of, entry, serve_all, tag_of
from olivepost import interface as api
from olivepost.config import read_address
from olivepost.proxy.downstream.connection import DownstreamConnection
from olivepost.proxy.downstream.listener import DownstreamServer
from olivepost.proxy.request_lifecycle import DISCOVERY_VALID_FOR
from tests.rig import NAME, WITHIN, Client, Rig, ask_narrowly, large, rig

FILLED = "0a3a9c21e0b4d655"  # no toy cache keeps it


# Clients


def test_a_body_whole_and_unchanged() -> None:
    with rig() as made, made.client() as client:
        status, headers, body = client.ask()
        assert (status, body) == (200, body_of(NAME, "3"))
        assert headers["etag"] == f'"{tag_of(NAME, "3")}"' and "connection" not in headers
        assert client.ask(piece=4)[2] == body_of(NAME, "4")
        fields = next(it.fields for it in made.fetches(2) if it.fields["piece"] == "3")
        assert fields["lane"] == "segment" and fields["name"] == NAME and fields["piece"] == "3"
        assert 1 <= int(fields["ttl"]) <= 1500 and "within" not in fields and "miss" not in fields
        assert made.front.event_loop.pending_count == 0


def test_a_miss_is_filled_from_the_parent() -> None:
    with rig() as made, made.client() as client:
        assert client.ask(FILLED)[2] == body_of(FILLED, "3")
        look, fill = made.fetches(2)
        assert "miss" not in look.fields and fill.fields["miss"] == "p" and look.id == fill.id
        assert made.parent.seen() == [] and made.origin.seen() == []


def test_bodies_of_every_size() -> None:
    sizes = {
        f"{size:016x}": bytes(range(256)) * (size // 256) + b"z" * (size % 256)
        for size in (0, 1, 16_383, 16_384, 16_385, 240_000)
    }

    def reply(member: Member, command: Command) -> None:
        if command.verb == "fetch":
            command.answer("HIT", sizes[command.fields["name"]], why="warm", entity="x", issued="1")

    with rig(reply) as made, made.client() as client:
        for name, body in sizes.items():
            assert client.ask(name)[2] == body


def test_a_current_copy_gives_304() -> None:
    tag = tag_of(NAME, "3")
    with rig() as made, made.client() as client:
        assert client.ask(If_None_Match=f'"{tag}"') == (304, {"etag": f'"{tag}"'}, b"")
        assert made.fetches()[0].fields["mine"] == tag
        for other in ('"old"', f'W/"{tag}"', f'"{tag}", "x"', "*", '"a,b"'):
            assert client.ask(If_None_Match=other)[0] == 200
        assert [command.fields.get("mine") for command in made.fetches(6)[1:]].count("old") == 1
        assert sum("mine" in command.fields for command in made.fetches(6)) == 2


def test_a_refusal_tells_when_to_come_back() -> None:
    with rig() as made, made.client() as client:
        status, headers, body = client.ask("f" * 16)
        assert status == 503 and body == b"" and 1 <= int(headers["x-come-back-ms"]) <= 1000
        assert client.ask()[0] == 200
        assert made.counted("rejected") == 1


def test_any_split_of_a_request() -> None:
    with rig() as made, made.client() as client:
        for piece in (1, 2):
            data = client.request(piece=piece)
            for at in range(0, len(data), 7):
                client.send(data[at : at + 7])
            assert client.read()[2] == body_of(NAME, str(piece))
        assert made.front.downstream.open_count == 1


def test_what_is_sent_ahead_of_an_answer_is_not_taken_up() -> None:
    with rig() as made, made.client() as client:
        client.send(b"".join(client.request(piece=piece) for piece in range(300)))
        status, headers, body = client.read()
        assert (status, headers["connection"], body) == (200, "close", body_of(NAME, "0"))
        assert client.closed() and len(made.fetches()) == 1 and made.counted("pipelining_rejected") >= 1


def test_connection_close_is_honoured() -> None:
    with rig() as made, made.client() as client:
        assert client.ask(Connection="close")[1]["connection"] == "close"
        assert client.closed()


def test_health() -> None:
    with rig() as made, made.client() as client:
        client.send(b"GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n")
        assert client.read()[0] == 200
        made.front.downstream.drain()
        client.send(b"GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n")
        status, headers, _ = client.read()
        assert status == 503 and headers["connection"] == "close" and client.closed()


BAD = [
    (Client.request(X_Call_Id=""), 400),
    (Client.request(X_Call_Id="9B1F03AA5C7E2D41"), 400),
    (Client.request(X_Call_Id="9b1f03aa5c7e2d4"), 400),
    (Client.request(X_Patience_Ms=""), 400),
    (Client.request(X_Patience_Ms="-1"), 400),
    (Client.request(X_Patience_Ms="1e3"), 400),
    (Client.request(X_Set="256"), 400),
    (Client.request(X_Set=""), 400),
    (Client.request(class_name="nobody"), 404),
    (Client.request(name="xyz"), 404),
    (b"GET /elsewhere HTTP/1.1\r\n\r\n", 404),
    (Client.request().replace(b"GET", b"PUT"), 405),
    (b"nonsense\r\n\r\n", 400),
    (Client.request(Content_Length="1", Transfer_Encoding="chunked"), 400),
    (Client.request(Transfer_Encoding="chunked"), 501),
    (Client.request(Content_Length="999999"), 413),
    (Client.request(Long="x" * 10_000), 431),
]


def test_bad_requests_get_their_status_and_reach_no_cache() -> None:
    with rig() as made:
        for data, status in BAD:
            with made.client() as client:
                client.send(data)
                got, headers, _ = client.read()
                assert (got, headers["connection"]) == (status, "close"), data[:60]
                assert client.closed()
        assert not any(member.seen() for member in made.members)


@pytest.mark.parametrize("patience", [0, 1])
def test_no_patience_is_refused_at_once(patience: int) -> None:
    with rig() as made, made.client() as client:
        assert client.ask(patience=patience)[0] == 503
        assert not any(member.seen() for member in made.members)


def test_patience_beyond_the_deadline_is_taken() -> None:
    with rig() as made, made.client() as client:
        assert client.ask(patience=999_999_999)[0] == 200
        assert made.front.event_loop.pending_count == 0


def silent(member: Member, command: Command) -> None:
    """A member that takes all and says nothing."""


def test_a_client_that_leaves_releases_its_request_and_attempt() -> None:
    with rig(silent) as made:
        with made.client() as client:
            client.send(client.request())
            command = made.fetches()[0]
            assert made.front.event_loop.pending_count == 1
        assert made.until(lambda: made.front.event_loop.pending_count == 0)
        assert made.until(lambda: any(cache.seen("abort") for cache in made.caches))
        assert [it.id for cache in made.caches for it in cache.seen("abort")] == [command.id]


def test_silence_gets_a_final_answer_within_the_patience() -> None:
    with rig(silent) as made, made.client() as client:
        began = time.monotonic()
        assert client.ask(patience=300)[0] == 503
        assert time.monotonic() - began < WITHIN
        assert made.until(lambda: any(cache.seen("abort") for cache in made.caches))


@pytest.mark.usefixtures("narrow")
def test_a_client_that_does_not_read_harms_nobody() -> None:
    with rig(large) as made:
        stuck = [ask_narrowly(made) for _ in range(8)]  # more than there are writers
        assert made.until(lambda: made.counted("slow_clients") == 8)
        with made.client() as client:
            assert client.ask()[0] == 200
        for sock in stuck:
            sock.close()


@pytest.mark.usefixtures("narrow")
def test_a_client_that_reads_by_drops_has_an_absolute_limit() -> None:
    with rig(large, bounds={"slow_client_timeout": 300_000_000}) as made:
        sock = ask_narrowly(made, patience=15_000)
        got, pause = 0, threading.Event()
        try:
            while piece := sock.recv(64):
                got += len(piece)
                pause.wait(0.005)
        except ConnectionResetError:
            pass
        assert got < 240_000 and made.until(lambda: made.front.downstream.open_count == 0)
        sock.close()


def test_bodies_that_clients_hold_do_not_make_the_front_deaf() -> None:
    """With all buffers for bodies held, requests still get their refusal, and no member is blamed."""
    with rig() as made, made.client() as client:
        taken = made.front.body_buffers.acquire(made.front.config.limits.body_buffers)
        assert taken is not None
        assert client.ask(patience=15_000)[0] == 503 and made.counted("pool_empty") >= 1
        assert not any(
            member.failure_score for member in made.front.event_loop._router.state.endpoints.by_id.values()
        )
        with made.client() as other:
            other.send(b"GET /-/healthy HTTP/1.1\r\n\r\n")
            assert other.read()[0] == 200
        made.front.body_buffers.release(taken)
        assert client.ask()[0] == 200


def test_an_id_in_use_fails_and_the_first_is_unharmed() -> None:
    gate = threading.Event()

    def reply(member: Member, command: Command) -> None:
        gate.wait(WITHIN)
        serve_all(member, command)

    with rig(reply) as made, made.client() as first, made.client() as second:
        request = Client.request(patience=15_000)
        first.send(request)
        made.fetches()
        second.send(request)
        assert second.read()[0] == 502
        gate.set()
        assert first.read()[0] == 200


def test_a_fault_in_one_connection_ends_only_that(monkeypatch: pytest.MonkeyPatch) -> None:
    route = DownstreamConnection._route

    def odd(self: DownstreamConnection, message: Any, at: int) -> None:
        if message.start_line.target == "/fault":
            raise RuntimeError("unforeseen")
        route(self, message, at)

    monkeypatch.setattr(DownstreamConnection, "_route", odd)
    with rig() as made, made.client() as bad, made.client() as good:
        bad.send(b"GET /fault HTTP/1.1\r\n\r\n")
        assert bad.closed()
        assert good.ask()[0] == 200 and made.counted("downstream_connection_error") == 1


def test_a_fault_in_the_engine_fails_only_that_request(monkeypatch: pytest.MonkeyPatch) -> None:
    with rig() as made, made.client() as client:
        handle = made.front.event_loop._router.handle

        def odd(now: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request) and event.part == 13:
                raise RuntimeError("unforeseen")
            return handle(now, event)

        monkeypatch.setattr(made.front.event_loop._router, "handle", odd)
        assert client.ask(piece=13)[0] == 502
        assert client.ask()[0] == 200 and made.counted("event_loop_error") == 1


def test_at_the_cap_the_one_idle_longest_makes_room() -> None:
    with rig(limits={"sockets": 64, "memory_mb": 64}) as made:
        cap = made.front.config.limits.max_client_connections
        clients = [made.client() for _ in range(cap)]
        for client in clients:
            assert client.ask()[0] == 200
        assert clients[0].ask()[0] == 200  # no longer the one idle longest
        with made.client() as late:
            assert late.ask()[0] == 200
        assert clients[1].closed() and clients[0].ask()[0] == 200
        assert made.front.downstream.open_count <= cap
        for client in clients:
            client.sock.close()


def test_at_the_cap_those_that_say_nothing_go_first() -> None:
    with rig(limits={"sockets": 64, "memory_mb": 64}, bounds={"first_request_timeout": 60 * 10**9}) as made:
        cap = made.front.config.limits.max_client_connections
        with made.client() as usual:
            assert usual.ask()[0] == 200
            quiet = [made.client() for _ in range(2 * cap)]
            assert all(client.closed() for client in quiet[:cap])
            assert usual.ask()[0] == 200 and made.counted("connections_evicted") >= cap
            for client in quiet:
                client.sock.close()


def test_at_the_cap_busy_ones_are_waited_for() -> None:
    gate = threading.Event()

    def reply(member: Member, command: Command) -> None:
        gate.wait(WITHIN)
        serve_all(member, command)

    with rig(reply, limits={"sockets": 64, "memory_mb": 64}) as made:
        clients = [made.client() for _ in range(made.front.config.limits.max_client_connections)]
        for client in clients:
            client.send(Client.request(patience=15_000))
        assert made.until(lambda: made.front.event_loop.pending_count == len(clients))
        with made.client() as late:
            late.send(Client.request())
            assert made.until(lambda: made.counted("connection_cap_reached") == 1)
            gate.set()
            assert late.read()[0] == 200
            assert [client.read()[0] for client in clients] == [200] * len(clients)
        for client in clients:
            client.sock.close()


SHORT = {"first_request_timeout": 300_000_000, "keepalive_timeout": 300_000_000}


def test_a_client_that_says_nothing_is_closed_in_time() -> None:
    with rig(bounds=SHORT) as made, made.client() as client:
        assert client.closed() and made.counted("connection_deadlines_exceeded") >= 1
    with rig(bounds=SHORT) as made, made.client() as client:
        assert client.ask()[0] == 200
        assert client.closed()  # asked once, and stayed


@pytest.mark.parametrize("data", [b"GET /api/v2/segm", Client.request(Content_Length="9")])
def test_half_a_request_is_answered_in_time_however_it_trickles(data: bytes) -> None:
    with rig(bounds=SHORT) as made, made.client() as client:
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


def test_endless_senders_are_dropped_after_their_refusal() -> None:
    """What comes after our end is bounded in bytes and in time."""
    with rig() as made, made.client() as client:
        client.send(Client.request(Content_Length="60000000"))
        with pytest.raises(OSError):
            for _ in range(10_000):
                client.send(b"x" * 65_536)
        assert made.until(lambda: made.front.downstream.open_count == 0)


def test_a_client_that_never_ends_its_side_is_cut() -> None:
    with rig() as made, made.client() as client:
        client.send(b"nonsense\r\n\r\n")
        assert client.read()[0] == 400 and client.closed()
        assert made.until(lambda: made.front.downstream.open_count == 0)


# Servers


def test_answers_in_any_order_on_one_link() -> None:
    kept: list[Command] = []

    def reply(member: Member, command: Command) -> None:
        kept.append(command)
        if len(kept) == 6:
            for held in reversed(kept):
                serve_all(member, held)

    with rig(reply) as made:
        clients = [made.client() for _ in range(6)]
        for piece, client in enumerate(clients):
            client.send(Client.request(piece=piece, patience=15_000))
        for piece, client in enumerate(clients):
            assert client.read()[2] == body_of(NAME, str(piece))
            client.sock.close()


@pytest.mark.parametrize(
    ("word", "status"),
    [
        ("NONE", 503),
        ("SHED", 503),
        ("FAULT", 503),
        ("LATE", 503),
        ("RIDDLE", 503),
        ("VALID", 503),
    ],
)
def test_every_other_word_ends_in_a_refusal(word: str, status: int) -> None:
    def reply(member: Member, command: Command) -> None:
        if command.verb == "fetch":
            command.answer(word)

    with rig(reply) as made, made.client() as client:
        assert client.ask()[0] == status
        assert len(made.fetches()) >= 1


@pytest.mark.parametrize(
    "line",
    [
        b"who knows\r\n",
        b"{id} HIT - 3000000000\r\nxx",
        b"x" * 2_000,
        b"{id} HIT - 240001\r\n",
        b"{id} HIT - 3\r\nabcd\r\n",
    ],
)
def test_a_link_that_speaks_nonsense_is_closed(line: bytes) -> None:
    """Its open attempt counts as broken off; the request gets another attempt or its final answer."""

    def reply(member: Member, command: Command) -> None:
        if command.verb == "fetch":
            command.sock.sendall(line.replace(b"{id}", command.id.encode()))

    with rig(reply) as made, made.client() as client:
        assert client.ask()[0] == 503
        assert made.counted("upstream_connections_lost") >= 1


def test_answers_of_nobody_are_dropped_and_the_link_goes_on() -> None:
    def reply(member: Member, command: Command) -> None:
        if command.verb == "fetch":
            Command(command.sock, "fetch", "0" * 16, {}, b"").answer("HIT", b"y" * 70_000, why="warm")
            serve_all(member, command)
            command.sock.sendall(b"0000000000000001 FAULT - 0\r\n\r\n")
            serve_all(member, command)

    with rig(reply) as made, made.client() as client:
        for piece in range(12):
            assert client.ask(piece=piece)[2] == body_of(NAME, str(piece))
        assert made.counted("upstream_connections_lost") == 0 and made.counted("unmatched_responses") >= 12
        assert made.until(lambda: made.counted("duplicate_responses") >= 11)
        assert sum(len(cache.connections) for cache in made.caches) == 2


def test_a_second_answer_is_not_taken_for_the_next_attempt() -> None:
    """The fill goes under the same id as the look; the look's second NONE must not end it."""

    def reply(member: Member, command: Command) -> None:
        serve_all(member, command)
        if command.verb == "fetch" and "miss" not in command.fields:
            command.answer("NONE")

    with rig(reply) as made, made.client() as client:
        for piece in range(6):
            assert client.ask(FILLED, piece=piece)[2] == body_of(FILLED, str(piece))
        assert len(made.fetches(12)) == 12 and made.counted("attempts_not_cached") == 6


STOPS = [b"{id} HIT why=warm,entity=x,issued=1 100000\r\n" + b"x" * 30_000, b"{id} HI", b""]


@pytest.mark.parametrize("begun", STOPS)
def test_a_link_that_stops_is_left_with_all_that_is_open_on_it(begun: bytes) -> None:
    """In mid-answer, or for good: `alive` gets no answer either. Its calls go elsewhere in time."""
    stopped: list[socket.socket] = []

    def reply(member: Member, command: Command) -> None:
        if command.sock in stopped:
            return
        if member.id == "a" and len(stopped) == 0 and command.verb == "fetch":
            stopped.append(command.sock)
            command.sock.sendall(begun.replace(b"{id}", command.id.encode()))
        else:
            serve_all(member, command)

    with rig(reply) as made:
        clients = [made.client() for _ in range(16)]
        for piece, client in enumerate(clients):
            client.send(Client.request(piece=piece, patience=15_000))
        for piece, client in enumerate(clients):
            assert client.read()[2] == body_of(NAME, str(piece))
            client.sock.close()
        assert made.counted("upstream_connections_lost") == 1 and made.counted("attempts_timed_out") == 0
        assert (made.counted("liveness_checks_sent") == 1) is (begun == b"")


def test_an_answer_that_trickles_ends_its_link() -> None:
    over = threading.Event()
    begun: list[socket.socket] = []

    def reply(member: Member, command: Command) -> None:
        if begun or command.verb != "fetch":
            serve_all(member, command)
            return
        begun.append(command.sock)
        command.sock.sendall(f"{command.id} HIT why=warm,entity=x,issued=1 100000\r\n".encode())
        try:
            while not over.wait(0.02):
                command.sock.sendall(b"x")
        except OSError:
            pass

    with rig(reply, bounds={"response_timeout": 300_000_000}) as made, made.client() as client:
        assert client.ask(patience=15_000)[2] == body_of(NAME, "3")
        assert made.counted("upstream_connections_lost") == 1
        over.set()


def test_a_slow_member_that_says_it_is_alive_keeps_its_link() -> None:
    gate = threading.Event()
    held: list[Command] = []

    def reply(member: Member, command: Command) -> None:
        if command.verb == "fetch":
            held.append(command)
            if gate.is_set():
                serve_all(member, command)
        else:
            serve_all(member, command)
            if len(member.seen("alive")) >= 2:
                gate.set()
                for waiting in held:
                    serve_all(member, waiting)

    with rig(reply, bounds={"liveness_check_after": 100_000_000}) as made, made.client() as client:
        assert client.ask(patience=15_000)[2] == body_of(NAME, "3")
        assert made.counted("liveness_checks_sent") >= 2 and made.counted("upstream_connections_lost") == 0


def test_a_link_with_many_calls_is_one_piece_of_evidence() -> None:
    cut = threading.Event()

    def reply(member: Member, command: Command) -> None:
        if cut.is_set():
            serve_all(member, command)
        elif len(made.fetches()) >= 24:
            cut.set()
            for cache in made.caches:
                for sock in cache.connections:
                    sock.shutdown(socket.SHUT_RDWR)

    with rig(reply) as made:
        clients = [made.client() for _ in range(24)]
        for piece, client in enumerate(clients):
            client.send(Client.request(piece=piece, patience=15_000))
        outcomes = made.outcomes("CONNECTION_LOST", 24)
        assert (
            sum(not outcome.is_repeated_loss for outcome in outcomes)
            == made.counted("upstream_connections_lost")
            == 2
        )
        for client in clients:
            assert client.read()[0] in (200, 503)
            client.sock.close()


def test_an_attempt_given_up_in_its_body_returns_the_buffers() -> None:
    over = threading.Event()

    def reply(member: Member, command: Command) -> None:
        if command.verb == "fetch":
            command.sock.sendall(f"{command.id} HIT why=warm,entity=x,issued=1 200000\r\n".encode())
            command.sock.sendall(b"x" * 100_000)
            over.wait(WITHIN)
            command.sock.sendall(b"x" * 100_000 + b"\r\n")

    bounds = {"response_pause_timeout": 60 * 10**9, "response_timeout": 60 * 10**9}
    with rig(reply, bounds=bounds) as made:
        with made.client() as client:
            client.send(Client.request(patience=15_000))
            made.fetches()
            assert made.until(lambda: made.front.body_buffers.in_use > 15)
        assert made.until(lambda: made.front.event_loop.pending_count == 0)
        assert made.until(lambda: made.front.body_buffers.in_use < 10)
        over.set()


def test_a_link_cut_within_a_body_is_no_answer() -> None:
    cut: list[str] = []

    def reply(member: Member, command: Command) -> None:
        if not cut:
            cut.append(member.id)
            head = f"{command.id} HIT why=warm,entity=x,issued=1 100000\r\n"
            command.sock.sendall(head.encode() + b"x" * 30_000)
            command.sock.shutdown(socket.SHUT_RDWR)
        else:
            serve_all(member, command)

    with rig(reply) as made, made.client() as client:
        assert client.ask(patience=15_000)[2] == body_of(NAME, "3")
        assert made.counted("upstream_connections_lost") == 1


def test_a_refused_connection_never_ran() -> None:
    with rig() as made, made.client() as client:
        for cache in made.caches:
            cache.close()
        assert client.ask()[0] == 503
        assert made.counted("connect_failed") >= 1


def test_an_answer_that_crosses_an_abort_is_dropped() -> None:
    kept: list[Command] = []

    def reply(member: Member, command: Command) -> None:
        if command.verb == "fetch" and not kept:
            kept.append(command)
        elif command.verb == "abort":
            serve_all(member, kept[0])
        else:
            serve_all(member, command)

    with rig(reply) as made:
        with made.client() as client:
            client.send(Client.request())
            made.fetches()
        assert made.until(lambda: any(cache.seen("abort") for cache in made.caches))
        with made.client() as client:
            assert client.ask()[0] == 200
        assert made.counted("upstream_connections_lost") == 0


def test_all_links_together_are_bounded() -> None:
    with rig(bounds={"max_upstream_connections": 1}) as made, made.client() as client:
        assert {client.ask(piece=piece, patience=15_000)[0] for piece in range(12)} <= {200, 503}
        assert (
            made.counted("upstream_connections_opened") == 1
            and made.counted("upstream_connections_full") >= 1
        )


def test_a_silent_member_holds_up_no_other() -> None:
    def reply(member: Member, command: Command) -> None:
        if member.id == "b":
            serve_all(member, command)

    with rig(reply) as made, made.client() as client:
        for piece in range(12):
            assert client.ask(piece=piece, patience=15_000)[0] == 200


# The list


def test_a_member_that_drains_gets_nothing_new() -> None:
    with rig() as made, made.client() as client:
        made.coordinator.add(
            endpoints={"version": 2, "full": False, "servers": [{**made.entries[0], "state": "terminating"}]}
        )
        placed = made.front.event_loop._router.state.endpoints.by_id
        assert made.until(lambda: placed is not made.front.event_loop._router.state.endpoints.by_id)
        for piece in range(20):
            assert client.ask(piece=piece)[0] == 200
        assert made.caches[0].seen() == [] and len(made.caches[1].seen()) == 20


def test_a_new_member_on_an_old_address_gets_new_links() -> None:
    with rig() as made, made.client() as client:
        for piece in range(12):
            assert client.ask(piece=piece)[0] == 200
        old = made.caches[0]
        before = len(old.connections)
        assert before == 1
        made.coordinator.add(
            endpoints={
                "version": 2,
                "full": False,
                "servers": [{**made.entries[0], "state": "terminated"}, {**made.entries[0], "id": "new"}],
            }
        )
        assert made.until(lambda: "new" in made.front.event_loop._router.state.endpoints.by_id)
        for piece in range(12):
            assert client.ask(piece=piece)[0] == 200
        assert len(old.connections) == 2


def test_purges_bound_the_age_of_copies() -> None:
    with rig() as made, made.client() as client:
        assert client.ask()[0] == 200
        made.coordinator.add(evict={"ref": NAME, "unix_ms": time.time_ns() // 1_000_000 - 500})
        made.coordinator.add(evict={"shard": 18, "unix_ms": time.time_ns() // 1_000_000})
        purges = made.front.event_loop._router.state.invalidations
        assert made.until(lambda: len(purges) == 2)
        assert client.ask()[0] == 200 and client.ask("1" * 16)[0] == 200
        first, bounded, other = (
            made.fetches(3)
            if len(made.caches[0].seen()) in (0, 3)
            else sorted(made.fetches(3), key=lambda it: it.id)
        )
        assert "within" not in first.fields and "within" not in other.fields
        assert 500 <= int(bounded.fields["within"]) < 500 + WITHIN * 1000


def test_a_gap_in_the_list_is_asked_for_again() -> None:
    with rig() as made, made.client() as client:
        assert made.coordinator.wait_for_poll(1)
        late = entry(made.caches[0], state="terminating")
        whole = {"version": 3, "full": True, "servers": made.entries[1:]}
        with made.coordinator._change:
            made.coordinator.events[:] = [
                {"index": 5, "endpoints": {"version": 2, "full": False, "servers": [late]}},
                {"index": 6, "endpoints": whole},
            ]
            made.coordinator._change.notify_all()
        assert made.until(lambda: "a" not in made.front.event_loop._router.state.endpoints.by_id)
        assert client.ask()[0] == 200


def test_odd_events_do_not_stop_those_behind_them() -> None:
    with rig() as made, made.client() as client:
        made.coordinator.add(endpoints={"servers": [{"id": "x y", "addr": "127.0.0.1:1"}]})
        made.coordinator.add(evict={})
        made.coordinator.add(evict={"ref": NAME, "unix_ms": time.time_ns() // 1_000_000})
        assert made.until(lambda: len(made.front.event_loop._router.state.invalidations) == 1)
        assert made.counted("invalid_events") == 2 and client.ask()[0] == 200


def test_the_last_list_holds_while_the_coordinator_is_gone() -> None:
    with rig() as made, made.client() as client:
        assert made.coordinator.wait_for_poll(1)
        made.coordinator.close()
        assert made.until(lambda: made.counted("poll_failures") >= 2)
        assert client.ask()[0] == 200


def test_a_new_coordinator_is_asked_at_once_from_the_last_number() -> None:
    with rig() as made:
        other = Coordinator()
        made.coordinator.add(evict={"shard": 1, "unix_ms": time.time_ns() // 1_000_000})
        purges = made.front.event_loop._router.state.invalidations
        assert made.until(lambda: len(purges) == 1)
        other.events = list(made.coordinator.events)
        other.add(evict={"shard": 2, "unix_ms": time.time_ns() // 1_000_000})
        assert made.front.discovery.switch_coordinator(read_address(other.address))
        assert not made.front.discovery.switch_coordinator(read_address(other.address))
        made.coordinator.add(evict={"shard": 3, "unix_ms": time.time_ns() // 1_000_000})  # to nobody
        assert made.until(lambda: len(purges) == 2)
        assert other.wait_for_poll(2) and other.follows[0] == 2
        other.add(evict={"shard": 4, "unix_ms": time.time_ns() // 1_000_000})
        assert made.until(lambda: ("group", 4) in purges._times)
        assert set(purges._times) == {("group", 1), ("group", 2), ("group", 4)}
        assert made.counted("discovery_error") == 0
        other.close()


class Stopping(Coordinator):
    """Says half an answer to its first poll, then nothing, or a byte now and then, and stays open."""

    def __init__(self, trickles: bool) -> None:
        self.trickles, self.stopped, self.over = trickles, False, threading.Event()
        super().__init__()

    def reply(self, sock: socket.socket, data: bytes) -> None:
        if self.stopped:
            super().reply(sock, data)
            return
        self.stopped = True
        sock.sendall(data[: len(data) // 2])
        while self.trickles and not self.over.wait(0.1):
            sock.sendall(b" ")


@pytest.mark.parametrize("trickles", [False, True])
def test_a_coordinator_that_stops_in_an_answer_is_asked_again_in_time(trickles: bool) -> None:
    with rig() as made:
        other = Stopping(trickles)
        other.events = list(made.coordinator.events)
        other.add(evict={"shard": 2, "unix_ms": time.time_ns() // 1_000_000})
        began = time.monotonic()
        made.front.discovery.switch_coordinator(read_address(other.address))
        purges = made.front.event_loop._router.state.invalidations
        assert made.until(lambda: ("group", 2) in purges._times)
        assert other.stopped and time.monotonic() - began >= 1  # the poll's own wait was left to it
        assert made.counted("poll_failures") <= 2
        other.over.set()
        other.close()


def test_a_coordinator_that_lags_behind_is_not_taken_for_a_new_one() -> None:
    with rig() as made:
        made.coordinator.add(
            endpoints={"version": 2, "full": False, "servers": [{**made.entries[0], "state": "terminating"}]}
        )
        assert made.until(lambda: made.front.discovery._last_index == 2)
        lagging = Coordinator()
        lagging.events = made.coordinator.events[:1]
        made.front.discovery.switch_coordinator(read_address(lagging.address))
        assert lagging.wait_for_poll(2) and lagging.follows[:2] == [2, 2]  # it is waited for
        assert made.until(lambda: made.front.discovery._lagging_responses >= 1)
        lagging.events = list(made.coordinator.events)
        lagging.add(evict={"shard": 2, "unix_ms": time.time_ns() // 1_000_000})
        purges = made.front.event_loop._router.state.invalidations
        assert made.until(lambda: ("group", 2) in purges._times)
        assert (
            made.front.event_loop._router.state.endpoints.by_id["a"].metadata.state
            is api.EndpointState.DRAINING
        )
        assert 0 not in lagging.follows
        lagging.close()


# Copies of the front's own


OWN: dict[str, Any] = {"flow_bytes_per_s": 100_000_000, "link_bytes_per_s": 400_000_000}


def ask_until_own(made: Rig, client: Client) -> None:
    """The first answer is for a new name, the second is kept, the third is the front's own."""
    assert made.until(lambda: made.front.event_loop._lifecycle.discovery_heard_at)
    for _ in range(3):
        assert client.ask()[2] == body_of(NAME, "3")
    assert made.counted("cached_responses_served") == 1 and len(made.fetches(2)) == 2


def test_a_name_that_comes_again_is_served_from_the_fronts_own_copy() -> None:
    with rig(**OWN) as made, made.client() as client:
        ask_until_own(made, client)
        tag = tag_of(NAME, "3")
        assert client.ask(If_None_Match=f'"{tag}"') == (304, {"etag": f'"{tag}"'}, b"")
        assert made.counted("cached_responses_served") == 2 and len(made.fetches(2)) == 2


def test_a_purge_ends_own_copies() -> None:
    with rig(**OWN) as made, made.client() as client:
        ask_until_own(made, client)
        made.coordinator.add(evict={"shard": 17, "unix_ms": time.time_ns() // 1_000_000 + 1})
        assert made.until(lambda: len(made.front.response_cache) == 0)
        assert client.ask()[0] == 200 and len(made.fetches(3)) == 3


def test_without_word_of_the_coordinator_no_own_copy_is_served() -> None:
    with rig(**OWN) as made, made.client() as client:
        ask_until_own(made, client)
        made.coordinator.close()
        assert made.until(lambda: made.counted("poll_failures") >= 2)
        made.front.event_loop._lifecycle.discovery_heard_at -= DISCOVERY_VALID_FOR
        assert client.ask()[0] == 200 and made.counted("cached_responses_served") == 1


# The end


def test_sigterm_loses_nothing() -> None:
    gate = threading.Event()

    def reply(member: Member, command: Command) -> None:
        gate.wait(WITHIN)
        serve_all(member, command)

    with rig(reply) as made, made.client() as client, made.client() as idle:
        client.send(Client.request(patience=15_000))
        made.fetches()
        ending = threading.Thread(target=made.front.shut_down)
        ending.start()
        assert made.until(lambda: made.front.downstream.is_draining)
        with made.client() as late:
            late.send(Client.request(patience=15_000))
            gate.set()
            status, headers, body = late.read()
            assert (status, headers["connection"], body) == (200, "close", body_of(NAME, "3"))
        status, headers, _ = client.read()
        assert (status, headers["connection"]) == (200, "close") and client.closed()
        assert idle.closed()
        client.sock.close()
        idle.sock.close()
        ending.join(WITHIN)
        assert not ending.is_alive() and made.front.downstream.open_count == 0


def test_what_the_machine_has_accepted_is_answered_at_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """A busy front has requests that wait to be read, and connections that wait to be accepted."""
    gate, start = threading.Event(), DownstreamServer._start_connection

    def late(self: DownstreamServer, sock: socket.socket) -> None:
        gate.wait(WITHIN)
        start(self, sock)

    with rig() as made, made.client() as idle:
        assert idle.ask()[0] == 200
        monkeypatch.setattr(DownstreamServer, "_start_connection", late)
        waiting = [made.client() for _ in range(5)]
        for client in waiting:
            client.send(Client.request(patience=15_000))
        made.front.downstream.drain()
        stopping = threading.Thread(target=made.front.downstream.stop_accepting)
        stopping.start()
        gate.set()
        for client in waiting:
            status, headers, _ = client.read()
            assert (status, headers["connection"]) == (200, "close") and client.closed()
            client.sock.close()
        stopping.join(WITHIN)
        with pytest.raises(OSError):
            made.client()


def test_a_request_that_waits_to_be_read_keeps_its_connection_at_the_end() -> None:
    with rig() as made, made.client() as client:
        assert client.ask()[0] == 200
        (connection,) = made.front.downstream._connections
        with connection._lock:  # its reader is held up
            client.send(Client.request(patience=15_000))
            assert made.until(lambda: not connection.has_nothing_unread)
            made.front.downstream.drain()
            closing = threading.Thread(target=made.front.downstream.close_idle)
            closing.start()
        closing.join(WITHIN)
        status, headers, _ = client.read()
        assert (status, headers["connection"]) == (200, "close")


def test_a_front_starts_again_at_once_on_the_same_address() -> None:
    with rig() as made:
        client = made.client()
        assert client.ask()[0] == 200
        made.front.downstream.stop_accepting()
        again = Rig(listen=f"127.0.0.1:{made.address[1]}")
        with again.client() as other:
            assert other.ask()[0] == 200
        again.close()
        client.sock.close()
