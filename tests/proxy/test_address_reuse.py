"""Tests of new processes at the address of one that has ended: no work for the old one reaches them."""

from __future__ import annotations

import time
from typing import Any

import pytest

from olivepost import interface as api
from olivepost.config import Address
from olivepost.proxy.address_reuse import EndpointChange, remove_superseded
from olivepost.proxy.upstream.endpoint_address import EndpointAddress
from tests.proxy.fakes import DelayedConnects, settings_with_idempotency
from tests.proxy_harness import WAIT_TIMEOUT_S, HttpClient, ProxyHarness, running_proxy

OLD_ONE_NOT_REMOVED = "new id, the old one not removed"
BOTH_IN_A_FULL_LIST = "new id beside the old one in a full list"
MAX_WITHDRAWAL_S = 0.35  # an update must have its effect this soon
EFFECTS = ("read_like", "idempotency_key", "non_idempotent")


def replacement(proxy: ProxyHarness, index: int, kind: str) -> dict[str, Any]:
    """Returns the change of the list with which a new process comes up at a cache's address."""
    entry = proxy.listed_endpoints[index]
    started_ms = time.time_ns() // 1_000_000
    new_process = {**entry, "started_ms": started_ms}
    new_id = {**new_process, "id": "new"}
    others = [other for other in proxy.listed_endpoints if other is not entry]
    return {
        "same id": {"full": False, "servers": [new_process]},
        "same id in a full list": {"full": True, "servers": [*others, new_process]},
        "removed": {"full": False, "servers": [{**entry, "state": "terminated"}]},
        "left out of a full list": {"full": True, "servers": others},
        "new id in a full list": {"full": True, "servers": [*others, new_id]},
        OLD_ONE_NOT_REMOVED: {"full": False, "servers": [new_id]},
        BOTH_IN_A_FULL_LIST: {"full": True, "servers": [new_id, *proxy.listed_endpoints]},
    }[kind]


KINDS = (
    "same id",
    "same id in a full list",
    "removed",
    "left out of a full list",
    "new id in a full list",
    OLD_ONE_NOT_REMOVED,
    BOTH_IN_A_FULL_LIST,
)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("effect", EFFECTS)
def test_attempt_that_waits_for_its_connection_does_not_reach_the_next_process_at_the_address(
    delayed_connects: DelayedConnects, kind: str, effect: str
) -> None:
    """Guards against work for an endpoint that was removed, sent to the process that has its address now."""
    with running_proxy(settings=settings_with_idempotency(effect)) as proxy, proxy.connect() as client:
        client.send(HttpClient.encode_request(timeout_ms=3_000))
        assert delayed_connects.has_started.wait(WAIT_TIMEOUT_S)
        (pending,) = proxy.parts.event_loop._pending.by_id.values()
        (attempt,) = pending.attempts.values()
        index = [cache.id for cache in proxy.caches].index(attempt.cache)
        proxy.coordinator.add(endpoints={"version": 2, **replacement(proxy, index, kind)})
        changed_at = time.monotonic()
        assert proxy.wait_until(lambda: attempt not in pending.attempts.values())
        assert time.monotonic() - changed_at < MAX_WITHDRAWAL_S
        delayed_connects.may_connect.set()
        assert client.read_response().status == 200
        assert not attempt.is_started
        assert sum(len(cache.received()) for cache in proxy.caches) <= 1


@pytest.mark.parametrize("kind", [OLD_ONE_NOT_REMOVED, BOTH_IN_A_FULL_LIST])
def test_endpoint_whose_address_a_later_process_has_is_removed(kind: str) -> None:
    """Guards against requests to both of two endpoints at one address, of which one has ended."""
    with running_proxy() as proxy, proxy.connect() as client:
        assert client.request().status == 200
        proxy.coordinator.add(endpoints={"version": 2, **replacement(proxy, 0, kind)})
        endpoints = proxy.parts.event_loop._router.state.endpoints
        assert proxy.wait_until(lambda: set(endpoints.caches) == {"b", "new"})
        weighted = {**proxy.listed_endpoints[0], "weight": 5}
        proxy.coordinator.add(endpoints={"version": 3, "full": False, "servers": [weighted]})
        assert proxy.wait_until(lambda: proxy.parts.discovery._watch_state.last_index == 3)
        assert client.request(part=7).status == 200
        assert set(endpoints.caches) == {"b", "new"}
        assert {address.id for address in proxy.parts.upstream.addresses} == {"b", "new", "p", "o"}
        proxy.coordinator.add(endpoints={"version": 4, "full": True, "servers": proxy.listed_endpoints})
        assert proxy.wait_until(lambda: set(endpoints.caches) == {"a", "b"})


def entry(
    endpoint_id: str,
    port: int,
    started_at: int | None = None,
    state: api.EndpointState = api.EndpointState.READY,
) -> tuple[api.EndpointMetadata, EndpointAddress]:
    address = EndpointAddress(endpoint_id, Address("127.0.0.1", port), started_at, state)
    return api.EndpointMetadata(endpoint_id, state, started_at=started_at), address


def update_of(*entries: tuple[api.EndpointMetadata, EndpointAddress]) -> EndpointChange:
    change = api.EndpointUpdate(
        api.EndpointUpdateKind.INCREMENTAL, tuple(metadata for metadata, _ in entries)
    )
    return EndpointChange(change, [address for _, address in entries])


def removed_ids(change: EndpointChange) -> list[str]:
    return [address.id for address in change.addresses if address.state is api.EndpointState.REMOVED]


def test_only_a_later_start_at_the_same_address_supersedes_an_endpoint() -> None:
    known = [entry("old", 1)[1], entry("other", 2)[1], entry("late", 3, 50)[1]]
    for unchanged in (
        update_of(entry("new", 4, 90)),
        update_of(entry("new", 1)),
        update_of(entry("new", 3, 50)),
        update_of(entry("new", 1, 90, api.EndpointState.REMOVED)),
    ):
        assert remove_superseded(unchanged, known) is unchanged
    assert removed_ids(remove_superseded(update_of(entry("new", 1, 90)), known)) == ["old"]
    assert removed_ids(remove_superseded(update_of(entry("new", 3, 40)), known)) == ["new"]
    draining = update_of(entry("new", 1, 90, api.EndpointState.DRAINING), entry("old", 1))
    assert removed_ids(remove_superseded(draining, known)) == ["old"]
