"""Tests of a router after an exception, and of events that its host program should not send."""

from __future__ import annotations

from typing import NoReturn

import pytest

from olivepost import interface as api
from olivepost.routing import selection
from olivepost.units import SECOND
from tests.router_harness import FLEET, ORIGIN, RouterDriver, make_settings


def test_actions_of_a_failed_event_are_not_returned_with_the_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    driver = RouterDriver(make_settings(), FLEET)

    def fail(*_: object) -> NoReturn:
        raise RuntimeError("selection failed")

    with monkeypatch.context() as patched:
        patched.setattr(selection, "select_route", fail)
        with pytest.raises(RuntimeError):
            driver.request("1")

    assert driver.handle(api.StoreAvailability(True)) == []


def test_quota_request_for_the_origin_is_declined() -> None:
    driver = RouterDriver(make_settings(has_endpoint_weights=False), FLEET)
    driver.advance(20 * SECOND)
    key = api.QuotaKey(api.QuotaKind.CONCURRENCY, ORIGIN.id)

    actions = driver.handle(api.QuotaRequested(7, key, 1.0, driver.now + SECOND))

    assert [action.amount for action in actions if isinstance(action, api.DonateQuota)] == [0.0]
