"""Endpoint health: failure scores, ejection, half-open trials, and the share of late responses."""

import math

from olivepost.routing_state import Endpoint
from olivepost.units import SECOND, Duration, Instant

SUCCESS_FACTOR = 0.6  # share of the failure score that is left after a success
EJECTION_SCORE = 1.0  # failure score at which an endpoint is ejected
FIRST_EJECTION: Duration = 1 * SECOND
MAX_EJECTION: Duration = 4 * SECOND
# Odds at which silences alone eject an endpoint. A silence is an attempt without a response for its silence
# timeout. An endpoint is ejected if the odds against all of its silences being chance are this high.
SILENCE_EJECTION_ODDS = 200.0
# Lowest share of slow successful responses from which the score of a silence is computed. A response is slow
# if it took longer than its silence timeout.
MIN_SLOW_SHARE = 0.02
REPORTED_SCORE = 0.4  # lowest failure score after outlier reports of other proxies; too low for an ejection
LATE_STEP = 0.1  # weight of a new sample in an endpoint's share of late responses
INITIAL_LATE_SHARE = 0.2


def record_success(endpoint: Endpoint, now: Instant) -> None:
    """Records a success of an endpoint: ends any ejection and lowers the endpoint's failure score."""
    factor = SUCCESS_FACTOR if endpoint.ejected_until is None else 0.0
    endpoint.failure_score *= factor
    endpoint.last_success_at = now
    endpoint.has_trial_in_flight = False
    endpoint.ejected_until = None
    endpoint.ejection_duration = 0


def record_failure(endpoint: Endpoint, now: Instant, score: float) -> None:
    """Adds `score` to an endpoint's failure score; ejects it at `EJECTION_SCORE` or after a failed trial."""
    endpoint.failure_score += score
    if endpoint.has_trial_in_flight:
        eject_endpoint(endpoint, now)
        return
    # An ejection is not lengthened by failures of attempts that were already in flight when it began.
    is_ejected = endpoint.ejected_until is not None and now < endpoint.ejected_until
    if endpoint.failure_score >= EJECTION_SCORE and not is_ejected:
        eject_endpoint(endpoint, now)


def eject_endpoint(endpoint: Endpoint, now: Instant) -> None:
    """Ejects an endpoint until its next half-open trial.

    Each ejection that follows another without a success in between lasts twice as long, up to `MAX_EJECTION`.
    """
    if endpoint.ejected_until is None:
        endpoint.ejection_duration = FIRST_EJECTION
    else:
        endpoint.ejection_duration = min(MAX_EJECTION, 2 * endpoint.ejection_duration)
    endpoint.ejected_until = now + endpoint.ejection_duration
    endpoint.has_trial_in_flight = False


def record_outlier_report(endpoint: Endpoint) -> None:
    """Raises the failure score of an endpoint that several other proxies have ejected.

    The raised score alone is too low to eject the endpoint here.
    """
    endpoint.failure_score = max(endpoint.failure_score, REPORTED_SCORE)


def is_available(endpoint: Endpoint, now: Instant) -> bool:
    """Whether the endpoint is not ejected, or is due for its one half-open trial."""
    if endpoint.ejected_until is None:
        return True
    return now >= endpoint.ejected_until and not endpoint.has_trial_in_flight


def silence_score(slow_share: float) -> float:
    """Returns the amount that one silence adds to a failure score.

    `slow_share` is the share of successful responses that took longer than their silence timeout. The larger
    this share, the more likely a silence is chance, and the smaller the amount.
    """
    return -math.log(max(MIN_SLOW_SHARE, slow_share)) / math.log(SILENCE_EJECTION_ODDS)


def record_lateness(endpoint: Endpoint, is_late: bool) -> None:
    """Updates the endpoint's share of late responses, a moving average, with one response."""
    endpoint.late_share += LATE_STEP * (is_late - endpoint.late_share)
