"""What is learnt from how attempts end: health, lateness, work, levels, and which endpoint is at fault."""

from olivepost import interface as api
from olivepost.routing import adaptive_ttl, admission, health
from olivepost.routing_state import Attempt, PendingRequest, PossibleFault, Role, RoutingState
from olivepost.units import SECOND, Duration, Instant

OBJECTIVE_TIMEOUT_FACTOR = 0.5  # times the latency objective, and
WORK_TIMEOUT_FACTOR = 1.5  # times the work: in flight for longer, an attempt is checked for silence,
MIN_SILENCE_TIMEOUT: Duration = SECOND // 100  # but not before this
SHARE_STEP = 0.05  # of a followed share towards each sample
INITIAL_SLOW_SHARE = 0.1
CACHE_REJECTED = 0.2  # what each failure adds to the score of the endpoint at fault
SOURCE_REJECTED = 0.35
FILL_FAILED = 0.25
ATTEMPT_FAILED = 0.5


def silence_timeout(state: RoutingState, pending: PendingRequest) -> Duration:
    """How long an attempt is in flight before it is checked for silence."""
    work = state.work_of(pending.request, pending.request_class)
    objective = pending.request_class.latency_objective
    return max(MIN_SILENCE_TIMEOUT, int(OBJECTIVE_TIMEOUT_FACTOR * objective + WORK_TIMEOUT_FACTOR * work))


def record_response(
    state: RoutingState, now: Instant, pending: PendingRequest, attempt: Attempt, outcome: api.AttemptOutcome
) -> None:
    """Learns from a response: health, lateness, the work done, and the class's levels."""
    request_class = pending.request_class
    is_hit = outcome.cache_status in api.CACHE_HITS
    is_filled = outcome.cache_status in api.CACHE_FILLS
    work = state.mean_work(request_class)
    _record_success(state, now, attempt.cache, Role.CACHE, work)
    if is_filled:
        _record_success(state, now, attempt.source_or_cache, Role.PARENT, work)
    if is_hit and pending.request.size_kb is None and not outcome.is_not_modified:
        state.class_work.add(request_class.name, float(outcome.elapsed))
    allowed = silence_timeout(state, pending)
    state.slow_share.add(outcome.elapsed > allowed)
    pending.storing_cache = attempt.cache if is_hit or is_filled else None
    if pending.storing_cache is None:
        return
    if outcome.elapsed < 2 * allowed:  # else it was recorded while it was in flight
        objective = request_class.latency_objective
        work = state.own_work(pending.request) or objective
        is_late = outcome.elapsed > objective + request_class.latency_objective_stretch * work
        record_lateness(state, attempt.cache if is_hit else attempt.source_or_cache, is_late)
    if pending.rank:
        adaptive_ttl.learn_from_response(state, pending, is_hit)


def _record_success(state: RoutingState, now: Instant, endpoint_id: str, role: Role, work: float) -> None:
    endpoint = state.endpoints.by_id.get(endpoint_id)
    if endpoint is None:
        return
    health.record_success(endpoint, now)
    if endpoint.role is role and endpoint.metadata.started_at is None:
        state.warm_rates[role].add(now, work / max(1, state.endpoints.long_running[role]))


def record_lateness(state: RoutingState, endpoint_id: str, is_late: bool) -> None:
    """Late hits speak of the cache, late fills of the source and of the ways to it."""
    endpoint = state.endpoints.by_id.get(endpoint_id)
    if endpoint is not None:
        health.record_lateness(endpoint, is_late)
        if endpoint.role is not Role.CACHE:
            admission.record_sample(state.fills, admission.FILL_STEP, admission.FILL_TARGET, is_late)


def record_silence(state: RoutingState, now: Instant, pending: PendingRequest, attempt: Attempt) -> bool:
    """An attempt is past its silence timeout; whether its cache, silent all the while, is ejected now."""
    if 2 * attempt.silence_timeout <= now - attempt.sent_at < 3 * attempt.silence_timeout:
        record_lateness(state, attempt.source_or_cache, True)
    cache = state.endpoints.by_id.get(attempt.cache)
    if cache is None or cache.has_succeeded_since(attempt.sent_at):
        return False
    charge(state, now, pending, attempt.cache, health.silence_weight(state.slow_share.value))
    return cache.ejected_until is not None


def record_failed_attempt(
    state: RoutingState, now: Instant, pending: PendingRequest, attempt: Attempt, outcome: api.AttemptOutcome
) -> None:
    """Charges a failure to the cache, its source, or nobody; a cache heard from is not the silent one."""
    cache = state.endpoints.by_id.get(attempt.cache)
    has_answered = cache is not None and cache.has_succeeded_since(attempt.sent_at)
    has_answered = has_answered or attempt.cache == pending.missed_cache
    is_unexplained = has_answered and not state.settings.reports_failure_causes
    match outcome.status:
        case api.AttemptStatus.NOT_CACHED if attempt.source is None and cache is not None:
            health.record_success(cache, now)
        case api.AttemptStatus.NOT_CACHED:
            pending.avoided.add(attempt.source_or_cache)
        case api.AttemptStatus.REJECTED if outcome.cache_status in api.SOURCE_FAILURES or is_unexplained:
            charge(state, now, pending, attempt.source_or_cache, SOURCE_REJECTED)
            record_lateness(
                state, attempt.source_or_cache, True
            )  # a rejected fill is no better than a late one
        case api.AttemptStatus.REJECTED if outcome.cache_status is not api.CacheStatus.ORIGIN_FAILED:
            charge(state, now, pending, attempt.cache, CACHE_REJECTED)
        case api.AttemptStatus.ERROR if has_answered:
            _add_fault(state, pending, attempt, PossibleFault(attempt.source_or_cache, FILL_FAILED))
        case api.AttemptStatus.ERROR:
            _add_fault(state, pending, attempt, PossibleFault(attempt.cache, ATTEMPT_FAILED))
        # One connection's end is one piece of evidence, however many attempts were on it.
        case api.AttemptStatus.TIMED_OUT if has_answered:
            charge(
                state, now, pending, attempt.source_or_cache, 0.0 if outcome.is_repeated_loss else FILL_FAILED
            )
        case (
            api.AttemptStatus.TIMED_OUT | api.AttemptStatus.CONNECT_FAILED | api.AttemptStatus.CONNECTION_LOST
        ):
            charge(state, now, pending, attempt.cache, 0.0 if outcome.is_repeated_loss else ATTEMPT_FAILED)


def charge(
    state: RoutingState, now: Instant, pending: PendingRequest, endpoint_id: str, weight: float
) -> None:
    """Adds to an endpoint's failure score; the request avoids it from here on."""
    pending.avoided.add(endpoint_id)
    endpoint = state.endpoints.by_id.get(endpoint_id)
    if endpoint is None or not weight:
        return
    health.record_failure(endpoint, now, weight)
    is_ejected = endpoint.ejected_until is not None and endpoint.ejected_until > now
    if state.is_store_available and is_ejected:
        state.actions.append(api.ReportOutlier(endpoint_id))


def _add_fault(state: RoutingState, pending: PendingRequest, attempt: Attempt, fault: PossibleFault) -> None:
    """An error may be the request's own fault: a second endpoint's word decides, and ends the request.

    While most errors are such, a new name gets no second attempt.
    """
    pending.avoided.add(fault.endpoint_id)
    if attempt.cache != pending.missed_cache:
        pending.avoided.add(attempt.cache)
    is_over = pending.possible_fault is not None
    if is_over:
        state.request_fault_share.add(1.0)
    elif pending.name_remaining is None:
        is_over = state.random.random() < state.request_fault_share.value
    pending.possible_fault = None if is_over else fault
    if is_over:
        pending.is_retryable = False


def confirm_fault(state: RoutingState, now: Instant, pending: PendingRequest) -> None:
    """The request is over and no second endpoint failed it: its one error counts."""
    if pending.possible_fault is not None:
        weight = pending.possible_fault.weight * (1 - state.request_fault_share.value)
        charge(state, now, pending, pending.possible_fault.endpoint_id, weight)
        state.request_fault_share.add(0.0)
