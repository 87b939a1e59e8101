"""HTTP/1.1: any split of the bytes gives the same messages, garbage only its own error."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from olivepost.proxy.http1 import HttpError, Message, Parser, answer_head
from tests.helpers import split

STREAM = (
    b"GET /a HTTP/1.1\r\nHost: x\r\nX-Set:  17 \r\n\r\n"
    b"GET /b HTTP/1.1\r\nContent-Length: 5\r\nConnection: keep-alive, Close\r\n\r\nab\r\nc"
    b"GET /c HTTP/1.0\r\n\r\n"
)


def read(pieces: list[bytes], answers: bool = False) -> list[Message]:
    parser, seen = Parser(500, 100, answers), list[Message]()
    for piece in pieces:
        parser.feed(piece)
        while (message := parser.take()) is not None:
            seen.append(message)
    return seen


def test_a_stream_of_requests() -> None:
    first, second, third = read([STREAM])
    assert first.first == ("GET", "/a") and first.header("x-set") == "17" and first.keeps_alive
    assert second.body == b"ab\r\nc" and not second.keeps_alive
    assert third.version == "HTTP/1.0" and not third.keeps_alive


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_any_split_gives_the_same(cuts: list[int]) -> None:
    assert read(split(STREAM, cuts)) == read([STREAM])


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.booleans(),
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
def test_garbage_raises_only_its_own_error(answers: bool, pieces: list[bytes]) -> None:
    with contextlib.suppress(HttpError):
        read(pieces, answers)


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
        (b"GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 501),
        (b"GET / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\na: " + b"x" * 600, 431),
        (b"GET / HTTP/1.1\r\na: " + b"x" * 600 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\na: \x00\r\n\r\n", 400),
    ],
)
def test_requests_that_cannot_be_used(data: bytes, status: int) -> None:
    with pytest.raises(HttpError) as caught:
        read([data])
    assert caught.value.status == status


@pytest.mark.parametrize(
    "data", [b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/3 200\r\n\r\n", b"HTTP/1.1 2x0 OK\r\n\r\n"]
)
def test_answers_that_cannot_be_used(data: bytes) -> None:
    with pytest.raises(HttpError):
        read([data], answers=True)


def test_an_answer_is_written() -> None:
    assert answer_head(503, 0, {"X-Come-Back-Ms": "40"}, True) == (
        b"HTTP/1.1 503 Service Unavailable\r\nX-Come-Back-Ms: 40\r\nContent-Length: 0\r\n"
        b"Connection: close\r\n\r\n"
    )
    assert b"Content-Length" not in answer_head(304, None, {}, False)
