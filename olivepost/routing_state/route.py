"""The results of endpoint selection: an attempt's endpoints, and the quotas that were short."""

from __future__ import annotations

from typing import NamedTuple

from olivepost.routing_state.quota_ledger import QuotaShortage


class Selection(NamedTuple):
    """Endpoint of one tier that was selected for an attempt. Its id is None if no endpoint may be used."""

    endpoint_id: str | None
    # The quotas that were short at the name's home, its first endpoint by rendezvous hash. The tuple is empty
    # while no other proxy can be asked for quota.
    shortages: tuple[QuotaShortage, ...] = ()


class Route(NamedTuple):
    """Cache of an attempt, and the source from which the cache fills a miss.

    The cache is None if no endpoint may be used. If there is no source, nothing is filled, and the
    attempt only looks up the name in the cache.
    """

    cache: str | None
    source: str | None
    # Shortages in the tier of caches come before those in the tier of parents.
    shortages: tuple[QuotaShortage, ...] = ()
