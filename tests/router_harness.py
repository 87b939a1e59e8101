"""Settings, endpoint lists and a driver for tests of the router."""

from __future__ import annotations

import dataclasses
from itertools import pairwise
from typing import Any

from olivepost import interface as api
from olivepost.router import Router
from olivepost.routing_state import Endpoint, RoutingState
from olivepost.units import Duration, Instant

MS: Duration = 1_000_000
SECOND: Duration = 1_000_000_000
START = 1_000 * SECOND


def make_class(name: str = "image", **changes: Any) -> api.ClassSettings:
    """Returns an idempotent request class whose responses do not expire, with the given changes."""
    request_class = api.ClassSettings(
        name=name,
        latency_objective=300 * MS,
        latency_objective_stretch=2.0,
        deadline=3 * SECOND,
        idempotency=api.Idempotency.IDEMPOTENT,
        deduplication_scope=api.DeduplicationScope.ALL,
        idempotency_window=5 * SECOND,
        is_streaming=False,
        priority_weight=1.0,
        late_priority_weight=0.2,
        freshness_lifetime=None,
        stale_grace=0,
        stale_priority_weight=0.5,
        is_uncacheable=False,
    )
    return dataclasses.replace(request_class, **changes)


def make_settings(*classes: api.ClassSettings, **changes: Any) -> api.Settings:
    """Returns the settings of a zone with a proxy, caches, parents and an origin, with the given changes."""
    settings = api.Settings(
        classes={request_class.name: request_class for request_class in classes or (make_class(),)},
        zone="west",
        caches=api.TierSettings(1, 0.2, 10 * SECOND, 2.0),
        parents=api.TierSettings(1, 0.1, 20 * SECOND, 2.0),
        parent_kind="parent",
        origin_kind="origin",
        has_endpoint_weights=False,
        transfer_rate_kb_per_s=1000.0,
        can_collapse_fills=True,
        allows_direct_forwarding=True,
        sibling_sources="off",
        reports_hits=True,
        reports_failure_causes=False,
        invalidation_lifetime=6 * SECOND,
        overload_window=2 * SECOND,
        subscribes_to_endpoints=False,
        subscription_timeout=10 * SECOND,
        max_attempts=6,
        can_cancel_attempts=True,
        allows_hedged_requests=False,
        marks_client_retries=True,
        supports_retry_after=True,
        max_retry_after=SECOND,
        deadline_margin=2 * MS,
    )
    return dataclasses.replace(settings, **changes)


def cache(
    endpoint_id: str,
    state: api.EndpointState = api.EndpointState.READY,
    started_at: Instant | None = None,
    **changes: Any,
) -> api.EndpointMetadata:
    """Returns the metadata of a cache in the proxy's own zone."""
    listed = api.EndpointMetadata(endpoint_id, state, "standard", "west", 0, 1.0, started_at)
    return dataclasses.replace(listed, **changes)


def parent(
    endpoint_id: str,
    state: api.EndpointState = api.EndpointState.READY,
    started_at: Instant | None = None,
    **changes: Any,
) -> api.EndpointMetadata:
    """Returns the metadata of a parent in another zone."""
    return cache(endpoint_id, state, started_at, **{"kind": "parent", "zone": "hub", **changes})


ORIGIN = api.EndpointMetadata("origin:1", api.EndpointState.READY, "origin", "hub")
FLEET = (cache("a:1"), cache("b:1"), cache("c:1"), parent("p:1"), parent("q:1"), ORIGIN)


class RouterDriver:
    """A router under test, with a simulated clock that fires the router's timers in order of time."""

    def __init__(
        self, settings: api.Settings, endpoints: tuple[api.EndpointMetadata, ...] = FLEET, seed: int = 7
    ) -> None:
        self.router = Router(settings, seed)
        self.now = START
        self.timers: list[tuple[Instant, int]] = []  # due time and timer id
        self.handle(api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, endpoints))

    @property
    def state(self) -> RoutingState:
        """Returns the routing state of the router, for tests that read or change it."""
        return self.router.state

    def endpoint(self, endpoint_id: str) -> Endpoint:
        """Returns the router's entry for a listed endpoint."""
        return self.router.state.endpoints.by_id[endpoint_id]

    def handle(self, event: api.Event) -> list[api.Action]:
        """Passes one event to the router at the current time, and records the timers that the router sets."""
        actions = self.router.handle(self.now, event)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay, action.timer_id))
        return actions

    def advance(self, duration: Duration) -> list[api.Action]:
        """Advances the clock and fires the timers that become due; returns the resulting actions."""
        until = self.now + duration
        actions: list[api.Action] = []
        while self.timers and min(self.timers)[0] <= until:
            due_at, timer_id = min(self.timers)
            self.timers.remove((due_at, timer_id))
            self.now = max(self.now, due_at)
            actions += self.handle(api.TimerFired(timer_id))
        self.now = until
        return actions

    def request(self, request_id: str, name: str = "x", **changes: Any) -> list[api.Action]:
        """Passes a new request to the router; returns the resulting actions."""
        request = api.Request(request_id, "image", name, 3 * SECOND, group=1, size_kb=50.0)
        return self.handle(dataclasses.replace(request, **changes))

    def request_missed_by_cache(self, request_id: str, name: str = "x", **changes: Any) -> list[api.Action]:
        """Passes a new request to the router, then a miss as the outcome of the first lookup.

        Returns the actions that result from the miss.
        """
        lookups = forwarded_attempts(self.request(request_id, name, **changes))
        assert lookups
        assert lookups[0].source is None
        return self.complete_attempt(request_id, 0, api.AttemptStatus.NOT_CACHED)

    def complete_attempt(
        self, request_id: str, attempt: int, status: api.AttemptStatus, **changes: Any
    ) -> list[api.Action]:
        """Passes the outcome of an attempt to the router; returns the resulting actions."""
        outcome = api.AttemptOutcome(request_id, attempt, status, 50 * MS, status is api.AttemptStatus.OK)
        return self.handle(dataclasses.replace(outcome, **changes))


def forwarded_attempts(actions: list[api.Action]) -> list[api.ForwardAttempt]:
    """Returns the attempts among the actions."""
    return [action for action in actions if isinstance(action, api.ForwardAttempt)]


def first_attempt(actions: list[api.Action]) -> api.ForwardAttempt:
    """Returns the first attempt among the actions; raises IndexError if there is none."""
    return forwarded_attempts(actions)[0]


def source_of(attempt: api.ForwardAttempt) -> str:
    """Returns the endpoint from which an attempt fills a cache; fails if the attempt has no such source."""
    assert attempt.source is not None
    return attempt.source


def final_responses(actions: list[api.Action]) -> list[api.FinalResponse]:
    """Returns the actions that end a request by a rejection or a failure."""
    return [action for action in actions if isinstance(action, api.FinalResponse)]


def split(stream: bytes, cuts: list[int]) -> list[bytes]:
    """Splits a byte stream into pieces at the given offsets."""
    edges = [0, *sorted(cuts), len(stream)]
    return [stream[start:end] for start, end in pairwise(edges)]
