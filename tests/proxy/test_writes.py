"""Tests of write requests.

Write requests are forwarded with their body and idempotency key, never cached, and limited in size.
"""

from __future__ import annotations

import threading
from typing import Any

import pytest

from examples.toy_server import Command, ToyEndpoint, respond_normally
from olivepost.config import MAX_OBJECT_BYTES, SMALL_BODY_BYTES, read_config
from olivepost.proxy.downstream.body_budget import LargeBodyBudget, LargeBodyReservation
from tests.proxy_harness import (
    OBJECT_NAME,
    WAIT_TIMEOUT_S,
    HttpClient,
    ProxyHarness,
    running_proxy,
    toy_config,
)

KEY = "e88162b04f93af70ad562033008092e1"


def write_settings(effect: str = "idempotency_key") -> dict[str, Any]:
    """Returns the router settings of the example configuration, with writes allowed in the first class.

    `effect` is the configured idempotency of that class: "read_like", "idempotency_key" (a write is
    idempotent if it has a key) or "non_idempotent".
    """
    example: dict[str, Any] = toy_config()["settings"]
    writable_class = {**example["classes"][0], "effect": effect, "window": 5_000_000_000}
    family = {**example["family-info"], "pass-on": [True]}
    return {**example, "classes": [writable_class, *example["classes"][1:]], "family-info": family}


def put_request(body: bytes = b"z" * 100, name: str = OBJECT_NAME, **headers: str) -> bytes:
    """Returns a PUT request with its body."""
    request = HttpClient.encode_request(
        name, "segment", 3, 15_000, **{"Content_Length": str(len(body)), **headers}
    )
    return b"PUT" + request[3:] + body


def serve_writes(endpoint: ToyEndpoint, command: Command) -> None:
    """Responds to a fetch that has a body with the body `done`, to other commands as toy endpoints do."""
    if command.verb == "fetch" and command.body:
        command.respond("HIT", b"done", why="fill", entity="new", issued="1")
    else:
        respond_normally(endpoint, command)


def reserved_bytes(proxy: ProxyHarness) -> int:
    """Returns the number of bytes that large request bodies have reserved from their budget."""
    return proxy.parts.downstream.context.large_bodies.reserved_bytes


def test_write_is_forwarded_with_its_body_and_idempotency_key_and_joins_no_other() -> None:
    with running_proxy(serve_writes, settings=write_settings()) as proxy, proxy.connect() as client:
        client.send(put_request(b"\0\r\nbody" * 20, X_Dedupe_Key=KEY, If_None_Match='"mine"'))
        status, _, body = client.read_response()
        assert (status, body) == (200, b"done")
        (command,) = proxy.wait_for_fetches()
        assert command.body == b"\0\r\nbody" * 20
        assert command.fields["dedupe"] == KEY
        assert command.fields["miss"] in ("p", "o")
        assert not {"prio", "mine", "f"} & command.fields.keys()


def test_write_is_not_answered_from_the_response_cache() -> None:
    rates: dict[str, Any] = {"flow_bytes_per_s": 100_000_000, "link_bytes_per_s": 400_000_000}
    with running_proxy(serve_writes, settings=write_settings(), **rates) as proxy, proxy.connect() as client:
        assert proxy.wait_until(lambda: proxy.parts.event_loop._lifecycle.discovery_known_until)
        for count in range(1, 5):
            client.send(put_request())
            assert client.read_response().status == 200
            assert len(proxy.wait_for_fetches(count)) == count
        assert proxy.counter("cached_responses_served") == 0


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (b"PUT" + HttpClient.encode_request(class_name="image", Content_Length="1")[3:] + b"x", 405),
        (put_request(X_Dedupe_Key="two words"), 400),
        (b"PUT" + HttpClient.encode_request(Content_Length="60000000")[3:], 413),
        (b"POST" + HttpClient.encode_request(Content_Length="1")[3:] + b"x", 405),
    ],
    ids=["class without writes", "malformed key", "body too long", "method not allowed"],
)
def test_rejected_write_is_not_forwarded(request_: bytes, status: int) -> None:
    with running_proxy(serve_writes, settings=write_settings()) as proxy, proxy.connect() as client:
        client.send(request_)
        assert client.read_response().status == status
        assert not any(endpoint.received() for endpoint in proxy.endpoints)


def test_platform_classes_reject_writes() -> None:
    """Checks the limits on request bodies if no request class accepts writes.

    Bodies must then be small, and no memory is budgeted for large ones.
    """
    limits = read_config(toy_config(), {}).limits
    assert limits.max_request_body_bytes == SMALL_BODY_BYTES
    assert limits.large_body_bytes == 0
    with running_proxy() as proxy, proxy.connect() as client:
        client.send(put_request())
        assert client.read_response().status == 405
        assert not any(endpoint.received() for endpoint in proxy.endpoints)


def test_large_bodies_share_one_budget_and_release_their_parts() -> None:
    """Checks the memory budget of large request bodies, in which each large body reserves its size.

    A body that exceeds the rest of the budget is rejected before it is read. A reservation is released when
    its request gets a response or its client disconnects.
    """
    may_reply = threading.Event()

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        may_reply.wait(WAIT_TIMEOUT_S)
        serve_writes(endpoint, command)

    largest_body = b"y" * MAX_OBJECT_BYTES
    with running_proxy(
        reply, settings=write_settings("read_like"), bounds={"large_body_bytes": 2 * MAX_OBJECT_BYTES}
    ) as proxy:
        first = proxy.connect()
        disconnecting = proxy.connect()
        late = proxy.connect()
        first.send(put_request(largest_body))
        disconnecting.send(put_request(largest_body, "0" * 16)[: -MAX_OBJECT_BYTES // 2])
        assert proxy.wait_until(lambda: reserved_bytes(proxy) == 2 * MAX_OBJECT_BYTES)
        late.send(put_request(largest_body, "1" * 16)[:-MAX_OBJECT_BYTES])
        assert late.read_response().status == 503
        assert late.is_closed_by_proxy()
        disconnecting.sock.close()
        assert proxy.wait_until(lambda: reserved_bytes(proxy) == MAX_OBJECT_BYTES)
        may_reply.set()
        assert first.read_response().status == 200
        assert proxy.wait_until(lambda: reserved_bytes(proxy) == 0)
        first.send(put_request(largest_body))
        assert first.read_response().status == 200
        assert [len(command.body) for command in proxy.wait_for_fetches(2) if command.body] == [
            MAX_OBJECT_BYTES,
            MAX_OBJECT_BYTES,
        ]
        for client in (first, late):
            client.sock.close()


def test_large_body_of_a_health_check_releases_its_reservation() -> None:
    """Guards against a reservation that is released only when the connection closes.

    The response must release the reservation. The long keep-alive timeout keeps the connection open.
    """
    keepalive = {"keepalive_timeout": 60_000_000_000}
    with (
        running_proxy(serve_writes, settings=write_settings(), bounds=keepalive) as proxy,
        proxy.connect() as client,
    ):
        client.send(b"GET /-/healthy HTTP/1.1\r\nContent-Length: 100000\r\n\r\n")
        assert proxy.wait_until(lambda: reserved_bytes(proxy) == 100_000)
        client.send(b"x" * 100_000)
        assert client.read_response().status == 200
        assert proxy.wait_until(lambda: reserved_bytes(proxy) == 0)
        assert client.request().status == 200


def test_small_body_needs_no_reservation() -> None:
    with (
        running_proxy(serve_writes, settings=write_settings(), bounds={"large_body_bytes": 0}) as proxy,
        proxy.connect() as client,
    ):
        client.send(put_request(b"x" * SMALL_BODY_BYTES))
        assert client.read_response().status == 200


def test_reservation_is_counted_and_released_once() -> None:
    budget = LargeBodyBudget(max_bytes=100, small_body_bytes=10)
    first = LargeBodyReservation(budget)
    second = LargeBodyReservation(budget)

    assert first.reserve(60)
    assert first.reserve(60)
    assert budget.reserved_bytes == 60
    assert not second.reserve(41)
    assert second.reserve(10)
    assert budget.reserved_bytes == 60
    first.release()
    first.release()
    assert budget.reserved_bytes == 0
    assert second.reserve(100)
