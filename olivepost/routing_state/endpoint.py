"""An upstream endpoint as routing sees it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, auto
from typing import NamedTuple

from olivepost import interface as api
from olivepost.routing_state.sliding_window import SlidingWindowSum
from olivepost.units import Duration, Instant


class Role(IntEnum):
    """What an endpoint is to this proxy. A number, since hashing other enums is slow in routing decisions."""

    CACHE = auto()
    PARENT = auto()
    ORIGIN = auto()
    OTHER_ZONE = auto()


class Ejection(NamedTuple):
    """An endpoint that is ejected once a failure of it has been recorded."""

    endpoint_id: str


@dataclass(slots=True)
class Endpoint:
    """A cache, parent or origin: its metadata, its health, and the work that was sent to it lately."""

    metadata: api.EndpointMetadata
    role: Role
    tier: api.TierSettings  # how it starts, and how many proxies share it
    work: SlidingWindowSum  # sent to it within the overload window
    late_share: float  # of its responses lately: hits at a cache, fills at a source
    started_at: Instant | None = None  # of its slow start, by the clock of this proxy; None: long ago
    last_success_at: Instant | None = None
    failure_score: float = 0.0
    ejection_duration: Duration = 0
    ejected_until: Instant | None = None  # from then on a half-open trial is due; None: not ejected
    has_trial_in_flight: bool = False
    in_flight: int = 0

    def has_succeeded_since(self, instant: Instant) -> bool:
        """Whether it has answered at or after an instant."""
        return self.last_success_at is not None and self.last_success_at >= instant
