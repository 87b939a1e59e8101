"""Tests with coordinators that respond in every form of HTTP/1.1, and with malformed responses."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from examples.toy_server import Coordinator
from olivepost.config import read_address
from tests.proxy.fakes import cache_a_is_draining, draining_entries
from tests.proxy.http1.response_forms import FORMS, MALFORMED, Form, in_chunks, with_length
from tests.proxy_harness import ProxyHarness, running_proxy

ONE_POLL_S = 1.0  # longest time that one failed poll may cost
GROUPS = 256
FAILURES_AT_SWITCH = 1


class EncodingCoordinator(Coordinator):
    """A coordinator that sends its responses as `forms` says: the first one in the first form, and so on.

    The last form is also that of all later responses.
    """

    def __init__(self, *forms: Form) -> None:
        self.forms = list(forms)
        self.connection_count = 0
        super().__init__()

    def serve(self, sock: socket.socket, lines: object) -> None:
        self.connection_count += 1
        super().serve(sock, lines)

    def reply(self, sock: socket.socket, data: bytes) -> None:
        body = data.partition(b"\r\n\r\n")[2]
        form = self.forms.pop(0) if len(self.forms) > 1 else self.forms[0]
        sock.sendall(form.encode(body))
        if form.ends_with_connection:
            sock.shutdown(socket.SHUT_RDWR)


@contextmanager
def proxy_with(coordinator: EncodingCoordinator) -> Iterator[ProxyHarness]:
    """Runs a proxy that has been switched to `coordinator`, which has the events of the start.

    The poll of the coordinator before, which is aborted then, is the first failure that the proxy counts.
    """
    with running_proxy() as proxy:
        coordinator.events = list(proxy.coordinator.events)
        assert proxy.coordinator.wait_for_poll(1)
        proxy.parts.discovery.switch_coordinator(read_address(coordinator.address))
        assert proxy.wait_until(lambda: proxy.counter("poll_failures") == FAILURES_AT_SWITCH)
        try:
            yield proxy
        finally:
            coordinator.close()


def invalidate(coordinator: Coordinator, groups: range) -> None:
    """Publishes an invalidation of each group, all at once, so that one response has them."""
    at_ms = time.time_ns() // 1_000_000
    with coordinator._change:
        first = len(coordinator.events) + 1
        coordinator.events += [
            {"index": first + position, "evict": {"shard": group, "unix_ms": at_ms}}
            for position, group in enumerate(groups)
        ]
        coordinator._change.notify_all()


def knows_all(proxy: ProxyHarness, groups: range) -> Callable[[], bool]:
    """Returns a condition: the router knows the invalidations of all groups."""
    times = proxy.parts.event_loop._router.state.invalidations._times
    return lambda: all(("group", group) in times for group in groups)


@pytest.mark.parametrize("name", FORMS)
def test_events_are_applied_in_each_form_of_a_response(name: str) -> None:
    """Guards against invalidations and drains that never arrive, because their response has another form."""
    coordinator = EncodingCoordinator(FORMS[name])
    with proxy_with(coordinator) as proxy:
        assert coordinator.wait_for_poll(1)
        invalidate(coordinator, range(GROUPS))
        assert proxy.wait_until(knows_all(proxy, range(GROUPS)))
        coordinator.add(endpoints={"version": 2, "full": False, "servers": draining_entries(proxy, 1)})
        assert proxy.wait_until(lambda: cache_a_is_draining(proxy))
        assert proxy.counter("poll_failures") == FAILURES_AT_SWITCH
        assert proxy.counter("polls_overdue") == 0


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_response_costs_one_poll(name: str) -> None:
    """Guards against a malformed response after which later responses are not applied, or are late."""
    coordinator = EncodingCoordinator(Form(with_length), Form(MALFORMED[name]), Form(in_chunks))
    with proxy_with(coordinator) as proxy:
        assert coordinator.wait_for_poll(1)
        began_at = time.monotonic()
        invalidate(coordinator, range(1))
        assert proxy.wait_until(knows_all(proxy, range(1)))
        invalidate(coordinator, range(1, 2))
        assert proxy.wait_until(knows_all(proxy, range(1, 2)))
        assert time.monotonic() - began_at < ONE_POLL_S
        assert proxy.counter("poll_failures") == FAILURES_AT_SWITCH + 1
        assert proxy.counter("poll_responses_faulty") == 1


def test_events_that_never_arrive_completely_are_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an endpoint list that never arrives while the log shows one failure only."""
    coordinator = EncodingCoordinator(Form(MALFORMED["unknown coding"]))
    with proxy_with(coordinator) as proxy:
        reported: list[dict[str, object]] = []
        monkeypatch.setattr(
            proxy.parts.log, "event", lambda name, **fields: reported.append({"event": name, **fields})
        )
        assert proxy.wait_until(lambda: proxy.counter("poll_responses_faulty") >= 5)
        faulty = [fields for fields in reported if fields["event"] == "poll_responses_faulty"]
        assert [(fields["after_index"], fields["count"], fields["error"]) for fields in faulty] == [
            (1, 3, "HttpError")
        ]
        assert "gzip" in str(faulty[0]["reason"])
        coordinator.forms = [Form(in_chunks)]
        invalidate(coordinator, range(1))
        assert proxy.wait_until(knows_all(proxy, range(1)))


def test_bytes_after_a_response_are_not_taken_for_the_next_one() -> None:
    """Guards against a second response to one poll, which would be taken for that to the next poll."""
    twice = Form(lambda body: in_chunks(body) + with_length(b'{"index":9,"updates":[]}'))
    coordinator = EncodingCoordinator(twice, Form(with_length))
    with proxy_with(coordinator) as proxy:
        assert coordinator.wait_for_poll(1)
        invalidate(coordinator, range(1))
        assert proxy.wait_until(knows_all(proxy, range(1)))
        invalidate(coordinator, range(1, 2))
        assert proxy.wait_until(knows_all(proxy, range(1, 2)))
        assert proxy.parts.discovery._watch_state.last_index == 3
        assert coordinator.connection_count == 2
        assert proxy.counter("poll_failures") == FAILURES_AT_SWITCH


def test_connection_that_is_closed_without_an_announcement_costs_no_poll() -> None:
    """Guards against a poll that fails because the coordinator closed the idle connection before it."""
    coordinator = EncodingCoordinator(Form(with_length, ends_with_connection=True))
    with proxy_with(coordinator) as proxy:
        for group in range(5):
            invalidate(coordinator, range(group, group + 1))
            assert proxy.wait_until(knows_all(proxy, range(group, group + 1)))
        assert proxy.counter("poll_failures") == FAILURES_AT_SWITCH
