"""Options of an emulated branch, except for the number of its proxies and the proxies' settings."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost.units import MILLISECOND, Duration


@dataclass(frozen=True, slots=True)
class BranchOptions:
    """Numbers and sizes of a branch's caches, stores and names, and durations in the branch."""

    has_store: bool = True  # whether proxies use the stores
    stores: int = 1
    caches: int = 8
    capacity: int = 150  # number of names that a cache can store
    weight: float = 4.0  # concurrent transfers that a cache can serve
    names: int = 2_000
    skew: float = 0.9  # exponent of the names' Zipf distribution
    groups: int = 16
    size_kb: float = 50.0  # size of each response
    reply_timeout: Duration = 10 * MILLISECOND  # time that a proxy waits for a store's reply
    sync_interval: Duration = 50 * MILLISECOND
    # Shortest duration of a fill, and the exclusive upper bound of the duration.
    fill_durations: tuple[Duration, Duration] = (60 * MILLISECOND, 400 * MILLISECOND)
