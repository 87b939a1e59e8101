"""Levels that routing adapts to samples: the f-TTL levels of each class, and the levels of overload."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ClassLevels:
    """Levels of f-TTL for one class, and the mean size of its responses."""

    level: float  # the level ϑ in the paper on f-TTL that `adaptive_ttl` names
    first_seen_level: float  # the level ϑs in the same paper
    mean_size: float = 0.0  # mean size of a response in KB; a mean of 0 is replaced by the next sample


@dataclass(slots=True)
class OverloadLevel:
    """Level of the overload of caches by arriving requests or of sources by fills, and the mean cost."""

    level: float = 0.0  # 0 or more; a higher level admits fewer expensive requests
    # Mean cost of the requests that were checked; a mean of 0 is replaced by the next sample.
    mean_cost: float = 0.0
