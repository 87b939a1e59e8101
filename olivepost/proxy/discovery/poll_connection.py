"""The connection of a long poll: a socket to the coordinator, and the parser of its responses."""

from __future__ import annotations

import socket

from olivepost.config import Address
from olivepost.proxy import http1, sockets
from olivepost.proxy.clock import Clock
from olivepost.units import MILLISECOND, Duration, Instant

CONNECT_TIMEOUT: Duration = 500 * MILLISECOND
MAX_HEAD_SIZE = 8_192  # limit of a response's status line and headers, in bytes
RECEIVE_SIZE = 65_536  # largest number of bytes that one read takes from the socket


class PollConnection:
    """Open connection to a coordinator.

    Any thread may call `abort`; only the polling thread calls the other methods.
    """

    def __init__(self, sock: socket.socket, address: Address, max_response_bytes: int) -> None:
        self.sock = sock
        self._host = f"{address.host}:{address.port}"
        self._parser = http1.ResponseParser(MAX_HEAD_SIZE, max_response_bytes)

    @classmethod
    def open(
        cls, address: Address, receive_timeout: Duration, send_timeout: Duration, max_response_bytes: int
    ) -> PollConnection:
        """Connects to the coordinator; raises OSError if it can't be reached."""
        sock = sockets.connect(address, CONNECT_TIMEOUT, receive_timeout, send_timeout)
        return cls(sock, address, max_response_bytes)

    def send_request(self, target: str) -> None:
        """Sends a GET request for `target`, without a body."""
        sockets.send_buffers(self.sock, [http1.request_head(target, self._host)])

    def receive_response(self, clock: Clock, deadline: Instant) -> http1.Message[http1.StatusLine]:
        """Blocks until a response is complete, and returns it.

        Raises OSError if the deadline passes first or the connection is lost. Raises HttpError if the
        response is malformed.
        """
        while (response := self._parser.take()) is None:
            remaining = deadline - clock.now()
            if remaining <= 0:
                raise TimeoutError(f"no complete response from {self._host} before the deadline")
            sockets.set_receive_timeout(self.sock, remaining)
            try:
                data = self.sock.recv(RECEIVE_SIZE)
            except BlockingIOError:  # the receive timeout has passed; the loop checks the deadline
                continue
            if not data:
                raise ConnectionError(f"{self._host} closed the connection before a complete response")
            self._parser.feed(data)
        return response

    def abort(self) -> None:
        """Shuts down the socket, so that a call that waits on it ends; `close` frees the descriptor."""
        sockets.shutdown(self.sock)

    def close(self) -> None:
        """Closes the socket."""
        self.sock.close()
