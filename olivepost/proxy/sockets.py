"""Blocking sockets of the proxy: options, timeouts, and calls that several parts of the proxy need.

Several threads may use the same socket at once, because the kernel allows it. These functions keep no state.
Each of them raises the system's `OSError` unless its docstring says otherwise.
"""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import struct
import time
from collections.abc import Callable, Iterable
from enum import Enum
from typing import TypeVar

from olivepost.config import Address
from olivepost.units import MILLISECOND, SECOND, Duration

ResultT = TypeVar("ResultT")

# Errors that report a shortage of memory in the system. The same call may succeed if it is repeated.
SHORTAGES = (errno.ENOBUFS, errno.ENOMEM)
# Maximum number of times that a call is repeated if it fails for lack of memory.
SHORTAGE_ATTEMPTS = 20
SHORTAGE_PAUSE_S = 0.005  # pause in seconds after each call that fails for lack of memory
PEEK_ATTEMPTS = 3  # number of attempts that `peek` makes, without a pause between them
# Errors of a connection attempt that have their cause on this machine; they say nothing about the remote
# side.
LOCAL_FAILURES = (*SHORTAGES, errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.EAGAIN)

# For a listener, the field `tcpi_unacked` of the kernel's `struct tcp_info` is the accept queue's length.
ACCEPT_QUEUE_FIELD = struct.Struct("I")
ACCEPT_QUEUE_OFFSET = 24
TCP_INFO_BYTES = ACCEPT_QUEUE_OFFSET + ACCEPT_QUEUE_FIELD.size

NANOSECONDS_PER_MICROSECOND = 1_000
MICROSECONDS_PER_SECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1_000


def set_send_buffer(sock: socket.socket, size_bytes: int) -> None:
    """Requests a send buffer of `size_bytes` from the system.

    If the buffer holds a whole body, most writes return without waiting.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes)


def configure(sock: socket.socket, receive_timeout: Duration, send_timeout: Duration) -> None:
    """Sets both timeouts of a blocking socket and makes it send small writes at once.

    A timeout of 0 means no timeout. The kernel applies the timeouts (SO_RCVTIMEO and SO_SNDTIMEO). The thread
    that receives from a socket and the thread that sends on it can therefore have different timeouts.
    """
    _retry_on_shortage(lambda: sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1))
    set_receive_timeout(sock, receive_timeout)
    _retry_on_shortage(lambda: sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, _timeval(send_timeout)))


def set_receive_timeout(sock: socket.socket, timeout: Duration) -> None:
    """Sets how long each later read waits at most; 0 means no limit."""
    _retry_on_shortage(lambda: sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, _timeval(timeout)))


def accept_queue_length(listener: socket.socket) -> int:
    """Returns the number of connections that the kernel has accepted and the process has not taken yet.

    Returns 0 if the system does not report this number.
    """
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (length,) = ACCEPT_QUEUE_FIELD.unpack_from(info, ACCEPT_QUEUE_OFFSET)
    except (OSError, struct.error):
        return 0
    return int(length)


def _timeval(timeout: Duration) -> bytes:
    """Returns a timeout as the kernel's `struct timeval`.

    The timeout is rounded up to whole microseconds. A short timeout must not become 0, because 0 means no
    timeout in this structure.
    """
    microseconds = -(-timeout // NANOSECONDS_PER_MICROSECOND)
    seconds, remainder = divmod(microseconds, MICROSECONDS_PER_SECOND)
    return struct.pack("ll", seconds, remainder)


class PeekResult(Enum):
    """The result of a peek at a socket's received bytes."""

    UNREAD_BYTES = "received bytes wait to be read"
    NO_BYTES = "no received bytes, and the connection is open"
    ENDED = "no received bytes, and the remote side has closed or reset the connection"
    UNKNOWN = "the system was short of memory"


def peek(sock: socket.socket) -> PeekResult:
    """Checks whether the socket has received bytes, without reading them.

    It never waits, because its callers hold locks that other threads need.
    """
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
    """Whether it is certain that no received bytes wait to be read."""
    result = peek(sock)
    if result is PeekResult.UNKNOWN:
        return _polled_events(sock, select.POLLIN) == 0
    return result in (PeekResult.NO_BYTES, PeekResult.ENDED)


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Whether the remote side has closed or reset the connection, also if received bytes wait to be read."""
    result = peek(sock)
    if result in (PeekResult.UNKNOWN, PeekResult.UNREAD_BYTES):
        return bool(_polled_events(sock, select.POLLRDHUP))
    return result is PeekResult.ENDED


def _polled_events(sock: socket.socket, events: int, timeout_s: float = 0.0) -> int | None:
    """Returns the bit mask of events that `poll` reports for the socket within the timeout.

    `events` is the bit mask of the events to check. Returns 0 if `poll` reports none, and None if the system
    call fails. The system call needs no memory for received bytes, so it may succeed when `peek` does not.
    The call fails if the thread that owns the socket has closed it in the meantime.
    """
    poller = select.poll()
    try:
        poller.register(sock, events)
        found = poller.poll(timeout_s * MILLISECONDS_PER_SECOND)
    except (OSError, ValueError):
        return None
    return found[0][1] if found else 0


def wait_readable(sock: socket.socket) -> bool:
    """Waits until bytes can be read, without reading them; returns True if there are any.

    Returns False if the remote side has closed its direction of the connection. The socket's receive timeout
    does not end the wait, because an accepted socket inherits its listener's timeout, and `configure` may
    have failed to remove that timeout.
    """
    while True:
        try:
            return bool(_retry_on_shortage(lambda: sock.recv(1, socket.MSG_PEEK)))
        except BlockingIOError:
            continue


def is_readable_within(sock: socket.socket, timeout_s: float) -> bool:
    """Waits for bytes or the end of the connection.

    Returns False if the timeout passes first, or if the system call that waits fails.
    """
    return bool(_polled_events(sock, select.POLLIN, timeout_s))


def receive(sock: socket.socket, buffer: memoryview) -> int:
    """Receives bytes into a buffer; returns their number, which is 0 at the end of the connection.

    Raises BlockingIOError at the receive timeout.
    """
    return _retry_on_shortage(lambda: sock.recv_into(buffer))


def receive_bytes(sock: socket.socket, size: int) -> bytes:
    """Receives at most `size` bytes; returns no bytes at the end of the connection.

    Raises BlockingIOError at the receive timeout.
    """
    return _retry_on_shortage(lambda: sock.recv(size))


def send(sock: socket.socket, data: memoryview) -> int:
    """Sends as many bytes as the system accepts; returns their number.

    Raises BlockingIOError at the send timeout.
    """
    return _retry_on_shortage(lambda: sock.send(data))


def receive_at_once(sock: socket.socket, buffer: memoryview) -> int:
    """Receives available bytes without waiting; returns their number, which is 0 at the connection's end.

    Raises BlockingIOError if no bytes are available.
    """
    return _retry_on_shortage(lambda: sock.recv_into(buffer, 0, socket.MSG_DONTWAIT))


def _retry_on_shortage(call: Callable[[], ResultT]) -> ResultT:
    """Calls a function, and repeats the call if it fails because the system is short of memory.

    Such a failure leaves the connection unchanged. Raises the error of the last attempt.
    """
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
    """Connects to an address within the timeout and returns the configured socket; raises `OSError`."""
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


def begin_connect(address: Address) -> socket.socket:
    """Begins to connect to an address, without waiting; returns the socket, which `finish_connect` needs."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.connect(address)
    except BlockingIOError:
        return sock
    except BaseException:
        sock.close()
        raise
    return sock


def finish_connect(sock: socket.socket, timeout: Duration) -> bool:
    """Waits until a socket of `begin_connect` is connected, and makes it blocking.

    Returns False if the timeout passes first; the connection may then still come up. Raises the error of a
    connection that has failed.
    """
    poller = select.poll()
    poller.register(sock, select.POLLOUT)
    if not poller.poll(-(-timeout // MILLISECOND)):
        return False
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))
    sock.setblocking(True)
    return True


def send_buffers(
    sock: socket.socket, parts: Iterable[bytes | memoryview], flags: int = 0
) -> list[memoryview]:
    """Sends all parts in as few calls as the kernel allows.

    With the flag MSG_DONTWAIT, returns the bytes that could not be sent at once. Without this flag, either
    sends all bytes and returns an empty list, or raises an error.
    """
    remaining = [memoryview(part) for part in parts if part]
    while remaining:
        try:
            sent = _retry_on_shortage(lambda: sock.sendmsg(remaining, [], flags))
        except BlockingIOError:
            if not flags:
                raise
            return remaining
        _remove_sent(remaining, sent)
    return remaining


def _remove_sent(remaining: list[memoryview], sent: int) -> None:
    """Removes the first `sent` bytes from the list of buffers `remaining`, which is changed in place."""
    while remaining and sent >= len(remaining[0]):
        sent -= len(remaining.pop(0))
    if remaining:
        remaining[0] = remaining[0][sent:]


def shutdown(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
    """Shuts down a connection, which also wakes a thread that reads from it; never raises."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)
