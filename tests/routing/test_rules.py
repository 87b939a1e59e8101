"""The five rules as properties, watched from outside over hostile event sequences."""

from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from olivepost import interface as api
from tests.helpers import MS, ORIGIN, SECOND, Front, cache, make_class, make_settings, parent

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
        st.just("advice"), st.integers(0, 30), st.sampled_from((*CACHES, *PARENTS, "zz:9", "")), st.booleans()
    ),
    st.tuples(st.just("store"), st.booleans(), st.none(), st.none()),
    st.tuples(st.just("lend"), st.sampled_from(CACHES), st.integers(0, 500), st.none()),
)


class World(Front):
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
        self.started = dict.fromkeys(CACHES + PARENTS, 0)
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

    def do(self, event: api.Event) -> list[api.Action]:
        """Hands over one event and checks each action that it leads to."""
        actions = super().do(event)
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
                    spec = self.settings.classes[request.class_name]
                    maybe = self.ran[action.request_id] or any(
                        key[0] == action.request_id for key in self.out
                    )
                    assert (
                        spec.idempotency is api.Idempotency.IDEMPOTENT or not maybe
                    )  # rule 2: harmless to repeat
                self.over.add(action.request_id)

    def check_fetch(self, fetch: api.ForwardAttempt) -> None:
        assert (
            fetch.request_id in self.owed and fetch.request_id not in self.over
        )  # rule 1: nothing after the end
        request, _ = self.owed[fetch.request_id]
        spec = self.settings.classes[request.class_name]
        assert not any(key[0] == fetch.request_id for key in self.out)  # rule 2: one at a time
        if spec.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            assert not self.ran[fetch.request_id]
        if spec.idempotency is api.Idempotency.WITH_KEY and self.ran[fetch.request_id]:
            since, first = self.ran[fetch.request_id][0]
            assert CELLS.get(fetch.cache) == CELLS.get(first) is not None
            assert self.now - since < spec.idempotency_window + 4 * SECOND
        for address in (fetch.cache, fetch.source):  # rule 3
            assert address == ORIGIN.id or self.states[address] is api.EndpointState.READY
        for name, when in self.purges:  # rule 5
            if name in (None, request.object) and self.now - when <= self.settings.invalidation_lifetime:
                assert 0 < fetch.max_age <= max(1, self.now - when)
        if spec.freshness_lifetime:
            assert 0 < fetch.max_age <= spec.freshness_lifetime + spec.stale_grace
        for address in {fetch.cache, fetch.source}:
            self.check_cold(address, request)
        self.out[fetch.request_id, self.sends[fetch.request_id]] = fetch
        self.sends[fetch.request_id] += 1
        assert self.sends[fetch.request_id] <= self.settings.max_attempts

    def check_cold(self, address: str, request: api.Request) -> None:
        """Rule 4, for a link of two transfers at least and half of it this front's share."""
        if not self.started.get(address):
            return
        s, age = self.settings, self.now - self.started[address]
        tier = s.parents if address in PARENTS else s.caches
        floor, warm = tier.slow_start_initial_share, tier.slow_start_duration
        if age >= warm:
            return
        recent = [c for c in self.charged.get(address, []) if c[0] > self.now - s.overload_window]
        recent.append((self.now, request.size_kb / s.transfer_rate_kb_per_s * SECOND))
        self.charged[address] = recent
        present = floor + (1 - floor) * age / warm
        assert sum(c[1] for c in recent) <= 2.0 * present * 2 * s.overload_window / 2 + 1

    def play(self, step: Step) -> None:
        kind, one, two, three = step
        if kind == "ask" and isinstance(three, int):
            self.count += 1
            request = api.Request(f"r{self.count}", str(one), str(two), three * MS, 100.0, 1)
            self.owed[request.id] = request, self.now + request.timeout
            self.sends[request.id], self.ran[request.id] = 0, []
            self.do(request)
        elif kind == "end" and self.out and isinstance(one, int):
            key = sorted(self.out)[one % len(self.out)]
            fetch, status = self.out.pop(key), api.AttemptStatus(two)
            if status not in api.NOT_EXECUTED:
                self.ran[key[0]].append((self.now, fetch.cache))
            if status is api.AttemptStatus.OK:
                self.owed.pop(key[0], None)
                self.over.add(key[0])
            final = status is api.AttemptStatus.OK
            self.do(api.AttemptOutcome(key[0], key[1], status, 30 * MS, final, api.CacheStatus(three)))
        elif kind == "wait" and isinstance(one, int):
            self.wait(one * MS)
        elif kind == "list":
            address, state = str(one), api.EndpointState(two)
            self.states[address] = state
            if three:
                self.started[address] = self.now
                self.charged.pop(address, None)
            listed = next(m for m in self.members() if m.id == address)
            self.do(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, (listed,)))
        elif kind == "purge" and isinstance(two, int):
            self.purges.append((str(one) if one else None, self.now - two * MS))
            self.do(api.Invalidation(str(one) if one else None, 1, two * MS))
        elif kind == "leave" and self.owed and isinstance(one, int):
            gone = sorted(self.owed)[one % len(self.owed)]
            self.owed.pop(gone)
            self.over.add(gone)
            self.do(api.ClientDisconnected(gone))
        elif kind == "advice" and self.owed and isinstance(one, int):
            asked = sorted(self.owed)[one % len(self.owed)]
            self.do(api.CacheHint(asked, str(two), bool(three), 300 * MS))
        elif kind == "store":
            self.do(api.StoreAvailability(bool(one)))
        elif kind == "lend" and isinstance(two, int):
            budget = f"cold:{one}@{self.started[str(one)]}"
            self.do(api.QuotaRequested(1, budget, two * MS, self.now + SECOND))
        elif kind == "stale":
            self.do(api.EndpointUpdate(api.EndpointUpdateKind.FULL, self.members()))


@settings(
    max_examples=150, derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
@given(st.booleans(), st.lists(STEP, min_size=5, max_size=80))
def test_rules_hold_over_hostile_sequences(direct: bool, steps: list[Step]) -> None:
    world = World(direct)
    for step in steps:
        world.play(step)
    world.wait(5 * SECOND)
    assert not world.owed  # rule 1: every request had its one answer
    assert not world.router.requests.pending
    assert all(member.in_flight == 0 for member in world.router.state.endpoints.by_id.values())
