"""Detection of stalled threads: the stack of a thread that spends seconds on one step is logged.

A step is the work of a thread between two waits, for example the handling of one event. Other parts of the
proxy depend on the watched threads.
"""

from __future__ import annotations

import sys
import threading
import traceback
from collections.abc import Sequence

from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# A thread is stalled if one step, its work between two waits, takes at least this time. A step normally takes
# far less.
STALLED_AFTER: Duration = 3 * SECOND
MAX_STACK_FRAMES = 12  # number of innermost frames that are logged for a stack


class ThreadActivity:
    """Activity of one thread: either a step that began at a known time, or the wait for the next step.

    A step is the thread's work between two waits. The thread itself calls `begin_step` and `end_step`; any
    thread may read the fields.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.thread_id: int | None = None  # None before the first call of `begin_step`
        # Start of the thread's current step; None while the thread waits for its next one.
        self.busy_since: Instant | None = None

    def begin_step(self, now: Instant) -> None:
        """Records that the thread has ended a wait and begins a step, its work until the next wait."""
        if self.thread_id is None:
            self.thread_id = threading.get_ident()
        self.busy_since = now

    def end_step(self) -> None:
        """Records that the thread's current step, its work since the last wait, is over.

        The thread waits for its next step from now on.
        """
        self.busy_since = None


class StallWatch:
    """Watch that logs the stack of a thread that spends too long on one step, once for each such step.

    A step is the work of a watched thread between two waits. Only one thread calls `check`.
    """

    def __init__(self, clock: Clock, log: EventLog, activities: Sequence[ThreadActivity]) -> None:
        self._clock = clock
        self._log = log
        self._activities = activities
        # Start of the last step that was logged as stalled, by the name of the step's thread.
        self._reported_steps: dict[str, Instant] = {}

    def check(self) -> None:
        """Logs `thread_stalled` for each thread whose current step has lasted `STALLED_AFTER` or longer.

        A step is the thread's work between two waits. The event is logged only once for each step.
        """
        now = self._clock.now()
        for activity in self._activities:
            busy_since = activity.busy_since  # read once, because the thread may end its step meanwhile
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
    """Returns the innermost frames of a thread's stack, each as `file:line function`.

    The list is empty if the thread has ended.
    """
    frame = None if thread_id is None else sys._current_frames().get(thread_id)
    if frame is None:
        return []
    summary = traceback.extract_stack(frame)[-MAX_STACK_FRAMES:]
    return [f"{entry.filename}:{entry.lineno} {entry.name}" for entry in summary]
