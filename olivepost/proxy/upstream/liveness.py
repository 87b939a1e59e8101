"""Liveness of an upstream connection: when a response has stalled, and when to ask for a sign of life."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost.config import ResourceLimits
from olivepost.proxy.upstream.errors import EndpointUnresponsiveError
from olivepost.units import MILLISECOND, Duration, Instant

# A connection without a byte for so long and with nothing open may have been closed by its endpoint.
IDLE_CHECK_AFTER: Duration = 50 * MILLISECOND


@dataclass(slots=True)
class LivenessMonitor:
    """Times of one connection's responses and liveness checks, in Unix nanoseconds.

    Its reader thread alone writes them; the writer thread reads `last_received_at`, by `is_idle`.
    """

    limits: ResourceLimits
    last_received_at: int = 0
    response_started_at: Instant = 0  # when the first byte of the response in progress came; 0: none is
    check_sent_at: int = 0  # when a liveness check was sent with no byte received since; 0: none was

    @property
    def is_waiting(self) -> bool:
        """Whether the rest of a response or the answer to a liveness check is still to come."""
        return bool(self.response_started_at or self.check_sent_at)

    def is_idle(self, now: Instant) -> bool:
        """Whether nothing has come for so long that the endpoint may have closed the connection."""
        return now - self.last_received_at > IDLE_CHECK_AFTER

    def record_received(self, now: Instant) -> None:
        """Note that bytes have come."""
        self.last_received_at = now
        self.check_sent_at = 0

    def check_progress(self, now: Instant) -> None:
        """Raise EndpointUnresponsiveError where a response stalls, trickles, or a liveness check fails."""
        limits = self.limits
        if self.response_started_at:
            if now - self.last_received_at > limits.response_pause_timeout:
                raise EndpointUnresponsiveError("a response did not go on", limits.response_pause_timeout)
            if now - self.response_started_at > limits.response_timeout:
                raise EndpointUnresponsiveError("a response was not complete", limits.response_timeout)
        if self.check_sent_at and now - self.check_sent_at > limits.liveness_check_timeout:
            raise EndpointUnresponsiveError("no answer to 'alive'", limits.liveness_check_timeout)

    def is_check_due(self, now: Instant, waiting_since: Instant) -> bool:
        """Whether the connection has been silent too long for the request that waits longest."""
        return now - max(waiting_since, self.last_received_at) > self.limits.liveness_check_delay
