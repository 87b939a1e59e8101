"""What the clients, endpoints and faults of a soak share: names of objects, and the close by a reset."""

from __future__ import annotations

import socket

NAME_MULTIPLIER = 2_654_435_761  # Knuth's multiplicative hash: spreads consecutive numbers
NAME_RANGE = 2**64
LINGER_ZERO = b"\1\0\0\0\0\0\0\0"  # value of SO_LINGER: on, without time


def object_name(number: int) -> str:
    """The name of the object with a number."""
    return f"{number * NAME_MULTIPLIER % NAME_RANGE:016x}"


def reset_on_close(sock: socket.socket) -> None:
    """Has the next close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
