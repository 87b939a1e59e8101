"""Socket timeouts as the kernel takes them."""

from __future__ import annotations

import struct

import pytest

from olivepost.proxy.sockets import _timeval


@pytest.mark.parametrize(
    ("timeout", "timeval"),
    [(1, (0, 1)), (999_999_999, (1, 0)), (1_600_000_001, (1, 600_001)), (0, (0, 0))],
)
def test_timeout_is_never_rounded_to_for_ever(timeout: int, timeval: tuple[int, int]) -> None:
    assert struct.unpack("ll", _timeval(timeout)) == timeval
