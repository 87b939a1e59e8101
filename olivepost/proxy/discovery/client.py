"""Entry point of service discovery.

The client owns the watch state, which knows the applied events, and the only long poll whose responses may
change that state.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from olivepost.config import Address
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.long_poll import LongPoll, PollResponse
from olivepost.proxy.discovery.messages import DiscoveryEvent, DiscoveryHeartbeat
from olivepost.proxy.discovery.watch_state import WatchPosition, WatchState
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.threads import START_TIMEOUT_S
from olivepost.units import Instant

DEFAULT_MAX_OPEN_POLLS = 16
DEFAULT_MAX_RESPONSE_BYTES = 16_777_216


class DiscoveryClient:
    """Client that polls one coordinator at a time and posts the coordinator's events to the event loop.

    While the coordinator is unreachable or its responses are invalid, the last endpoint list stays in force.

    Any thread may call the methods. `_lock` guards `_address`, `_long_poll`, `_retired`, `_switched_at` and
    `_watch_state`. Events are posted while the lock is held, so that they reach the event loop in order.
    `stop` does not take the lock, because the end of the process must not wait for a response that is being
    applied. `stop` sets `_is_stopped`, which is never reset.
    """

    def __init__(
        self,
        coordinator: Address,
        clock: Clock,
        log: EventLog,
        post: Callable[[DiscoveryEvent | DiscoveryHeartbeat], None],
        seed: int,
    ) -> None:
        # The owner may lower both limits before `start`.
        self.max_open_polls = DEFAULT_MAX_OPEN_POLLS
        self.max_response_bytes = DEFAULT_MAX_RESPONSE_BYTES
        self.clock = clock
        self.log = log
        self._post = post
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._address = coordinator
        self._long_poll: LongPoll | None = None  # None before `start`
        # The long poll of the coordinator before, until the new one has responded; None if there is none.
        self._retired: LongPoll | None = None
        self._switched_at: Instant | None = None  # None before the first switch
        self._is_stopped = False
        self._watch_state = WatchState(clock, log)

    def start(self, known_events: object) -> None:
        """Applies `known_events`, the events in the configuration, and starts to poll for later ones.

        `known_events` is None if the configuration contains none.
        """
        with self._lock:
            if known_events is not None:
                self._post_events(self._watch_state.apply_stored(known_events))
            self._long_poll = LongPoll(self, self._address, self._random.random())
            self._long_poll.start(START_TIMEOUT_S)

    def stop(self) -> None:
        """Ends the polling and aborts the open poll.

        A response that is being applied at this time is still applied completely. No later response is
        applied.
        """
        self._is_stopped = True
        for long_poll in (self._long_poll, self._retired):
            if long_poll is not None:
                long_poll.stop()

    def switch_coordinator(self, coordinator: Address) -> bool:
        """Starts to poll another coordinator immediately, from the last applied index; returns True.

        Returns False and changes nothing if the address is the same or the client is not running. A response
        that the old coordinator composed before the switch is still applied if it arrives before the new one
        has responded. Later ones are dropped. The new coordinator sends the events of all these responses
        again, and each event is applied only once. Raises RuntimeError if the system can't start a thread;
        the old poll then continues.
        """
        with self._lock:
            old_poll = self._long_poll
            if coordinator == self._address or old_poll is None or self._is_stopped:
                return False
            # The timeout is 0, so that this thread does not wait until the system can start a thread. During
            # such a wait, the old poll could not apply its events, because this thread holds the lock, and no
            # signal would be handled.
            long_poll = LongPoll(self, coordinator, self._random.random(), is_replacement=True)
            long_poll.start(timeout_s=0.0)
            self._long_poll = long_poll
            self._address = coordinator
            self._switched_at = self.clock.now()
            self._stop_retired()
            self._retired = old_poll
        old_poll.retire()
        return True

    def next_position(self, long_poll: LongPoll) -> WatchPosition | None:
        """Returns the position from which the next poll asks for events.

        Returns None if another long poll has replaced `long_poll` or the client is stopped.
        """
        with self._lock:
            if not self._is_current(long_poll):
                return None
            return self._watch_state.next_position

    def accept_response(self, long_poll: LongPoll, response: PollResponse) -> DiscoveryHeartbeat | None:
        """Applies a complete response.

        Responses may be accepted in any order. Raises ConfigError if the body is invalid.

        Returns a heartbeat, a message that is posted to the event loop after the response's events. The event
        loop marks the heartbeat as handled, so that the long poll can wait until these events have been
        handled. Returns None if there is nothing to wait for, for one of these reasons: another long poll has
        replaced `long_poll`, the client is stopped, the coordinator has restarted its numbering since the
        poll was sent, or the response shows that events are missing or that the coordinator lags behind.
        """
        with self._lock:
            if not self._is_applicable(long_poll, response):
                return None
            self._post_events(self._watch_state.apply_polled(response.data, response.position))
            if not self._watch_state.is_up_to_date or not self._is_current(long_poll):
                return None
            self._stop_retired()
            heartbeat = DiscoveryHeartbeat(response.composed_by)
            self._post(heartbeat)
            return heartbeat

    def _is_current(self, long_poll: LongPoll) -> bool:
        return long_poll is self._long_poll and not self._is_stopped

    def _is_applicable(self, long_poll: LongPoll, response: PollResponse) -> bool:
        """Whether a response is applied; the caller holds the lock."""
        is_from_before_switch = (
            long_poll is self._retired
            and self._switched_at is not None
            and response.composed_by <= self._switched_at
            and not self._is_stopped
        )
        is_expected = self._is_current(long_poll) or is_from_before_switch
        return is_expected and self._watch_state.is_current(response.position)

    def _stop_retired(self) -> None:
        """Ends the wait for responses of the coordinator before; the caller holds the lock."""
        if self._retired is not None:
            self._retired.stop()
            self._retired = None

    def _post_events(self, events: list[DiscoveryEvent]) -> None:
        for event in events:
            self._post(event)
