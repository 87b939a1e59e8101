"""Keys of quotas that proxies share and may transfer to each other."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

from olivepost.units import Instant


class QuotaKind(Enum):
    """What a quota bounds."""

    RETRY = auto()  # retries of the whole proxy
    SLOW_START = auto()  # work that is sent to an endpoint which is warming up
    CONCURRENCY = auto()  # attempts in flight at an endpoint


class QuotaKey(NamedTuple):
    """A quota of one process of an endpoint; the retry budget, of the proxy as a whole, names no endpoint."""

    kind: QuotaKind
    endpoint_id: str | None = None
    started_at: Instant | None = None  # of the endpoint's process; None: long ago


RETRY_QUOTA = QuotaKey(QuotaKind.RETRY)
