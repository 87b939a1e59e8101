"""Overload control: levels that full caches and late fills raise, and the request cost that they admit."""

from olivepost.routing_state import OverloadLevel, PendingRequest, RoutingState

ARRIVAL_STEP = 0.04  # of the level for one arriving request
ARRIVAL_TARGET = 0.1  # share of arrivals at full caches that keeps the level
FILL_STEP = 0.2  # of the level for one fill
FILL_TARGET = 0.1  # share of late and rejected fills that keeps the level
LEVEL_CEILING = 0.9
COST_CUTOFF = 4.0  # times the mean cost that a request may cost at a level of 0.5
COST_STEP = 0.05  # weight of a new sample in the mean cost


def record_sample(overload: OverloadLevel, step: float, target: float, is_overloaded: bool) -> None:
    """Moves a level by one sample, as adaptive_ttl moves its threshold ϑ: by step·(sample - target)."""
    level = overload.level + step * (is_overloaded - target)
    overload.level = min(LEVEL_CEILING, max(0.0, level))


def record_arrival(state: RoutingState, is_full: bool) -> None:
    """Records whether an arriving request found all caches full."""
    record_sample(state.arrivals, ARRIVAL_STEP, ARRIVAL_TARGET, is_full)


def record_fill(state: RoutingState, is_late: bool) -> None:
    """Records whether a fill was late; a rejected one counts as late."""
    record_sample(state.fills, FILL_STEP, FILL_TARGET, is_late)


def record_cost(state: RoutingState, pending: PendingRequest, overload: OverloadLevel) -> float:
    """Adds a request's cost, its work divided by its priority weight, to the mean; returns the cost."""
    work = state.work_of(pending.request, pending.request_class)
    cost = work / (pending.request_class.priority_weight or 1.0)
    overload.mean_cost += (cost - overload.mean_cost) * (COST_STEP if overload.mean_cost else 1.0)
    return cost


def is_too_expensive(
    state: RoutingState, pending: PendingRequest, overload: OverloadLevel, cost: float
) -> bool:
    """Whether a request of this cost is rejected; an unknown size counts as a random multiple of the cost."""
    if pending.request.size_kb is None:
        cost *= state.random.expovariate(1.0)
    return cost * overload.level > COST_CUTOFF * (1 - overload.level) * overload.mean_cost
