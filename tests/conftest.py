"""Fixtures that several test files use."""

from __future__ import annotations

import socket

import pytest

from olivepost.proxy import sockets


@pytest.fixture
def narrow(monkeypatch: pytest.MonkeyPatch) -> None:
    """As if bodies were larger than the kernel takes at once."""
    monkeypatch.setattr(
        sockets,
        "set_send_buffer",
        lambda sock, _: sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096),
    )
