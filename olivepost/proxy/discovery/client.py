"""The watch state of service discovery: which of the coordinator's events are applied, and where to poll."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from olivepost import interface as api
from olivepost.config import Address, FieldReader
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.event_parser import NumberedEvent, parse_numbered_event
from olivepost.proxy.discovery.long_poll import LongPoll
from olivepost.proxy.discovery.messages import DiscoveryEvent, DiscoveryHeartbeat
from olivepost.proxy.event_log import EventLog
from olivepost.units import Duration

# So many responses in a row with a lower index than is applied: the coordinator numbers its events anew. One
# that only lags behind sends a lower index too, and applying its old events would undo drains and
# invalidations.
MAX_LAGGING_RESPONSES = 3


DEFAULT_MAX_RESPONSE_BYTES = 16_777_216  # of one response's body, where nobody names a bound


class DiscoveryClient:
    """Follows a coordinator; while it can't be reached or understood, the last endpoint list stays in force.

    Any thread may call it. `_lock` guards all fields that change: `_address`,
    `_long_poll`, `_last_index`, `_has_endpoints`, `_is_resyncing` and `_lagging_responses`. Events are posted
    with the lock held, in their order.
    """

    def __init__(
        self,
        coordinator: Address,
        clock: Clock,
        log: EventLog,
        post: Callable[[DiscoveryEvent | DiscoveryHeartbeat], None],
        seed: int,
    ) -> None:
        self.max_response_bytes = DEFAULT_MAX_RESPONSE_BYTES  # its owner may lower it before `start`
        self.clock = clock
        self.log = log
        self._post = post
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._address = coordinator
        self._long_poll: LongPoll | None = None
        self._last_index = 0  # of the last event that is applied
        self._has_endpoints = False  # whether an endpoint update has been applied
        self._is_resyncing = False  # whether the next poll asks for all events
        self._lagging_responses = 0  # in a row

    def start(self, known: object) -> None:
        """Applies the events of the configuration, if any, then follows the coordinator from there."""
        with self._lock:
            if known is not None:
                self._apply(known, is_live=False)
            self._long_poll = LongPoll(self, self._address, self._random.random())

    def stop(self) -> None:
        """Aborts the open poll; no event is posted afterwards."""
        with self._lock:
            long_poll = self._long_poll
            self._long_poll = None
        if long_poll is not None:
            long_poll.stop()

    def switch_coordinator(self, coordinator: Address) -> bool:
        """Polls another coordinator at once, from the last index; False where it is the same.

        A response that still arrives at the old poll is dropped: its events come from the new one, once.
        """
        with self._lock:
            old_poll = self._long_poll
            if coordinator == self._address or old_poll is None:
                return False
            # First: without a thread for the new poll the old one stays in force, and so does its address.
            self._long_poll = LongPoll(self, coordinator, self._random.random())
            self._address = coordinator
        old_poll.stop()
        return True

    def next_index(self, long_poll: LongPoll) -> int | None:
        """The index after which to poll; None where another long poll has taken over."""
        with self._lock:
            if long_poll is not self._long_poll:
                return None
            return 0 if self._is_resyncing else self._last_index

    def accept_response(self, long_poll: LongPoll, data: object) -> DiscoveryHeartbeat | None:
        """Applies the decoded body of a complete response; a ConfigError says what is wrong with it.

        Returns what the event loop marks once it has handled the response's events; None where it gets none.
        """
        with self._lock:
            if long_poll is not self._long_poll:
                return None
            self._apply(data, is_live=True)
            if self._is_resyncing or self._lagging_responses:
                return None
            heartbeat = DiscoveryHeartbeat()
            self._post(heartbeat)
            return heartbeat

    def _apply(self, data: object, is_live: bool) -> None:
        """Posts the events that are new, in order, or asks for all of them where some are missing.

        Those of a poll are `is_live`: they have just been told. Those of the start may be of any age.
        """
        response = FieldReader("discovery response", data)
        response_index = response.integer("index", 0)
        events = self._new_events(response)
        is_lagging = response_index < self._last_index
        self._lagging_responses = self._lagging_responses + 1 if is_lagging else 0
        is_renumbered = self._lagging_responses >= MAX_LAGGING_RESPONSES
        if (is_renumbered or self._has_gap_before(events)) and not self._is_resyncing:
            self._request_resync(response_index)
            return
        self._is_resyncing = False
        youngest_age = None if is_live else _youngest_age(events)
        for event in events:
            self._deliver(event, youngest_age)
        self._last_index = max(self._last_index, response_index)

    def _new_events(self, response: FieldReader) -> list[NumberedEvent]:
        """The response's events that are not applied yet, by index; invalid ones are logged."""
        events: list[NumberedEvent] = []
        for item in response.items("updates"):
            event = parse_numbered_event(item, self.clock.now())
            if event.error is not None:
                self.log.increment("invalid_events")
                self.log.event("event_invalid", index=event.index, reason=str(event.error))
            events.append(event)
        events.sort(key=lambda event: event.index)
        return [event for event in events if event.index > self._last_index]

    def _has_gap_before(self, events: list[NumberedEvent]) -> bool:
        """Whether events are missing between the last one applied and the first new one."""
        if not events:
            return False
        first = events[0]
        return first.index != self._last_index + 1 and not first.is_full_update

    def _request_resync(self, response_index: int) -> None:
        """Has the next poll ask for all events from the first."""
        self.log.event("event_gap", last_index=self._last_index, response_index=response_index)
        self._is_resyncing = True
        if self._lagging_responses:
            self._last_index = 0
            self._lagging_responses = 0

    def _deliver(self, numbered: NumberedEvent, youngest_age: Duration | None) -> None:
        if numbered.event is not None:
            event = _without_clock(numbered.event, youngest_age)
            self._post(self._restored_if_first(event))
        self._last_index = numbered.index

    def _restored_if_first(self, event: DiscoveryEvent) -> DiscoveryEvent:
        """Marks the first endpoint update after a start, which restores a list instead of changing one."""
        if self._has_endpoints or not isinstance(event.change, api.EndpointUpdate):
            return event
        self._has_endpoints = True
        restored = api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, event.change.endpoints)
        return DiscoveryEvent(restored, event.addresses)


def _youngest_age(events: list[NumberedEvent]) -> Duration:
    """The age of the last invalidation by this process's clock; 0 where there is none."""
    changes = [numbered.event.change for numbered in events if numbered.event is not None]
    return min((change.age for change in changes if isinstance(change, api.Invalidation)), default=0)


def _without_clock(event: DiscoveryEvent, youngest_age: Duration | None) -> DiscoveryEvent:
    """Has an invalidation count from when it was told, at the earliest.

    Its age by this process's clock may be wrong either way. One that is taken for older than it is would let
    older responses pass; taken for younger, it costs fills of what was generated since. Of those of the start
    (which have a youngest one) only the differences are sure: the last one may have come just now.
    """
    change = event.change
    if not isinstance(change, api.Invalidation):
        return event
    age = 0 if youngest_age is None else change.age - youngest_age
    return DiscoveryEvent(api.Invalidation(change.object, change.group, age), event.addresses)
