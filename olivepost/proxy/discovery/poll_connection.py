"""The connection of a long poll: one socket to the coordinator with the parser of its responses."""

from __future__ import annotations

import socket

from olivepost.config import Address
from olivepost.proxy import http1, sockets
from olivepost.proxy.clock import Clock
from olivepost.units import MILLISECOND, Duration, Instant

CONNECT_TIMEOUT: Duration = 500 * MILLISECOND
MAX_HEAD_SIZE = 8_192  # bytes of a response's status line and headers
RECEIVE_SIZE = 65_536  # bytes of one read


class PollConnection:
    """An open connection. The polling thread alone calls it, but for `abort`, which any thread may call."""

    def __init__(self, sock: socket.socket, address: Address, max_response_bytes: int) -> None:
        self.sock = sock
        self._host = f"{address.host}:{address.port}"
        self._parser = http1.ResponseParser(MAX_HEAD_SIZE, max_response_bytes)

    @classmethod
    def open(
        cls, address: Address, receive_timeout: Duration, send_timeout: Duration, max_response_bytes: int
    ) -> PollConnection:
        """Connects to the coordinator; an OSError says why it can't be reached."""
        sock = sockets.connect(address, CONNECT_TIMEOUT, receive_timeout, send_timeout)
        return cls(sock, address, max_response_bytes)

    def send_request(self, target: str) -> None:
        """Sends a request without a body."""
        sockets.send_buffers(self.sock, [http1.request_head(target, self._host)])

    def receive_response(self, clock: Clock, deadline: Instant) -> http1.Message[http1.StatusLine]:
        """Blocks until the response is complete; raises an OSError once the deadline has passed."""
        while (response := self._parser.take()) is None:
            remaining = deadline - clock.now()
            if remaining <= 0:
                raise TimeoutError("the response takes too long")
            sockets.set_receive_timeout(self.sock, remaining)
            try:
                data = self.sock.recv(RECEIVE_SIZE)
            except BlockingIOError:  # the receive timeout; whether the deadline has passed is checked above
                continue
            if not data:
                raise ConnectionError("closed by the coordinator")
            self._parser.feed(data)
        return response

    def abort(self) -> None:
        """Ends a call that is blocked on the socket; the descriptor stays open until `close`."""
        sockets.shutdown(self.sock)

    def close(self) -> None:
        """Closes the socket."""
        self.sock.close()
