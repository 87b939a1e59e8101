"""What gives way, in which order, as the process comes close to the platform's memory limit.

The platform ends a process over its limit, and all that it owes with it. So the cheapest things go first: the
proxy's own cached responses, idle connections, names not seen before, further connections; at last requests
are rejected, at once and with a time to come back.
"""

from olivepost import interface as api
from olivepost.routing_state import RoutingState

# The share of the limit from which each level holds. The last one leaves room for what arrives until the
# process looks again, a tenth of a second later.
LEVEL_SHARES = {
    api.MemoryPressureLevel.EVICT_CACHE: 0.80,
    api.MemoryPressureLevel.CLOSE_IDLE: 0.84,
    api.MemoryPressureLevel.FREEZE_NAMES: 0.87,
    api.MemoryPressureLevel.LIMIT_CONNECTIONS: 0.90,
    api.MemoryPressureLevel.REJECT: 0.93,
}
# Below its share by so much a level is left again: memory goes back in steps.
RELEASE_MARGIN = 0.02
KEPT_NAMES_SHARE = 0.5  # of the names, where they no longer fit
CONNECTION_SHARE = 0.5  # of the client connections that may be open under LIMIT_CONNECTIONS


def level_for(used: int, limit: int, previous: api.MemoryPressureLevel) -> api.MemoryPressureLevel:
    """The level at which a process with so many bytes in use is, after it was at the previous one."""
    level = api.MemoryPressureLevel.NONE
    for candidate, share in LEVEL_SHARES.items():
        margin = RELEASE_MARGIN if candidate <= previous else 0.0
        if used >= (share - margin) * limit:
            level = candidate
    return level


def connection_limit(level: api.MemoryPressureLevel, max_connections: int) -> int:
    """How many client connections may be open at a level."""
    if level < api.MemoryPressureLevel.LIMIT_CONNECTIONS:
        return max_connections
    return max(1, int(CONNECTION_SHARE * max_connections))


def apply_level(state: RoutingState, level: api.MemoryPressureLevel) -> None:
    """Takes over the process's level, and sheds names and orders once it reaches FREEZE_NAMES."""
    is_new = state.memory_pressure < api.MemoryPressureLevel.FREEZE_NAMES <= level
    state.memory_pressure = level
    if is_new:
        state.names.shrink(int(KEPT_NAMES_SHARE * state.names.capacity))
        state.orders.clear()


def accepts_new_names(state: RoutingState) -> bool:
    """Whether a name that is not known yet may be remembered."""
    return state.memory_pressure < api.MemoryPressureLevel.FREEZE_NAMES


def must_reject(state: RoutingState) -> bool:
    """Whether a request that has just come is rejected for want of memory."""
    return state.memory_pressure >= api.MemoryPressureLevel.REJECT
