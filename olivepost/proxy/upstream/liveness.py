"""Liveness of an upstream connection: when a response has stalled, and when a liveness check is due."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost.config import ResourceLimits
from olivepost.proxy.upstream.errors import EndpointUnresponsiveError
from olivepost.units import MILLISECOND, Duration, Instant

IDLE_CHECK_AFTER: Duration = 50 * MILLISECOND  # without a byte, the endpoint may have closed the connection


@dataclass(slots=True)
class LivenessMonitor:
    """Times of one connection's responses and liveness checks, in Unix nanoseconds.

    Its reader thread alone writes them; the writer thread reads `last_received_at`, by `is_idle`.
    """

    limits: ResourceLimits
    last_received_at: Instant = 0
    response_started_at: Instant | None = None  # first byte of the response in progress
    check_sent_at: Instant | None = None  # of a liveness check that no byte has followed

    @property
    def is_waiting(self) -> bool:
        """Whether the rest of a response or the reply to a liveness check is still to come."""
        return self.response_started_at is not None or self.check_sent_at is not None

    def is_idle(self, now: Instant) -> bool:
        """Whether no byte has been received for so long that the endpoint may have closed the connection."""
        return now - self.last_received_at > IDLE_CHECK_AFTER

    def record_received(self, now: Instant) -> None:
        """Records that bytes have been received."""
        self.last_received_at = now
        self.check_sent_at = None

    def record_progress(self, *, is_between_responses: bool) -> None:
        """Records, once the received bytes are parsed, whether a response is in progress."""
        if is_between_responses:
            self.response_started_at = None
        elif self.response_started_at is None:
            self.response_started_at = self.last_received_at

    def check_progress(self, now: Instant) -> None:
        """Raises EndpointUnresponsiveError where a response stalls or takes too long, or a check fails."""
        limits = self.limits
        if self.response_started_at is not None:
            if now - self.last_received_at > limits.response_pause_timeout:
                raise EndpointUnresponsiveError("a response did not go on", limits.response_pause_timeout)
            if now - self.response_started_at > limits.response_timeout:
                raise EndpointUnresponsiveError("a response was not complete", limits.response_timeout)
        if self.check_sent_at is not None and now - self.check_sent_at > limits.liveness_check_timeout:
            raise EndpointUnresponsiveError("no answer to 'alive'", limits.liveness_check_timeout)

    def is_check_due(self, now: Instant, waiting_since: Instant) -> bool:
        """Whether no byte has been received for too long while a request waits."""
        return now - max(waiting_since, self.last_received_at) > self.limits.liveness_check_delay
