"""Idempotency: whether a repeated attempt, or a client's own retry, could have a second effect.

The proxy repeats attempts itself, and a rejection allows the client to send its request again. The caches
remember the key of a request for the idempotency window of its class, and drop repeats of it until then.
"""

from olivepost import interface as api
from olivepost.routing_state import PendingRequest, RoutingState
from olivepost.units import Instant


def is_idempotent_at(state: RoutingState, now: Instant, pending: PendingRequest, target: str) -> bool:
    """Whether one more attempt at the endpoint `target` has no second effect.

    This upholds the idempotency invariant: a request that may have been executed is sent again only if the
    repeat has no second effect.
    """
    request_class = pending.request_class
    latest = latest_start(state, pending)
    if latest is not None and now >= latest:
        return False
    if not pending.executed or request_class.idempotency is api.Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency is api.Idempotency.NOT_IDEMPOTENT:
        return False
    first = pending.executed[0].endpoint
    endpoint = state.endpoints.by_id[target].metadata
    match request_class.deduplication_scope:
        case api.DeduplicationScope.ALL:
            return True
        case api.DeduplicationScope.ZONE:
            return endpoint.zone == first.zone
        case api.DeduplicationScope.CELL:
            return endpoint.zone == first.zone and endpoint.cell == first.cell


def latest_start(state: RoutingState, pending: PendingRequest) -> Instant | None:
    """Returns the latest time at which an attempt may begin, or None if there is no bound.

    Only a request with a key that may have been executed before has a bound. It is sent along with the
    attempt, since the attempt may have to wait for a connection and then begin too late.
    """
    if pending.request_class.idempotency is not api.Idempotency.WITH_KEY:
        return None
    if not (pending.executed or pending.request.is_client_retry):
        return None
    return window_end(pending) - state.settings.deadline_margin


def is_client_retry_harmless(state: RoutingState, pending: PendingRequest, returns_at: Instant) -> bool:
    """Whether the client may repeat the request: no endpoint has it, or no repeat has a second effect.

    The key of a request that may have been executed must be remembered until the client repeats the request.
    The proxy can't make the client return in time, since Retry-After is only advice. If clients mark their
    retries, one that comes too late is not forwarded (`latest_start`), and it is enough if a client that
    follows the advice, and returns at `returns_at` at the latest, returns in time. Otherwise the key must be
    remembered for the client's whole wait.
    """
    request_class = pending.request_class
    if request_class.idempotency is api.Idempotency.IDEMPOTENT or not (pending.executed or pending.in_flight):
        return True
    if request_class.idempotency is api.Idempotency.NOT_IDEMPOTENT:
        return False
    if request_class.deduplication_scope is not api.DeduplicationScope.ALL:
        return False
    if window_end(pending) >= first_try_at(pending) + request_class.deadline:
        return True
    is_back_in_time = returns_at <= window_end(pending) - state.settings.deadline_margin
    return state.settings.marks_client_retries and is_back_in_time


def window_end(pending: PendingRequest) -> Instant:
    """Returns the earliest time at which the key of a possibly executed request may be forgotten."""
    return first_execution_at(pending) + pending.request_class.idempotency_window


def first_execution_at(pending: PendingRequest) -> Instant:
    """Returns the earliest time at which the request may have been executed, from which a key is remembered.

    The client's first try may have been executed before a client's retry arrives. Of any other request, the
    proxy must have sent an attempt that may have been executed.
    """
    if pending.request.is_client_retry:
        return first_try_at(pending)
    executed = [attempt.sent_at for attempt in pending.executed]
    in_flight = [attempt.sent_at for attempt in pending.in_flight.values()]
    return min(executed + in_flight)


def first_try_at(pending: PendingRequest) -> Instant:
    """Returns when the client's first try arrived; for a client's retry, the earliest time that is possible.

    The deadline of a class limits a client's wait for all tries together.
    """
    if pending.request.is_client_retry:
        return pending.deadline - pending.request_class.deadline
    return pending.arrived_at
