"""The watch state: which of the coordinator's events have been applied, and the index to poll from.

This module does no I/O and has no thread. The owner of a `WatchState` holds a lock during each call.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from olivepost import interface as api
from olivepost.config import FieldReader
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.event_parser import NumberedEvent, parse_numbered_event
from olivepost.proxy.discovery.messages import DiscoveryEvent
from olivepost.proxy.event_log import EventLog
from olivepost.units import Duration

# Number of consecutive responses with an index below that of the last applied event, after which the
# coordinator is assumed to have restarted its numbering. One such response proves nothing: a coordinator that
# only lags behind also sends lower indices, and applying its old events would undo drains and invalidations.
MAX_LAGGING_RESPONSES = 3
INDEX_BEFORE_ALL_EVENTS = 0  # the coordinator's first event has index 1


@dataclass(frozen=True, slots=True)
class WatchPosition:
    """A position in the coordinator's sequence of events; a poll asks for the events after it."""

    index: int
    numbering: int  # how many times the coordinator has restarted its numbering
    lagging_responses: int = 0  # consecutive responses with lower indices when the poll was sent

    @property
    def is_before_all_events(self) -> bool:
        """Whether a response to a poll from this position has all events, so that none can be missing."""
        return self.index == INDEX_BEFORE_ALL_EVENTS


class WatchState:
    """Position in the coordinator's sequence of numbered events.

    Responses may arrive in another order than their polls were sent in, and several responses may have the
    same events. Each event is applied once, and none is applied after a later one.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self.last_index = INDEX_BEFORE_ALL_EVENTS  # index of the last applied event
        self.lagging_responses = 0  # consecutive responses with an index below `last_index`
        self._clock = clock
        self._log = log
        self._numbering = 0
        self._has_endpoints = False  # whether an endpoint update has been applied
        self._is_resyncing = False  # whether the next poll requests all events

    @property
    def next_position(self) -> WatchPosition:
        """Returns the position from which the next poll asks for events."""
        index = INDEX_BEFORE_ALL_EVENTS if self._is_resyncing else self.last_index
        return WatchPosition(index, self._numbering, self.lagging_responses)

    def is_current(self, position: WatchPosition) -> bool:
        """Whether the coordinator has not restarted its numbering since a poll from `position` was sent.

        Otherwise, the indices in the response to that poll mean other events, and it must not be applied.
        """
        return position.numbering == self._numbering

    @property
    def is_up_to_date(self) -> bool:
        """Whether no events are known to be missing, and the coordinator does not lag behind."""
        return not self._is_resyncing and self.lagging_responses == 0

    def apply_stored(self, data: object) -> list[DiscoveryEvent]:
        """Applies the events in the configuration, which may have any age, and returns the new ones in order.

        The clocks of the coordinator and this process may differ, so that only the differences between the
        ages of the invalidations are reliable. The youngest invalidation gets age 0, since it may have been
        sent immediately before the start, and the differences between the ages are kept.
        """
        events = self._apply(data, self.next_position)
        ages = [event.change.age for event in events if isinstance(event.change, api.Invalidation)]
        youngest_age = min(ages, default=0)
        return [_with_age(event, lambda age: age - youngest_age) for event in events]

    def apply_polled(self, data: object, position: WatchPosition) -> list[DiscoveryEvent]:
        """Applies the response to a poll from `position`, and returns its new events, in order.

        Each invalidation gets age 0, because its age by this process's clock may be wrong, and an error
        towards a low age is the harmless one. An age that is too high would allow responses that are stale.
        An age that is too low only costs fills of responses that were generated after the invalidation.
        """
        return [_with_age(event, lambda _: 0) for event in self._apply(data, position)]

    def _apply(self, data: object, position: WatchPosition) -> list[DiscoveryEvent]:
        """Applies a response and returns its new events, in order; advances to the response's index.

        If earlier events are missing, or the coordinator has restarted its numbering, returns no events and
        begins a resync: the next poll requests all events. A response that has all events is applied in any
        case. Raises ConfigError if the response has no valid indices; none of its events is applied then.
        """
        response = FieldReader("discovery response", data)
        response_index = response.integer("index", INDEX_BEFORE_ALL_EVENTS)
        new_events = self._parse_new_events(response)
        self._count_lagging_response(response_index, position)
        is_renumbered = self.lagging_responses >= MAX_LAGGING_RESPONSES
        if position.is_before_all_events:
            self._is_resyncing = False
        elif is_renumbered or self._has_gap_before(new_events):
            self._begin_resync(response_index, is_renumbered)
            return []
        applied = [self._restored_if_first(numbered.event) for numbered in new_events if numbered.event]
        last_event_index = new_events[-1].index if new_events else self.last_index
        self.last_index = max(last_event_index, response_index)
        return applied

    def _parse_new_events(self, response: FieldReader) -> list[NumberedEvent]:
        """Returns the events that have not been applied yet, sorted by index.

        Invalid events are logged and are returned with their errors.
        """
        events: list[NumberedEvent] = []
        for item in response.items("updates"):
            event = parse_numbered_event(item, self._clock.now())
            if event.error is not None:
                self._log.increment("invalid_events")
                self._log.event("event_invalid", index=event.index, reason=str(event.error))
            events.append(event)
        events.sort(key=lambda event: event.index)
        return [event for event in events if event.index > self.last_index]

    def _count_lagging_response(self, response_index: int, position: WatchPosition) -> None:
        """Counts a response with an index below the one that its poll asked from.

        The responses to polls that were open at the same time count as one, since they tell no more of the
        coordinator than one. A response with a higher index that is below `last_index` proves nothing: it is
        only late.
        """
        if response_index < position.index:
            self.lagging_responses = max(self.lagging_responses, position.lagging_responses + 1)
        elif response_index >= self.last_index:
            self.lagging_responses = 0

    def _has_gap_before(self, new_events: list[NumberedEvent]) -> bool:
        """Whether events are missing between the last applied event and the first new one.

        If the first new event is a full endpoint list, no earlier event is needed.
        """
        if not new_events:
            return False
        first = new_events[0]
        return first.index != self.last_index + 1 and not first.is_full_update

    def _begin_resync(self, response_index: int, is_renumbered: bool) -> None:
        """Makes the next poll request all events from the first one; logs the gap with `response_index`."""
        if not self._is_resyncing:
            self._log.event("event_gap", last_index=self.last_index, response_index=response_index)
        self._is_resyncing = True
        if is_renumbered:
            self.last_index = INDEX_BEFORE_ALL_EVENTS
            self.lagging_responses = 0
            self._numbering += 1

    def _restored_if_first(self, event: DiscoveryEvent) -> DiscoveryEvent:
        """Returns the event, with kind RESTORED if it is the first endpoint update after the start.

        The first update restores an endpoint list instead of changing one.
        """
        if self._has_endpoints or not isinstance(event.change, api.EndpointUpdate):
            return event
        self._has_endpoints = True
        restored = api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, event.change.endpoints)
        return DiscoveryEvent(restored, event.addresses)


def _with_age(event: DiscoveryEvent, age_of: Callable[[Duration], Duration]) -> DiscoveryEvent:
    """Returns an invalidation with `age_of(age)` as its age; returns any other event unchanged."""
    change = event.change
    if not isinstance(change, api.Invalidation):
        return event
    return DiscoveryEvent(api.Invalidation(change.object, change.group, age_of(change.age)), event.addresses)
