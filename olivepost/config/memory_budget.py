"""The memory budget: how many bytes each owner of memory in the process may use.

The platform ends a process over its limit. So every owner has a bound that follows from the limit, and all
bounds together with the program stay below the usable part of it; at the smallest limits the minimums win.
`olivepost/proxy/memory_account.py` estimates what each owner uses; `docs/capacity.md` says how each value was
sized.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class Share(NamedTuple):
    """A fraction of a whole amount."""

    numerator: int
    denominator: int

    def of(self, amount: int) -> int:
        """The share, rounded down."""
        return amount * self.numerator // self.denominator


BYTES_PER_KB = 1_024
BYTES_PER_MB = 1_048_576

# The whole process.
USABLE_SHARE = Share(
    9, 10
)  # of the limit; the rest is for fragments of the allocator and short-lived objects
PROGRAM_BYTES = 22 * BYTES_PER_MB  # before the first connection, with the interpreter's mapped files
MIN_SPARE_BYTES = (
    4 * BYTES_PER_MB
)  # that the owners get at least, even where the total then exceeds the limit

# One entry or message.
NAME_BYTES = 360
INVALIDATION_BYTES = 320
BUFFER_OVERHEAD_BYTES = 1_024  # of a body's buffer: its view, and the body and cache entry that hold it
DISCOVERY_RESPONSE_SHARE = Share(1, 32)  # of the limit, for the body of one response before it is decoded
MIN_DISCOVERY_RESPONSE_BYTES = 2 * BYTES_PER_MB

# The owners: shares of the usable memory beyond the program. They sum to one.
CONNECTIONS_SHARE = Share(42, 100)
BODIES_SHARE = Share(28, 100)
NAMES_SHARE = Share(11, 100)
REQUESTS_SHARE = Share(7, 100)
ENDPOINTS_SHARE = Share(5, 100)
ROUTES_SHARE = Share(4, 100)
INVALIDATIONS_SHARE = Share(1, 100)
LOG_SHARE = Share(2, 100)


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """Bytes that each owner may use."""

    limit: int  # of the platform, for the whole process
    program: int
    connections: int  # threads, buffers to read into, parsers, requests of client and upstream connections
    bodies: int  # request and response bodies, and the response cache
    names: int  # the router's table of names
    requests: int  # pending requests, attempts and timers
    endpoints: int  # the endpoint list, as the router and the connection pool have it
    routes: int  # orders of endpoints that the router has computed
    invalidations: int
    log: int  # lines that wait to be written

    @property
    def max_names(self) -> int:
        """How many names the router may keep."""
        return max(1, self.names // NAME_BYTES)

    @property
    def max_invalidations(self) -> int:
        """How many invalidations the router may keep."""
        return max(1, self.invalidations // INVALIDATION_BYTES)

    @property
    def max_discovery_response(self) -> int:
        """Bytes that the body of a poll's response may have."""
        return max(MIN_DISCOVERY_RESPONSE_BYTES, DISCOVERY_RESPONSE_SHARE.of(self.limit))

    @property
    def total(self) -> int:
        """All bytes that may be in use by this budget."""
        owners = (self.names, self.requests, self.endpoints, self.routes, self.invalidations, self.log)
        return self.program + self.connections + self.bodies + sum(owners)

    @classmethod
    def of_limit(cls, memory_mb: int) -> MemoryBudget:
        """Divides the platform's limit among the owners."""
        limit = memory_mb * BYTES_PER_MB
        spare = max(MIN_SPARE_BYTES, USABLE_SHARE.of(limit) - PROGRAM_BYTES)
        return cls(
            limit=limit,
            program=PROGRAM_BYTES,
            connections=CONNECTIONS_SHARE.of(spare),
            bodies=BODIES_SHARE.of(spare),
            names=NAMES_SHARE.of(spare),
            requests=REQUESTS_SHARE.of(spare),
            endpoints=ENDPOINTS_SHARE.of(spare),
            routes=ROUTES_SHARE.of(spare),
            invalidations=INVALIDATIONS_SHARE.of(spare),
            log=LOG_SHARE.of(spare),
        )
