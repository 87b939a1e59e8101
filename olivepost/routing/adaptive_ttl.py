"""f-TTL ("Adaptive TTL-Based Caching for Content Delivery"; docs/design.md): TTLs and ranks of names."""

from olivepost import interface as api
from olivepost.routing import memory_pressure
from olivepost.routing_state import ClassLevels, NameEntry, PendingRequest, RankedName, RoutingState
from olivepost.units import SECOND, Duration, Instant

MAX_LIFETIME: Duration = 60 * SECOND  # L of the paper
LEVEL_STEP = 0.01  # η of the paper
SIZE_STEP = 0.0001  # ηs of the paper
SMOOTHING_WIDTH = 0.1  # ε of the paper
HIT_TARGET = 0.8  # h* of the paper; caches reach less, so that θ stays long enough to see repeats
SIZE_TARGET: Duration = 5 * SECOND  # s* of the paper
INITIAL_LEVEL = 0.5  # ϑ of a class before its first response
INITIAL_FIRST_SEEN_LEVEL = 0.0  # ϑs of a class before its first response
UNRANKED = 0  # the response is not cached
RANK_LOW = 1  # evicted first
RANK_MIDDLE = 2
RANK_TOP = 3  # evicted last
TOP_RANK_SHARE = 0.1  # of the bytes of all known names, the most that the top rank is given
MAX_NAMES = 40_000


def lifetime(levels: ClassLevels) -> float:
    """θ = L·ϑ, the lifetime of a name."""
    return MAX_LIFETIME * levels.level


def first_seen_lifetime(levels: ClassLevels) -> float:
    """θs = L·ϑ·Γ, the lifetime of a name seen once (paper, equation 5)."""
    above = max(0.0, levels.level - 1 + 1.5 * SMOOTHING_WIDTH) ** 4
    below = max(0.0, 1 - SMOOTHING_WIDTH / 2 - levels.level) ** 4
    gamma = levels.first_seen_level + (1 - levels.first_seen_level) * above / (above + below)
    return lifetime(levels) * gamma


def move_levels(levels: ClassLevels, is_hit: bool, sample: float, size: float) -> None:
    """Moves both levels by one response (paper, algorithm 2)."""
    levels.mean_size += (size - levels.mean_size) * (LEVEL_STEP if levels.mean_size else 1.0)
    first_seen_step = SIZE_STEP * (size / levels.mean_size) * (SIZE_TARGET - sample) / SIZE_TARGET
    levels.level = min(1.0, max(0.0, levels.level + LEVEL_STEP * (HIT_TARGET - is_hit)))
    levels.first_seen_level = min(1.0, max(0.0, levels.first_seen_level + first_seen_step))


def rank_and_renew_name(state: RoutingState, now: Instant, name: str, request: api.Request) -> RankedName:
    """Ranks a request and renews the lifetime of its name."""
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
    """Whether the top rank holds less than its share of bytes, this name not counted."""
    total = state.names.total_size()
    return total <= 0 or state.names.size_of_rank(RANK_TOP, name) < TOP_RANK_SHARE * total


def learn_from_response(state: RoutingState, pending: PendingRequest, is_hit: bool) -> None:
    """Moves the class's levels by a hit or a fill: its sample is how long the name has been cached."""
    levels = state.levels[pending.request_class.name]
    if is_hit:
        sample = lifetime(levels) - (pending.name_remaining or 0)
    else:
        sample = first_seen_lifetime(levels) if pending.name_remaining is None else lifetime(levels)
    move_levels(levels, is_hit, max(0.0, sample), pending.request.size_kb or 1.0)
