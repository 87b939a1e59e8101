"""Discovery neither spins nor runs ahead of the event loop."""

from __future__ import annotations

import threading
import time
from typing import Any

import pytest

from examples.toy_server import Coordinator
from olivepost.proxy.discovery.long_poll import MIN_POLL_INTERVAL
from olivepost.units import SECOND
from tests.rig import rig

WATCHED_S = 1.0


def test_coordinator_that_answers_at_once_is_not_polled_without_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Coordinator, "_wait", lambda *_: None)
    with rig() as made:
        assert made.coordinator.wait_for_poll(1)
        before = made.coordinator.polls
        time.sleep(WATCHED_S)
        assert made.coordinator.polls - before <= WATCHED_S * SECOND / MIN_POLL_INTERVAL + 1


def test_next_list_is_polled_once_the_last_one_is_handled() -> None:
    with rig() as made:
        gate = threading.Event()
        held = threading.Event()
        router = made.proxy.event_loop.router
        handle = router.handle

        def late(now: int, event: Any) -> Any:
            held.set()
            gate.wait(0.5)
            return handle(now, event)

        assert made.coordinator.wait_for_poll(1)
        router.handle = late  # type: ignore[method-assign]
        made.coordinator.add(endpoints={"version": 2, "full": True, "servers": made.entries})
        assert held.wait(20)
        polls = made.coordinator.polls
        for version in range(3, 8):
            made.coordinator.add(endpoints={"version": version, "full": True, "servers": made.entries})
        assert made.coordinator.polls <= polls + 1
        gate.set()
        assert made.until(lambda: made.proxy.discovery._last_index == 7)


def test_decoded_list_of_the_start_is_not_kept() -> None:
    with rig() as made:
        assert made.proxy.config.known_events is None
        assert len(router_endpoints(made)) == 4


def router_endpoints(made: Any) -> list[str]:
    return list(made.proxy.event_loop.router.state.endpoints.by_id)
