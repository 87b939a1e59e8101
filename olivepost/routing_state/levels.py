"""The adaptive levels of one class."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ClassLevels:
    """ϑ and ϑs of f-TTL, and the mean size of what was asked for."""

    level: float
    first_seen_level: float
    mean_size: float = 0.0


@dataclass(slots=True)
class OverloadLevel:
    """How overloaded a way to serve requests is, and the mean cost of the requests that came."""

    level: float = 0.0
    mean_cost: float = 0.0
