"""Feeding of parsers: bytes arrive in pieces, and messages are taken after each piece."""

from __future__ import annotations

from collections.abc import Iterable

from olivepost.proxy.http1.messages import Message, StartLineT, StatusLine
from olivepost.proxy.http1.parser import Parser
from olivepost.proxy.http1.response_parser import ResponseParser


def feed_all(parser: Parser[StartLineT], pieces: Iterable[bytes]) -> list[Message[StartLineT]]:
    """Feeds the pieces, takes the messages after each piece, and returns all of them."""
    messages = list[Message[StartLineT]]()
    for data in pieces:
        parser.feed(data)
        while (message := parser.take()) is not None:
            messages.append(message)
    return messages


def feed_connection(
    parser: ResponseParser, pieces: Iterable[bytes], is_closed: bool
) -> list[Message[StatusLine]]:
    """Feeds the bytes of a connection and returns its responses; `is_closed` closes it after them."""
    messages = feed_all(parser, pieces)
    if is_closed and parser.close():
        last = parser.take()
        assert last is not None
        messages.append(last)
    return messages
