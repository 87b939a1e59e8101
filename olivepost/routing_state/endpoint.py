"""An upstream endpoint as routing sees it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, auto
from typing import NamedTuple

from olivepost import interface as api
from olivepost.routing_state.sliding_window import SlidingWindowSum
from olivepost.units import Duration, Instant


class Role(IntEnum):
    """What an endpoint is to this proxy; an integer, since decisions look tables up by it."""

    CACHE = auto()
    PARENT = auto()
    ORIGIN = auto()
    OTHER_ZONE = auto()


class Ejection(NamedTuple):
    """An endpoint that is ejected once a failure of it has been recorded."""

    endpoint_id: str


@dataclass(slots=True, eq=False)
class Endpoint:
    """A cache, parent or origin: its metadata, its health, and the work that it was sent."""

    metadata: api.EndpointMetadata
    role: Role
    tier: api.TierSettings  # its slow start, and how many proxies share it
    work: SlidingWindowSum  # of attempts that were sent to it within the overload window
    late_share: float  # moving average over its responses: hits of a cache, fills of a source
    started_at: Instant | None = None  # of its slow start, by the clock of this proxy; None: long ago
    last_success_at: Instant | None = None
    failure_score: float = 0.0
    ejection_duration: Duration = 0
    ejected_until: Instant | None = None  # from then on a half-open trial is due; None: not ejected
    has_trial_in_flight: bool = False
    in_flight: int = 0

    def has_succeeded_since(self, instant: Instant) -> bool:
        """Whether it has responded at or after an instant."""
        return self.last_success_at is not None and self.last_success_at >= instant
