"""Effects of attempts' outcomes on the state from which later decisions are made.

An outcome changes the health and the share of late responses of an attempt's endpoints. It also changes the
levels of f-TTL and the mean work, which is the mean transfer time of a response, of the request's class. A
failure is attributed to an endpoint or to the request itself.
"""

from olivepost import interface as api
from olivepost.routing import adaptive_ttl, admission, health
from olivepost.routing_state import (
    Attempt,
    Ejection,
    PendingRequest,
    PossibleFault,
    Role,
    RoutingState,
    SilenceCheck,
)
from olivepost.units import SECOND, Duration, Instant

OBJECTIVE_TIMEOUT_FACTOR = 0.5  # factor of the latency objective in the silence timeout
WORK_TIMEOUT_FACTOR = 1.5  # factor of the request's work in the silence timeout
MIN_SILENCE_TIMEOUT: Duration = SECOND // 100
SHARE_STEP = 0.05  # weight of a new sample in the moving averages `slow_share` and `request_fault_share`
INITIAL_SLOW_SHARE = 0.1
# Amounts that the kinds of failure add to the failure score of the endpoint at fault.
CACHE_REJECTED_SCORE = 0.2
SOURCE_REJECTED_SCORE = 0.35
FILL_FAILED_SCORE = 0.25
ATTEMPT_FAILED_SCORE = 0.5


def silence_timeout(state: RoutingState, pending: PendingRequest) -> Duration:
    """Returns how long an attempt may be without a response until it is called silent and is checked."""
    work = state.work_of(pending.request, pending.request_class)
    objective = pending.request_class.latency_objective
    return max(MIN_SILENCE_TIMEOUT, int(OBJECTIVE_TIMEOUT_FACTOR * objective + WORK_TIMEOUT_FACTOR * work))


def record_response(
    state: RoutingState, now: Instant, pending: PendingRequest, attempt: Attempt, outcome: api.AttemptOutcome
) -> None:
    """Records a response for its endpoints (health, share of late responses) and its class (work, levels)."""
    request_class = pending.request_class
    is_hit = outcome.cache_status in api.CACHE_HITS
    is_filled = outcome.cache_status in api.CACHE_FILLS
    work = state.mean_work(request_class)
    _record_success(state, now, attempt.cache, Role.CACHE, work)
    if is_filled:
        _record_success(state, now, attempt.source_or_cache, Role.PARENT, work)
    if is_hit and pending.request.size_kb is None and not outcome.is_not_modified:
        state.class_work.add(request_class.name, float(outcome.elapsed))
    timeout = silence_timeout(state, pending)
    state.slow_share.add(outcome.elapsed > timeout)
    pending.storing_cache = attempt.cache if is_hit or is_filled else None
    if pending.storing_cache is None:
        return
    # `record_silence` records an attempt as late when it has been silent for 2 * timeout. Only earlier
    # responses are recorded here, so that no attempt is recorded twice.
    if outcome.elapsed < 2 * timeout:
        endpoint_id = attempt.cache if is_hit else attempt.source_or_cache
        record_lateness(state, endpoint_id, _is_late(state, pending, outcome))
    if pending.rank:
        adaptive_ttl.learn_from_response(state, pending, is_hit)


def _is_late(state: RoutingState, pending: PendingRequest, outcome: api.AttemptOutcome) -> bool:
    objective = pending.request_class.latency_objective
    work = state.own_work(pending.request) or objective
    return outcome.elapsed > objective + pending.request_class.latency_objective_stretch * work


def _record_success(state: RoutingState, now: Instant, endpoint_id: str, role: Role, work: float) -> None:
    """Records an endpoint's success; adds `work` to the rate of `role` if the endpoint is long-running.

    The rate of a role is the mean rate of work of one ready long-running endpoint of that role. Endpoints are
    long-running if they are listed without a start. The rate is unchanged if the endpoint has another role.
    """
    endpoint = state.endpoints.by_id.get(endpoint_id)
    if endpoint is None:
        return
    health.record_success(endpoint, now)
    if endpoint.role is role and endpoint.metadata.started_at is None:
        state.warm_rates[role].add(now, work / max(1, state.endpoints.long_running[role]))


def record_lateness(state: RoutingState, endpoint_id: str, is_late: bool) -> None:
    """Records whether a response was late. A hit is recorded at its cache, and a fill at its source.

    If that endpoint is a parent or the origin, the response also changes the overload level of fills.
    """
    endpoint = state.endpoints.by_id.get(endpoint_id)
    if endpoint is None:
        return
    health.record_lateness(endpoint, is_late)
    if endpoint.role is not Role.CACHE:
        admission.record_fill(state, is_late)


def record_silence(
    state: RoutingState, now: Instant, pending: PendingRequest, attempt: Attempt
) -> SilenceCheck:
    """Records that an attempt is past its silence timeout.

    The silence is a failure of the attempt's cache if that cache has responded to no attempt since this
    attempt was sent. An attempt that has been silent for two timeouts is also recorded as late.
    """
    if 2 * attempt.silence_timeout <= now - attempt.sent_at < 3 * attempt.silence_timeout:
        record_lateness(state, attempt.source_or_cache, True)
    cache = state.endpoints.by_id.get(attempt.cache)
    if cache is None or cache.has_succeeded_since(attempt.sent_at):
        return SilenceCheck(is_cache_ejected=False)
    score = health.silence_score(state.slow_share.value)
    ejection = record_failure(state, now, pending, attempt.cache, score)
    return SilenceCheck(cache.ejected_until is not None, ejection)


def record_failed_attempt(
    state: RoutingState, now: Instant, pending: PendingRequest, attempt: Attempt, outcome: api.AttemptOutcome
) -> Ejection | None:
    """Attributes a failure to the cache, its source or no endpoint, and records the failure.

    Returns the ejection of the endpoint at fault, or None if there is no ejection to report.
    """
    source = attempt.source_or_cache
    has_responded = _has_cache_responded(state, pending, attempt)
    match outcome.status:
        case api.AttemptStatus.NOT_CACHED:
            _record_miss(state, now, pending, attempt)
        case api.AttemptStatus.REJECTED:
            return _record_rejection(state, now, pending, attempt, outcome)
        case api.AttemptStatus.ERROR if has_responded:
            _record_possible_fault(state, pending, attempt, PossibleFault(source, FILL_FAILED_SCORE))
        case api.AttemptStatus.ERROR:
            fault = PossibleFault(attempt.cache, ATTEMPT_FAILED_SCORE)
            _record_possible_fault(state, pending, attempt, fault)
        # The loss of a connection is recorded as one failure, even if several attempts were in flight on it.
        # A repeated report of the same loss therefore has the score 0.
        case api.AttemptStatus.TIMED_OUT if has_responded:
            score = 0.0 if outcome.is_repeated_loss else FILL_FAILED_SCORE
            return record_failure(state, now, pending, source, score)
        case (
            api.AttemptStatus.TIMED_OUT | api.AttemptStatus.CONNECT_FAILED | api.AttemptStatus.CONNECTION_LOST
        ):
            score = 0.0 if outcome.is_repeated_loss else ATTEMPT_FAILED_SCORE
            return record_failure(state, now, pending, attempt.cache, score)
    return None


def _has_cache_responded(state: RoutingState, pending: PendingRequest, attempt: Attempt) -> bool:
    """Whether the cache has responded since the attempt was sent, or to an earlier attempt of the request."""
    if attempt.cache == pending.missed_cache:
        return True
    cache = state.endpoints.by_id.get(attempt.cache)
    return cache is not None and cache.has_succeeded_since(attempt.sent_at)


def _record_miss(state: RoutingState, now: Instant, pending: PendingRequest, attempt: Attempt) -> None:
    cache = state.endpoints.by_id.get(attempt.cache)
    if attempt.source is None and cache is not None:
        health.record_success(cache, now)
    else:
        pending.avoided.add(attempt.source_or_cache)


def _record_rejection(
    state: RoutingState, now: Instant, pending: PendingRequest, attempt: Attempt, outcome: api.AttemptOutcome
) -> Ejection | None:
    """Attributes a rejection to the source, the cache or, if the origin failed, no endpoint.

    The source is the endpoint from which the cache fills a miss. It is at fault if the cache reports so. If
    caches don't report causes of failures, the source is also presumed to be at fault if the cache has
    responded, either since the attempt was sent or to an earlier attempt of the same request, because such a
    response shows that the cache works. Returns the ejection of the endpoint at fault, or None if there is
    none to report.
    """
    is_source_fault = outcome.cache_status in api.SOURCE_FAILURES
    if not state.settings.reports_failure_causes:
        is_source_fault = is_source_fault or _has_cache_responded(state, pending, attempt)
    if is_source_fault:
        ejection = record_failure(state, now, pending, attempt.source_or_cache, SOURCE_REJECTED_SCORE)
        record_lateness(state, attempt.source_or_cache, True)  # a rejected fill is recorded as late
        return ejection
    if outcome.cache_status is api.CacheStatus.ORIGIN_FAILED:
        return None
    return record_failure(state, now, pending, attempt.cache, CACHE_REJECTED_SCORE)


def record_failure(
    state: RoutingState, now: Instant, pending: PendingRequest, endpoint_id: str, score: float
) -> Ejection | None:
    """Adds `score` to an endpoint's failure score; the request avoids the endpoint from now on.

    Returns the endpoint's ejection, or None if the endpoint is not ejected.
    """
    pending.avoided.add(endpoint_id)
    endpoint = state.endpoints.by_id.get(endpoint_id)
    if endpoint is None or not score:
        return None
    health.record_failure(endpoint, now, score)
    is_ejected = endpoint.ejected_until is not None and endpoint.ejected_until > now
    return Ejection(endpoint_id) if is_ejected else None


def _record_possible_fault(
    state: RoutingState, pending: PendingRequest, attempt: Attempt, fault: PossibleFault
) -> None:
    """Records an error that may be the fault of an endpoint or of the request itself.

    The request is retried once on another endpoint. If that retry ends with an error, too, the fault is
    attributed to the request.
    """
    pending.avoided.add(fault.endpoint_id)
    if attempt.cache != pending.missed_cache:
        pending.avoided.add(attempt.cache)
    if pending.possible_fault is not None:
        state.request_fault_share.add(1.0)
        is_request_fault = True
    else:
        is_request_fault = _is_presumed_request_fault(state, pending)
    pending.possible_fault = None if is_request_fault else fault
    if is_request_fault:
        pending.is_retryable = False


def _is_presumed_request_fault(state: RoutingState, pending: PendingRequest) -> bool:
    """Whether a first error is attributed to the request without a retry.

    Only a request for a new name can be treated so, and then at random. The probability is the share of
    earlier errors that a second endpoint's error has shown to be the request's own fault.
    """
    return pending.name_remaining is None and state.random.random() < state.request_fault_share.value


def record_unconfirmed_fault(state: RoutingState, now: Instant, pending: PendingRequest) -> Ejection | None:
    """Raises an endpoint's failure score for an error that no other endpoint confirmed.

    The request's life cycle calls this function when the request is over. Nothing is recorded unless the
    request had one such error. Returns the ejection of the endpoint, or None if it is not ejected.
    """
    fault = pending.possible_fault
    if fault is None:
        return None
    score = fault.score * (1 - state.request_fault_share.value)
    ejection = record_failure(state, now, pending, fault.endpoint_id, score)
    state.request_fault_share.add(0.0)
    return ejection
