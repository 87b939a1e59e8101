"""Counters of the events in an emulated branch."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Counts:
    """Counters of one branch."""

    requests: int = 0
    steps: int = 0  # events that routers and store coordinators handled
    served: int = 0
    fills: int = 0
    double_fills: int = 0  # fills of a name that another cache stored or was filling
    lookups: int = 0  # lookups that routers requested
    # Responses that were served although they are older than an invalidation that all proxies had received.
    served_invalidated: int = 0
    leases: int = 0  # fill leases granted
    lease_conflicts: int = 0  # sum of the next three counters
    lease_numbers_shrunk: int = 0  # grants with a fencing number not above that of the name's last lease
    # Leases granted while another proxy's lease of the name was active, within one incarnation of the store.
    lease_overlaps: int = 0
    stale_publications: int = 0  # publications accepted with a lease that was not the name's last
    quotas_exceeded: int = 0  # times that all proxies together could use more than a whole quota
    quota_checks: int = 0  # checks of an endpoint's two quotas
