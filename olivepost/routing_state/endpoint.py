"""The state that routing keeps of one upstream endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, auto
from typing import NamedTuple

from olivepost import interface as api
from olivepost.routing_state.sliding_window import SlidingWindowSum
from olivepost.units import Duration, Instant


class Role(IntEnum):
    """Role of an endpoint for this proxy. It is an integer because decisions use it as a key in tables."""

    CACHE = auto()
    PARENT = auto()
    ORIGIN = auto()
    OTHER_ZONE = auto()


class Ejection(NamedTuple):
    """Ejection of an endpoint that is in effect after a failure of that endpoint was recorded."""

    endpoint_id: str


@dataclass(slots=True, eq=False)
class Endpoint:
    """Cache, parent or origin, with its metadata, its health and the work that was sent to it."""

    metadata: api.EndpointMetadata
    role: Role
    # The settings of the endpoint's slow start, and the number of proxies that share the endpoint.
    tier: api.TierSettings
    # The work, in nanoseconds of transfer time, of the attempts that were sent to the endpoint within the
    # overload window.
    work: SlidingWindowSum
    # The share of late responses, as a moving average. A cache's responses are its hits, and a source's are
    # its fills.
    late_share: float
    # The start of the slow start, by this proxy's clock, or None if the endpoint has no slow start.
    started_at: Instant | None = None
    last_success_at: Instant | None = None
    failure_score: float = 0.0
    ejection_duration: Duration = 0
    # The time from which a half-open trial of the endpoint is due, or None if it is not ejected.
    ejected_until: Instant | None = None
    has_trial_in_flight: bool = False
    in_flight: int = 0

    def has_succeeded_since(self, instant: Instant) -> bool:
        """Whether the endpoint has responded at or after `instant`."""
        return self.last_success_at is not None and self.last_success_at >= instant
