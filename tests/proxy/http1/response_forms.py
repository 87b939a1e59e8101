"""Encoders of one body in the forms in which RFC 9112 lets a server send a response, for tests."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


def with_length(body: bytes) -> bytes:
    """Returns a response with Content-Length."""
    return STATUS_LINE + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def in_chunks(
    body: bytes, size: int = 7, extension: bytes = b"", trailer: bytes = b"", coding: bytes = b"chunked"
) -> bytes:
    """Returns a response in the chunked transfer coding, with chunks of `size` bytes."""
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    chunks = b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts)
    head = STATUS_LINE + b"Transfer-Encoding: " + coding + b"\r\n\r\n"
    return head + chunks + b"0%b\r\n%b\r\n" % (extension, trailer)


def until_close(body: bytes) -> bytes:
    """Returns a response whose body ends with the connection."""
    return STATUS_LINE + b"Content-Type: application/json\r\n\r\n" + body


@dataclass(frozen=True, slots=True)
class Form:
    """A form of a response, and whether the connection's close ends it."""

    encode: Callable[[bytes], bytes]
    ends_with_connection: bool = False


FORMS = {
    "length": Form(with_length),
    "length with leading zeros": Form(lambda body: with_length(body).replace(b": ", b":  00000000000000", 1)),
    "length repeated in a list": Form(
        lambda body: STATUS_LINE + b"Content-Length: %d, %d\r\n\r\n%b" % (len(body), len(body), body)
    ),
    "length repeated in two lines": Form(
        lambda body: (
            STATUS_LINE + b"Content-Length: %d\r\nContent-length:%d\r\n\r\n%b" % (len(body), len(body), body)
        )
    ),
    "HTTP/1.0 with length": Form(lambda body: with_length(body).replace(b"1.1", b"1.0", 1)),
    "later minor version": Form(lambda body: with_length(body).replace(b"1.1", b"1.7", 1)),
    "empty reason phrase": Form(lambda body: with_length(body).replace(b"200 OK", b"200 ", 1)),
    "announced close": Form(lambda body: with_length(body).replace(b"\r\n", b"\r\nConnection: Close\r\n", 1)),
    "folded field": Form(
        lambda body: with_length(body).replace(b"\r\n", b"\r\nX-Note: a\r\n b\r\n\t c\r\n", 1)
    ),
    "folded length": Form(lambda body: with_length(body).replace(b"Length: ", b"Length:\r\n ", 1)),
    "chunks": Form(in_chunks),
    "one chunk": Form(lambda body: in_chunks(body, 1 << 20)),
    "chunks of one byte": Form(lambda body: in_chunks(body, 1)),
    "chunk extensions": Form(
        lambda body: in_chunks(body, 5, b' ;a=1; b = "x\\"y;\t\xff";flag'),
    ),
    "chunk sizes with leading zeros": Form(
        lambda body: in_chunks(body, 1 << 20).replace(b"\r\n\r\n", b"\r\n\r\n" + b"0" * 30, 1)
    ),
    "chunk sizes in upper case": Form(
        lambda body: in_chunks(body, 1 << 20).replace(b"%x" % len(body), b"%X" % len(body), 1)
    ),
    "trailer fields": Form(lambda body: in_chunks(body, 9, trailer=b"X-Sum: 1\r\nContent-Length: 3\r\n")),
    "folded trailer field": Form(lambda body: in_chunks(body, 9, trailer=b"X-Sum: 1\r\n 2\r\n")),
    "coding in mixed case, with empty elements": Form(
        lambda body: in_chunks(body, coding=b" ,\t ChunKed , ")
    ),
    "coding in two lines": Form(lambda body: in_chunks(body, coding=b"\r\nTransfer-Encoding:chunked")),
    "chunks and announced close": Form(
        lambda body: in_chunks(body).replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
    ),
    "interim responses": Form(
        lambda body: (
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 9\r\n\r\n"
            + in_chunks(body)
        )
    ),
    "until close": Form(until_close, ends_with_connection=True),
    "HTTP/1.0 until close": Form(
        lambda body: until_close(body).replace(b"1.1", b"1.0", 1), ends_with_connection=True
    ),
    "until close with keep-alive": Form(
        lambda body: until_close(body).replace(b"\r\n", b"\r\nConnection: keep-alive\r\n", 1),
        ends_with_connection=True,
    ),
}

MALFORMED = {
    "length and chunks": lambda body: in_chunks(body).replace(b"\r\n", b"\r\nContent-Length: 4\r\n", 1),
    "chunks in HTTP/1.0": lambda body: in_chunks(body).replace(b"1.1", b"1.0", 1),
    "chunked twice": lambda body: in_chunks(body, coding=b"chunked, chunked"),
    "unknown coding": lambda body: in_chunks(body, coding=b"gzip, chunked"),
    "unknown final coding": lambda body: in_chunks(body, coding=b"chunked, gzip"),
    "coding with a parameter": lambda body: in_chunks(body, coding=b"chunked;a=b"),
    "empty coding": lambda body: in_chunks(body, coding=b" , "),
    "two lengths": lambda body: with_length(body).replace(b"Length: ", b"Length: 1, ", 1),
    "negative length": lambda body: with_length(body).replace(b"Length: ", b"Length: -", 1),
    "no length": lambda body: with_length(body).replace(b"Length: ", b"Length: x", 1),
    "huge length": lambda body: with_length(body).replace(b"Length: ", b"Length: 9" + b"9" * 30, 1),
    "size that is not hexadecimal": lambda body: in_chunks(body).replace(b"\r\n7\r\n", b"\r\n7g\r\n", 1),
    "signed size": lambda body: in_chunks(body).replace(b"\r\n7\r\n", b"\r\n+7\r\n", 1),
    "size with a prefix": lambda body: in_chunks(body).replace(b"\r\n7\r\n", b"\r\n0x7\r\n", 1),
    "empty size": lambda body: in_chunks(body).replace(b"\r\n7\r\n", b"\r\n\r\n", 1),
    "huge size": lambda body: in_chunks(body).replace(b"\r\n7\r\n", b"\r\n" + b"f" * 400 + b"\r\n", 1),
    "size over the limit": lambda body: in_chunks(body).replace(b"\r\n7\r\n", b"\r\n7fffffff\r\n", 1),
    "bare LF after a size": lambda body: in_chunks(body).replace(b"\r\n7\r\n", b"\r\n7\n", 1),
    "bare LF after a chunk": lambda body: in_chunks(body, 1 << 20).replace(b"\r\n0\r\n\r\n", b"\n0\r\n\r\n"),
    "chunk without CRLF": lambda body: in_chunks(body, 1 << 20).replace(b"\r\n0\r\n\r\n", b"0\r\n\r\n"),
    "chunk that is too long": lambda body: in_chunks(body).replace(b"\r\n7\r\n", b"\r\n6\r\n", 1),
    "control character in an extension": lambda body: in_chunks(body, 7, b";a\x00"),
    "endless extension": lambda body: in_chunks(body, 7, b";" + b"a" * 100_000),
    "long trailer section": lambda body: in_chunks(body, trailer=b"A: 1\r\n" * 20_000),
    "malformed trailer": lambda body: in_chunks(body, trailer=b"no colon\r\n"),
    "bare LF in the head": lambda body: with_length(body).replace(b"\r\n", b"\n"),
    "one bare LF in the head": lambda body: with_length(body).replace(b"OK\r\n", b"OK\n", 1),
    "space before the first field": lambda body: with_length(body).replace(b"Content", b" Content", 1),
    "space before the colon": lambda body: with_length(body).replace(b"Length:", b"Length :", 1),
    "unknown version": lambda body: with_length(body).replace(b"HTTP/1.1", b"HTTP/2.0", 1),
    "no status": lambda body: with_length(body).replace(b" 200 OK", b"", 1),
    "switch of protocols": lambda body: b"HTTP/1.1 101 x\r\nUpgrade: y\r\n\r\n" + with_length(body),
    "endless interim responses": lambda body: b"HTTP/1.1 102 x\r\n\r\n" * 1_000 + with_length(body),
    "endless head": lambda body: with_length(body).replace(b"OK", b"O" * 100_000, 1),
}


def random_form(draw: random.Random, body: bytes) -> tuple[bytes, bool]:
    """Returns a body in a random form, and whether that form ends with the connection."""
    name = draw.choice([*FORMS, "random chunks"])
    if name != "random chunks":
        return FORMS[name].encode(body), FORMS[name].ends_with_connection
    extension = draw.choice([b"", b";a", b"\t; a=b"])
    trailer = draw.choice([b"", b"A: 1\r\n", b"A: 1\r\n\t2\r\nB:\r\n"])
    return in_chunks(body, draw.randint(1, len(body) + 2), extension, trailer), False


def mutate(draw: random.Random, data: bytes) -> bytes:
    """Returns the data with one to three random changes: bytes replaced, inserted, removed or repeated."""
    changed = bytearray(data)
    for _ in range(draw.randint(1, 3)):
        start = draw.randrange(len(changed) + 1)
        end = min(len(changed), start + draw.randint(0, 4))
        pieces = [
            b"",
            b"\r\n",
            b"\n",
            b"\r",
            b"0",
            b":",
            b" ",
            draw.randbytes(2),
            bytes(changed[start:end]) * 2,
        ]
        changed[start:end] = draw.choice(pieces)
    return bytes(changed)
