"""What all blocking sockets of the front have in common."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Iterable

from olivepost.config import Address
from olivepost.units import SECOND


def set_send_buffer(sock: socket.socket, size: int) -> None:
    """Asks for a send buffer that holds a whole body, so that a write seldom waits."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


def configure(sock: socket.socket, receive: int, send: int) -> None:
    """Sets both waits of a blocking socket, in nanoseconds, and sends small frames at once.

    The kernel's own limits, so that the two threads of one socket can wait for different spans.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for option, span in ((socket.SO_RCVTIMEO, receive), (socket.SO_SNDTIMEO, send)):
        sock.setsockopt(socket.SOL_SOCKET, option, _span(span))


def _span(span: int) -> bytes:
    """A wait as the kernel has it; 0 means for ever."""
    return struct.pack("ll", *divmod(-(-span // 1_000), 1_000_000))


def set_receive_timeout(sock: socket.socket, span: int) -> None:
    """Sets how long the next read waits at most."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, _span(span))


def has_nothing_unread(sock: socket.socket) -> bool:
    """Whether nothing has come that is not read yet."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:  # nothing there, or the connection has ended
        return True


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Whether the peer has ended its side, or reset the connection, with nothing left to read before that."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def wait_readable(sock: socket.socket) -> bool:
    """Waits until there are bytes, and takes none; false at the peer's end."""
    return bool(sock.recv(1, socket.MSG_PEEK))


def connect(address: Address, within: int, receive: int, send: int) -> socket.socket:
    """A connection made in time, or an OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(within / SECOND)
        sock.connect(address)
        sock.settimeout(None)
        configure(sock, receive, send)
    except BaseException:
        sock.close()
        raise
    return sock


def send_buffers(
    sock: socket.socket, parts: Iterable[bytes | memoryview], flags: int = 0
) -> list[memoryview]:
    """Writes all parts, in as few calls as the kernel allows.

    With MSG_DONTWAIT, returns what was not taken at once; without it, nothing is left.
    """
    left = [memoryview(part) for part in parts if part]
    while left:
        try:
            sent = sock.sendmsg(left, [], flags)
        except BlockingIOError:
            if not flags:
                raise
            return left
        while left and sent >= len(left[0]):
            sent -= len(left.pop(0))
        if left:
            left[0] = left[0][sent:]
    return left


def shutdown(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
    """Ends a connection, also for a thread that reads it; one that has ended is left alone."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)
