"""Fixtures that several test files use, and the treatment of known failures."""

from __future__ import annotations

import socket

import pytest

from olivepost.proxy import sockets
from tests.known_red import read_known_failures


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Tests that KNOWN-RED.txt lists run and must fail: one that passes has to leave the list."""
    reasons = {failure.test: failure.observed for failure in read_known_failures()}
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=reasons[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the known failures, so that each run shows them."""
    for failure in read_known_failures():
        terminalreporter.write_line(f"KNOWN RED (issue {failure.issue}): {failure.test}: {failure.observed}")


@pytest.fixture
def small_send_buffer(monkeypatch: pytest.MonkeyPatch) -> None:
    """As if bodies were larger than the kernel takes at once."""
    monkeypatch.setattr(
        sockets,
        "set_send_buffer",
        lambda sock, _: sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096),
    )
