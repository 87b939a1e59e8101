"""Overload control: under overload, only requests up to a maximum cost are admitted.

There are two overload levels, numbers from 0 to `LEVEL_CEILING`. The level of arrivals rises if the share of
arriving requests that find all caches full is above its target. All caches are full if every available cache
has reached its concurrency limit. The level of fills rises if the share of late or rejected fills is above
its target. A fill is late if its response took longer than the latency objective allows, or if its attempt
was silent for two silence timeouts. The higher a level, the lower the cost up to which requests are admitted.
"""

from olivepost.routing_state import OverloadLevel, PendingRequest, RoutingState

ARRIVAL_STEP = 0.04  # step size with which each arriving request changes the overload level of arrivals
# Target share of the arriving requests that find all caches full. If the share is above the target, the
# overload level of arrivals rises; if the share is below the target, that level falls.
ARRIVAL_TARGET = 0.1
FILL_STEP = 0.2  # step size with which each fill changes the overload level of fills
# Target share of the fills that are late or rejected. If the share is above the target, the overload level of
# fills rises; if the share is below the target, that level falls.
FILL_TARGET = 0.1
LEVEL_CEILING = 0.9  # highest value of each overload level, that of arrivals and that of fills
# Highest cost of an admitted request at an overload level of 0.5, as a multiple of the mean cost.
COST_CUTOFF = 4.0
COST_STEP = 0.05  # weight of a new sample in the mean cost of requests


def record_sample(overload: OverloadLevel, step: float, target: float, is_overloaded: bool) -> None:
    """Changes an overload level by step·(sample - target), up to `LEVEL_CEILING` and down to 0.

    The sample is 1 if `is_overloaded` is true, and 0 otherwise. `adaptive_ttl` adapts the lifetime level ϑ of
    names in a similar way.
    """
    level = overload.level + step * (is_overloaded - target)
    overload.level = min(LEVEL_CEILING, max(0.0, level))


def record_arrival(state: RoutingState, is_full: bool) -> None:
    """Records whether an arriving request found every available cache at its concurrency limit.

    The record is one sample for the overload level of arrivals.
    """
    record_sample(state.arrivals, ARRIVAL_STEP, ARRIVAL_TARGET, is_full)


def record_fill(state: RoutingState, is_late: bool) -> None:
    """Records whether a fill was late; a rejected fill is treated as late.

    The record is one sample for the overload level of fills.
    """
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

    `overload` is the overload level of arrivals or that of fills, with the mean cost of requests.

    If the request's size is unknown, its cost is first multiplied by a random factor with a mean of 1.
    """
    if pending.request.size_kb is None:
        cost *= state.random.expovariate(1.0)
    return cost * overload.level > COST_CUTOFF * (1 - overload.level) * overload.mean_cost
