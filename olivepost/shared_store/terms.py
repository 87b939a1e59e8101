"""Parameters of a proxy's use of shared stores, from its settings and from the platform."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost.units import MILLISECOND, SECOND, Duration


@dataclass(frozen=True, slots=True)
class SharingTerms:
    """This proxy's parameters for shared stores, from the operator's and the platform's settings."""

    proxy: str
    incarnation: str  # id of this process, different from those of the proxy's earlier processes
    stores: tuple[str, ...]
    # Time after a command within which its reply must come. A later reply is of no use to a request, and the
    # circuit breaker records it as a failure.
    reply_timeout: Duration
    sync_interval: Duration
    leases_enabled: bool = True
    max_lease_duration: Duration = 10 * SECOND
    locations_enabled: bool = True
    location_lifetime: Duration = 60 * SECOND
    invalidations_enabled: bool = True
    quota_transfers_enabled: bool = True
    quota_duration: Duration = 1_900 * MILLISECOND
    outlier_reports_enabled: bool = True
    min_trial_delay: Duration = 100 * MILLISECOND
    max_trial_delay: Duration = 1 * SECOND
