"""The listening socket, and the thread that accepts connections from it."""

from __future__ import annotations

import errno
import socket
import threading
import time
from collections.abc import Callable
from functools import partial

from olivepost.config import Address
from olivepost.proxy import sockets
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.threads import START_TIMEOUT_S, start_thread
from olivepost.units import MILLISECOND, Duration

ACCEPT_STOP_TIMEOUT_S = 1.0  # time for the accept thread to empty the accept queue
ACCEPT_TIMEOUT: Duration = 50 * MILLISECOND  # interval between two checks of whether the listener must stop
# Shortest and longest pause in seconds after a failed accept that may indicate a shortage, for example of
# descriptors. The pause doubles with each consecutive failure, because a process without free descriptors
# must close some before it can accept again.
MIN_ACCEPT_PAUSE_S = 0.001
MAX_ACCEPT_PAUSE_S = 0.05
# Errors that indicate no shortage: a connection ended before it was accepted, or a signal arrived.
TRANSIENT_ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EINTR)
# Longest wait for the address to become free, if the proxy starts immediately after another proxy was killed.
BIND_TIMEOUT_S = 8.0
BIND_RETRY_PAUSE_S = 0.05  # pause between two attempts to bind the listener's address

Admit = Callable[[socket.socket, Callable[[], int]], None]


class Listener:
    """Listening socket, and the thread that accepts connections and passes each socket to `admit`.

    The second argument of `admit` is a function that returns the number of connections that wait to be
    accepted. The accept thread runs `admit`, which may wait, and closes the listening socket at the end. The
    main thread calls `listen` once and then `stop`.
    """

    def __init__(self, log: EventLog, backlog: int, admit: Admit) -> None:
        self._log = log
        self._backlog = backlog
        self._admit = admit
        self._thread: threading.Thread | None = None
        self._is_stopping = False
        # Pause in seconds after the next failed accept. Only the accept thread uses this field.
        self._accept_pause_s = MIN_ACCEPT_PAUSE_S

    def listen(self, address: Address) -> Address:
        """Binds the address and starts to accept connections; returns the bound address.

        Waits up to `BIND_TIMEOUT_S` for an address that a killed proxy still holds. Raises OSError if the
        address can't be bound.
        """
        listener = self._bind_in_time(address)
        bound: Address = listener.getsockname()
        self._thread = start_thread(partial(self._accept, listener), "accept", START_TIMEOUT_S)
        return bound

    def stop(self, timeout_s: float) -> None:
        """Closes the listener once its accept queue is empty, and waits for the close.

        Returns after `timeout_s` seconds at the latest. The accept thread closes the listener later if its
        accept queue is not empty by then.
        """
        self._is_stopping = True
        if self._thread is not None:
            self._thread.join(timeout_s)

    def _bind_in_time(self, address: Address) -> socket.socket:
        deadline = time.monotonic() + BIND_TIMEOUT_S
        while True:
            try:
                return self._bind(address)
            except OSError as error:
                if time.monotonic() >= deadline:
                    raise
                self._log.sampled_event("bind_failed", reason=error.strerror)
                time.sleep(BIND_RETRY_PAUSE_S)

    def _bind(self, address: Address) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            sockets.set_receive_timeout(listener, ACCEPT_TIMEOUT)
            listener.listen(self._backlog)
        except OSError:
            listener.close()
            raise
        return listener

    def _accept(self, listener: socket.socket) -> None:
        log = self._log
        count_waiting = partial(sockets.accept_queue_length, listener)
        while True:
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                if self._is_stopping:  # the accept timed out, so the accept queue is empty
                    break
                continue
            except OSError as error:
                self._record_accept_failure(error)
                continue
            self._accept_pause_s = MIN_ACCEPT_PAUSE_S
            try:
                self._admit(sock, count_waiting)
            except Exception:  # top level of the thread: no error in one connection may end the listener
                log.exception("accept_error")
        listener.close()

    def _record_accept_failure(self, error: OSError) -> None:
        """Counts a failed accept; if the error may indicate a shortage, also logs it and pauses."""
        self._log.increment("accept_failed")
        if error.errno not in TRANSIENT_ACCEPT_ERRORS:
            self._log.sampled_event("accept_failed", reason=error.strerror)
            time.sleep(self._accept_pause_s)
            self._accept_pause_s = min(2 * self._accept_pause_s, MAX_ACCEPT_PAUSE_S)
