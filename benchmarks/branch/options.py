"""Options of an emulated branch, except for its number of proxies and their settings."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost.units import MILLISECOND, Duration


@dataclass(frozen=True, slots=True)
class BranchOptions:
    """Numbers and sizes of a branch's caches, stores and names, and its durations."""

    has_store: bool = True  # whether proxies use the stores
    stores: int = 1
    caches: int = 8
    capacity: int = 150  # number of names that a cache can store
    weight: float = 4.0  # concurrent transfers of a cache
    names: int = 2_000
    skew: float = 0.9  # exponent of the names' Zipf distribution
    groups: int = 16
    size_kb: float = 50.0  # size of each response
    reply_timeout: Duration = 10 * MILLISECOND  # timeout of a store's reply
    sync_interval: Duration = 50 * MILLISECOND
    # Shortest duration of a fill, and exclusive upper bound.
    fill_durations: tuple[Duration, Duration] = (60 * MILLISECOND, 400 * MILLISECOND)
