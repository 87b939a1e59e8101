"""Service discovery's entry: owns the watch state and the one long poll that may change it."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from olivepost.config import Address
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.long_poll import LongPoll
from olivepost.proxy.discovery.messages import DiscoveryEvent, DiscoveryHeartbeat
from olivepost.proxy.discovery.watch_state import WatchState
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.threads import START_TIMEOUT_S

DEFAULT_MAX_RESPONSE_BYTES = 16_777_216


class DiscoveryClient:
    """Follows a coordinator; while it can't be reached or understood, the last endpoint list stays in force.

    Any thread may call it. `_lock` guards `_address`, `_long_poll` and `_watch_state`. Events are posted
    with the lock held, so that they reach the event loop in their order. `stop` goes without it, since the
    end of the process waits for no response that is being applied: it sets `_is_stopped`, once.
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
        self._long_poll: LongPoll | None = None  # None before `start`
        self._is_stopped = False
        self._watch_state = WatchState(clock, log)

    def start(self, known_events: object) -> None:
        """Applies the events of the configuration, if any, then follows the coordinator from there."""
        with self._lock:
            if known_events is not None:
                self._post_events(self._watch_state.apply_stored(known_events))
            self._long_poll = LongPoll(self, self._address, self._random.random())
            self._long_poll.start(START_TIMEOUT_S)

    def stop(self) -> None:
        """Aborts the open poll; no response is applied afterwards but one that is being applied now."""
        self._is_stopped = True
        if self._long_poll is not None:
            self._long_poll.stop()

    def switch_coordinator(self, coordinator: Address) -> bool:
        """Polls another coordinator at once, from the last index; False where it is the same.

        A response that still arrives at the old poll is dropped: its events come from the new one, once.
        Raises RuntimeError where the system has no thread now: the old poll stays in force.
        """
        with self._lock:
            old_poll = self._long_poll
            if coordinator == self._address or old_poll is None or self._is_stopped:
                return False
            # Without a wait: the old poll can't apply its events, and no signal is handled, meanwhile.
            long_poll = LongPoll(self, coordinator, self._random.random())
            long_poll.start(timeout_s=0.0)
            self._long_poll = long_poll
            self._address = coordinator
        old_poll.stop()
        return True

    def next_index(self, long_poll: LongPoll) -> int | None:
        """The index after which to poll; None where another long poll has taken over."""
        with self._lock:
            if not self._is_current(long_poll):
                return None
            return self._watch_state.next_index

    def accept_response(self, long_poll: LongPoll, data: object) -> DiscoveryHeartbeat | None:
        """Applies the decoded body of a complete response; a ConfigError says what is wrong with it.

        Returns the heartbeat that the event loop marks as handled after the response's events; None where
        the response does not show that the watch is up to date.
        """
        with self._lock:
            if not self._is_current(long_poll):
                return None
            self._post_events(self._watch_state.apply_polled(data))
            if not self._watch_state.is_up_to_date:
                return None
            heartbeat = DiscoveryHeartbeat()
            self._post(heartbeat)
            return heartbeat

    def _is_current(self, long_poll: LongPoll) -> bool:
        return long_poll is self._long_poll and not self._is_stopped

    def _post_events(self, events: list[DiscoveryEvent]) -> None:
        for event in events:
            self._post(event)
