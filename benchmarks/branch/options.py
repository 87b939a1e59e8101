"""What an emulated branch consists of, beside its proxies."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost.units import MILLISECOND, Duration


@dataclass(frozen=True, slots=True)
class BranchOptions:
    """Caches, stores, names and the durations of a branch."""

    has_store: bool = True  # whether proxies use the stores
    stores: int = 1
    caches: int = 8
    capacity: int = 150  # names that a cache stores
    weight: float = 4.0  # concurrent transfers of a cache
    names: int = 2_000
    skew: float = 0.9  # exponent of the names' Zipf distribution
    groups: int = 16
    size_kb: float = 50.0  # of each response
    reply_timeout: Duration = 10 * MILLISECOND  # of stores
    sync_interval: Duration = 50 * MILLISECOND
    fill_durations: tuple[Duration, Duration] = (60 * MILLISECOND, 400 * MILLISECOND)  # least and most
