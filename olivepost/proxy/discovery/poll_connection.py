"""The connection of a poll: a socket to the coordinator, and the parser of its responses."""

from __future__ import annotations

import socket

from olivepost.config import Address
from olivepost.proxy import sockets
from olivepost.proxy.http1.encoding import request_head
from olivepost.proxy.http1.messages import Message, StatusLine
from olivepost.proxy.http1.response_parser import ResponseParser
from olivepost.units import MILLISECOND, Duration

SEND_TIMEOUT: Duration = 500 * MILLISECOND
MAX_HEAD_SIZE = 8_192  # limit of a response's status line and headers, in bytes
RECEIVE_SIZE = 65_536  # largest number of bytes that one read takes from the socket


class PollConnection:
    """Connection to a coordinator, which may still be being established.

    Any thread may call `abort`; only the polling thread calls the other methods.
    """

    def __init__(self, address: Address, max_response_bytes: int) -> None:
        """Begins to connect; raises OSError if the system refuses that at once."""
        self.sock: socket.socket = sockets.begin_connect(address)
        self._is_connected = False
        self._host = f"{address.host}:{address.port}"
        self._parser = ResponseParser(MAX_HEAD_SIZE, max_response_bytes)

    def wait_connected(self, timeout: Duration) -> bool:
        """Waits until the connection is established; returns whether it is. Raises OSError if it failed."""
        if not self._is_connected and sockets.finish_connect(self.sock, timeout):
            sockets.configure(self.sock, receive_timeout=0, send_timeout=SEND_TIMEOUT)
            self._is_connected = True
        return self._is_connected

    def send_request(self, target: str) -> None:
        """Sends a GET request for `target`, without a body."""
        sockets.send_buffers(self.sock, [request_head(target, self._host)])

    def receive(self, timeout: Duration) -> int:
        """Waits for bytes of a response; returns their number, which is 0 if the timeout passes first.

        Returns 0, too, if the coordinator closes the connection and the close completes the response. Raises
        OSError if the connection is lost.
        """
        sockets.set_receive_timeout(self.sock, timeout)
        try:
            data = sockets.receive_bytes(self.sock, RECEIVE_SIZE)
        except BlockingIOError:
            return 0
        if not data and not self._parser.close():
            raise ConnectionError(f"{self._host} closed the connection before a complete response")
        self._parser.feed(data)
        return len(data)

    def take_response(self) -> Message[StatusLine] | None:
        """Returns the response, or None if it is incomplete; raises HttpError if it is malformed."""
        return self._parser.take()

    def can_be_used_after(self, response: Message[StatusLine]) -> bool:
        """Whether another poll can be sent on the connection after a response.

        Bytes that follow the response belong to no poll, and must not be taken for the response to the next
        one (RFC 9112, section 9.2).
        """
        return response.keeps_alive and self._parser.is_idle and not self._parser.is_closed

    @property
    def is_reusable(self) -> bool:
        """Whether the coordinator has neither closed the idle connection nor sent anything on it."""
        return sockets.peek(self.sock) is sockets.PeekResult.NO_BYTES

    def abort(self) -> None:
        """Shuts down the socket, so that a call that waits on it ends; `close` frees the descriptor."""
        sockets.shutdown(self.sock)

    def close(self) -> None:
        """Closes the socket."""
        self.sock.close()
