"""Tests of endpoint lists that are long, repeated, outdated or incomplete."""

from __future__ import annotations

import dataclasses
import hashlib

import pytest

from olivepost import interface as api
from olivepost.routing import selection
from tests.router_harness import (
    FLEET,
    ORIGIN,
    RouterDriver,
    cache,
    final_responses,
    first_attempt,
    forwarded_attempts,
    make_settings,
    parent,
)


@pytest.mark.parametrize("other_zone_endpoints", [0, 400])
def test_hashing_cost_does_not_grow_with_endpoints_of_other_zones(
    other_zone_endpoints: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    hashed: list[bytes] = []
    original = hashlib.blake2b

    def count_hash(data: bytes, digest_size: int) -> object:
        hashed.append(data)
        return original(data, digest_size=digest_size)

    monkeypatch.setattr(selection, "blake2b", count_hash)
    others = tuple(cache(f"e{number}:1", zone=f"zone{number % 40}") for number in range(other_zone_endpoints))
    driver = RouterDriver(make_settings(), (*FLEET, *others))

    driver.request_missed_by_cache("1", "x")
    assert len(hashed) == 5
    assert len(driver.state.endpoints.by_id) == len(FLEET)

    # The update concerns only endpoints that the router does not use. The router therefore keeps the endpoint
    # orders, the ranked endpoints of each name, that it has computed.
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, others))
    driver.request_missed_by_cache("2", "x")
    assert len(hashed) == 5


def test_repeated_and_reordered_endpoint_list_names_each_endpoint_once(driver: RouterDriver) -> None:
    reordered = RouterDriver(make_settings(), (*FLEET, *reversed(FLEET)))

    for number in range(20):
        attempt = first_attempt(driver.request_missed_by_cache(str(number), f"n{number}"))
        other_attempt = first_attempt(reordered.request_missed_by_cache(str(number), f"n{number}"))
        assert (attempt.cache, attempt.source) == (other_attempt.cache, other_attempt.source)


def test_restored_list_of_replaced_endpoints_is_survived() -> None:
    """Checks a router with a restored list of endpoints that have been replaced and refuse all connections.

    Each request gets its final response without delay, and the new list is used once it arrives.
    """
    driver = RouterDriver(make_settings(allows_direct_forwarding=False))
    for number in range(30):
        actions = driver.request(str(number), f"n{number}")
        for attempt in range(6):
            if final_responses(actions):
                break
            actions = driver.complete_attempt(str(number), attempt, api.AttemptStatus.CONNECT_FAILED)
        assert str(number) not in driver.router.requests.pending

    new_endpoints = (cache("new:1", started_at=driver.now), parent("p9:1"), ORIGIN)
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.FULL, new_endpoints))

    assert {attempt.cache for attempt in forwarded_attempts(driver.request("x", "y"))} <= {"new:1"}


def test_cache_without_parents_fills_from_the_origin(driver: RouterDriver) -> None:
    removed = tuple(
        dataclasses.replace(metadata, state=api.EndpointState.REMOVED)
        for metadata in FLEET
        if metadata.kind == "parent"
    )

    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, removed))

    assert first_attempt(driver.request_missed_by_cache("1")).source == "origin:1"
