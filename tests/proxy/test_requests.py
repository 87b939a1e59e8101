"""Tests of client requests: what the proxy forwards, and which response the client gets."""

from __future__ import annotations

import pytest

from examples.toy_server import Command, ToyEndpoint, body_of, tag_of
from tests.proxy.fakes import UNCACHED_NAME, DelayedReplies
from tests.proxy_harness import OBJECT_NAME, HttpClient, running_proxy


def test_response_body_is_complete_and_unchanged() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        status, headers, body = client.request()
        assert (status, body) == (200, body_of(OBJECT_NAME, "3"))
        assert headers["etag"] == f'"{tag_of(OBJECT_NAME, "3")}"'
        assert "connection" not in headers
        assert client.request(part=4).body == body_of(OBJECT_NAME, "4")
        fields = next(
            command.fields for command in proxy.wait_for_fetches(2) if command.fields["piece"] == "3"
        )
        assert fields["lane"] == "segment"
        assert fields["name"] == OBJECT_NAME
        assert fields["piece"] == "3"
        assert 1 <= int(fields["ttl"]) <= 1500
        assert "within" not in fields
        assert "miss" not in fields
        assert proxy.parts.event_loop.pending_count == 0


def test_cache_miss_is_filled_from_the_parent() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request(UNCACHED_NAME).body == body_of(UNCACHED_NAME, "3")
        lookup, fill = proxy.wait_for_fetches(2)
        assert "miss" not in lookup.fields
        assert fill.fields["miss"] == "p"
        assert lookup.id == fill.id
        assert proxy.parent.received() == []
        assert proxy.origin.received() == []


def test_bodies_of_every_size_are_passed_on() -> None:
    sizes = {
        f"{size:016x}": bytes(range(256)) * (size // 256) + b"z" * (size % 256)
        for size in (0, 1, 16_383, 16_384, 16_385, 240_000)
    }

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            command.respond("HIT", sizes[command.fields["name"]], why="warm", entity="x", issued="1")

    with running_proxy(reply) as proxy, proxy.connect() as client:
        for name, body in sizes.items():
            assert client.request(name).body == body


def test_current_copy_of_the_client_gets_304() -> None:
    tag = tag_of(OBJECT_NAME, "3")
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request(If_None_Match=f'"{tag}"') == (304, {"etag": f'"{tag}"'}, b"")
        assert proxy.wait_for_fetches()[0].fields["mine"] == tag
        for other in ('"old"', f'W/"{tag}"', f'"{tag}", "x"', "*", '"a,b"'):
            assert client.request(If_None_Match=other).status == 200
        assert [command.fields.get("mine") for command in proxy.wait_for_fetches(6)[1:]].count("old") == 1
        assert sum("mine" in command.fields for command in proxy.wait_for_fetches(6)) == 2


def test_rejection_has_a_retry_time() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        status, headers, body = client.request("f" * 16)
        assert status == 503
        assert body == b""
        assert 1 <= int(headers["x-come-back-ms"]) <= 1000
        assert client.request().status == 200
        assert proxy.counter("rejected") == 1


def test_request_may_arrive_in_any_chunks() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        for part in (1, 2):
            data = client.encode_request(part=part)
            for start in range(0, len(data), 7):
                client.send(data[start : start + 7])
            assert client.read_response().body == body_of(OBJECT_NAME, str(part))
        assert proxy.parts.downstream.open_count == 1


def test_pipelined_requests_are_not_served() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        client.send(b"".join(client.encode_request(part=part) for part in range(300)))
        status, headers, body = client.read_response()
        assert (status, headers["connection"], body) == (200, "close", body_of(OBJECT_NAME, "0"))
        assert client.is_closed_by_proxy()
        assert len(proxy.wait_for_fetches()) == 1
        assert proxy.counter("pipelining_rejected") >= 1


def test_connection_close_is_honoured() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request(Connection="close").headers["connection"] == "close"
        assert client.is_closed_by_proxy()


def test_health_check_fails_while_draining() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        client.send(b"GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n")
        assert client.read_response().status == 200
        proxy.parts.downstream.drain()
        client.send(b"GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n")
        status, headers, _ = client.read_response()
        assert status == 503
        assert headers["connection"] == "close"
        assert client.is_closed_by_proxy()


INVALID_REQUESTS = [
    (HttpClient.encode_request(X_Call_Id=""), 400),
    (HttpClient.encode_request(X_Call_Id="9B1F03AA5C7E2D41"), 400),
    (HttpClient.encode_request(X_Call_Id="9b1f03aa5c7e2d4"), 400),
    (HttpClient.encode_request(X_Patience_Ms=""), 400),
    (HttpClient.encode_request(X_Patience_Ms="-1"), 400),
    (HttpClient.encode_request(X_Patience_Ms="1e3"), 400),
    (HttpClient.encode_request(X_Set="256"), 400),
    (HttpClient.encode_request(X_Set=""), 400),
    (HttpClient.encode_request(class_name="nobody"), 404),
    (HttpClient.encode_request(name="xyz"), 404),
    (b"GET /elsewhere HTTP/1.1\r\n\r\n", 404),
    (HttpClient.encode_request().replace(b"GET", b"PUT"), 405),
    (b"nonsense\r\n\r\n", 400),
    (HttpClient.encode_request(Content_Length="1", Transfer_Encoding="chunked"), 400),
    (HttpClient.encode_request(Transfer_Encoding="chunked"), 501),
    (HttpClient.encode_request(Content_Length="999999"), 413),
    (HttpClient.encode_request(Long="x" * 10_000), 431),
]


def test_invalid_requests_get_their_status_and_reach_no_cache() -> None:
    with running_proxy() as proxy:
        for data, status in INVALID_REQUESTS:
            with proxy.connect() as client:
                client.send(data)
                got, headers, _ = client.read_response()
                assert (got, headers["connection"]) == (status, "close"), data[:60]
                assert client.is_closed_by_proxy()
        assert not any(endpoint.received() for endpoint in proxy.endpoints)


@pytest.mark.parametrize("timeout_ms", [0, 1])
def test_request_without_time_left_is_rejected_at_once(timeout_ms: int) -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request(timeout_ms=timeout_ms).status == 503
        assert not any(endpoint.received() for endpoint in proxy.endpoints)


def test_timeout_beyond_the_deadline_is_accepted() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request(timeout_ms=999_999_999).status == 200
        assert proxy.parts.event_loop.pending_count == 0


def test_duplicate_request_id_fails_and_the_first_request_is_served() -> None:
    delayed_replies = DelayedReplies()
    with running_proxy(delayed_replies) as proxy, proxy.connect() as first, proxy.connect() as second:
        request = HttpClient.encode_request(timeout_ms=15_000)
        first.send(request)
        proxy.wait_for_fetches()
        second.send(request)
        assert second.read_response().status == 502
        delayed_replies.may_reply.set()
        assert first.read_response().status == 200


def test_only_the_etag_that_the_client_sent_gets_304() -> None:
    """Checks that a `VALID` response with another ETag, or with none, doesn't confirm the client's copy."""
    names = iter(["other", ""])

    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        if command.verb == "fetch":
            tag = next(names, None)
            fields = {} if tag == "" else {"entity": "mine" if tag is None else tag}
            command.respond("VALID", why="warm", issued="1", **fields)

    with running_proxy(reply) as proxy, proxy.connect() as client:
        assert client.request(If_None_Match='"mine"').status != 304
        assert proxy.counter("unexpected_responses") == 2
        assert client.request(If_None_Match='"mine"').status == 304
