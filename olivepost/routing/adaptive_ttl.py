"""TTLs and ranks of names, computed by the algorithm f-TTL.

The paper on it is "Adaptive TTL-Based Caching for Content Delivery"; docs/design.md says how it is applied.
Each class of requests has two levels, numbers from 0 to 1: the lifetime level ϑ and the first-seen level ϑs.
The lifetime of a name is L·ϑ, the longest lifetime L times the lifetime level ϑ, which adapts to the hit
ratio. In the paper, a name that was seen once has the lifetime L·ϑ·Γ. Here, the response of such a name gets
the middle rank with the probability Γ, and otherwise the low rank. The factor Γ rises with ϑ from the
first-seen level ϑs to 1. The first-seen level adapts to the mean time for which names are cached.
"""

from olivepost import interface as api
from olivepost.routing import memory_pressure
from olivepost.routing_state import ClassLevels, NameEntry, PendingRequest, RankedName, RoutingState
from olivepost.units import SECOND, Duration, Instant

MAX_LIFETIME: Duration = 60 * SECOND  # longest lifetime of a name (L in the paper)
LEVEL_STEP = 0.01  # step size η of the paper, by which a response changes the lifetime level ϑ
SIZE_STEP = 0.0001  # step size ηs of the paper, by which a response changes the first-seen level ϑs
# Width ε in the paper: the width of the range of the lifetime level ϑ in which the factor Γ, for names that
# were seen once, rises from the first-seen level ϑs to 1.
SMOOTHING_WIDTH = 0.1
# Target hit ratio (h* in the paper). It is higher than the ratio that caches reach. The lifetime θ of a
# name therefore stays long enough for repeated requests to be seen.
HIT_TARGET = 0.8
# Target of the mean time for which names are cached owing to a request, weighted by the responses' sizes (s*
# in the paper). A shorter time raises the first-seen level ϑs, and a longer time lowers it.
SIZE_TARGET: Duration = 5 * SECOND
# Start of the lifetime level ϑ of a class: names then live for half of MAX_LIFETIME.
INITIAL_LEVEL = 0.5
# Start of the first-seen level ϑs of a class: names that were seen once then get the low rank, because the
# factor Γ, the probability of the middle rank, is 0 at these two initial levels.
INITIAL_FIRST_SEEN_LEVEL = 0.0
UNRANKED = 0  # rank of a response that is not cached
RANK_LOW = 1  # rank of the responses that caches evict first
RANK_MIDDLE = 2
RANK_TOP = 3  # rank of the responses that caches evict last
# A known name gets the top rank if the other names of that rank have less than this share of all names'
# bytes.
TOP_RANK_SHARE = 0.1
MAX_NAMES = 40_000


def lifetime(levels: ClassLevels) -> float:
    """Returns θ = L·ϑ, the lifetime of a name in nanoseconds, from the lifetime level ϑ."""
    return MAX_LIFETIME * levels.level


def first_seen_lifetime(levels: ClassLevels) -> float:
    """Returns θs = L·ϑ·Γ, the lifetime of a name that was seen once, in nanoseconds (paper, equation 5)."""
    above = max(0.0, levels.level - 1 + 1.5 * SMOOTHING_WIDTH) ** 4
    below = max(0.0, 1 - SMOOTHING_WIDTH / 2 - levels.level) ** 4
    gamma = levels.first_seen_level + (1 - levels.first_seen_level) * above / (above + below)
    return lifetime(levels) * gamma


def move_levels(levels: ClassLevels, is_hit: bool, sample: float, size: float) -> None:
    """Adapts a class's lifetime level ϑ and first-seen level ϑs to one response (paper, algorithm 2).

    `sample` is the time in nanoseconds for which the name is cached owing to the request. `size` is the
    response's size in KB.
    """
    levels.mean_size += (size - levels.mean_size) * (LEVEL_STEP if levels.mean_size else 1.0)
    first_seen_step = SIZE_STEP * (size / levels.mean_size) * (SIZE_TARGET - sample) / SIZE_TARGET
    levels.level = min(1.0, max(0.0, levels.level + LEVEL_STEP * (HIT_TARGET - is_hit)))
    levels.first_seen_level = min(1.0, max(0.0, levels.first_seen_level + first_seen_step))


def rank_and_renew_name(state: RoutingState, now: Instant, name: str, request: api.Request) -> RankedName:
    """Renews the lifetime of a request's name, unless the response can't be cached.

    Returns the request's rank and the lifetime that the name had left when the request arrived. That lifetime
    is None if the name was unknown or the response can't be cached.
    """
    if state.settings.classes[request.class_name].is_uncacheable or request.is_write:
        return RankedName(UNRANKED, None)
    levels = state.levels[request.class_name]
    remaining = state.names.remaining(now, name)
    is_kept_longer = state.random.random() * lifetime(levels) < first_seen_lifetime(levels)
    if remaining is not None and top_rank_has_capacity(state, name):
        rank = RANK_TOP
    elif remaining is not None or is_kept_longer:
        rank = RANK_MIDDLE
    else:
        rank = RANK_LOW
    if remaining is not None or memory_pressure.accepts_new_names(state):
        state.names.put(name, NameEntry(now + int(lifetime(levels)), rank, request.size_kb or 1.0))
    return RankedName(rank, remaining)


def top_rank_has_capacity(state: RoutingState, name: str) -> bool:
    """Whether the other names of the top rank have less than `TOP_RANK_SHARE` of all known names' bytes."""
    total = state.names.total_size()
    return total <= 0 or state.names.size_of_rank(RANK_TOP, name) < TOP_RANK_SHARE * total


def learn_from_response(state: RoutingState, pending: PendingRequest, is_hit: bool) -> None:
    """Adapts the f-TTL levels of a request's class to a hit or a fill.

    The levels adapt to the time for which the name is cached owing to the request. After a hit, this is the
    time by which the request extended the name's lifetime. After a fill, it is the lifetime that the name
    got.
    """
    levels = state.levels[pending.request_class.name]
    if is_hit:
        sample = lifetime(levels) - (pending.name_remaining or 0)
    else:
        sample = first_seen_lifetime(levels) if pending.name_remaining is None else lifetime(levels)
    move_levels(levels, is_hit, max(0.0, sample), pending.request.size_kb or 1.0)
