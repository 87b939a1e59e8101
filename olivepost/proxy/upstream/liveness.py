"""Liveness of an upstream connection: detects stalled responses and decides when a liveness check is due."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost.config import ResourceLimits
from olivepost.proxy.upstream.errors import EndpointUnresponsiveError
from olivepost.units import MILLISECOND, Duration, Instant

# If no byte has been received for longer than this, the endpoint may have closed the connection. The writer
# thread therefore checks the socket before it writes the connection's only pending request.
IDLE_CHECK_AFTER: Duration = 50 * MILLISECOND


@dataclass(slots=True)
class LivenessMonitor:
    """Times of one connection's responses and liveness checks, in Unix nanoseconds.

    Only the connection's reader thread writes the times. The writer thread reads `last_received_at` in
    `is_idle`.
    """

    limits: ResourceLimits
    last_received_at: Instant = 0
    response_started_at: Instant | None = None  # start of the response in progress; None if there is none
    # Time of the last liveness check; None before the first check, and as soon as any byte has been received
    # after a check.
    check_sent_at: Instant | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the rest of a response or the reply to a liveness check has yet to be received."""
        return self.response_started_at is not None or self.check_sent_at is not None

    def is_idle(self, now: Instant) -> bool:
        """Whether no byte was received for longer than IDLE_CHECK_AFTER.

        The endpoint may have closed a connection that has been idle for that time.
        """
        return now - self.last_received_at > IDLE_CHECK_AFTER

    def record_received(self, now: Instant) -> None:
        """Records that bytes were received at the time `now`."""
        self.last_received_at = now
        self.check_sent_at = None

    def record_progress(self, *, is_between_responses: bool) -> None:
        """Records, after received bytes were parsed, whether a response is in progress.

        `is_between_responses` is true if no response is in progress.
        """
        if is_between_responses:
            self.response_started_at = None
        elif self.response_started_at is None:
            self.response_started_at = self.last_received_at

    def check_progress(self, now: Instant) -> None:
        """Raises EndpointUnresponsiveError if a response or the reply to a liveness check is overdue.

        A response is overdue if it stalls or if it takes too long as a whole.
        """
        limits = self.limits
        if self.response_started_at is not None:
            if now - self.last_received_at > limits.response_pause_timeout:
                raise EndpointUnresponsiveError("response did not go on", limits.response_pause_timeout)
            if now - self.response_started_at > limits.response_timeout:
                raise EndpointUnresponsiveError("response was not complete", limits.response_timeout)
        if self.check_sent_at is not None and now - self.check_sent_at > limits.liveness_check_timeout:
            raise EndpointUnresponsiveError(
                "endpoint did not reply to the liveness check 'alive'", limits.liveness_check_timeout
            )

    def is_check_due(self, now: Instant, waiting_since: Instant) -> bool:
        """Whether a liveness check is due for a request that has waited since `waiting_since`.

        A check is due if no byte was received for longer than `liveness_check_delay` while the request
        waited.
        """
        return now - max(waiting_since, self.last_received_at) > self.limits.liveness_check_delay
