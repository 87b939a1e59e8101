"""Requests that write: they go on with their body and key, uncached, and their bodies are bounded."""

from __future__ import annotations

import threading
from typing import Any

import pytest

from examples.toy_server import Command, Member, serve_all
from olivepost.config import OBJECT, SMALL_BODY, read_config
from tests.rig import NAME, WITHIN, Client, Rig, rig, toy_config

KEY = "e88162b04f93af70ad562033008092e1"


def settings(effect: str = "idempotency_key") -> dict[str, Any]:
    """The example's settings with a first class that writes."""
    given: dict[str, Any] = toy_config()["settings"]
    row = {**given["classes"][0], "effect": effect, "window": 5_000_000_000}
    family = {**given["family-info"], "pass-on": [True]}
    return {**given, "classes": [row, *given["classes"][1:]], "family-info": family}


def put(body: bytes = b"z" * 100, name: str = NAME, **headers: str) -> bytes:
    """A request that writes."""
    request = Client.request(name, "segment", 3, 15_000, **{"Content_Length": str(len(body)), **headers})
    return b"PUT" + request[3:] + body


def stored(member: Member, command: Command) -> None:
    """Members that answer what writes, and the rest as ever."""
    if command.verb == "fetch" and command.body:
        command.answer("HIT", b"done", why="fill", entity="new", issued="1")
    else:
        serve_all(member, command)


def room(made: Rig) -> int:
    return made.front.downstream._large


def test_a_write_goes_on_with_its_body_and_key_and_joins_nothing() -> None:
    with rig(stored, settings=settings()) as made, made.client() as client:
        client.send(put(b"\0\r\nbody" * 20, X_Dedupe_Key=KEY, If_None_Match='"mine"'))
        status, _, body = client.read()
        assert (status, body) == (200, b"done")
        (command,) = made.fetches()
        assert command.body == b"\0\r\nbody" * 20 and command.fields["dedupe"] == KEY
        assert command.fields["miss"] in ("p", "o")
        assert not {"prio", "mine", "f"} & command.fields.keys()


def test_a_write_is_answered_from_no_copy_of_the_fronts_own() -> None:
    own: dict[str, Any] = {"flow_bytes_per_s": 100_000_000, "link_bytes_per_s": 400_000_000}
    with rig(stored, settings=settings(), **own) as made, made.client() as client:
        assert made.until(lambda: made.front.event_loop._lifecycle.discovery_heard_at)
        for count in range(1, 5):
            client.send(put())
            assert client.read()[0] == 200 and len(made.fetches(count)) == count
        assert made.counted("cached_responses_served") == 0


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (b"PUT" + Client.request(class_name="image", Content_Length="1")[3:] + b"x", 405),
        (put(X_Dedupe_Key="two words"), 400),
        (b"PUT" + Client.request(Content_Length="60000000")[3:], 413),
        (b"POST" + Client.request(Content_Length="1")[3:] + b"x", 405),
    ],
    ids=["nobody writes it", "key", "length", "method"],
)
def test_writes_that_cant_be_used_reach_no_cache(request_: bytes, status: int) -> None:
    with rig(stored, settings=settings()) as made, made.client() as client:
        client.send(request_)
        assert client.read()[0] == status
        assert not any(member.seen() for member in made.members)


def test_no_class_writes_on_the_platform() -> None:
    """Its bodies stay small and no memory is set aside for them."""
    bounds = read_config(toy_config(), {}).limits
    assert bounds.max_request_body == SMALL_BODY and bounds.large_body_bytes == 0
    with rig() as made, made.client() as client:
        client.send(put())
        assert client.read()[0] == 405 and not any(member.seen() for member in made.members)


def test_large_bodies_have_room_together_and_give_it_back() -> None:
    """One too many is refused before it is read; an answer and a client that leaves free the room."""
    gate = threading.Event()

    def reply(member: Member, command: Command) -> None:
        gate.wait(WITHIN)
        stored(member, command)

    large = b"y" * OBJECT
    with rig(reply, settings=settings("read_like"), bounds={"large_body_bytes": 2 * OBJECT}) as made:
        first, leaving, late = made.client(), made.client(), made.client()
        first.send(put(large))
        leaving.send(put(large, "0" * 16)[: -OBJECT // 2])
        assert made.until(lambda: room(made) == 2 * OBJECT)
        late.send(put(large, "1" * 16)[:-OBJECT])
        assert late.read()[0] == 503 and late.closed()
        leaving.sock.close()
        assert made.until(lambda: room(made) == OBJECT)
        gate.set()
        assert first.read()[0] == 200
        assert made.until(lambda: room(made) == 0)
        first.send(put(large))
        assert first.read()[0] == 200
        assert [len(it.body) for it in made.fetches(2) if it.body] == [OBJECT, OBJECT]
        for client in (first, late):
            client.sock.close()


def test_a_large_body_that_nobody_wants_gives_its_room_back() -> None:
    """The health page answers and its connection stays; not the end of its rest is what frees the room."""
    rests = {"keepalive_timeout": 60_000_000_000}
    with rig(stored, settings=settings(), bounds=rests) as made, made.client() as client:
        client.send(b"GET /-/healthy HTTP/1.1\r\nContent-Length: 100000\r\n\r\n")
        assert made.until(lambda: room(made) == 100_000)
        client.send(b"x" * 100_000)
        assert client.read()[0] == 200
        assert made.until(lambda: room(made) == 0) and client.ask()[0] == 200


def test_small_bodies_need_no_room() -> None:
    with rig(stored, settings=settings(), bounds={"large_body_bytes": 0}) as made, made.client() as client:
        client.send(put(b"x" * SMALL_BODY))
        assert client.read()[0] == 200
