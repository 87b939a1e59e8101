"""Where an attempt goes, and what that selection found to be short."""

from __future__ import annotations

from typing import NamedTuple

from olivepost.routing_state.quota_ledger import QuotaShortage


class Selection(NamedTuple):
    """The endpoint of one tier for an attempt; None where none may be used."""

    endpoint_id: str | None
    shortages: tuple[QuotaShortage, ...] = ()  # of the name's home; only while other proxies can be asked


class Route(NamedTuple):
    """The cache of an attempt, None where none may be used, and the source from which a miss is filled.

    Without a source nothing is filled: the attempt only looks the name up in the cache.
    """

    cache: str | None
    source: str | None
    shortages: tuple[QuotaShortage, ...] = ()  # of the cache's tier first
