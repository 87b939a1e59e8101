"""Overload control: under overload, only requests up to a cost are admitted.

There are two overload levels. The level of arrivals rises if arriving requests find all caches full, which
means that every available cache has reached its concurrency limit. The level of fills rises if fills are late
or rejected. The higher a level, the lower the cost up to which requests are admitted.
"""

from olivepost.routing_state import OverloadLevel, PendingRequest, RoutingState

ARRIVAL_STEP = 0.04  # step size with which each arriving request changes the level of arrivals
# The level of arrivals stays the same if this share of arriving requests finds all caches full.
ARRIVAL_TARGET = 0.1
FILL_STEP = 0.2  # step size with which each fill changes the level of fills
FILL_TARGET = 0.1  # the level of fills stays the same if this share of fills is late or rejected
LEVEL_CEILING = 0.9  # highest value of the level of arrivals and of that of fills
COST_CUTOFF = 4.0  # highest cost of an admitted request at a level of 0.5, as a multiple of the mean cost
COST_STEP = 0.05  # weight of a new sample in the mean cost


def record_sample(overload: OverloadLevel, step: float, target: float, is_overloaded: bool) -> None:
    """Changes an overload level by step·(sample - target), as adaptive_ttl adapts its level ϑ.

    The sample is 1 if `is_overloaded` is true, and 0 otherwise.
    """
    level = overload.level + step * (is_overloaded - target)
    overload.level = min(LEVEL_CEILING, max(0.0, level))


def record_arrival(state: RoutingState, is_full: bool) -> None:
    """Records whether an arriving request found every available cache at its concurrency limit."""
    record_sample(state.arrivals, ARRIVAL_STEP, ARRIVAL_TARGET, is_full)


def record_fill(state: RoutingState, is_late: bool) -> None:
    """Records whether a fill was late; a rejected fill is treated as late."""
    record_sample(state.fills, FILL_STEP, FILL_TARGET, is_late)


def record_cost(state: RoutingState, pending: PendingRequest, overload: OverloadLevel) -> float:
    """Returns a request's cost and adds it as a sample to the mean cost.

    The cost is the request's work, in nanoseconds of transfer time, divided by the priority weight of its
    class.
    """
    work = state.work_of(pending.request, pending.request_class)
    cost = work / (pending.request_class.priority_weight or 1.0)
    overload.mean_cost += (cost - overload.mean_cost) * (COST_STEP if overload.mean_cost else 1.0)
    return cost


def is_too_expensive(
    state: RoutingState, pending: PendingRequest, overload: OverloadLevel, cost: float
) -> bool:
    """Whether a request of this cost is rejected at the present level of `overload`.

    If the request's size is unknown, its cost is first multiplied by a random factor with a mean of 1.
    """
    if pending.request.size_kb is None:
        cost *= state.random.expovariate(1.0)
    return cost * overload.level > COST_CUTOFF * (1 - overload.level) * overload.mean_cost
