"""Tests of the retry budget."""

from olivepost.interface import AttemptStatus
from tests.router_harness import RouterDriver, final_responses, forwarded_attempts


def test_exhausted_retry_budget_responds_at_once(driver: RouterDriver) -> None:
    attempts = 0
    for number in range(60):
        actions = driver.request(str(number), f"n{number}")
        for attempt in range(6):
            attempts += len(forwarded_attempts(actions))
            if final_responses(actions):
                break
            actions = driver.complete_attempt(str(number), attempt, AttemptStatus.CONNECTION_LOST)
        assert str(number) not in driver.router.requests.pending

    assert attempts < 60 + 10 + 0.2 * 60 + 1
