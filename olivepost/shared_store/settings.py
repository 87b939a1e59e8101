"""The operator's section `sharing`: stores, how long they are waited for, and what is shared through them."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from olivepost.config import MILLISECOND, SECOND
from olivepost.operator_config.units import SPAN_SCHEMA, HostPort, span_within, write_span
from olivepost.shared_store.messages import SharingTerms

NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"


class Section(BaseModel):
    """No key but those that are described."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Tls(Section):
    """A connection that is encrypted, and whose certificate is always checked against the address's host."""

    ca_file: Path = Field(description="the authorities that may have signed the store's certificate")
    cert_file: Path | None = Field(default=None, description="this front's own certificate")
    key_file: Path | None = Field(default=None, description="and its key")

    @model_validator(mode="after")
    def _both(self) -> Self:
        if (self.cert_file is None) != (self.key_file is None):
            raise ValueError("cert_file and key_file go together")
        return self


class StoreSettings(Section):
    """One server of the Redis kind, 6.2 or later; not a cluster of them."""

    name: str = Field(pattern=NAME, description="in the log and on the command line; names spread by it")
    address: HostPort
    database: int = Field(default=0, ge=0, le=15)
    user: str | None = Field(default=None, max_length=128)
    password_file: Path | None = Field(
        default=None, description="read at each connection, so that it may change in service"
    )
    tls: Tls | None = None

    @model_validator(mode="after")
    def _named(self) -> Self:
        if self.user and not self.password_file:
            raise ValueError("a user needs a password_file")
        return self


class Claims(Section):
    enabled: bool = True
    most: Annotated[int, span_within("100ms", "60s"), SPAN_SCHEMA] = Field(
        default=10 * SECOND, description="the longest that a claim runs; its request's time, if that is less"
    )


class Holders(Section):
    enabled: bool = True
    keep: Annotated[int, span_within("1s", "24h"), SPAN_SCHEMA] = Field(
        default=60 * SECOND, description="how long a store remembers who keeps a name"
    )


class Purges(Section):
    enabled: bool = True


class Budgets(Section):
    enabled: bool = True
    loan: Annotated[int, span_within("100ms", "1950ms"), SPAN_SCHEMA] = Field(
        default=1_900 * MILLISECOND,
        description="how long a borrowed piece counts, from when it was asked for",
    )


class Suspicions(Section):
    enabled: bool = True


class Trials(Section):
    """When a store that was left alone is tried again: pauses double from first to most, with jitter."""

    first: Annotated[int, span_within("10ms", "10s"), SPAN_SCHEMA] = 100 * MILLISECOND
    most: Annotated[int, span_within("100ms", "60s"), SPAN_SCHEMA] = 1 * SECOND

    @model_validator(mode="after")
    def _ordered(self) -> Self:
        if self.most < self.first:
            raise ValueError(f"most must not be under first ({write_span(self.first)})")
        return self


class Queues(Section):
    """What may wait for a store's connection; beyond it advice is dropped, never a request."""

    urgent: int = Field(default=256, ge=1, le=65_536)
    upkeep: int = Field(default=1_024, ge=16, le=65_536)


class SharedStoreSettings(Section):
    """What fronts of one branch share."""

    branch: str = Field(pattern=NAME, description="fronts of one branch, and no others, have the same")
    stores: list[StoreSettings] = Field(min_length=1, max_length=16)
    wait: Annotated[int, span_within("1ms", "100ms"), SPAN_SCHEMA] = Field(
        default=10 * MILLISECOND,
        description="of one request for all its questions; 2 % of its time, if that is less",
    )
    give_up: Annotated[int, span_within("20ms", "5s"), SPAN_SCHEMA] = Field(
        default=250 * MILLISECOND, description="after which a connection that has not answered is closed"
    )
    connect: Annotated[int, span_within("10ms", "5s"), SPAN_SCHEMA] = 500 * MILLISECOND
    sync: Annotated[int, span_within("10ms", "1s"), SPAN_SCHEMA] = Field(
        default=50 * MILLISECOND, description="between two exchanges of purges, needs and suspicions"
    )
    trials: Trials = Trials()
    queues: Queues = Queues()
    claims: Claims = Claims()
    holders: Holders = Holders()
    purges: Purges = Purges()
    budgets: Budgets = Budgets()
    suspicions: Suspicions = Suspicions()

    @model_validator(mode="after")
    def _whole(self) -> Self:
        names = [store.name for store in self.stores]
        if len(set(names)) < len(names):
            raise ValueError(f"stores have the same name: {', '.join(sorted(names))}")
        if self.give_up < self.wait:
            raise ValueError(f"give_up must not be under wait ({write_span(self.wait)})")
        return self

    def terms(self, front: str, incarnation: str) -> SharingTerms:
        """What the deciding part needs of all this."""
        return SharingTerms(
            front,
            incarnation,
            tuple(store.name for store in self.stores),
            self.wait,
            self.sync,
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
