"""Retries: their budget and deadlines, and the final response if a request is given up."""

from olivepost import interface as api
from olivepost.routing import idempotency
from olivepost.routing_state import PendingRequest, QuotaPart, QuotaShortage, RoutingState
from olivepost.units import SECOND, Duration, Instant

# Retries that each arriving request adds to the retry budget if there is no overload.
RETRIES_PER_REQUEST = 0.2
MAX_RETRIES = 10.0  # highest number of retries that the retry budget holds
DONATION_FLOOR = 0.5  # share of MAX_RETRIES that this proxy never donates to other proxies
MEAN_RETRY_AFTER: Duration = SECOND // 2
MAX_RETRY_AFTER: Duration = 3 * MEAN_RETRY_AFTER // 2  # longest value of Retry-After
# Number of tries to subscribe to the endpoint list within `subscription_timeout`.
SUBSCRIPTIONS_PER_TIMEOUT = 4


def subscription_delay(settings: api.Settings) -> Duration:
    """Returns the delay between a failed subscription to the endpoint list and the next one."""
    return settings.subscription_timeout // SUBSCRIPTIONS_PER_TIMEOUT


def earn_retries(state: RoutingState) -> None:
    """Adds what an arriving request earns to the retry budget.

    A request earns less the higher the overload level of arrivals is.
    """
    earned = RETRIES_PER_REQUEST * (1 - state.arrivals.level)
    state.retry_balance = min(MAX_RETRIES, state.retry_balance + earned)


def budget_shortage(state: RoutingState, cost: int) -> tuple[QuotaShortage, ...]:
    """Returns the quota to request from other proxies if the retry budget is below `cost`.

    `cost` is the number of retries that an attempt takes from the budget. The result is empty if the budget
    covers the cost or the shared store is unavailable.
    """
    if state.is_store_available and state.retry_balance < cost:
        return (QuotaShortage(api.RETRY_QUOTA, 1.0),)
    return ()


def quota_part(state: RoutingState) -> QuotaPart:
    """Returns the retry budget as this proxy's part of a quota.

    The used amount is what the retry budget lacks to `MAX_RETRIES`, plus the amount that is never donated
    (see `DONATION_FLOOR`).
    """
    return QuotaPart(MAX_RETRIES, (1 + DONATION_FLOOR) * MAX_RETRIES - state.retry_balance)


def cost_of(pending: PendingRequest, outcome: api.AttemptOutcome) -> int:
    """Returns the amount, 1 or 0, that a retry takes from the retry budget.

    A retry costs 0 if another retry has paid for the loss of the same connection. A retry that is to show
    whether a first error is the request's own fault costs 0, too.
    """
    return 0 if outcome.is_repeated_loss or pending.possible_fault is not None else 1


def allows_attempt(
    state: RoutingState, now: Instant, pending: PendingRequest, target: str, cost: int
) -> bool:
    """Whether deadline, attempt limit, retry budget and idempotency allow one more attempt at `target`.

    The retry budget must cover `cost`, the number of retries that the attempt takes from it.
    """
    is_late = pending.deadline - now <= state.settings.deadline_margin
    if is_late or not has_attempts_left(state, pending) or state.retry_balance < cost:
        return False
    return idempotency.is_idempotent_at(state, now, pending, target)


def has_attempts_left(state: RoutingState, pending: PendingRequest) -> bool:
    """Whether the request is below its attempt limit and no error is attributed to the request itself."""
    return pending.is_retryable and pending.attempt_count < state.settings.max_attempts


def may_abandon_attempt(state: RoutingState, pending: PendingRequest) -> bool:
    """Whether a silent attempt may be abandoned for a retry, though its endpoint may still execute it."""
    if pending.request_class.idempotency is not api.Idempotency.IDEMPOTENT:
        return False
    if not state.settings.can_cancel_attempts or state.retry_balance < 1:
        return False
    return has_attempts_left(state, pending)


def final_response(
    state: RoutingState, now: Instant, pending: PendingRequest, reason: api.GiveUpReason
) -> api.FinalResponse:
    """Returns the final response of a request that is given up.

    The response is a rejection if the client may send the request again, and a failure otherwise. If that
    depends on whether an attempt in flight has reached its endpoint, the caller of the router finds out.
    """
    request_id = pending.request.id
    retry_after = random_retry_after(state)
    if idempotency.is_client_retry_harmless(state, pending, returns_at=now + MAX_RETRY_AFTER):
        return api.Reject(request_id, retry_after, reason)
    if not pending.executed:
        return api.RejectIfUnsent(request_id, retry_after, reason)
    return api.Fail(request_id, reason)


def random_retry_after(state: RoutingState) -> Duration | None:
    """Returns the value of Retry-After for a rejection, or None if the rejection has no Retry-After.

    The value is random, so that clients don't all return at the same time.
    """
    if not state.settings.supports_retry_after:
        return None
    spread = int(MEAN_RETRY_AFTER * (0.5 + state.random.random()))
    retry_after = min(state.settings.max_retry_after, spread)
    return retry_after if retry_after > 0 else None
