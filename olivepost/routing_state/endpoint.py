"""An upstream endpoint as routing sees it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, auto

from olivepost import interface as api
from olivepost.routing_state.sliding_window import SlidingWindowSum
from olivepost.units import Duration, Instant


class Role(IntEnum):
    """What an endpoint is to this proxy. A number, since hashing other enums is slow in routing decisions."""

    CACHE = auto()
    PARENT = auto()
    ORIGIN = auto()
    OTHER_ZONE = auto()


@dataclass(slots=True)
class Endpoint:
    """A cache, parent or origin: its metadata, its health, and the work that was sent to it lately."""

    metadata: api.EndpointMetadata
    role: Role
    tier: api.TierSettings  # how it starts, and how many proxies share it
    work: SlidingWindowSum  # sent to it within the overload window
    late_share: float  # of its responses lately: hits at a cache, fills at a source
    started_at: Instant = 0  # of its slow start, by the clock of this proxy; 0: long ago
    last_success_at: Instant = -1
    failure_score: float = 0.0
    ejection_duration: Duration = 0
    ejected_until: Instant = 0  # 0: not ejected
    has_trial_in_flight: bool = False
    in_flight: int = 0
