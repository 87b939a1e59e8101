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
    lookups: int = 0  # hints looked up
    served_invalidated: int = 0  # served though invalidated
    leases: int = 0  # fill leases granted
    lease_conflicts: int = 0  # the sum of the next three
    lease_numbers_shrunk: int = 0  # a lease's number that did not grow
    lease_overlaps: int = 0  # a second holder while the first still held, in one incarnation of the store
    stale_publications: int = 0  # what a holder other than the last published, and the store took
    quotas_exceeded: int = 0  # checks of all proxies' parts together that found more than the whole
    quota_checks: int = 0  # such checks
