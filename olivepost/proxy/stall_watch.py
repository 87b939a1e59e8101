"""Notices a thread that others depend on and that handles one step for seconds, and logs where it is."""

from __future__ import annotations

import sys
import threading
import traceback
from collections.abc import Sequence

from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

STALLED_AFTER: Duration = 3 * SECOND  # in one step; the thread waits for its next one far sooner
MAX_STACK_FRAMES = 12  # the innermost ones


class ThreadActivity:
    """What one thread does: a step since some instant, or nothing.

    The thread itself calls `begin_step` and `end_step`; any thread may read the fields.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.thread_id: int | None = None  # None: the thread has begun no step yet
        self.busy_since: Instant | None = None  # None: it waits for its next step

    def begin_step(self, now: Instant) -> None:
        """The thread has something to do from now on."""
        if self.thread_id is None:
            self.thread_id = threading.get_ident()
        self.busy_since = now

    def end_step(self) -> None:
        """The thread waits for its next step."""
        self.busy_since = None


class StallWatch:
    """Logs each step that takes too long once, with the thread's stack. One thread calls `check`."""

    def __init__(self, clock: Clock, log: EventLog, activities: Sequence[ThreadActivity]) -> None:
        self._clock = clock
        self._log = log
        self._activities = activities
        self._reported_steps: dict[str, Instant] = {}  # when the last step that was logged began, by thread

    def check(self) -> None:
        """Logs `thread_stalled` for each thread that is in one step for too long."""
        now = self._clock.now()
        for activity in self._activities:
            busy_since = activity.busy_since  # the thread may end the step meanwhile
            if busy_since is None or now - busy_since < STALLED_AFTER:
                continue
            if self._reported_steps.get(activity.name) == busy_since:
                continue
            self._reported_steps[activity.name] = busy_since
            self._log.increment("threads_stalled")
            self._log.event(
                "thread_stalled",
                thread=activity.name,
                busy_ms=(now - busy_since) // MILLISECOND,
                stack=_stack_of(activity.thread_id),
            )


def _stack_of(thread_id: int | None) -> list[str]:
    """The innermost frames of a thread, as `file:line function`; empty where it has ended."""
    frame = None if thread_id is None else sys._current_frames().get(thread_id)
    if frame is None:
        return []
    summary = traceback.extract_stack(frame)[-MAX_STACK_FRAMES:]
    return [f"{entry.filename}:{entry.lineno} {entry.name}" for entry in summary]
