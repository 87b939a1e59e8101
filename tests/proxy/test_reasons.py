"""Tests of the logged and counted reasons of given-up requests, failed attempts and closed connections."""

from __future__ import annotations

import os

import orjson
import pytest

from examples.toy_server import Command, ToyEndpoint, respond_normally
from tests.proxy.fakes import idle_connection, never_reply
from tests.proxy_harness import HttpClient, ProxyHarness, running_proxy

LogLines = list[dict[str, object]]

REJECTED_BY_ALL = "f000000000000000"  # the toy endpoints reject names that begin with "f"


@pytest.fixture
def log_lines(monkeypatch: pytest.MonkeyPatch) -> LogLines:
    """Returns a list that receives each line that the test's proxies log.

    The fixture intercepts `os.write`, because the proxies log to the null device.
    """
    lines: LogLines = []
    write = os.write

    def record(descriptor: int, data: bytes) -> int:
        if bytes(data[:1]) == b"{":
            lines.append(orjson.loads(bytes(data)))
        return write(descriptor, data)

    monkeypatch.setattr(os, "write", record)
    return lines


def first_event(proxy: ProxyHarness, lines: LogLines, name: str) -> dict[str, object]:
    """Waits until an event with the given name is logged; returns the first such event."""
    assert proxy.wait_until(lambda: any(line["event"] == name for line in lines))
    return next(line for line in lines if line["event"] == name)


def test_given_up_request_is_logged_with_its_id_and_reason(
    log_lines: LogLines,
) -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request(name=REJECTED_BY_ALL, X_Call_Id="00000000000000aa").status == 503
        given_up = first_event(proxy, log_lines, "request_given_up")
        failed = first_event(proxy, log_lines, "attempt_failed")
    assert given_up["request"] == failed["request"] == "00000000000000aa"
    assert given_up["reason"] in ("retry_not_allowed", "no_endpoint")
    assert failed["status"] == "rejected"
    assert failed["endpoint"] in ("a", "b")
    assert proxy.counter(f"given_up_{given_up['reason']}") == 1


def test_connection_that_ends_during_a_request_is_logged_with_its_id(
    log_lines: LogLines,
) -> None:
    with running_proxy(never_reply) as proxy:
        client = proxy.connect()
        client.send(HttpClient.encode_request(X_Call_Id="00000000000000bb"))
        proxy.wait_for_fetches()
        client.sock.close()
        closed = first_event(proxy, log_lines, "client_connection_closed")
    assert (closed["reason"], closed["request"]) == ("client_closed", "00000000000000bb")


def test_evicted_connection_is_counted_with_its_reason() -> None:
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        assert idle_connection(proxy).evict()
        assert client.is_closed_by_proxy()
        assert proxy.wait_until(lambda: proxy.counter("connections_closed_evicted") == 1)


def test_events_are_counted_by_kind() -> None:
    def reply(endpoint: ToyEndpoint, command: Command) -> None:
        respond_normally(endpoint, command)

    with running_proxy(reply) as proxy, proxy.connect() as client:
        assert client.request().status == 200
        counts = proxy.parts.event_loop.event_counts()
    assert counts["RequestReceived"] == 1
    assert counts["UpstreamCompleted"] >= 1
