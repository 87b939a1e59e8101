"""The results of endpoint selection: an attempt's endpoints, and the quotas that were short."""

from __future__ import annotations

from typing import NamedTuple

from olivepost.routing_state.quota_ledger import QuotaShortage


class Selection(NamedTuple):
    """Endpoint of one tier that was selected for an attempt. The id is None if no endpoint may be used."""

    endpoint_id: str | None
    # The quotas that were short at the name's home, its first endpoint by rendezvous hash. The tuple is empty
    # while no other proxy can be asked for quota.
    shortages: tuple[QuotaShortage, ...] = ()


class Route(NamedTuple):
    """Endpoint to which an attempt is sent, and the source from which that endpoint fills a miss.

    `cache` is a cache, or a parent or the origin if no cache may be used. It is None if no endpoint may be
    used. If `source` is None, nothing is filled, and an attempt at a cache only looks the name up there.
    """

    cache: str | None
    source: str | None
    # The quotas that were short. Those of caches come before those of parents.
    shortages: tuple[QuotaShortage, ...] = ()
