"""RESP2 and RESP3 on the wire: commands are read, replies encoded."""

from __future__ import annotations

import asyncio
from typing import Any, TypeAlias

from standins.redis.errors import CommandError, ProtocolError

MAX_COMMAND_WORDS = 1_048_576  # as the real one's default
MAX_WORD_BYTES = 512 * 1_048_576  # proto-max-bulk-len
MAX_LENGTH_DIGITS = 10  # more are no length, and cost time to convert

# bytes, int, float, None, Status, list, dict; in a transaction's list CommandError as well
Reply: TypeAlias = Any


class Status(str):
    """A simple string of the protocol."""

    __slots__ = ()


class Push(list[Any]):
    """A message that the server sends unasked."""

    __slots__ = ()


OK = Status("OK")


def encode(reply: Reply, is_resp3: bool) -> bytes:
    """A reply in either version of the protocol; maps, nulls and pushes differ."""
    match reply:
        case None:
            return b"_\r\n" if is_resp3 else b"$-1\r\n"
        case CommandError():
            return b"-%b\r\n" % str(reply).replace("\r", " ").replace("\n", " ").encode()
        case Status():
            return b"+%b\r\n" % reply.encode()
        case int():
            return b":%d\r\n" % reply
        case bytes():
            return b"$%d\r\n%b\r\n" % (len(reply), reply)
        case str():
            return encode(reply.encode(), is_resp3)
        case dict():
            return _encode_map(reply, is_resp3)
        case Push():
            return _encode_items(b">" if is_resp3 else b"*", len(reply), reply, is_resp3)
        case list() | tuple():
            return _encode_items(b"*", len(reply), reply, is_resp3)
    raise TypeError(f"no reply: {reply!r}")


def _encode_items(kind: bytes, length: int, items: list[Any] | tuple[Any, ...], is_resp3: bool) -> bytes:
    return kind + b"%d\r\n" % length + b"".join(encode(item, is_resp3) for item in items)


def _encode_map(reply: dict[Any, Any], is_resp3: bool) -> bytes:
    words = [word for pair in reply.items() for word in pair]
    if is_resp3:
        return _encode_items(b"%", len(reply), words, is_resp3)
    return _encode_items(b"*", len(words), words, is_resp3)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """The next command: an array of bulk strings, or an inline one.

    Raises ProtocolError for what is neither, and asyncio's errors where the connection ends or a line is too
    long.
    """
    line = await _read_line(reader)
    if not line.startswith(b"*"):
        return line.split()
    words = []
    for _ in range(_parse_length(line[1:], MAX_COMMAND_WORDS)):
        head = await _read_line(reader)
        if not head.startswith(b"$"):
            raise ProtocolError(f"expected '$', got '{head[:1].decode(errors='replace')}'")
        length = _parse_length(head[1:], MAX_WORD_BYTES)
        word = await reader.readexactly(length + len(b"\r\n"))
        words.append(word[:length])
    return words


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    line = await reader.readuntil(b"\r\n")
    return line.removesuffix(b"\r\n")


def _parse_length(text: bytes, maximum: int) -> int:
    if not text.isdigit() or len(text) > MAX_LENGTH_DIGITS or int(text) > maximum:
        raise ProtocolError("invalid bulk length")
    return int(text)
