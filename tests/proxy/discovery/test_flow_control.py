"""Tests of flow control in discovery.

A minimum interval lies between two polls, and the next poll waits until the event loop has handled the last
response.
"""

from __future__ import annotations

import threading
import time
from typing import Any

import pytest

from examples.toy_server import Coordinator
from olivepost.proxy.discovery.long_poll import MIN_POLL_INTERVAL
from olivepost.units import SECOND, Instant
from tests.proxy_harness import running_proxy

OBSERVATION_S = 1.0


def test_coordinator_that_answers_at_once_is_not_polled_without_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Coordinator, "_wait", lambda *_: None)
    with running_proxy() as proxy:
        assert proxy.coordinator.wait_for_poll(1)
        polls_before = proxy.coordinator.polls

        time.sleep(OBSERVATION_S)

        assert proxy.coordinator.polls - polls_before <= OBSERVATION_S * SECOND / MIN_POLL_INTERVAL + 1


def test_next_list_is_polled_once_the_last_one_is_handled() -> None:
    with running_proxy() as proxy:
        may_continue = threading.Event()
        is_blocked = threading.Event()
        router = proxy.parts.event_loop.router
        handle = router.handle

        def handle_late(now: Instant, event: Any) -> Any:
            is_blocked.set()
            may_continue.wait(0.5)
            return handle(now, event)

        assert proxy.coordinator.wait_for_poll(1)
        router.handle = handle_late  # type: ignore[method-assign]
        proxy.coordinator.add(endpoints={"version": 2, "full": True, "servers": proxy.listed_endpoints})
        assert is_blocked.wait(20)
        polls = proxy.coordinator.polls

        for version in range(3, 8):
            proxy.coordinator.add(
                endpoints={"version": version, "full": True, "servers": proxy.listed_endpoints}
            )

        assert proxy.coordinator.polls <= polls + 1
        may_continue.set()
        assert proxy.wait_until(lambda: proxy.parts.discovery._watch_state.last_index == 7)


def test_configured_events_are_released_after_the_start() -> None:
    with running_proxy() as proxy:
        assert proxy.parts.config.known_events is None
        assert len(router_endpoints(proxy)) == 4


def router_endpoints(proxy: Any) -> list[str]:
    return list(proxy.parts.event_loop.router.state.endpoints.by_id)
