"""Counters of what happened in an emulated branch."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Counts:
    """Counters of one branch."""

    requests: int = 0
    steps: int = 0  # events that routers and store coordinators handled
    served: int = 0
    fills: int = 0
    double_fills: int = 0  # of a name that another cache of the branch had or was filling
    lookups: int = 0  # of hints
    served_invalidated: int = 0  # responses older than an invalidation
    leases: int = 0  # fill leases granted
    lease_conflicts: int = 0  # the sum of the next three
    lease_numbers_shrunk: int = 0  # grants whose number was not above the last
    lease_overlaps: int = 0  # grants while another holder's lease was active, in one incarnation of the store
    stale_publications: int = 0  # accepted by a store from another holder than the last
    quotas_exceeded: int = 0  # quotas of which all proxies together could use more than the whole
    quota_checks: int = 0  # of an endpoint's two quotas
