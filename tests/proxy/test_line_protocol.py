"""The members' wire: any split of the bytes gives the same answers, garbage only its own error."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from olivepost.proxy.upstream.errors import LineProtocolError
from olivepost.proxy.upstream.line_protocol import (
    RESPONSE_END,
    ResponseLine,
    ResponseParser,
    encode_command,
    parse_fields,
)
from tests.helpers import split

STREAM = (
    b"0123456789abcdef HIT why=warm,entity=4be0c1927d55a6f3,issued=1764576000123 7\r\nab\r\n\x00\xffc\r\n"
    b"t1 PONG\r\n"
    b"fedcba9876543210 NONE - 0\r\n\r\n"
    b"0000000000000001 VALID entity=4be0c1927d55a6f3,issued=1 0\r\n\r\n"
)


def read(pieces: list[bytes], longest: int = 1000) -> list[object]:
    """What a parser gives, with the pieces of a body joined."""
    answers, seen = ResponseParser(longest), list[object]()
    for piece in pieces:
        for item in answers.feed(memoryview(piece)):
            if isinstance(item, memoryview):
                joined = seen.pop() if seen and isinstance(seen[-1], bytes) else b""
                assert isinstance(joined, bytes)
                seen.append(joined + bytes(item))
            else:
                seen.append(item)
    return seen


def test_a_stream_of_answers() -> None:
    whole = read([STREAM])
    fields = {"why": "warm", "entity": "4be0c1927d55a6f3", "issued": "1764576000123"}
    assert whole[:3] == [ResponseLine("0123456789abcdef", "HIT", fields, 7), b"ab\r\n\x00\xffc", RESPONSE_END]
    assert whole[3:5] == [ResponseLine("t1", "PONG", {}, -1), RESPONSE_END]
    assert [item.status for item in whole[5:] if isinstance(item, ResponseLine)] == ["NONE", "VALID"]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_any_split_gives_the_same(cuts: list[int]) -> None:
    assert read(split(STREAM, cuts)) == read([STREAM])


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
def test_garbage_raises_only_its_own_error(pieces: list[bytes]) -> None:
    with contextlib.suppress(LineProtocolError):
        read(pieces)


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
def test_what_no_member_sends_is_an_error(line: bytes) -> None:
    with pytest.raises(LineProtocolError):
        read([line])


def test_commands() -> None:
    assert (
        encode_command("fetch", "ab", {"lane": "x", "ttl": "5"}, b"q") == b"fetch ab lane=x,ttl=5 1\r\nq\r\n"
    )
    assert encode_command("fetch", "ab", {}, b"") == b"fetch ab - 0\r\n\r\n"
    assert encode_command("abort", "ab") == b"abort ab\r\n"
    assert parse_fields("a=b=c,d=") == {"a": "b=c", "d": ""}
