"""Tests of the parser of responses, in the forms that RFC 9112 allows and in malformed ones."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from olivepost.proxy.http1.messages import HttpError, Message, StatusLine
from olivepost.proxy.http1.response_parser import ResponseParser
from tests.proxy.http1.feeding import feed_connection
from tests.proxy.http1.fuzz_responses import fuzz
from tests.proxy.http1.response_forms import FORMS, MALFORMED, Form, in_chunks, until_close, with_length
from tests.router_harness import split

BODY = b'{"index":3,"updates":[]}\r\n0\r\n\r\n'
MAX_HEAD_SIZE = 500
MAX_BODY_SIZE = 100


def parse(pieces: Iterable[bytes], is_closed: bool = False) -> list[Message[StatusLine]]:
    """Feeds the pieces of one connection to a new parser and returns all responses."""
    return feed_connection(ResponseParser(MAX_HEAD_SIZE, MAX_BODY_SIZE), pieces, is_closed)


def parse_form(form: Form, pieces: Iterable[bytes]) -> list[Message[StatusLine]]:
    return parse(pieces, form.ends_with_connection)


@pytest.mark.parametrize("name", FORMS)
def test_response_is_parsed_in_each_form_and_at_each_split(name: str) -> None:
    """Guards against forms of HTTP/1.1 that a coordinator may send and that are given up."""
    form = FORMS[name]
    data = form.encode(BODY)
    assert [message.body for message in parse_form(form, [data])] == [BODY]
    for cut in range(len(data) + 1):
        assert [message.body for message in parse_form(form, [data[:cut], data[cut:]])] == [BODY]
    assert [message.body for message in parse_form(form, split(data, list(range(len(data)))))] == [BODY]


@pytest.mark.parametrize("name", [name for name, form in FORMS.items() if not form.ends_with_connection])
def test_next_response_on_the_connection_is_parsed_after_each_form(name: str) -> None:
    """Guards against bytes of one response that are taken for the beginning of the next one."""
    data = FORMS[name].encode(BODY) + with_length(b"next")
    for size in (1, 3, len(data)):
        pieces = [data[start : start + size] for start in range(0, len(data), size)]
        assert [message.body for message in parse(pieces)] == [BODY, b"next"]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.sampled_from(list(FORMS)), st.binary(max_size=MAX_BODY_SIZE), st.lists(st.integers(0, 400), max_size=9)
)
def test_any_body_is_parsed_in_each_form_and_at_any_split(name: str, body: bytes, cuts: list[int]) -> None:
    form = FORMS[name]
    data = form.encode(body)
    pieces = split(data, [min(cut, len(data)) for cut in cuts])
    assert [message.body for message in parse_form(form, pieces)] == [body]


@pytest.mark.parametrize("name", MALFORMED)
@pytest.mark.parametrize("size", [1, 1 << 20])
def test_malformed_response_is_recognized_without_a_wait_for_more_bytes(name: str, size: int) -> None:
    """Guards against malformed responses that are waited for, and against unbounded parts of one."""
    data = MALFORMED[name](b'{"index":3,"updates":[]}')
    with pytest.raises(HttpError) as caught:
        parse([data[start : start + size] for start in range(0, len(data), size)])
    assert caught.value.reason == str(caught.value) != ""


@pytest.mark.parametrize("name", [name for name, form in FORMS.items() if not form.ends_with_connection])
def test_response_that_breaks_off_is_not_complete(name: str) -> None:
    data = FORMS[name].encode(BODY)
    for cut in range(len(data)):
        parser = ResponseParser(MAX_HEAD_SIZE, MAX_BODY_SIZE)
        parser.feed(data[:cut])
        assert parser.take() is None
        assert not parser.close()


def test_response_until_close_is_complete_with_the_close_alone() -> None:
    data = until_close(BODY)
    assert parse([data]) == []
    assert [message.body for message in parse([data], is_closed=True)] == [BODY]
    head = data[: -len(BODY)]
    assert parse([head[:-1]], is_closed=True) == []


def test_body_is_bounded_in_each_framing() -> None:
    largest = bytes(MAX_BODY_SIZE)
    for form in FORMS.values():
        assert [message.body for message in parse_form(form, [form.encode(largest)])] == [largest]
    for encode in (with_length, in_chunks, until_close):
        with pytest.raises(HttpError):
            parse([encode(largest + b"x")])


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
@pytest.mark.parametrize("field", [b"", b"Content-Length: 9\r\n", b"Transfer-Encoding: chunked\r\n"])
def test_response_has_no_body_where_its_status_has_none(status: bytes, field: bytes) -> None:
    first, second = parse([b"HTTP/1.1 %b\r\n%b\r\n" % (status, field), with_length(b"next")])
    assert first.start_line.status == status[:3].decode()
    assert first.body == b""
    assert second.body == b"next"


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=80),
            st.sampled_from(
                [
                    b"HTTP/1.1 200 OK\r\n",
                    b"Transfer-Encoding: chunked\r\n",
                    b"\r\n",
                    b"Content-Length: 3\r\n",
                    b"3\r\nabc\r\n",
                    b"0\r\n",
                    b"a:\r\n",
                ]
            ),
        ),
        max_size=8,
    )
)
def test_garbage_raises_only_http_error(pieces: list[bytes]) -> None:
    with contextlib.suppress(HttpError):
        parse(pieces, is_closed=True)


def test_random_forms_and_mutations_give_the_body_or_an_error() -> None:
    """Guards against random responses that raise another error, or that depend on how they are split."""
    fuzz(random.Random(62), 2_000)
