"""Numbers that routing raises or lowers a little with each sample and that steer its decisions.

The two levels of f-TTL, kept for each class of requests, determine lifetimes and ranks of names. The two
overload levels determine up to which cost requests are admitted.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ClassLevels:
    """Levels of f-TTL for one class, and the mean size of its responses."""

    # The lifetime level ϑ of the paper that `adaptive_ttl` names: a name's lifetime as a share of the
    # longest.
    level: float
    # The first-seen level ϑs of that paper: the lowest value of the factor Γ, by which the lifetime of a name
    # that was seen once is multiplied in the paper.
    first_seen_level: float
    mean_size: float = 0.0  # mean size of a response in KB; a mean of 0 is replaced by the next sample


@dataclass(slots=True)
class OverloadLevel:
    """Overload level, of caches by arrivals or of sources by fills, and the mean cost of requests."""

    level: float = 0.0  # the overload level, 0 or more; a higher level admits fewer expensive requests
    # Mean cost of the requests whose cost was checked against the overload level; a mean of 0 is replaced by
    # the next sample.
    mean_cost: float = 0.0
