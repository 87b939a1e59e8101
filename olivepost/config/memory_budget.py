"""Memory budget: the number of bytes that each owner of memory in the process may use.

An owner is a group of objects that has its own bound, such as the connections, the names or the log.

The platform ends a process that exceeds its memory limit. Every owner therefore has a bound that is derived
from the limit. The sum of all bounds and the program's own memory stays below the usable part of the limit.
At the smallest limits, minimums such as `MIN_SPARE_BYTES` take precedence, and the sum may exceed that part.

`olivepost/proxy/memory_account.py` estimates each owner's use, and `docs/capacity.md` explains how each value
is sized.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class Share(NamedTuple):
    """A fraction, such as 9/10, of an amount of bytes, descriptors or other units."""

    numerator: int
    denominator: int

    def of(self, amount: int) -> int:
        """Returns this fraction of `amount`, rounded down."""
        return amount * self.numerator // self.denominator


BYTES_PER_KB = 1_024
BYTES_PER_MB = 1_048_576

# The whole process.
# Share of the memory limit that the program and all owners may use. The rest of the limit is for the
# allocator's fragmentation and for short-lived objects.
USABLE_SHARE = Share(9, 10)
# Memory that the program itself uses before the first connection, including the interpreter's mapped files.
PROGRAM_BYTES = 22 * BYTES_PER_MB
# Minimum of the memory that is divided among all owners, even if the total then exceeds the limit.
MIN_SPARE_BYTES = 4 * BYTES_PER_MB

# Memory of one name, one invalidation, one body buffer and one discovery response.
NAME_BYTES = 360
INVALIDATION_BYTES = 320
# Overhead of each body buffer, for its memoryview and for the body and the cache entry that hold it.
BUFFER_OVERHEAD_BYTES = 1_024
# Share of the memory limit that the body of one discovery response may use before it is decoded.
DISCOVERY_RESPONSE_SHARE = Share(1, 32)
MIN_DISCOVERY_RESPONSE_BYTES = 2 * BYTES_PER_MB

# Each owner's share of the usable memory that the program leaves. The shares add up to one.
CONNECTIONS_SHARE = Share(42, 100)
BODIES_SHARE = Share(27, 100)
NAMES_SHARE = Share(11, 100)
REQUESTS_SHARE = Share(7, 100)
ENDPOINTS_SHARE = Share(5, 100)
ROUTES_SHARE = Share(4, 100)
INVALIDATIONS_SHARE = Share(1, 100)
LOG_SHARE = Share(2, 100)
EXECUTED_IDS_SHARE = Share(1, 100)


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """Bytes that each owner of memory in the process may use."""

    limit: int  # set by the platform for the whole process
    program: int
    connections: int  # threads, read buffers, parsers and requests of client and upstream connections
    bodies: int  # request and response bodies, and the response cache
    names: int  # the router's table of names
    requests: int  # pending requests, attempts and timers
    endpoints: int  # entries of the endpoint list in the router and in the connection pool
    routes: int  # rendezvous orders of endpoints that the router has computed
    invalidations: int
    log: int  # log lines that wait to be written
    executed_ids: int  # ids of requests that may have been executed

    @property
    def max_names(self) -> int:
        """Returns the maximum number of names that the router may keep."""
        return max(1, self.names // NAME_BYTES)

    @property
    def max_invalidations(self) -> int:
        """Returns the maximum number of invalidations that the router may keep."""
        return max(1, self.invalidations // INVALIDATION_BYTES)

    @property
    def max_discovery_response(self) -> int:
        """Returns the largest allowed size of the body of a discovery response, in bytes."""
        return max(MIN_DISCOVERY_RESPONSE_BYTES, DISCOVERY_RESPONSE_SHARE.of(self.limit))

    @property
    def total(self) -> int:
        """Returns the sum of all owners' bounds and the program's own memory, in bytes."""
        tables = (self.names, self.requests, self.endpoints, self.routes, self.invalidations)
        owners = (self.connections, self.bodies, *tables, self.log, self.executed_ids)
        return self.program + sum(owners)

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
            executed_ids=EXECUTED_IDS_SHARE.of(spare),
        )
