"""The five rules as properties, watched from outside over hostile event sequences."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from olivepost import interface as api
from tests.router_harness import MS, ORIGIN, SECOND, RouterDriver, cache, make_class, make_settings, parent

CLASSES = (
    make_class("safe", freshness_lifetime=8 * SECOND, stale_grace=30 * SECOND),
    make_class(
        "keyed",
        idempotency=api.Idempotency.WITH_KEY,
        deduplication_scope=api.DeduplicationScope.CELL,
        idempotency_window=SECOND,
    ),
    make_class("unsafe", idempotency=api.Idempotency.NOT_IDEMPOTENT, is_uncacheable=True),
)
CACHES, PARENTS, OBJECTS = ("a:1", "b:1", "c:1", "d:1"), ("p:1", "q:1"), ("x", "y", "z")
CELLS = {"a:1": 1, "b:1": 1, "c:1": 2, "d:1": 2}
STATUSES = [status for status in api.AttemptStatus if status is not api.AttemptStatus.CANCELLED]
Step = tuple[str, object, object, object]
STEP = st.one_of(
    st.tuples(
        st.just("ask"),
        st.sampled_from([c.name for c in CLASSES]),
        st.sampled_from(OBJECTS),
        st.integers(0, 3000),
    ),
    st.tuples(
        st.just("end"), st.integers(0, 30), st.sampled_from(STATUSES), st.sampled_from(list(api.CacheStatus))
    ),
    st.tuples(st.just("wait"), st.integers(0, 1500), st.none(), st.none()),
    st.tuples(
        st.just("list"),
        st.sampled_from(CACHES + PARENTS),
        st.sampled_from(list(api.EndpointState)),
        st.booleans(),
    ),
    st.tuples(st.just("purge"), st.sampled_from([None, *OBJECTS]), st.integers(0, 400), st.none()),
    st.tuples(st.just("leave"), st.integers(0, 30), st.none(), st.none()),
    st.tuples(st.just("stale"), st.none(), st.none(), st.none()),
    st.tuples(
        st.just("advice"),
        st.integers(0, 30),
        st.sampled_from((*CACHES, *PARENTS, "zz:9", None)),
        st.booleans(),
    ),
    st.tuples(st.just("store"), st.booleans(), st.none(), st.none()),
    st.tuples(st.just("lend"), st.sampled_from(CACHES), st.integers(0, 500), st.none()),
)


class World(RouterDriver):
    """Plays the other side and checks each action against the rules."""

    def __init__(self, direct: bool) -> None:
        self.settings = make_settings(
            *CLASSES,
            allows_direct_forwarding=direct,
            caches=api.TierSettings(2, 0.2, 10 * SECOND, 2.0),
            parents=api.TierSettings(2, 0.1, 20 * SECOND, 2.0),
            shared_store_timeout=10 * MS,
        )
        self.states = dict.fromkeys(CACHES + PARENTS, api.EndpointState.READY)
        self.started: dict[str, int | None] = dict.fromkeys(CACHES + PARENTS)
        self.owed: dict[str, tuple[api.Request, int]] = {}
        self.out: dict[tuple[str, int], api.ForwardAttempt] = {}
        self.sends: dict[str, int] = {}
        self.ran: dict[str, list[tuple[int, str]]] = {}
        self.over: set[str] = set()
        self.purges: list[tuple[str | None, int]] = []
        self.charged: dict[str, list[tuple[int, float]]] = {}
        self.count = 0
        super().__init__(self.settings, self.members(), seed=3)

    def members(self) -> tuple[api.EndpointMetadata, ...]:
        caches = tuple(cache(a, self.states[a], self.started[a], cell=CELLS[a]) for a in CACHES)
        return (*caches, *(parent(a, self.states[a], self.started[a]) for a in PARENTS), ORIGIN)

    def handle(self, event: api.Event) -> list[api.Action]:
        """Hands over one event and checks each action that it leads to."""
        actions = super().handle(event)
        for action in actions:
            self.check(action)
        return actions

    def check(self, action: api.Action) -> None:
        match action:
            case api.SetTimer():
                assert action.delay >= 0
            case api.ForwardAttempt():
                self.check_fetch(action)
            case api.CancelAttempt():
                assert action.attempt < self.sends[action.request_id]
                if (action.request_id, action.attempt) in self.out:
                    fetch = self.out.pop((action.request_id, action.attempt))
                    self.ran[action.request_id].append((self.now, fetch.cache))
            case api.Reject() | api.Fail():
                request, deadline = self.owed.pop(action.request_id)
                assert self.now <= deadline  # rule 1: in time
                if isinstance(action, api.Reject):
                    request_class = self.settings.classes[request.class_name]
                    maybe = self.ran[action.request_id] or any(
                        key[0] == action.request_id for key in self.out
                    )
                    assert (
                        request_class.idempotency is api.Idempotency.IDEMPOTENT or not maybe
                    )  # rule 2: harmless to repeat
                self.over.add(action.request_id)

    def check_fetch(self, fetch: api.ForwardAttempt) -> None:
        assert fetch.request_id in self.owed
        assert fetch.request_id not in self.over
        request, _ = self.owed[fetch.request_id]
        request_class = self.settings.classes[request.class_name]
        assert not any(key[0] == fetch.request_id for key in self.out)  # rule 2: one at a time
        if request_class.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            assert not self.ran[fetch.request_id]
        if request_class.idempotency is api.Idempotency.WITH_KEY and self.ran[fetch.request_id]:
            since, first = self.ran[fetch.request_id][0]
            assert CELLS.get(fetch.cache) == CELLS.get(first) is not None
            assert self.now - since < request_class.idempotency_window + 4 * SECOND
        for address in {fetch.cache, fetch.source or fetch.cache}:  # rule 3
            assert address == ORIGIN.id or self.states[address] is api.EndpointState.READY
        for name, when in self.purges:  # rule 5
            if name in (None, request.object) and self.now - when <= self.settings.invalidation_lifetime:
                assert fetch.max_age is not None
                assert 0 < fetch.max_age <= max(1, self.now - when)
        if request_class.freshness_lifetime is not None:
            assert fetch.max_age is not None
            assert 0 < fetch.max_age <= request_class.freshness_lifetime + request_class.stale_grace
        for address in {fetch.cache, fetch.source or fetch.cache}:
            self.check_cold(address, request)
        self.out[fetch.request_id, self.sends[fetch.request_id]] = fetch
        self.sends[fetch.request_id] += 1
        assert self.sends[fetch.request_id] <= self.settings.max_attempts

    def check_cold(self, address: str, request: api.Request) -> None:
        """Rule 4, for a link of two transfers at least and half of it this front's share."""
        started = self.started.get(address)
        if started is None:
            return
        s, age = self.settings, self.now - started
        tier = s.parents if address in PARENTS else s.caches
        floor, warm = tier.slow_start_initial_share, tier.slow_start_duration
        if age >= warm:
            return
        recent = [c for c in self.charged.get(address, []) if c[0] > self.now - s.overload_window]
        assert request.size_kb is not None
        assert s.transfer_rate_kb_per_s is not None
        recent.append((self.now, request.size_kb / s.transfer_rate_kb_per_s * SECOND))
        self.charged[address] = recent
        present = floor + (1 - floor) * age / warm
        assert sum(c[1] for c in recent) <= 2.0 * present * 2 * s.overload_window / 2 + 1

    def play(self, step: Step) -> None:
        """Plays one step; one that needs what is not there does nothing."""
        kind, one, two, three = step
        if kind in ("end", "leave", "advice") and not (self.out if kind == "end" else self.owed):
            return
        plays: dict[str, Callable[[Any, Any, Any], None]] = {
            "ask": self.play_request,
            "end": self.play_outcome,
            "wait": self.play_wait,
            "list": self.play_endpoint,
            "purge": self.play_invalidation,
            "leave": self.play_disconnect,
            "advice": self.play_hint,
            "store": self.play_store,
            "lend": self.play_quota,
            "stale": self.play_full_list,
        }
        plays[kind](one, two, three)

    def play_request(self, class_name: str, name: str, timeout_ms: int) -> None:
        self.count += 1
        request = api.Request(f"r{self.count}", class_name, name, timeout_ms * MS, 100.0, 1)
        self.owed[request.id] = request, self.now + request.timeout
        self.sends[request.id], self.ran[request.id] = 0, []
        self.handle(request)

    def play_outcome(self, number: int, status: api.AttemptStatus, cache_status: api.CacheStatus) -> None:
        key = sorted(self.out)[number % len(self.out)]
        fetch = self.out.pop(key)
        if status not in api.NOT_EXECUTED:
            self.ran[key[0]].append((self.now, fetch.cache))
        if status is api.AttemptStatus.OK:
            self.owed.pop(key[0], None)
            self.over.add(key[0])
        is_final = status is api.AttemptStatus.OK
        self.handle(api.AttemptOutcome(key[0], key[1], status, 30 * MS, is_final, cache_status))

    def play_wait(self, span_ms: int, _two: None, _three: None) -> None:
        self.advance(span_ms * MS)

    def play_endpoint(self, endpoint_id: str, state: api.EndpointState, is_restarted: bool) -> None:
        self.states[endpoint_id] = state
        if is_restarted:
            self.started[endpoint_id] = self.now
            self.charged.pop(endpoint_id, None)
        listed = next(m for m in self.members() if m.id == endpoint_id)
        self.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, (listed,)))

    def play_invalidation(self, name: str | None, age_ms: int, _three: None) -> None:
        self.purges.append((name, self.now - age_ms * MS))
        self.handle(api.Invalidation(name, 1, age_ms * MS))

    def play_disconnect(self, number: int, _two: None, _three: None) -> None:
        request_id = sorted(self.owed)[number % len(self.owed)]
        self.owed.pop(request_id)
        self.over.add(request_id)
        self.handle(api.ClientDisconnected(request_id))

    def play_hint(self, number: int, cache_id: str | None, is_filling: bool) -> None:
        request_id = sorted(self.owed)[number % len(self.owed)]
        self.handle(api.CacheHint(request_id, cache_id, is_filling, 300 * MS))

    def play_store(self, is_available: bool, _two: None, _three: None) -> None:
        self.handle(api.StoreAvailability(is_available))

    def play_quota(self, cache_id: str, amount_ms: int, _three: None) -> None:
        key = api.QuotaKey(api.QuotaKind.SLOW_START, cache_id, self.started[cache_id])
        self.handle(api.QuotaRequested(1, key, amount_ms * MS, self.now + SECOND))

    def play_full_list(self, _one: None, _two: None, _three: None) -> None:
        self.handle(api.EndpointUpdate(api.EndpointUpdateKind.FULL, self.members()))


@settings(
    max_examples=150, derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
@given(st.booleans(), st.lists(STEP, min_size=5, max_size=80))
def test_rules_hold_over_hostile_sequences(direct: bool, steps: list[Step]) -> None:
    world = World(direct)
    for step in steps:
        world.play(step)
    world.advance(5 * SECOND)
    assert not world.owed  # rule 1: every request had its one answer
    assert not world.router.requests.pending
    assert all(member.in_flight == 0 for member in world.router.state.endpoints.by_id.values())
