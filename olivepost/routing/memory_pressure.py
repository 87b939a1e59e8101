"""Memory pressure, and the order of the measures that save memory as the process comes close to its limit.

The platform kills a process that exceeds its limit, and all its pending requests are lost. Therefore the
measures that cost least are taken first. The proxy's own cached responses are evicted, then idle connections
are closed, then no new names are added and the name table is cut, then fewer client connections are admitted.
Requests are rejected last.
"""

from olivepost import interface as api
from olivepost.routing_state import RoutingState

# Share of the memory limit at which each level of memory pressure begins. The rest of the limit is for data
# that arrives until the next check.
LEVEL_SHARES = {
    api.MemoryPressureLevel.EVICT_CACHE: 0.80,
    api.MemoryPressureLevel.CLOSE_IDLE: 0.84,
    api.MemoryPressureLevel.FREEZE_NAMES: 0.87,
    api.MemoryPressureLevel.LIMIT_CONNECTIONS: 0.90,
    api.MemoryPressureLevel.REJECT: 0.93,
}
# Margin, as a share of the memory limit. A memory pressure level ends when memory use is this far below the
# level's start.
RELEASE_MARGIN = 0.02
# Share of the name table's capacity to which the table is cut at the memory pressure level FREEZE_NAMES.
KEPT_NAMES_SHARE = 0.5
# Share of the usual maximum of client connections that may be open from the memory pressure level
# LIMIT_CONNECTIONS on.
CONNECTION_SHARE = 0.5


def level_for(used: int, limit: int, previous: api.MemoryPressureLevel) -> api.MemoryPressureLevel:
    """Returns the memory pressure level for `used` of `limit` bytes.

    `previous` is the level so far. It and the levels below it end only `RELEASE_MARGIN` below their start.
    """
    level = api.MemoryPressureLevel.NONE
    for candidate, share in LEVEL_SHARES.items():
        margin = RELEASE_MARGIN if candidate <= previous else 0.0
        if used >= (share - margin) * limit:
            level = candidate
    return level


def connection_limit(level: api.MemoryPressureLevel, max_connections: int) -> int:
    """Returns how many client connections may be open at a memory pressure level."""
    if level < api.MemoryPressureLevel.LIMIT_CONNECTIONS:
        return max_connections
    return max(1, int(CONNECTION_SHARE * max_connections))


def apply_level(state: RoutingState, level: api.MemoryPressureLevel) -> None:
    """Sets the memory pressure level.

    When the level reaches FREEZE_NAMES, names are evicted and all cached rendezvous orders are dropped.
    """
    previous = state.memory_pressure
    state.memory_pressure = level
    if previous < api.MemoryPressureLevel.FREEZE_NAMES <= level:
        state.names.shrink(int(KEPT_NAMES_SHARE * state.names.capacity))
        state.orders.clear()


def accepts_new_names(state: RoutingState) -> bool:
    """Whether a name that is not known yet may be added to the name table."""
    return state.memory_pressure < api.MemoryPressureLevel.FREEZE_NAMES


def must_reject(state: RoutingState) -> bool:
    """Whether an arriving request is rejected for lack of memory."""
    return state.memory_pressure >= api.MemoryPressureLevel.REJECT
