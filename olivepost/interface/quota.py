"""Keys of the quotas that proxies share and can transfer to each other."""

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
    """Key of a quota. Except for the retry budget, each quota belongs to one process of an endpoint.

    The key of the retry budget names no endpoint, because that budget belongs to the proxy as a whole.
    """

    kind: QuotaKind
    endpoint_id: str | None = None
    # The start of the endpoint's process, or None if the endpoint is long-running and has no slow start.
    started_at: Instant | None = None


RETRY_QUOTA = QuotaKey(QuotaKind.RETRY)
