"""The memory budget: what each owner of memory in the process may take, in bytes that add up.

The platform ends a process over its limit. So every owner has a bound that follows from the limit, and all
bounds together with the program stay below the usable part of it. `olivepost/proxy/memory_account.py` shows
what each owner holds.
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

# What stays free: the allocator's fragments, what is on its way between two owners, and what comes in until
# the process has noticed that it is close to its limit.
USABLE_SHARE = Share(9, 10)
# The program before its first connection, with the mapped files of the interpreter: measured 21.9 MB.
PROGRAM_BYTES = 22 * BYTES_PER_MB
MIN_SPARE_BYTES = 4 * BYTES_PER_MB  # with less no useful number of connections fits

# What one entry of a table takes, measured.
NAME_BYTES = 360
INVALIDATION_BYTES = 320
BUFFER_OVERHEAD_BYTES = 1_024  # of a body's buffer: its view, and the body and cache entry that hold it
# A poll's response is held as received and decoded, several times its size, until its events are handled.
DISCOVERY_RESPONSE_SHARE = Share(1, 32)  # of the limit, for the body of one response
MIN_DISCOVERY_RESPONSE_BYTES = 2 * BYTES_PER_MB  # the platform's longest endpoint lists have half a megabyte

# Shares of what the program leaves of the usable memory. They sum to one.
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
    """Bytes that each owner may take."""

    limit: int  # of the platform, for the whole process
    program: int
    connections: int  # threads, buffers to read into, parsers, requests of client and upstream connections
    bodies: int  # request and response bodies, and the response cache
    names: int  # names that the router remembers
    requests: int  # pending requests, attempts and timers
    endpoints: int  # the endpoint list, as the router and the connection pool have it
    routes: int  # orders of endpoints that the router has computed
    invalidations: int
    log: int  # lines that wait to be written

    @property
    def max_names(self) -> int:
        """Names that fit."""
        return max(1, self.names // NAME_BYTES)

    @property
    def max_invalidations(self) -> int:
        """Invalidations that fit."""
        return max(1, self.invalidations // INVALIDATION_BYTES)

    @property
    def max_discovery_response(self) -> int:
        """Bytes that a poll's response may have."""
        return max(MIN_DISCOVERY_RESPONSE_BYTES, DISCOVERY_RESPONSE_SHARE.of(self.limit))

    @property
    def total(self) -> int:
        """All bytes that may be in use by this budget."""
        owners = (self.names, self.requests, self.endpoints, self.routes, self.invalidations, self.log)
        return self.program + self.connections + self.bodies + sum(owners)

    @classmethod
    def of_limit(cls, memory_mb: int) -> MemoryBudget:
        """Shares out the platform's limit."""
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
