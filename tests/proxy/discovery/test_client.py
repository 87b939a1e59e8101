"""Tests of the discovery client.

Events are applied once and in order, even after gaps, renumbering or a change of coordinator.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from olivepost import interface as api
from olivepost.config import Address
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery import client as client_module
from olivepost.proxy.discovery.client import DiscoveryClient
from olivepost.proxy.discovery.long_poll import LongPoll, PollResponse
from olivepost.proxy.discovery.messages import DiscoveryEvent, DiscoveryHeartbeat
from olivepost.proxy.discovery.watch_state import MAX_LAGGING_RESPONSES, WatchPosition
from olivepost.proxy.event_log import EventLog
from olivepost.units import SECOND
from tests.discarded_log import discarded_log

COORDINATOR = Address("127.0.0.1", 7370)
NOW = 1_000 * SECOND
OTHER_COORDINATOR = Address("127.0.0.1", 7380)


class IdleLongPoll(LongPoll):
    """A long poll that starts no thread and sends no request."""

    def __init__(
        self, owner: DiscoveryClient, address: Address, seed: float, is_replacement: bool = False
    ) -> None:
        self.is_stopped = False
        self.is_retired = False

    def start(self, timeout_s: float) -> None:
        pass

    def stop(self) -> None:
        self.is_stopped = True

    def retire(self) -> None:
        self.is_retired = True


@dataclass
class ClientHarness:
    """The discovery client under test, and the messages that the client has posted."""

    client: DiscoveryClient
    log: EventLog
    posted: list[DiscoveryEvent | DiscoveryHeartbeat] = field(default_factory=list)

    @property
    def long_poll(self) -> LongPoll:
        assert self.client._long_poll is not None
        return self.client._long_poll

    def receive(self, index: int, *updates: dict[str, object]) -> None:
        """Delivers the response to a poll that was sent just now."""
        self.receive_late(self.next_position(), index, *updates)

    def receive_late(self, position: WatchPosition, index: int, *updates: dict[str, object]) -> None:
        """Delivers the response to a poll that was sent from `position`."""
        data = {"index": index, "updates": list(updates)}
        self.client.accept_response(self.long_poll, PollResponse(position, NOW, data))

    def next_position(self) -> WatchPosition:
        position = self.client.next_position(self.long_poll)
        assert position is not None
        return position

    def next_index(self) -> int:
        return self.next_position().index

    def invalidated_groups(self) -> list[int | None]:
        changes = [message.change for message in self.posted if isinstance(message, DiscoveryEvent)]
        return [change.group for change in changes if isinstance(change, api.Invalidation)]


def invalidation(index: int) -> dict[str, object]:
    """Returns an event that invalidates the group whose number is the event's index."""
    return {"index": index, "evict": {"shard": index, "unix_ms": 0}}


def full_update(index: int) -> dict[str, object]:
    return {"index": index, "endpoints": {"full": True, "servers": []}}


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[ClientHarness]:
    monkeypatch.setattr(client_module, "LongPoll", IdleLongPoll)
    clock = Clock()
    posted: list[DiscoveryEvent | DiscoveryHeartbeat] = []
    with discarded_log(clock) as log:
        client = DiscoveryClient(COORDINATOR, clock, log, posted.append, 1)
        client.start({"index": 1, "updates": [full_update(1)]})
        yield ClientHarness(client, log, posted)
        client.stop()


def test_first_endpoint_update_is_posted_as_restored(harness: ClientHarness) -> None:
    harness.receive(2, full_update(2))

    events = [message for message in harness.posted if isinstance(message, DiscoveryEvent)]
    updates = [event.change for event in events if isinstance(event.change, api.EndpointUpdate)]
    kinds = [update.kind for update in updates]
    assert kinds == [api.EndpointUpdateKind.RESTORED, api.EndpointUpdateKind.FULL]


def test_events_are_applied_once_and_in_order(harness: ClientHarness) -> None:
    harness.receive(3, invalidation(3), invalidation(2))
    harness.receive(4, invalidation(3), invalidation(4))

    assert harness.invalidated_groups() == [2, 3, 4]
    assert harness.next_index() == 4
    assert isinstance(harness.posted[-1], DiscoveryHeartbeat)


def test_gap_makes_the_next_poll_request_all_events(harness: ClientHarness) -> None:
    harness.receive(4, invalidation(4))

    assert harness.invalidated_groups() == []
    assert harness.next_index() == 0
    assert not any(isinstance(message, DiscoveryHeartbeat) for message in harness.posted)

    harness.receive(4, invalidation(3), invalidation(4))

    assert harness.invalidated_groups() == [3, 4]
    assert harness.next_index() == 4


def test_coordinator_that_renumbers_its_events_is_followed_from_the_first(harness: ClientHarness) -> None:
    harness.receive(5, *(invalidation(index) for index in range(2, 6)))

    for _ in range(MAX_LAGGING_RESPONSES - 1):
        harness.receive(1)
        assert harness.next_index() == 5

    harness.receive(1)
    assert harness.next_index() == 0

    harness.receive(1, invalidation(1))
    assert harness.invalidated_groups() == [2, 3, 4, 5, 1]


def test_late_response_adds_no_event_twice_and_takes_none_back(harness: ClientHarness) -> None:
    """Guards against the responses to an older poll, which may arrive after those to newer ones."""
    first = harness.next_position()
    harness.receive(3, invalidation(2), invalidation(3))
    second = harness.next_position()
    harness.receive(4, invalidation(4))

    harness.receive_late(second, 3)
    harness.receive_late(first, 2, full_update(2))
    harness.receive_late(first, 5, *(invalidation(index) for index in range(2, 6)))

    assert harness.invalidated_groups() == [2, 3, 4, 5]
    assert harness.next_index() == 5


def test_late_responses_are_not_taken_for_a_restart_of_the_numbering(harness: ClientHarness) -> None:
    position = harness.next_position()
    harness.receive(5, *(invalidation(index) for index in range(2, 6)))

    for _ in range(MAX_LAGGING_RESPONSES):
        harness.receive_late(position, 2, invalidation(2))

    assert harness.next_index() == 5
    assert harness.invalidated_groups() == [2, 3, 4, 5]


def test_overlapping_polls_of_a_lagging_coordinator_count_as_one(harness: ClientHarness) -> None:
    """Guards against a lagging coordinator that is taken for a new numbering the sooner for more polls."""
    harness.receive(5, *(invalidation(index) for index in range(2, 6)))
    overlapping = harness.next_position()

    for _ in range(MAX_LAGGING_RESPONSES):
        harness.receive_late(overlapping, 1)
    assert harness.next_index() == 5

    for _ in range(MAX_LAGGING_RESPONSES - 1):
        assert harness.next_index() == 5
        harness.receive(1)
    assert harness.next_index() == 0


def test_response_from_before_a_restart_of_the_numbering_is_dropped(harness: ClientHarness) -> None:
    harness.receive(5, *(invalidation(index) for index in range(2, 6)))
    late = harness.next_position()
    for _ in range(MAX_LAGGING_RESPONSES):
        harness.receive(1)
    harness.receive(1, invalidation(1))
    posted = len(harness.posted)

    harness.receive_late(late, 6, full_update(6))

    assert harness.next_index() == 1
    assert len(harness.posted) == posted


def test_late_response_without_a_gap_is_applied_while_all_events_are_requested(
    harness: ClientHarness,
) -> None:
    late = harness.next_position()
    harness.receive(4, invalidation(4))
    assert harness.next_index() == 0

    harness.receive_late(late, 2, invalidation(2))
    assert harness.next_index() == 0

    harness.receive(4, *(invalidation(index) for index in range(2, 5)))
    assert harness.invalidated_groups() == [2, 3, 4]
    assert harness.next_index() == 4


def test_invalid_event_is_counted_and_skipped(harness: ClientHarness) -> None:
    harness.receive(3, {"index": 2, "evict": {}}, invalidation(3))

    assert harness.log.counters()["invalid_events"] == 1
    assert harness.invalidated_groups() == [3]


def test_response_that_a_replaced_coordinator_composes_after_the_switch_is_dropped(
    harness: ClientHarness,
) -> None:
    replaced = harness.long_poll
    position = harness.next_position()

    assert harness.client.switch_coordinator(OTHER_COORDINATOR)
    assert not harness.client.switch_coordinator(OTHER_COORDINATOR)
    assert isinstance(replaced, IdleLongPoll)
    assert replaced.is_retired

    data = {"index": 2, "updates": [invalidation(2)]}
    composed_by = harness.client.clock.now()
    harness.client.accept_response(replaced, PollResponse(position, composed_by, data))

    assert harness.invalidated_groups() == []
    assert harness.client.next_position(replaced) is None
    assert harness.next_index() == 1


def test_response_in_flight_at_a_switch_is_applied_once_until_the_new_coordinator_responds(
    harness: ClientHarness,
) -> None:
    replaced = harness.long_poll
    position = harness.next_position()
    composed_by = harness.client.clock.now()
    assert harness.client.switch_coordinator(OTHER_COORDINATOR)

    data = {"index": 2, "updates": [invalidation(2)]}
    assert harness.client.accept_response(replaced, PollResponse(position, composed_by, data)) is None
    assert harness.invalidated_groups() == [2]

    harness.receive_late(position, 3, invalidation(2), invalidation(3))
    assert isinstance(replaced, IdleLongPoll)
    assert replaced.is_stopped
    later = {"index": 4, "updates": [invalidation(4)]}
    harness.client.accept_response(replaced, PollResponse(position, composed_by, later))
    assert harness.invalidated_groups() == [2, 3]


def test_second_switch_ends_the_wait_for_the_coordinator_before_the_first(harness: ClientHarness) -> None:
    """Guards against threads and connections that add up over new configurations in quick succession."""
    first = harness.long_poll
    assert harness.client.switch_coordinator(OTHER_COORDINATOR)
    second = harness.long_poll
    assert harness.client.switch_coordinator(COORDINATOR)
    assert isinstance(first, IdleLongPoll)
    assert isinstance(second, IdleLongPoll)
    assert first.is_stopped
    assert second.is_retired
    assert not second.is_stopped
    harness.client.stop()
    assert second.is_stopped
