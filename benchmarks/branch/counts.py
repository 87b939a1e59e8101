"""What happened in an emulated branch, in numbers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Counts:
    """Counters of one branch."""

    requests: int = 0
    steps: int = 0  # events handed to routers and store coordinators
    served: int = 0
    fills: int = 0
    double_fills: int = 0  # of a name that another cache of the branch had or was filling
    consults: int = 0  # hints looked up
    older_than_purge: int = 0  # served though invalidated
    numbers: int = 0  # fill leases granted
    owned_twice: int = 0  # the sum of the next three
    numbers_shrunk: int = 0  # a lease's number that did not grow
    overlaps: int = 0  # a second holder while the first still held, in one incarnation of the store
    old_published: int = 0  # what a holder other than the last published, and the store took
    over_whole: int = 0  # checks of all proxies' parts together that found more than the whole
    looks: int = 0  # such checks
