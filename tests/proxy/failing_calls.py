"""Functions that fail as system calls do, and what tests with failing calls look at."""

from __future__ import annotations

import errno
import os
import socket
import threading
from collections.abc import Callable
from typing import Any

from tests.proxy_harness import ProxyHarness

# Name prefixes of the threads that run the test's client and the toy endpoints.
TEST_THREAD_PREFIXES = ("MainThread", "Thread-")
SHORTAGES = [errno.ENOBUFS, errno.ENOMEM]
ORIGINAL_RECV = socket.socket.recv


def failing(
    call: Callable[..., Any], error: Exception, times: int, thread_prefix: str = ""
) -> Callable[..., Any]:
    """Returns a function that raises `error` the first `times` times and then does what `call` does.

    Only calls on threads whose name begins with `thread_prefix` fail.
    """
    failures = iter(range(times))

    def fail_first(*args: Any, **kwargs: Any) -> Any:
        is_affected = threading.current_thread().name.startswith(thread_prefix)
        if is_affected and next(failures, None) is not None:
            raise error
        return call(*args, **kwargs)

    return fail_first


def os_error(error_number: int) -> OSError:
    return OSError(error_number, os.strerror(error_number))


class FailingPoller:
    """A poller, as `select.poll` returns it, whose system call fails for want of memory."""

    def __init__(self) -> None:
        self.failures = 0

    def register(self, sock: socket.socket, events: int) -> None:
        """Accepts any socket."""

    def poll(self, timeout_ms: float) -> list[tuple[int, int]]:
        self.failures += 1
        raise os_error(errno.ENOMEM)


def recv_with_failing_peeks(sock: socket.socket, size: int, flags: int = 0) -> bytes:
    """Receives as `socket.recv` does, but raises an OSError (ENOBUFS) for every non-blocking peek."""
    peek = socket.MSG_PEEK | socket.MSG_DONTWAIT
    if flags & peek == peek:
        raise os_error(errno.ENOBUFS)
    return ORIGINAL_RECV(sock, size, flags)


def failure_scores(proxy: ProxyHarness) -> list[float]:
    endpoints = proxy.parts.event_loop.router.state.endpoints.by_id.values()
    return [endpoint.failure_score for endpoint in endpoints]
