"""The wire protocol, RESP2 and RESP3: reading of commands and encoding of replies."""

from __future__ import annotations

import asyncio
from typing import Any, TypeAlias

from standins.redis.errors import CommandError, ProtocolError

MAX_COMMAND_ITEMS = 1_048_576  # largest number of items (name and arguments) of a command; Redis's default
MAX_BULK_BYTES = 512 * 1_048_576  # length of the longest bulk string; default of proto-max-bulk-len
MAX_LENGTH_DIGITS = 10  # largest number of digits of a length, because converting many digits is slow

# A reply has one of the types bytes, int, float, None, Status, list and dict. EXEC replies with a list, which
# may contain CommandError.
Reply: TypeAlias = Any


class Status(str):
    """A simple string of RESP, such as OK."""

    __slots__ = ()


class Push(list[Any]):
    """A message that the server sends to a subscriber, not in reply to a command."""

    __slots__ = ()


OK = Status("OK")


def encode(reply: Reply, is_resp3: bool) -> bytes:
    """Returns the bytes of a reply. RESP2 and RESP3 encode maps, nulls and pushes differently."""
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
    raise TypeError(f"a reply of type {type(reply).__name__} has no encoding: {reply!r:.100}")


def _encode_items(kind: bytes, length: int, items: list[Any] | tuple[Any, ...], is_resp3: bool) -> bytes:
    return kind + b"%d\r\n" % length + b"".join(encode(item, is_resp3) for item in items)


def _encode_map(reply: dict[Any, Any], is_resp3: bool) -> bytes:
    items = [item for pair in reply.items() for item in pair]
    if is_resp3:
        return _encode_items(b"%", len(reply), items, is_resp3)
    return _encode_items(b"*", len(items), items, is_resp3)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads the next command and returns its name and arguments.

    A command is an array of bulk strings or an inline command. Raises ProtocolError for other bytes, and
    asyncio's errors if the connection ends or a line is too long.
    """
    line = await _read_line(reader)
    if not line.startswith(b"*"):
        return line.split()
    items = []
    for _ in range(_parse_length(line[1:], MAX_COMMAND_ITEMS)):
        head = await _read_line(reader)
        if not head.startswith(b"$"):
            raise ProtocolError(f"expected '$', got '{head[:1].decode(errors='replace')}'")
        length = _parse_length(head[1:], MAX_BULK_BYTES)
        bulk = await reader.readexactly(length + len(b"\r\n"))
        items.append(bulk[:length])
    return items


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    line = await reader.readuntil(b"\r\n")
    return line.removesuffix(b"\r\n")


def _parse_length(text: bytes, maximum: int) -> int:
    if not text.isdigit() or len(text) > MAX_LENGTH_DIGITS or int(text) > maximum:
        raise ProtocolError("invalid bulk length")
    return int(text)
