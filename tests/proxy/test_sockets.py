"""Tests of socket timeouts in the kernel's format, and socket states that the proxy reads from the kernel."""

from __future__ import annotations

import errno
import os
import socket
import struct

import pytest

from olivepost.proxy.sockets import _timeval, accept_queue_length, has_nothing_unread, is_closed_by_peer


@pytest.mark.parametrize(
    ("timeout", "timeval"),
    [(1, (0, 1)), (999_999_999, (1, 0)), (1_600_000_001, (1, 600_001)), (0, (0, 0))],
)
def test_timeout_is_never_rounded_to_no_timeout(timeout: int, timeval: tuple[int, int]) -> None:
    assert struct.unpack("ll", _timeval(timeout)) == timeval


def test_accept_queue_length_counts_connections_that_are_not_accepted_yet() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        assert accept_queue_length(listener) == 0
        clients = [socket.create_connection(listener.getsockname()) for _ in range(3)]
        assert accept_queue_length(listener) == 3
        listener.accept()[0].close()
        assert accept_queue_length(listener) == 2
        for client in clients:
            client.close()
    # The system reports no length for a closed socket, so the result is 0.
    assert accept_queue_length(listener) == 0


def test_close_is_noticed_where_the_system_refuses_to_show_received_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression test: the proxy sent an attempt for a client that had already disconnected.

    The proxy did not notice the close, because the system refused to let it peek at received bytes.
    """

    def refuse(*_: object) -> bytes:
        raise OSError(errno.ENOBUFS, os.strerror(errno.ENOBUFS))

    monkeypatch.setattr(socket.socket, "recv", refuse)
    near, far = socket.socketpair()
    with near, far:
        assert not is_closed_by_peer(near)
        far.sendall(b"x")
        assert not is_closed_by_peer(near)
        assert not has_nothing_unread(near)
        far.close()
        assert is_closed_by_peer(near)
        # `is_closed_by_peer` and `has_nothing_unread` must return False for a closed socket and raise no
        # error, because the connection's own thread may close the socket while another thread checks it.
        near.close()
        assert not is_closed_by_peer(near)
        assert not has_nothing_unread(near)
