"""The terms on which a proxy uses shared stores, as its settings and the platform give them."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost.units import MILLISECOND, SECOND, Duration


@dataclass(frozen=True, slots=True)
class SharingTerms:
    """How this proxy uses shared stores, by the operator's and the platform's settings."""

    proxy: str
    incarnation: str  # of this process, different from all earlier ones of the same proxy
    stores: tuple[str, ...]
    reply_timeout: Duration  # a later reply is of no use to a request, and counts as a failure
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
