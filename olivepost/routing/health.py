"""Endpoint health: failure scores, ejection, half-open trials, and the share of late responses."""

import math

from olivepost.routing_state import Endpoint
from olivepost.units import SECOND, Duration, Instant

SUCCESS_FACTOR = 0.6  # what a success leaves of the failure score
EJECTION_SCORE = 1.0
FIRST_EJECTION: Duration = 1 * SECOND
MAX_EJECTION: Duration = 4 * SECOND
DEAD_ODDS = 200.0  # two silences eject where one good response in twenty takes as long
MIN_SLOW_SHARE = 0.02
REPORTED_SCORE = 0.4  # what other proxies' reports make of a failure score at most: never enough alone
LATE_STEP = 0.1  # of the late share towards each response
INITIAL_LATE_SHARE = 0.2


def record_success(endpoint: Endpoint, now: Instant) -> None:
    """The endpoint has answered: any ejection is over."""
    factor = SUCCESS_FACTOR if endpoint.ejected_until is None else 0.0
    endpoint.failure_score *= factor
    endpoint.last_success_at = now
    endpoint.has_trial_in_flight = False
    endpoint.ejected_until = None
    endpoint.ejection_duration = 0


def record_failure(endpoint: Endpoint, now: Instant, weight: float) -> None:
    """Adds to the failure score; enough of it, or a failed trial, ejects the endpoint, longer each time."""
    endpoint.failure_score += weight
    is_ejected_now = endpoint.ejected_until is not None and now < endpoint.ejected_until
    is_due = endpoint.failure_score >= EJECTION_SCORE and not is_ejected_now
    if endpoint.has_trial_in_flight or is_due:  # what was in flight before an ejection says nothing new
        eject_endpoint(endpoint, now)


def eject_endpoint(endpoint: Endpoint, now: Instant) -> None:
    """Keeps requests away from an endpoint until its next half-open trial."""
    if endpoint.ejected_until is None:
        endpoint.ejection_duration = FIRST_EJECTION
    else:
        endpoint.ejection_duration = min(MAX_EJECTION, 2 * endpoint.ejection_duration)
    endpoint.ejected_until = now + endpoint.ejection_duration
    endpoint.has_trial_in_flight = False


def record_outlier_report(endpoint: Endpoint) -> None:
    """Several other proxies have ejected the endpoint: weak evidence."""
    endpoint.failure_score = max(endpoint.failure_score, REPORTED_SCORE)


def is_available(endpoint: Endpoint, now: Instant) -> bool:
    """Whether the endpoint is not ejected, or is due for its one trial request."""
    until = endpoint.ejected_until
    return until is None or (now >= until and not endpoint.has_trial_in_flight)


def silence_score(slow_share: float) -> float:
    """What one silence adds to a failure score: less, the more good responses take as long."""
    return -math.log(max(MIN_SLOW_SHARE, slow_share)) / math.log(DEAD_ODDS)


def record_lateness(endpoint: Endpoint, is_late: bool) -> None:
    """Follows the share of late responses: hits at a cache, fills at a source."""
    endpoint.late_share += LATE_STEP * (is_late - endpoint.late_share)
