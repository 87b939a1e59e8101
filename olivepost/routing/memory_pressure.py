"""Memory pressure: what is shed, in which order, as the process comes close to its memory limit.

The platform kills a process over its limit, with all pending requests. So what costs least is shed first: the
proxy's own cached responses, idle connections, new names, new client connections; requests are rejected last.
"""

from olivepost import interface as api
from olivepost.routing_state import RoutingState

# Share of the memory limit from which each level holds; the rest is for what arrives until the next check.
LEVEL_SHARES = {
    api.MemoryPressureLevel.EVICT_CACHE: 0.80,
    api.MemoryPressureLevel.CLOSE_IDLE: 0.84,
    api.MemoryPressureLevel.FREEZE_NAMES: 0.87,
    api.MemoryPressureLevel.LIMIT_CONNECTIONS: 0.90,
    api.MemoryPressureLevel.REJECT: 0.93,
}
RELEASE_MARGIN = 0.02  # below a level's share, at which the level is left
KEPT_NAMES_SHARE = 0.5  # of the name table's capacity, kept from FREEZE_NAMES on
CONNECTION_SHARE = 0.5  # of the client connections, allowed from LIMIT_CONNECTIONS on


def level_for(used: int, limit: int, previous: api.MemoryPressureLevel) -> api.MemoryPressureLevel:
    """The level of a process that uses so many bytes, and was at the previous level before."""
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
    """Sets the level; as it reaches FREEZE_NAMES, routing sheds names and orders."""
    previous = state.memory_pressure
    state.memory_pressure = level
    if previous < api.MemoryPressureLevel.FREEZE_NAMES <= level:
        state.names.shrink(int(KEPT_NAMES_SHARE * state.names.capacity))
        state.orders.clear()


def accepts_new_names(state: RoutingState) -> bool:
    """Whether a name that is not known yet may be remembered."""
    return state.memory_pressure < api.MemoryPressureLevel.FREEZE_NAMES


def must_reject(state: RoutingState) -> bool:
    """Whether an arriving request is rejected."""
    return state.memory_pressure >= api.MemoryPressureLevel.REJECT
