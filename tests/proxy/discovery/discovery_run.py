"""A run of a discovery client against late coordinators, and the check that each event is known in time.

An event counts as notified, whether it has arrived or not:

- 7 s after it was published
- 2 s after the break of a response that has the event
- 2 s after the wait of a poll that gets no complete response, though the event was published within its wait
- 4 s after the client was switched to another coordinator, if it was published before or just after that

A break or an unanswered poll says nothing of events in a complete response that was in flight before: these
may take 7 s.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from math import inf

from olivepost import interface as api
from olivepost.config import read_address
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.client import DiscoveryClient
from olivepost.proxy.discovery.messages import DiscoveryEvent, DiscoveryHeartbeat
from tests.discarded_log import discarded_log
from tests.proxy.discovery.late_coordinator import EventFeed, LateCoordinator, PollRecord, Reply, ReplyKind

NOTIFIED_AFTER_S = 7.0
NOTIFIED_AFTER_BREAK_S = 2.0
NOTIFIED_AFTER_WAIT_S = 2.0
NOTIFIED_AFTER_SWITCH_S = 4.0
JUST_AFTER_SWITCH_S = 0.25
GRACE_S = 0.35  # an invalidation must have its effect this long after the proxy was notified
SCHEDULING_SLACK_S = 0.15  # for scheduling delays of the test's own threads
INCOMPLETE = (ReplyKind.UNRESPONSIVE, ReplyKind.STALLED)


@dataclass(frozen=True, slots=True)
class Step:
    """A span of a run in which the coordinator replies to polls by one plan.

    `publish_at_s` are the times of events, in seconds from the step's beginning. If `switches` is set, the
    client is switched to another coordinator when the step begins.
    """

    duration_s: float
    plan: Callable[[], Reply]
    publish_at_s: Sequence[float] = ()
    switches: bool = False
    is_old_unresponsive: bool = True  # whether the replaced coordinator sends no response any more


@dataclass
class Observed:
    """What a run has observed. All times are monotonic seconds."""

    feed: EventFeed = field(default_factory=EventFeed)
    received: list[tuple[int, float]] = field(
        default_factory=list
    )  # index and time of each event, as applied
    coordinators: list[LateCoordinator] = field(default_factory=list)
    switched_at: list[float] = field(default_factory=list)

    @property
    def polls(self) -> list[PollRecord]:
        """Returns all polls of all coordinators."""
        return [poll for coordinator in self.coordinators for poll in coordinator.polls]

    def notified_at(self, index: int) -> float:
        """Returns the time from which an event counts as notified although it may not have arrived."""
        published_at = self.feed.published_at[index - 1]
        limits = [published_at + NOTIFIED_AFTER_S]
        limits += [
            at + NOTIFIED_AFTER_SWITCH_S for at in self.switched_at if at + JUST_AFTER_SWITCH_S > published_at
        ]
        polls = [poll for poll in self.polls if poll.after < index]
        sent_from = min((poll.composed_at for poll in polls if poll.is_complete(index)), default=inf)
        for poll in polls:
            if sent_from < poll.asked_at:
                continue
            wait_ends_at = poll.asked_at + poll.wait_s
            if poll.reply.kind in INCOMPLETE and published_at <= wait_ends_at:
                limits.append(wait_ends_at + NOTIFIED_AFTER_WAIT_S)
            if poll.reply.kind is ReplyKind.BROKEN and index <= poll.up_to:
                limits.append(poll.ended_at + NOTIFIED_AFTER_BREAK_S)
        return min(limits)

    def violations(self) -> list[str]:
        """Returns a line of text for each event that was known too late, twice, never or in a wrong order."""
        indices = [index for index, _ in self.received]
        expected = list(range(1, self.feed.last_index + 1))
        found = [] if indices == expected else [f"applied {indices}, expected {expected}"]
        for index, received_at in self.received:
            notified_at = self.notified_at(index)
            if received_at > notified_at + GRACE_S + SCHEDULING_SLACK_S:
                age_s = received_at - self.feed.published_at[index - 1]
                late_s = received_at - notified_at
                found.append(
                    f"event {index} known {age_s:.2f} s after it was published,"
                    f" {late_s:.2f} s after it counts as notified"
                )
        return found


class DiscoveryRun:
    """One run of a discovery client through the given steps; `run` may be called in a thread of its own."""

    def __init__(self, steps: Sequence[Step], seed: int = 1) -> None:
        self.observed = Observed()
        self._steps = steps
        self._seed = seed

    def run(self) -> None:
        """Plays all steps, then waits until all events have arrived or count as notified."""
        with self._client() as client:
            for step in self._steps:
                self._play(client, step)
            self._wait_for_events()
        for coordinator in self.observed.coordinators:
            coordinator.close()

    @contextmanager
    def _client(self) -> Iterator[DiscoveryClient]:
        clock = Clock()
        self._add_coordinator(self._steps[0].plan)
        address = read_address(self.observed.coordinators[0].address)
        self.observed.feed.publish()
        with discarded_log(clock) as log:
            client = DiscoveryClient(address, clock, log, self._record, self._seed)
            client.start(self.observed.feed.events_after(0))
            try:
                yield client
            finally:
                client.stop()

    def _add_coordinator(self, plan: Callable[[], Reply]) -> None:
        self.observed.coordinators.append(LateCoordinator(self.observed.feed, plan))

    def _record(self, message: DiscoveryEvent | DiscoveryHeartbeat) -> None:
        """Records an event as the event loop would handle it."""
        if isinstance(message, DiscoveryHeartbeat):
            message.is_handled.set()
        elif isinstance(message.change, api.Invalidation):
            assert message.change.group is not None
            self.observed.received.append((message.change.group, time.monotonic()))

    def _play(self, client: DiscoveryClient, step: Step) -> None:
        began_at = time.monotonic()
        if step.switches:
            self._switch(client, step)
        self.observed.coordinators[-1].plan = step.plan
        for at_s in step.publish_at_s:
            _sleep_until(began_at + at_s)
            self.observed.feed.publish()
        _sleep_until(began_at + step.duration_s)

    def _switch(self, client: DiscoveryClient, step: Step) -> None:
        replaced = self.observed.coordinators[-1]
        self._add_coordinator(step.plan)
        self.observed.switched_at.append(time.monotonic())
        replaced.replace(step.is_old_unresponsive)
        assert client.switch_coordinator(read_address(self.observed.coordinators[-1].address))

    def _wait_for_events(self) -> None:
        observed = self.observed
        until = time.monotonic() + NOTIFIED_AFTER_S + 2 * GRACE_S
        while len(observed.received) < observed.feed.last_index and time.monotonic() < until:
            time.sleep(0.05)


def _sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - time.monotonic()))


def play_all(runs: Sequence[DiscoveryRun]) -> None:
    """Plays several runs at the same time, each in a thread of its own."""
    threads = [threading.Thread(target=run.run) for run in runs]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
