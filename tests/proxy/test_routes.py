"""Tests of the mapping of HTTP requests to exchanges, and of responses to HTTP.

An exchange is a client's request with its response.
"""

from __future__ import annotations

from typing import Any

import pytest

from olivepost.proxy.buffers import BufferPool, PooledBody
from olivepost.proxy.downstream.response_encoding import encode_response
from olivepost.proxy.downstream.routes import build_exchange, is_health_check
from olivepost.proxy.exchange import Exchange, Response, ResponseKind
from olivepost.proxy.http1.messages import HttpError, Message, RequestLine
from tests.router_harness import make_class

MS = 1_000_000
OBJECT = "7f3a9c21e0b4d655"
CLASSES = {"image": make_class(), "note": make_class("note", is_uncacheable=True)}
FIELDS = {"x-call-id": "0123456789abcdef", "x-patience-ms": "1500", "x-set": "17"}


def build(method: str = "GET", target: str = f"/api/v2/image/{OBJECT}/slice-3", **fields: str) -> Exchange:
    """Returns the exchange built from a request. A field with the value '' is left out of the request."""
    given = FIELDS | {name.replace("_", "-"): value for name, value in fields.items()}
    headers: dict[str, tuple[str, ...]] = {name: (value,) for name, value in given.items() if value}
    message = Message(RequestLine(method, target, "HTTP/1.1"), headers, b"body")
    return build_exchange(message, CLASSES, 7, lambda exchange, response: None, lambda: False)


def test_request_becomes_an_exchange_with_its_fields() -> None:
    exchange = build(if_none_match='"mine"')
    assert (exchange.id, exchange.class_name, exchange.object) == ("0123456789abcdef", "image", OBJECT)
    assert (exchange.part, exchange.group, exchange.etag) == (3, 17, "mine")
    assert (exchange.timeout, exchange.received_at) == (1500 * MS, 7)
    assert not exchange.is_write
    assert not exchange.is_client_retry


def test_retry_of_a_client_is_marked_as_such() -> None:
    assert build(x_repeat="1").is_client_retry


def test_write_carries_its_body_and_key_without_a_condition() -> None:
    exchange = build("PUT", f"/api/v2/note/{OBJECT}/slice-0", if_none_match='"mine"', x_dedupe_key="key-1")
    assert exchange.is_write
    assert (exchange.body, exchange.idempotency_key, exchange.etag) == (b"body", "key-1", None)


@pytest.mark.parametrize("value", ['W/"mine"', '"a", "b"', "*", '""', '"a=b"', "mine"])
def test_entity_tags_that_cannot_be_forwarded_give_no_condition(value: str) -> None:
    assert build(if_none_match=value).etag is None


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"method": "POST"}, 405),
        ({"method": "PUT"}, 405),
        ({"target": f"/api/v2/video/{OBJECT}/slice-3"}, 404),
        ({"target": f"/api/v2/image/{OBJECT}/slice-03"}, 404),
        ({"target": f"/api/v2/image/{OBJECT.upper()}/slice-3"}, 404),
        ({"x_call_id": ""}, 400),
        ({"x_call_id": "0123"}, 400),
        ({"x_patience_ms": "1s"}, 400),
        ({"x_set": "256"}, 400),
        ({"x_dedupe_key": "two words"}, 400),
    ],
)
def test_unusable_request_raises_the_status_of_its_response(changes: dict[str, Any], status: int) -> None:
    with pytest.raises(HttpError) as caught:
        build(**changes)
    assert caught.value.status == status


@pytest.mark.parametrize(
    ("method", "target", "expected"),
    [("GET", "/-/healthy", True), ("POST", "/-/healthy", False), ("GET", "/-/healthy/", False)],
)
def test_health_check_is_known_by_method_and_target(method: str, target: str, expected: bool) -> None:
    assert is_health_check(RequestLine(method, target, "HTTP/1.1")) is expected


@pytest.mark.parametrize(
    ("response", "closes", "expected"),
    [
        (
            Response(ResponseKind.NOT_MODIFIED, etag="tag"),
            False,
            b'HTTP/1.1 304 Not Modified\r\nETag: "tag"\r\n\r\n',
        ),
        (
            Response(ResponseKind.REJECTED, retry_after=MS // 2),
            True,
            b"HTTP/1.1 503 Service Unavailable\r\nX-Come-Back-Ms: 1\r\nContent-Length: 0\r\n"
            b"Connection: close\r\n\r\n",
        ),
        (
            Response(ResponseKind.REJECTED),
            False,
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        ),
        (Response(ResponseKind.FAILED), False, b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"),
    ],
    ids=["not modified", "rejected with a retry time", "rejected", "failed"],
)
def test_response_without_a_body_is_one_head(response: Response, closes: bool, expected: bytes) -> None:
    assert encode_response(response, closes) == [expected]


def test_served_response_has_its_length_and_the_buffers_of_its_body() -> None:
    pool = BufferPool(2, 4)
    body = PooledBody.reserve(pool, 6, 0.0)
    assert body is not None
    body.append(memoryview(b"abcdef"))
    head, *buffers = encode_response(Response(ResponseKind.SERVED, etag="tag", body=body), False)
    assert head == b'HTTP/1.1 200 OK\r\nETag: "tag"\r\nContent-Length: 6\r\n\r\n'
    assert [bytes(buffer) for buffer in buffers] == [b"abcd", b"ef"]
    body.release()
    assert pool.in_use == 0
