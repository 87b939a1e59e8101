"""Blocking sockets of the proxy: options, timeouts, and calls that several of its parts need.

Several threads may use one socket, as the kernel allows; none of these functions keeps state. Each
raises the system's `OSError` unless it says otherwise.
"""

from __future__ import annotations

import contextlib
import errno
import select
import socket
import struct
import time
from collections.abc import Callable, Iterable
from enum import Enum
from typing import TypeVar

from olivepost.config import Address
from olivepost.units import SECOND, Duration

ResultT = TypeVar("ResultT")

# Errors by which the system reports a shortage of memory, which may be over at the next call.
SHORTAGES = (errno.ENOBUFS, errno.ENOMEM)
SHORTAGE_ATTEMPTS = 20  # of a call that such an error ends
SHORTAGE_PAUSE_S = 0.005  # between two of these attempts
PEEK_ATTEMPTS = 3  # of a look at a socket, which pauses for nothing
# Errors of connecting that this machine causes, and that indicate nothing about the remote side.
LOCAL_FAILURES = (*SHORTAGES, errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.EAGAIN)

# Of a listener, the field `tcpi_unacked` of the kernel's `struct tcp_info` is the length of its accept queue.
ACCEPT_QUEUE_FIELD = struct.Struct("I")
ACCEPT_QUEUE_OFFSET = 24
TCP_INFO_BYTES = ACCEPT_QUEUE_OFFSET + ACCEPT_QUEUE_FIELD.size

NANOSECONDS_PER_MICROSECOND = 1_000
MICROSECONDS_PER_SECOND = 1_000_000


def set_send_buffer(sock: socket.socket, size_bytes: int) -> None:
    """Requests a send buffer of a size; one that holds a whole body lets most writes end at once."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes)


def configure(sock: socket.socket, receive_timeout: Duration, send_timeout: Duration) -> None:
    """Sets both timeouts of a blocking socket, 0: none, and has small writes sent at once.

    These are the kernel's timeouts: the two threads of one socket can wait for different times.
    """
    _retry_while_short(lambda: sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1))
    set_receive_timeout(sock, receive_timeout)
    _retry_while_short(lambda: sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, _timeval(send_timeout)))


def set_receive_timeout(sock: socket.socket, timeout: Duration) -> None:
    """Sets how long the next read waits at most; 0: for ever."""
    _retry_while_short(lambda: sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, _timeval(timeout)))


def accept_queue_length(listener: socket.socket) -> int:
    """Connections that the kernel has accepted and the process has not; 0 where the system doesn't tell."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (length,) = ACCEPT_QUEUE_FIELD.unpack_from(info, ACCEPT_QUEUE_OFFSET)
    except (OSError, struct.error):
        return 0
    return int(length)


def _timeval(timeout: Duration) -> bytes:
    """A timeout as the kernel's `struct timeval`, rounded up, since 0 means for ever there."""
    microseconds = -(-timeout // NANOSECONDS_PER_MICROSECOND)
    seconds, remainder = divmod(microseconds, MICROSECONDS_PER_SECOND)
    return struct.pack("ll", seconds, remainder)


class PeekResult(Enum):
    """What a look at a socket's received bytes shows."""

    UNREAD_BYTES = "received bytes wait to be read"
    NO_BYTES = "none, and the connection is open"
    ENDED = "none, and the remote side has closed or reset the connection"
    UNKNOWN = "the system was short of memory"


def peek(sock: socket.socket) -> PeekResult:
    """Looks at what the socket has received, without any pause: callers hold locks that others need."""
    for _ in range(PEEK_ATTEMPTS):
        try:
            has_bytes = bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except BlockingIOError:
            return PeekResult.NO_BYTES
        except OSError as error:
            if error.errno not in SHORTAGES:
                return PeekResult.ENDED
        else:
            return PeekResult.UNREAD_BYTES if has_bytes else PeekResult.ENDED
    return PeekResult.UNKNOWN


def has_nothing_unread(sock: socket.socket) -> bool:
    """Whether it is known that no received bytes wait to be read."""
    result = peek(sock)
    if result is PeekResult.UNKNOWN:
        return _polled_events(sock, select.POLLIN) == 0
    return result in (PeekResult.NO_BYTES, PeekResult.ENDED)


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Whether the remote side has ended the connection, with nothing left to read as far as is known."""
    result = peek(sock)
    if result is PeekResult.UNKNOWN:
        return bool(_polled_events(sock, select.POLLRDHUP))
    return result is PeekResult.ENDED


def _polled_events(sock: socket.socket, events: int) -> int | None:
    """Which of the events hold now, by a call that takes no memory for bytes; None where it fails as well.

    It also fails for a socket that its own thread has closed meanwhile.
    """
    poller = select.poll()
    try:
        poller.register(sock, events)
        found = poller.poll(0)
    except (OSError, ValueError):
        return None
    return found[0][1] if found else 0


def wait_readable(sock: socket.socket) -> bool:
    """Waits until there are bytes, and reads none; false where the remote side has closed its direction.

    An accepted socket has its listener's receive timeout, which `configure` may have failed to remove.
    """
    while True:
        try:
            return bool(_retry_while_short(lambda: sock.recv(1, socket.MSG_PEEK)))
        except BlockingIOError:
            continue


def receive(sock: socket.socket, buffer: memoryview) -> int:
    """Receives into a buffer, up to the receive timeout (BlockingIOError); 0 at the connection's end."""
    return _retry_while_short(lambda: sock.recv_into(buffer))


def send(sock: socket.socket, data: memoryview) -> int:
    """Sends what the system takes, up to the send timeout (BlockingIOError); returns how much that was."""
    return _retry_while_short(lambda: sock.send(data))


def receive_at_once(sock: socket.socket, buffer: memoryview) -> int:
    """Receives the bytes that are there without waiting; BlockingIOError where there are none."""
    return _retry_while_short(lambda: sock.recv_into(buffer, 0, socket.MSG_DONTWAIT))


def _retry_while_short(call: Callable[[], ResultT]) -> ResultT:
    """Repeats a call that fails by a shortage of memory, which leaves the connection as it was."""
    for _ in range(SHORTAGE_ATTEMPTS):
        try:
            return call()
        except OSError as error:
            if error.errno not in SHORTAGES:
                raise
        time.sleep(SHORTAGE_PAUSE_S)
    return call()


def connect(
    address: Address, timeout: Duration, receive_timeout: Duration, send_timeout: Duration
) -> socket.socket:
    """Connects within the timeout and configures the socket; raises `OSError`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout / SECOND)
        sock.connect(address)
        sock.settimeout(None)
        configure(sock, receive_timeout, send_timeout)
    except BaseException:
        sock.close()
        raise
    return sock


def send_buffers(
    sock: socket.socket, parts: Iterable[bytes | memoryview], flags: int = 0
) -> list[memoryview]:
    """Writes all parts, in as few calls as the kernel allows.

    With MSG_DONTWAIT, returns what was not written at once. Without it, all is written, or an error raised.
    """
    remaining = [memoryview(part) for part in parts if part]
    while remaining:
        try:
            sent = _retry_while_short(lambda: sock.sendmsg(remaining, [], flags))
        except BlockingIOError:
            if not flags:
                raise
            return remaining
        _remove_sent(remaining, sent)
    return remaining


def _remove_sent(remaining: list[memoryview], sent: int) -> None:
    """Removes the first `sent` bytes of the buffers."""
    while remaining and sent >= len(remaining[0]):
        sent -= len(remaining.pop(0))
    if remaining:
        remaining[0] = remaining[0][sent:]


def shutdown(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
    """Shuts down a connection, also for a thread that reads it; never raises."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)
