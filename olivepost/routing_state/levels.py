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
    """Overload of the caches by arriving requests, or of their sources by fills."""

    level: float = 0.0  # 0 or more; a higher level admits fewer expensive requests
    mean_cost: float = 0.0  # the mean over the measured requests; a mean of 0 is replaced by the next sample
