"""The section `sharing` of the operator's file: the stores, timeouts, and what is shared through them.

Fields have the names of the file's keys. A duration is a `Duration` here and a text like `250ms` in the file.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Self

from pydantic import Field, model_validator

from olivepost.operator_config.section import SettingsSection
from olivepost.operator_config.units import DurationRange, HostPort, format_duration
from olivepost.shared_store.terms import SharingTerms
from olivepost.units import MILLISECOND, SECOND, Duration

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
MAX_STORES = 16
MAX_USER_LENGTH = 128  # characters
MAX_DATABASE = 15  # a server has 16 databases by default
MAX_QUEUE_LENGTH = 65_536  # commands


class StoreTls(SettingsSection):
    """Settings of the encryption of the connections to a store.

    The store's certificate is always verified, also against the host name of the address.
    """

    ca_file: Path = Field(description="certificate authorities that may have signed the store's certificate")
    cert_file: Path | None = Field(default=None, description="client certificate of this proxy")
    key_file: Path | None = Field(default=None, description="private key of the client certificate")

    @model_validator(mode="after")
    def _require_certificate_with_key(self) -> Self:
        if (self.cert_file is None) != (self.key_file is None):
            raise ValueError("cert_file and key_file must be set together")
        return self


class StoreSettings(SettingsSection):
    """Settings of one store.

    A store is a Redis server, or a compatible one, of version 6.2 or later. A cluster is not supported.
    """

    name: str = Field(
        pattern=NAME_PATTERN,
        description="store's name in the log and on the command line; keys are distributed over stores by it",
    )
    address: HostPort
    database: int = Field(default=0, ge=0, le=MAX_DATABASE)
    user: str | None = Field(default=None, max_length=MAX_USER_LENGTH)
    password_file: Path | None = Field(
        default=None,
        description="file that is read at each connection, so that the password may change in service",
    )
    tls: StoreTls | None = None

    @model_validator(mode="after")
    def _require_password_with_user(self) -> Self:
        if self.user and not self.password_file:
            raise ValueError("a user needs a password_file")
        return self


class FillLeaseSettings(SettingsSection):
    """Settings of fill leases. The proxy that has the lease on an object fills it for the whole branch."""

    enabled: bool = True
    most: Annotated[Duration, DurationRange("100ms", "60s")] = Field(
        default=10 * SECOND,
        description="longest duration of a lease, or the remaining time of its request if that is less",
    )


class CacheLocationSettings(SettingsSection):
    """Settings of the cache locations with which proxies tell each other which cache has an object."""

    enabled: bool = True
    keep: Annotated[Duration, DurationRange("1s", "24h")] = Field(
        default=60 * SECOND, description="how long a store keeps a published location"
    )


class InvalidationSettings(SettingsSection):
    """Settings of the invalidations (purges) that a proxy publishes, and reads from other proxies."""

    enabled: bool = True


class QuotaTransferSettings(SettingsSection):
    """Settings of the transfers of quota between the proxies of a branch."""

    enabled: bool = True
    loan: Annotated[Duration, DurationRange("100ms", "1950ms")] = Field(
        default=1_900 * MILLISECOND,
        description="how long received quota is valid, from the time of its request",
    )


class OutlierReportSettings(SettingsSection):
    """Settings of the outlier reports that a proxy publishes, and reads from other proxies."""

    enabled: bool = True


class TrialSettings(SettingsSection):
    """Delays before a half-open trial of a store whose circuit breaker is open.

    The delays begin with `first`, double up to `most`, and have jitter.
    """

    first: Annotated[Duration, DurationRange("10ms", "10s")] = 100 * MILLISECOND
    most: Annotated[Duration, DurationRange("100ms", "60s")] = 1 * SECOND

    @model_validator(mode="after")
    def _require_ordered_delays(self) -> Self:
        if self.most < self.first:
            raise ValueError(
                f"most ({format_duration(self.most)}) must be at least first ({format_duration(self.first)})"
            )
        return self


class QueueLimits(SettingsSection):
    """Limits on the commands that may wait for a store's connection.

    Commands beyond a limit are dropped, but clients' requests never are.
    """

    urgent: int = Field(default=256, ge=1, le=MAX_QUEUE_LENGTH)
    upkeep: int = Field(default=1_024, ge=16, le=MAX_QUEUE_LENGTH)


class SharedStoreSettings(SettingsSection):
    """Settings of the stores of one branch, and of what the branch's proxies share through the stores."""

    branch: str = Field(
        pattern=NAME_PATTERN,
        description="name of the branch; it must be the same for all its proxies, and for no others",
    )
    stores: list[StoreSettings] = Field(min_length=1, max_length=MAX_STORES)
    wait: Annotated[Duration, DurationRange("1ms", "100ms")] = Field(
        default=10 * MILLISECOND,
        description="longest wait of a request for all lookups, or 2 % of its remaining time if that is less",
    )
    give_up: Annotated[Duration, DurationRange("20ms", "5s")] = Field(
        default=250 * MILLISECOND, description="time without a reply after which a connection is closed"
    )
    connect: Annotated[Duration, DurationRange("10ms", "5s")] = Field(
        default=500 * MILLISECOND, description="timeout of a new connection"
    )
    sync: Annotated[Duration, DurationRange("10ms", "1s")] = Field(
        default=50 * MILLISECOND,
        description="interval at which invalidations, quota requests and outlier reports are exchanged",
    )
    trials: TrialSettings = TrialSettings()
    queues: QueueLimits = QueueLimits()
    claims: FillLeaseSettings = FillLeaseSettings()
    holders: CacheLocationSettings = CacheLocationSettings()
    purges: InvalidationSettings = InvalidationSettings()
    budgets: QuotaTransferSettings = QuotaTransferSettings()
    suspicions: OutlierReportSettings = OutlierReportSettings()

    @model_validator(mode="after")
    def _require_consistency(self) -> Self:
        names = [store.name for store in self.stores]
        if len(set(names)) < len(names):
            raise ValueError(f"stores must not have the same name: {', '.join(sorted(names))}")
        if self.give_up < self.wait:
            raise ValueError(
                f"give_up ({format_duration(self.give_up)}) must be at least wait "
                f"({format_duration(self.wait)})"
            )
        return self

    @property
    def key_prefix(self) -> str:
        """Returns the prefix that all keys of the branch have in its stores."""
        return f"olivepost:{self.branch}"

    def terms(self, proxy_name: str, incarnation: str) -> SharingTerms:
        """Returns the terms that these settings give the store coordinator of one proxy process."""
        return SharingTerms(
            proxy=proxy_name,
            incarnation=incarnation,
            stores=tuple(store.name for store in self.stores),
            reply_timeout=self.wait,
            sync_interval=self.sync,
            leases_enabled=self.claims.enabled,
            max_lease_duration=self.claims.most,
            locations_enabled=self.holders.enabled,
            location_lifetime=self.holders.keep,
            invalidations_enabled=self.purges.enabled,
            quota_transfers_enabled=self.budgets.enabled,
            quota_duration=self.budgets.loan,
            outlier_reports_enabled=self.suspicions.enabled,
            min_trial_delay=self.trials.first,
            max_trial_delay=self.trials.most,
        )
