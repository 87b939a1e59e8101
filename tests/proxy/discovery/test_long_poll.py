"""Tests of the threads and connections of a long poll while the coordinator responds late or not at all."""

from __future__ import annotations

import errno
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from olivepost.config import Address
from olivepost.proxy import sockets
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery import long_poll, open_polls
from olivepost.proxy.discovery.long_poll import LongPoll, PollResponse
from olivepost.proxy.discovery.messages import DiscoveryHeartbeat
from olivepost.proxy.discovery.watch_state import WatchPosition
from olivepost.proxy.event_log import EventLog
from olivepost.units import SECOND, Duration
from tests.discarded_log import discarded_log
from tests.proxy.discovery.late_coordinator import PROMPT, UNRESPONSIVE, EventFeed, LateCoordinator, late

MAX_OPEN_POLLS = 4
WAIT_TIMEOUT_S = 20.0
LATE_CONNECT_S = 0.8


class RecordingOwner:
    """An owner that records the index of each response, and always asks for the events after the first."""

    def __init__(self, log: EventLog, clock: Clock) -> None:
        self.clock = clock
        self.log = log
        self.max_open_polls = MAX_OPEN_POLLS
        self.max_response_bytes = 1_000_000
        self.accepted: list[int] = []
        self.threads: set[int] = set()  # identifiers of the threads that have asked for a position

    def next_position(self, _long_poll: LongPoll) -> WatchPosition:
        self.threads.add(threading.get_ident())
        return WatchPosition(1, 0)

    def accept_response(self, _long_poll: LongPoll, response: PollResponse) -> DiscoveryHeartbeat | None:
        assert isinstance(response.data, dict)
        self.accepted.append(response.data["index"])
        return None


@pytest.fixture
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the long times of a poll a tenth of what they are.

    The pause after which a poll is overdue stays, since a busy machine may delay a prompt response.
    """
    for name in ("POLL_WAIT", "EVENT_DELAY_LIMIT", "MAX_RESPONSE_DELAY"):
        monkeypatch.setattr(open_polls, name, getattr(open_polls, name) // 10)


@pytest.fixture
def coordinator() -> Iterator[LateCoordinator]:
    feed = EventFeed()
    feed.publish()
    coordinator = LateCoordinator(feed, lambda: PROMPT)
    yield coordinator
    coordinator.close()


@contextmanager
def polling(coordinator: LateCoordinator, is_replacement: bool = False) -> Iterator[RecordingOwner]:
    """Polls a coordinator; at the end, waits until no thread of the long poll is left."""
    clock = Clock()
    with discarded_log(clock) as log:
        owner = RecordingOwner(log, clock)
        host, _, port = coordinator.address.rpartition(":")
        polled = LongPoll(owner, Address(host, int(port)), 1, is_replacement)
        polled.start(0.0)
        try:
            yield owner
        finally:
            polled.stop()
            wait_until(lambda: not discovery_threads())


def discovery_threads() -> list[threading.Thread]:
    return [thread for thread in threading.enumerate() if thread.name == "discovery"]


def wait_until(condition: Callable[[], object]) -> None:
    until = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.005)


@pytest.mark.usefixtures("short_waits")
def test_polls_threads_and_connections_of_an_unresponsive_coordinator_are_bounded(
    coordinator: LateCoordinator,
) -> None:
    coordinator.plan = lambda: UNRESPONSIVE
    with polling(coordinator) as owner:
        peak = 0
        began_at = time.monotonic()
        while time.monotonic() < began_at + 5:
            peak = max(peak, len(discovery_threads()))
            time.sleep(0.005)
        interval_s = (open_polls.POLL_WAIT + open_polls.EVENT_DELAY_LIMIT) / MAX_OPEN_POLLS / SECOND
        assert 10 < len(coordinator.polls) <= 5 / interval_s + 1
        assert peak == MAX_OPEN_POLLS
        # A connection that has been given up may not have ended yet at the coordinator.
        assert coordinator.peak_count <= MAX_OPEN_POLLS + 1
        coordinator.plan = lambda: PROMPT
        wait_until(lambda: len(owner.accepted) >= 3)
        wait_until(lambda: len(discovery_threads()) == 1)


@pytest.mark.usefixtures("short_waits")
def test_coordinator_that_is_slower_than_all_polls_together_is_received(coordinator: LateCoordinator) -> None:
    coordinator.plan = lambda: late(1.5)
    with polling(coordinator) as owner:
        wait_until(lambda: len(owner.accepted) >= 3)
        assert owner.log.counters()["polls_late"] >= 3


@pytest.mark.usefixtures("short_waits")
def test_prompt_coordinator_is_polled_by_one_thread_on_one_connection(coordinator: LateCoordinator) -> None:
    with polling(coordinator) as owner:
        wait_until(lambda: len(owner.accepted) >= 10)
        assert len(owner.threads) == 1
        assert coordinator.peak_count == 1
        assert "polls_overdue" not in owner.log.counters()


@pytest.mark.usefixtures("short_waits")
def test_unanswered_poll_is_repeated_if_no_further_thread_can_be_started(
    coordinator: LateCoordinator, monkeypatch: pytest.MonkeyPatch
) -> None:
    def start(*_: object) -> threading.Thread:
        raise RuntimeError("can't start new thread")

    coordinator.plan = lambda: UNRESPONSIVE
    with polling(coordinator) as owner:
        wait_until(lambda: len(coordinator.polls) == 1)
        monkeypatch.setattr(long_poll, "start_thread", start)
        wait_until(lambda: len(coordinator.polls) >= 4)
        assert len(discovery_threads()) == 1
        coordinator.plan = lambda: PROMPT
        wait_until(lambda: owner.accepted)


def test_connection_that_is_established_late_is_used(
    coordinator: LateCoordinator, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against connections that are given up for another one that takes as long."""
    finish = sockets.finish_connect
    began_at: dict[int, float] = {}

    def finish_late(sock: socket.socket, timeout: Duration) -> bool:
        began_at.setdefault(sock.fileno(), time.monotonic())
        if time.monotonic() < began_at[sock.fileno()] + LATE_CONNECT_S:
            time.sleep(min(timeout / SECOND, LATE_CONNECT_S))
            return False
        return finish(sock, timeout)

    monkeypatch.setattr(sockets, "finish_connect", finish_late)
    with polling(coordinator) as owner:
        wait_until(lambda: owner.accepted)


@pytest.mark.usefixtures("short_waits")
def test_shortage_of_memory_fails_no_poll(
    coordinator: LateCoordinator, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against polls whose response is lost because the system is short of memory for a moment."""
    receive = socket.socket.recv
    failures = iter(range(5))

    def receive_or_fail(sock: socket.socket, *arguments: int) -> bytes:
        if threading.current_thread().name == "discovery" and next(failures, None) is not None:
            raise OSError(errno.ENOBUFS, "no buffer space")
        return receive(sock, *arguments)

    monkeypatch.setattr(socket.socket, "recv", receive_or_fail)
    with polling(coordinator) as owner:
        wait_until(lambda: len(owner.accepted) >= 2)
        assert "poll_failures" not in owner.log.counters()


@pytest.mark.usefixtures("short_waits")
def test_loss_and_recovery_of_discovery_are_logged(coordinator: LateCoordinator) -> None:
    events: list[str] = []
    with polling(coordinator) as owner:
        owner.log.event = lambda name, **_: events.append(name)  # type: ignore[method-assign]
        coordinator.plan = lambda: UNRESPONSIVE
        wait_until(lambda: "discovery_lost" in events)
        coordinator.plan = lambda: PROMPT
        wait_until(lambda: "discovery_recovered" in events)
        time.sleep(5 * open_polls.POLL_WAIT / SECOND)
    assert events == ["discovery_lost", "discovery_recovered"]


@pytest.mark.usefixtures("short_waits")
@pytest.mark.parametrize("delay_s", [0.0, 0.03])
def test_switch_to_a_coordinator_that_responds_is_no_loss(
    coordinator: LateCoordinator, delay_s: float
) -> None:
    coordinator.plan = lambda: late(delay_s)
    with polling(coordinator, is_replacement=True) as owner:
        events: list[str] = []
        owner.log.event = lambda name, **_: events.append(name)  # type: ignore[method-assign]
        wait_until(lambda: len(owner.accepted) >= 10)
        assert "discovery_lost" not in events
