"""What bounds retries: a budget for the whole proxy, deadlines, and idempotency for each request."""

from olivepost import interface as api
from olivepost.routing_state import PendingRequest, QuotaPart, QuotaShortage, RoutingState
from olivepost.units import SECOND, Duration, Instant

RETRIES_PER_REQUEST = 0.2  # earned by each request, so that faults don't feed themselves
MAX_RETRIES = 10.0  # that are saved up
DONATION_FLOOR = 0.5  # of the most that is saved up: what stays when quota is donated
MEAN_RETRY_AFTER: Duration = SECOND // 2
SUBSCRIPTIONS_IN_TIME = 4  # that may be tried within the time the settings allow for one


def subscription_delay(settings: api.Settings) -> Duration:
    """How long after a failed subscription to the endpoint list the next is made."""
    return settings.subscription_timeout // SUBSCRIPTIONS_IN_TIME


def earn_retries(state: RoutingState) -> None:
    """Adds what a request that has come earns to the retry budget: less under overload."""
    earned = RETRIES_PER_REQUEST * (1 - state.arrivals.level)
    state.retry_balance = min(MAX_RETRIES, state.retry_balance + earned)


def budget_shortage(state: RoutingState, cost: int) -> tuple[QuotaShortage, ...]:
    """What other proxies are to be asked for, where the retry budget lacks an attempt's cost."""
    if state.is_store_available and state.retry_balance < cost:
        return (QuotaShortage(api.RETRY_QUOTA, 1.0),)
    return ()


def quota_part(state: RoutingState) -> QuotaPart:
    """What may be donated of the budget to other proxies."""
    return QuotaPart(MAX_RETRIES, (1 + DONATION_FLOOR) * MAX_RETRIES - state.retry_balance)


def cost_of(pending: PendingRequest, outcome: api.AttemptOutcome) -> int:
    """What a retry costs: one for all attempts that a connection's end lost, none to confirm an error."""
    return 0 if outcome.is_repeated_loss or pending.possible_fault is not None else 1


def allows_attempt(
    state: RoutingState, now: Instant, pending: PendingRequest, target: str, cost: int
) -> bool:
    """Whether one more attempt, at this target, is in time, within the budget and idempotent enough."""
    settings = state.settings
    is_late = pending.deadline - now <= settings.deadline_margin
    if not has_attempts_left(state, pending) or is_late or state.retry_balance < cost:
        return False
    return is_idempotent_at(state, now, pending, target)


def has_attempts_left(state: RoutingState, pending: PendingRequest) -> bool:
    """Whether the request may have one more attempt by their number and by what is known of its error."""
    return pending.is_retryable and pending.attempt_count < state.settings.max_attempts


def is_idempotent_at(state: RoutingState, now: Instant, pending: PendingRequest, target: str) -> bool:
    """Rule 2: whether one more attempt, at this target, can take no effect twice."""
    request_class = pending.request_class
    if not pending.executed or request_class.idempotency is api.Idempotency.IDEMPOTENT:
        return True
    first = pending.executed[0]
    before = state.endpoints.by_id.get(first.endpoint_id)
    there = state.endpoints.by_id[target].metadata
    zone, cell = (before.metadata.zone, before.metadata.cell) if before else ("", 0)
    match request_class.deduplication_scope:
        case api.DeduplicationScope.ALL:
            is_same_group = True
        case api.DeduplicationScope.ZONE:
            is_same_group = there.zone == zone
        case api.DeduplicationScope.CELL:
            is_same_group = (there.zone, there.cell) == (zone, cell)
    window_end = latest_start(state, pending)
    return is_same_group and window_end is not None and now < window_end


def latest_start(state: RoutingState, pending: PendingRequest) -> Instant | None:
    """When a retry must have begun at the latest, since it may wait for its connection; None: no bound."""
    request_class = pending.request_class
    if not pending.executed or request_class.idempotency is not api.Idempotency.WITH_KEY:
        return None
    window_end = pending.executed[0].sent_at + request_class.idempotency_window
    return window_end - state.settings.deadline_margin


def may_abandon_attempt(state: RoutingState, pending: PendingRequest) -> bool:
    """Whether a silent attempt may be left for a retry, which its endpoint may execute all the same."""
    is_idempotent = pending.request_class.idempotency is api.Idempotency.IDEMPOTENT
    has_attempts = has_attempts_left(state, pending) and state.retry_balance >= 1
    return is_idempotent and state.settings.can_cancel_attempts and has_attempts


def final_response(
    state: RoutingState, pending: PendingRequest, reason: api.GiveUpReason
) -> api.Reject | api.Fail:
    """The final response of a request that is given up: a rejection where trying again is harmless."""
    retry_after = random_retry_after(state)
    if is_client_retry_harmless(pending):
        return api.Reject(pending.request.id, retry_after, reason)
    return api.Fail(pending.request.id, reason)


def is_client_retry_harmless(pending: PendingRequest) -> bool:
    """Whether the client may send the request again: no endpoint has it, or repeats have no effect."""
    request_class = pending.request_class
    if request_class.idempotency is api.Idempotency.IDEMPOTENT or not (pending.executed or pending.in_flight):
        return True
    is_deduplicated = request_class.idempotency is api.Idempotency.WITH_KEY
    return is_deduplicated and request_class.deduplication_scope is api.DeduplicationScope.ALL


def random_retry_after(state: RoutingState) -> Duration | None:
    """The Retry-After of a rejection, spread so that clients don't return at once; None: there is none."""
    if not state.settings.supports_retry_after:
        return None
    spread = int(MEAN_RETRY_AFTER * (0.5 + state.random.random()))
    retry_after = min(state.settings.max_retry_after, spread)
    return retry_after if retry_after > 0 else None
