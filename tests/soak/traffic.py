"""Names of objects and resets of connections, for the clients, endpoints and faults of a soak."""

from __future__ import annotations

import socket

NAME_MULTIPLIER = 2_654_435_761  # Knuth's multiplicative hash, which spreads consecutive numbers
NAME_RANGE = 2**64
LINGER_ZERO = b"\1\0\0\0\0\0\0\0"  # enables SO_LINGER with a time of 0 s: a close resets the connection


def object_name(number: int) -> str:
    """Returns the name of the object with the given number."""
    return f"{number * NAME_MULTIPLIER % NAME_RANGE:016x}"


def reset_on_close(sock: socket.socket) -> None:
    """Makes the next close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
