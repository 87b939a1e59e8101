"""Keys of the quotas that proxies share and can transfer to each other.

Each proxy has its own part of a quota. A proxy that is short of a quota requests an amount, and another
proxy, the donor, donates it from its own part. The transfer lasts until an expiry time.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

from olivepost.units import Instant


class QuotaKind(Enum):
    """Kind of resource that a quota limits."""

    RETRY = auto()  # retries of the whole proxy
    SLOW_START = auto()  # work that is sent to an endpoint during its slow start
    CONCURRENCY = auto()  # attempts in flight at an endpoint


class QuotaKey(NamedTuple):
    """Key of a quota, which limits either the use of one process of an endpoint or a proxy's retries.

    The key of the retry budget names no endpoint, because that budget is for all retries of a proxy, at any
    endpoint.
    """

    kind: QuotaKind
    endpoint_id: str | None = None
    # The start of the endpoint's process, or None if the endpoint is long-running and has no slow start.
    started_at: Instant | None = None


RETRY_QUOTA = QuotaKey(QuotaKind.RETRY)
