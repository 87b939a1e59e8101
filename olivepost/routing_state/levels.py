"""Levels that adapt to outcomes: of f-TTL for each class, and of overload."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ClassLevels:
    """The f-TTL levels of one class, and the mean size of its responses."""

    level: float  # ϑ of the paper
    first_seen_level: float  # ϑs of the paper
    mean_size: float = 0.0  # KB; at 0 the next sample is the mean


@dataclass(slots=True)
class OverloadLevel:
    """How overloaded caches are for arriving requests, or their sources for fills."""

    level: float = 0.0  # from 0; the higher, the fewer expensive requests are admitted
    mean_cost: float = 0.0  # of the requests that were measured; at 0 the next sample is the mean
