"""Tests of the HTTP/1.1 parser.

Any split of the bytes gives the same messages, and garbage raises only `HttpError`.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from olivepost.proxy.http1.encoding import response_head
from olivepost.proxy.http1.messages import HttpError, Message, RequestLine
from olivepost.proxy.http1.parser import Parser
from olivepost.proxy.http1.request_parser import RequestParser
from olivepost.proxy.http1.response_parser import ResponseParser
from tests.proxy.http1.feeding import feed_all
from tests.router_harness import split

MAX_HEAD_SIZE = 500
MAX_BODY_SIZE = 100
STREAM = (
    b"GET /a HTTP/1.1\r\nHost: x\r\nX-Set:  17 \r\n\r\n"
    b"GET /b HTTP/1.1\r\nContent-Length: 5\r\nConnection: keep-alive, Close\r\n\r\nab\r\nc"
    b"GET /c HTTP/1.0\r\n\r\n"
)


def parse(
    chunks: list[bytes], make_parser: Callable[[int, int], Parser[Any]] = RequestParser
) -> list[Message[Any]]:
    """Feeds the chunks to a new parser and returns all messages."""
    return feed_all(make_parser(MAX_HEAD_SIZE, MAX_BODY_SIZE), chunks)


def test_requests_of_one_stream_are_taken_one_after_another() -> None:
    first, second, third = parse([STREAM])
    assert first.start_line == RequestLine("GET", "/a", "HTTP/1.1")
    assert first.header("x-set") == "17"
    assert first.keeps_alive
    assert second.body == b"ab\r\nc"
    assert not second.keeps_alive
    assert third.start_line.version == "HTTP/1.0"
    assert not third.keeps_alive


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_any_split_of_a_stream_gives_the_same_messages(cuts: list[int]) -> None:
    assert parse(split(STREAM, cuts)) == parse([STREAM])


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.sampled_from([RequestParser, ResponseParser]),
    st.lists(
        st.one_of(
            st.binary(max_size=80),
            st.sampled_from(
                [b"GET / HTTP/1.1\r\n", b"HTTP/1.1 200 OK\r\n", b"\r\n", b"Content-Length: 3\r\n", b"a:\r\n"]
            ),
        ),
        max_size=8,
    ),
)
def test_garbage_raises_only_http_error(
    make_parser: Callable[[int, int], Parser[Any]], chunks: list[bytes]
) -> None:
    with contextlib.suppress(HttpError):
        parse(chunks, make_parser)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /\r\n\r\n", 400),
        (b"GET  / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\n\r\n", 505),
        (b"G(T / HTTP/1.1\r\n\r\n", 400),
        (b"\r\nGET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\na : b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\na: b\r\n folded\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 501),
        (b"GET / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\na: " + b"x" * 600, 431),
        (b"GET / HTTP/1.1\r\na: " + b"x" * 600 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\na: \x00\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 101 + b"\r\n", 431),
    ],
)
def test_malformed_request_raises_the_status_of_its_response(data: bytes, status: int) -> None:
    with pytest.raises(HttpError) as caught:
        parse([data])
    assert caught.value.status == status
    assert caught.value.reason == str(caught.value) != ""


@pytest.mark.parametrize("data", [b"HTTP/3 200\r\n\r\n", b"HTTP/1.1 2x0 OK\r\n\r\n"])
def test_malformed_response_raises_http_error(data: bytes) -> None:
    with pytest.raises(HttpError):
        parse([data], ResponseParser)


def test_response_without_a_length_is_accepted_where_its_status_has_no_body() -> None:
    (message,) = parse([b"HTTP/1.1 304 Not Modified\r\n\r\n"], ResponseParser)
    assert message.start_line.status == "304"
    assert message.body == b""


def test_response_head_has_its_fields_in_order() -> None:
    assert response_head(503, 0, {"X-Come-Back-Ms": "40"}, True) == (
        b"HTTP/1.1 503 Service Unavailable\r\nX-Come-Back-Ms: 40\r\nContent-Length: 0\r\n"
        b"Connection: close\r\n\r\n"
    )
    assert b"Content-Length" not in response_head(304, None, {}, False)


def test_request_with_very_many_fields_is_refused_at_once() -> None:
    """Guards against clients whose heads of many short fields take the time that other clients need."""
    fields = b"".join(b"%x:\r\n" % number for number in range(1_200))
    assert parse([b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 100 + b"\r\n"])[0].headers["a"] == ("",) * 100
    for head in (b"a:\r\n" * 1_200, fields):
        parser = RequestParser(8_192, 0)
        parser.feed(b"GET / HTTP/1.1\r\n" + head + b"\r\n")
        with pytest.raises(HttpError) as caught:
            parser.take()
        assert caught.value.status == 431


def test_values_of_repeated_fields_are_in_the_order_of_their_lines() -> None:
    (message,) = parse([b"GET / HTTP/1.1\r\na: 1\r\nB:2\r\nA:\t 3 \r\nb: 4\r\na:5\r\n\r\n"])
    assert message.headers == {"a": ("1", "3", "5"), "b": ("2", "4")}
