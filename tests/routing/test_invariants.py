"""Property-based tests of the routing invariants with sequences of events that are meant to break them."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from olivepost import interface as api
from tests.router_harness import MS, SECOND
from tests.routing.invariant_checker import CACHES, CLASSES, PARENTS, InvariantChecker

OBJECTS = ("x", "y", "z")
STATUSES = [status for status in api.AttemptStatus if status is not api.AttemptStatus.CANCELLED]
HINTED_CACHES = (*CACHES, *PARENTS, "zz:9", None)


@dataclass(frozen=True)
class RequestArrives:
    class_name: str
    object: str
    timeout_ms: int
    is_client_retry: bool

    def play(self, checker: InvariantChecker) -> None:
        request_id = f"r{len(checker.requests) + 1}"
        timeout = self.timeout_ms * MS
        request = api.Request(request_id, self.class_name, self.object, timeout, 100.0, 1)
        checker.track_request(dataclasses.replace(request, is_client_retry=self.is_client_retry))


@dataclass(frozen=True)
class AttemptEnds:
    index: int  # index into the attempts in flight, modulo their number
    status: api.AttemptStatus
    cache_status: api.CacheStatus

    def play(self, checker: InvariantChecker) -> None:
        in_flight = checker.attempts_in_flight()
        if in_flight:
            request_id, number = in_flight[self.index % len(in_flight)]
            checker.track_outcome(request_id, number, self.status, self.cache_status)


@dataclass(frozen=True)
class TimePasses:
    duration_ms: int

    def play(self, checker: InvariantChecker) -> None:
        checker.advance(self.duration_ms * MS)


@dataclass(frozen=True)
class EndpointChanges:
    endpoint_id: str
    state: api.EndpointState
    is_restarted: bool

    def play(self, checker: InvariantChecker) -> None:
        checker.track_endpoint(self.endpoint_id, self.state, self.is_restarted)


@dataclass(frozen=True)
class FullListArrives:
    def play(self, checker: InvariantChecker) -> None:
        checker.handle(api.EndpointUpdate(api.EndpointUpdateKind.FULL, checker.endpoint_list()))


@dataclass(frozen=True)
class InvalidationArrives:
    object: str | None
    age_ms: int

    def play(self, checker: InvariantChecker) -> None:
        checker.track_invalidation(self.object, self.age_ms * MS)


@dataclass(frozen=True)
class ClientDisconnects:
    index: int  # index into the pending requests, modulo their number

    def play(self, checker: InvariantChecker) -> None:
        pending = checker.pending()
        if pending:
            checker.track_disconnect(pending[self.index % len(pending)].request.id)


@dataclass(frozen=True)
class HintArrives:
    index: int  # index into the pending requests, modulo their number
    cache: str | None
    is_filling: bool

    def play(self, checker: InvariantChecker) -> None:
        pending = checker.pending()
        if pending:
            request_id = pending[self.index % len(pending)].request.id
            checker.handle(api.CacheHint(request_id, self.cache, self.is_filling, 300 * MS))


@dataclass(frozen=True)
class StoreChanges:
    is_available: bool

    def play(self, checker: InvariantChecker) -> None:
        checker.handle(api.StoreAvailability(self.is_available))


@dataclass(frozen=True)
class QuotaIsRequested:
    cache_id: str
    amount_ms: int

    def play(self, checker: InvariantChecker) -> None:
        key = api.QuotaKey(api.QuotaKind.SLOW_START, self.cache_id, checker.started_at[self.cache_id])
        checker.handle(api.QuotaRequested(1, key, self.amount_ms * MS, checker.now + SECOND))


Step = (
    RequestArrives
    | AttemptEnds
    | TimePasses
    | EndpointChanges
    | FullListArrives
    | InvalidationArrives
    | ClientDisconnects
    | HintArrives
    | StoreChanges
    | QuotaIsRequested
)
INDEXES = st.integers(0, 30)
CLASS_NAMES = st.sampled_from([request_class.name for request_class in CLASSES])
STEPS: st.SearchStrategy[Step] = st.one_of(
    st.builds(RequestArrives, CLASS_NAMES, st.sampled_from(OBJECTS), st.integers(0, 3000), st.booleans()),
    st.builds(AttemptEnds, INDEXES, st.sampled_from(STATUSES), st.sampled_from(list(api.CacheStatus))),
    st.builds(TimePasses, st.integers(0, 1500)),
    st.builds(
        EndpointChanges,
        st.sampled_from(CACHES + PARENTS),
        st.sampled_from(list(api.EndpointState)),
        st.booleans(),
    ),
    st.builds(FullListArrives),
    st.builds(InvalidationArrives, st.sampled_from([None, *OBJECTS]), st.integers(0, 400)),
    st.builds(ClientDisconnects, INDEXES),
    st.builds(HintArrives, INDEXES, st.sampled_from(HINTED_CACHES), st.booleans()),
    st.builds(StoreChanges, st.booleans()),
    st.builds(QuotaIsRequested, st.sampled_from(CACHES), st.integers(0, 500)),
)


@settings(
    max_examples=150, derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
@given(st.booleans(), st.lists(STEPS, min_size=5, max_size=80))
def test_invariants_hold_over_hostile_sequences(allows_direct_forwarding: bool, steps: list[Step]) -> None:
    checker = InvariantChecker(allows_direct_forwarding)

    for step in steps:
        step.play(checker)
    checker.advance(5 * SECOND)

    assert not checker.pending()  # each request has got its final response
    assert not checker.router.requests.pending
    assert all(endpoint.in_flight == 0 for endpoint in checker.state.endpoints.by_id.values())
