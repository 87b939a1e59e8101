"""Tests of the line protocol.

Any split of the bytes gives the same responses, and malformed bytes raise nothing but `LineProtocolError`.
"""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from olivepost.proxy.upstream.errors import LineProtocolError
from olivepost.proxy.upstream.line_protocol import (
    FIELD_VALUE,
    RESPONSE_END,
    ResponseLine,
    ResponseParser,
    encode_command,
    parse_fields,
)
from tests.router_harness import split

STREAM = (
    b"0123456789abcdef HIT why=warm,entity=4be0c1927d55a6f3,issued=1764576000123 7\r\nab\r\n\x00\xffc\r\n"
    b"t1 PONG\r\n"
    b"fedcba9876543210 NONE - 0\r\n\r\n"
    b"0000000000000001 VALID entity=4be0c1927d55a6f3,issued=1 0\r\n\r\n"
)


def parse(chunks: list[bytes], max_body_bytes: int = 1000) -> list[object]:
    """Returns the items that a parser yields, with the chunks of each body joined."""
    parser = ResponseParser(max_body_bytes)
    parsed: list[object] = []
    for chunk in chunks:
        for item in parser.feed(memoryview(chunk)):
            if isinstance(item, memoryview):
                joined = parsed.pop() if parsed and isinstance(parsed[-1], bytes) else b""
                assert isinstance(joined, bytes)
                parsed.append(joined + bytes(item))
            else:
                parsed.append(item)
    return parsed


def test_stream_of_responses_is_parsed_in_order() -> None:
    parsed = parse([STREAM])
    fields = {"why": "warm", "entity": "4be0c1927d55a6f3", "issued": "1764576000123"}
    assert parsed[:3] == [
        ResponseLine("0123456789abcdef", "HIT", fields, 7),
        b"ab\r\n\x00\xffc",
        RESPONSE_END,
    ]
    assert parsed[3:5] == [ResponseLine("t1", "PONG", {}, None), RESPONSE_END]
    assert [item.status for item in parsed[5:] if isinstance(item, ResponseLine)] == ["NONE", "VALID"]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_any_split_of_a_stream_gives_the_same_responses(cuts: list[int]) -> None:
    assert parse(split(STREAM, cuts)) == parse([STREAM])


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=60),
            st.sampled_from(
                [
                    b"a HIT - 3\r\n",
                    b"a HIT x=1,x=2 3\r\n",
                    b"\n",
                    b" ",
                    b"a PONG\r\n",
                    b"9999999",
                    b"a SHED - 0\r\n\r\n",
                ]
            ),
        ),
        max_size=8,
    )
)
def test_malformed_bytes_raise_only_line_protocol_errors(chunks: list[bytes]) -> None:
    with contextlib.suppress(LineProtocolError):
        parse(chunks)


@pytest.mark.parametrize(
    "line",
    [
        b"a HIT - 1001\r\n",
        b"a HIT - -1\r\n",
        b"a HIT - 1x\r\n",
        b"a HIT -\r\n",
        b" HIT - 1\r\n",
        b"a  - 1\r\n",
        b"a HIT why 1\r\n",
        b"a HIT =x 1\r\n",
        b"a HIT - 1 1\r\n",
        b"a H\xc9T - 1\r\n",
        b"a HIT - 0\n",
        b"a HIT - 0\r\nxx",
        b"x" * 2000,
        b"a HIT - \xc2\xb2\r\n",
        b"a HIT - \r\n",
    ],
)
def test_malformed_response_is_an_error(line: bytes) -> None:
    with pytest.raises(LineProtocolError):
        parse([line])


def test_command_is_encoded_as_on_the_wire() -> None:
    assert (
        encode_command("fetch", "ab", {"lane": "x", "ttl": "5"}, b"q") == b"fetch ab lane=x,ttl=5 1\r\nq\r\n"
    )
    assert encode_command("fetch", "ab", {}, b"") == b"fetch ab - 0\r\n\r\n"
    assert encode_command("abort", "ab") == b"abort ab\r\n"
    assert parse_fields("a=b=c,d=") == {"a": "b=c", "d": ""}


@pytest.mark.parametrize("separator", [*' ",+=\r\n', "\x7f", "\xe9"])
def test_field_value_holds_no_separator(separator: str) -> None:
    assert FIELD_VALUE.fullmatch("a/b:c;d<e>f")
    assert not FIELD_VALUE.fullmatch(f"a{separator}b")


def test_line_protocol_error_carries_what_was_received() -> None:
    with pytest.raises(LineProtocolError, match="not a response") as caught:
        parse([b"a HIT -\r\n"])
    assert caught.value.received == b"a HIT -"
