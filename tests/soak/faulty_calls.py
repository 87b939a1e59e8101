"""Faults of system calls, thread starts and the wall clock in a proxy, which imports this module first.

Environment variables choose the faults:

- SOAK_SEED: seed of the random choices
- SOAK_CALLS: share of socket calls and thread starts that fail between `FAULTS_FROM_S` and `FAULTS_UNTIL_S`
- SOAK_CLOCK_S: error of the wall clock from the proxy's start on, in seconds
- SOAK_STEP_S: additional error of the wall clock after `STEP_AFTER_S`, in seconds
- SOAK_SMALL_SEND_BUFFERS: if set, sockets get small send buffers, as if the system granted no larger ones
- SOAK_PEEK_SHORTAGE: if set, every non-blocking peek at received bytes fails after `SHORTAGE_FROM_S`

On SIGUSR2, the process writes the main thread's stack to standard error.
"""

from __future__ import annotations

import _thread
import errno
import faulthandler
import os
import random
import signal
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

# Times after the import of this module. Calls fail only from `FAULTS_FROM_S` on, when the proxy has started
# and is running.
FAULTS_FROM_S = 1.5
FAULTS_UNTIL_S = 6.0
STEP_AFTER_S = 2.0
SHORTAGE_FROM_S = 4.0
SMALL_SEND_BUFFER_BYTES = 4_096
TRANSIENT_ERRORS = (errno.ENOBUFS, errno.ENOMEM)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, *TRANSIENT_ERRORS)
CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ECONNREFUSED,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
)

_random_source = random.Random(int(os.environ.get("SOAK_SEED", "0")))
_failing_share = float(os.environ.get("SOAK_CALLS", "0"))
_clock_error_ns = int(float(os.environ.get("SOAK_CLOCK_S", "0")) * 1e9)
_clock_step_ns = int(float(os.environ.get("SOAK_STEP_S", "0")) * 1e9)
_started_at = time.monotonic()


def _age_s() -> float:
    return time.monotonic() - _started_at


def _should_fail() -> bool:
    return FAULTS_FROM_S < _age_s() < FAULTS_UNTIL_S and _random_source.random() < _failing_share


def _with_errors(call: Callable[..., Any], errors: tuple[int, ...]) -> Callable[..., Any]:
    def call_or_fail(*args: Any, **kwargs: Any) -> Any:
        if _should_fail():
            number = _random_source.choice(errors)
            raise OSError(number, os.strerror(number))
        return call(*args, **kwargs)

    return call_or_fail


def _with_start_errors(call: Callable[..., Any]) -> Callable[..., Any]:
    def start_or_fail(*args: Any, **kwargs: Any) -> Any:
        if _should_fail():
            raise RuntimeError("can't start new thread")
        return call(*args, **kwargs)

    return start_or_fail


def _with_clock_errors(call: Callable[[], int]) -> Callable[[], int]:
    def time_ns() -> int:
        return call() + _clock_error_ns + (_clock_step_ns if _age_s() > STEP_AFTER_S else 0)

    return time_ns


def _with_small_send_buffers(call: Callable[..., Any]) -> Callable[..., Any]:
    def set_option(sock: socket.socket, level: int, option: int, value: Any) -> Any:
        if (level, option) == (socket.SOL_SOCKET, socket.SO_SNDBUF):
            value = SMALL_SEND_BUFFER_BYTES
        return call(sock, level, option, value)

    return set_option


def _with_peek_errors(call: Callable[..., Any]) -> Callable[..., Any]:
    peek = socket.MSG_PEEK | socket.MSG_DONTWAIT

    def receive(sock: socket.socket, size: int, flags: int = 0) -> Any:
        if flags & peek == peek and _age_s() > SHORTAGE_FROM_S:
            raise OSError(errno.ENOBUFS, os.strerror(errno.ENOBUFS))
        return call(sock, size, flags)

    return receive


# On SIGUSR2, the process writes the stack of one thread: the main thread, to which the system delivers a
# process's signals. On SIGUSR1, the proxy writes the stacks of all threads, but this output ends after a
# hundred threads and may lack the main thread.
faulthandler.register(signal.SIGUSR2, all_threads=False)
socket_class: Any = socket.socket
if os.environ.get("SOAK_SMALL_SEND_BUFFERS"):
    socket_class.setsockopt = _with_small_send_buffers(socket.socket.setsockopt)
if os.environ.get("SOAK_PEEK_SHORTAGE"):
    socket_class.recv = _with_peek_errors(socket.socket.recv)
if _failing_share:
    for name in ("recv", "recv_into", "send", "sendmsg", "setsockopt"):
        setattr(socket_class, name, _with_errors(getattr(socket.socket, name), TRANSIENT_ERRORS))
    socket_class.accept = _with_errors(socket.socket.accept, ACCEPT_ERRORS)
    socket_class.connect = _with_errors(socket.socket.connect, CONNECT_ERRORS)
    thread_class: Any = threading.Thread
    thread_class.start = _with_start_errors(threading.Thread.start)
    thread_module: Any = _thread
    thread_module.start_new_thread = _with_start_errors(_thread.start_new_thread)
time.time_ns = _with_clock_errors(time.time_ns)
