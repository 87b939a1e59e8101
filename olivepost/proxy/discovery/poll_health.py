"""Log and counters of how a coordinator responds to its polls, and the backoff after failures."""

from __future__ import annotations

import threading

from olivepost.proxy.discovery.open_polls import RESPONSE_PAUSE
from olivepost.proxy.discovery.poll_backoff import PollBackoff
from olivepost.proxy.event_log import EventLog
from olivepost.units import MILLISECOND, Duration

# Number of consecutive faulty responses to polls from the same index that is logged. The coordinator then has
# events that can't be received, not only a short disruption.
MAX_FAULTY_RESPONSES = 3


class PollHealth:
    """Whether a coordinator responds, as the threads of its long poll report it.

    Discovery is lost from the first failure, or from two polls in a row without a response, until a poll is
    answered while at most one newer poll is open. Any thread may call the methods. `_lock` guards the other
    fields.
    """

    def __init__(self, log: EventLog, seed: float) -> None:
        self._log = log
        self._lock = threading.Lock()
        self._backoff = PollBackoff(seed)
        self._is_lost = False
        self._is_stopped = False
        self._faulty_index: int | None = None  # index of the last faulty response; None after an answer
        self._faulty_responses = 0  # consecutive faulty responses to polls from this index

    def stop(self) -> None:
        """Ends the log of losses, since polls that are aborted at the end of polling are none."""
        self._is_stopped = True

    def record_answer(self, late_by: Duration, newer_open: int) -> None:
        """Records that a poll was answered.

        `late_by` is the time from the end of the poll's wait to its complete response, and `newer_open` the
        number of newer polls that are open.
        """
        with self._lock:
            self._backoff.record_success()
            self._faulty_index = None
            has_recovered = self._is_lost and newer_open <= 1
            if has_recovered:
                self._is_lost = False
        if late_by > RESPONSE_PAUSE:
            self._log.increment("polls_late")
            self._log.sampled_event("poll_late", late_ms=late_by // MILLISECOND, open_polls=newer_open)
        if has_recovered:
            self._log.event("discovery_recovered")

    def record_overdue(self, count: int) -> None:
        """Records that a poll is sent while this many are overdue."""
        if count > 0:
            self._log.increment("polls_overdue")
        if count > 1:
            self._record_loss(f"{count} polls in a row have no complete response yet")

    def record_failure(self, error: Exception) -> None:
        """Records that a poll failed whose response is needed."""
        self._log.increment("poll_failures")
        with self._lock:
            self._backoff.record_failure()
        self._record_loss(str(error) or type(error).__name__)

    def record_faulty_response(self, index: int, error: Exception) -> None:
        """Records that a poll from `index` failed although bytes of its response had arrived.

        The failure was recorded before. Logs that the events after `index` can't be received, once
        `MAX_FAULTY_RESPONSES` such polls have failed in a row.
        """
        self._log.increment("poll_responses_faulty")
        with self._lock:
            self._faulty_responses = self._faulty_responses + 1 if index == self._faulty_index else 1
            self._faulty_index = index
            is_repeated = self._faulty_responses == MAX_FAULTY_RESPONSES
        if is_repeated:
            self._log.event(
                "poll_responses_faulty",
                after_index=index,
                count=MAX_FAULTY_RESPONSES,
                error=type(error).__name__,
                reason=str(error),
            )

    def record_unneeded_failure(self) -> None:
        """Records that a poll failed whose response is not needed any more."""
        self._log.increment("poll_failures")

    def record_unexpected_error(self) -> None:
        """Records that a poll failed by a fault of the program."""
        with self._lock:
            self._backoff.record_failure()

    def draw_backoff_s(self) -> float:
        """Returns a random time in seconds until the poll after a failure."""
        with self._lock:
            return self._backoff.draw_backoff_s()

    def _record_loss(self, reason: str) -> None:
        with self._lock:
            is_new = not self._is_lost and not self._is_stopped
            self._is_lost = True
        if is_new:
            self._log.event("discovery_lost", reason=reason)
