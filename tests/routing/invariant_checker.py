"""A driver that checks the routing invariants on each action, independently of the router's own state.

- The deadline invariant: each request gets one final response before its deadline.
- The idempotency invariant: no request that is not idempotent is executed twice, by a retry of the proxy or
  by a client that repeats a rejected request.
- The draining invariant: no attempt goes to an endpoint that is draining or removed.
- The slow start invariant: an endpoint that is warming up gets no more work than its budget.
- The invalidation invariant: no attempt allows a response that is older than an invalidation.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from olivepost import interface as api
from olivepost.routing.retries import MAX_RETRY_AFTER
from olivepost.units import Duration, Instant
from tests.router_harness import MS, ORIGIN, SECOND, RouterDriver, cache, make_class, make_settings, parent

CLASSES = (
    make_class("idempotent", freshness_lifetime=8 * SECOND, stale_grace=30 * SECOND),
    make_class(
        "with-key",
        idempotency=api.Idempotency.WITH_KEY,
        deduplication_scope=api.DeduplicationScope.CELL,
        idempotency_window=SECOND,
    ),
    make_class("with-short-lived-key", idempotency=api.Idempotency.WITH_KEY, idempotency_window=2_500 * MS),
    make_class("with-lasting-key", idempotency=api.Idempotency.WITH_KEY, idempotency_window=3 * SECOND),
    make_class("not-idempotent", idempotency=api.Idempotency.NOT_IDEMPOTENT, is_uncacheable=True),
)
CELLS = {"a:1": 1, "b:1": 1, "c:1": 2, "d:1": 2}
CACHES = tuple(CELLS)
PARENTS = ("p:1", "q:1")
PROXIES = 2
OVERLOAD_MULTIPLE = 2.0
MIN_LINK_TRANSFERS = 2


@dataclass
class TrackedRequest:
    """A request with its deadline, its attempts and whether it is over."""

    request: api.Request
    arrived_at: Instant
    attempt_count: int = 0
    in_flight: dict[int, api.ForwardAttempt] = field(default_factory=dict)  # attempts by number
    # Cache of each ended attempt that may have been executed.
    executed: list[str] = field(default_factory=list)
    # Time at which each attempt was sent that is in flight or may have been executed, by number.
    sent_at: dict[int, Instant] = field(default_factory=dict)
    is_over: bool = False

    @property
    def deadline(self) -> Instant:
        """Returns the latest time at which the request may get its final response."""
        return self.arrived_at + self.request.timeout


@dataclass(frozen=True)
class TrackedInvalidation:
    """An invalidation of one object, or of all objects if `object` is None."""

    object: str | None
    invalidated_at: Instant

    def concerns(self, request: api.Request) -> bool:
        return self.object in (None, request.object)


class InvariantChecker(RouterDriver):
    """A driver that acts as the clients, endpoints and shared store of one router."""

    def __init__(self, allows_direct_forwarding: bool) -> None:
        self.settings = make_settings(
            *CLASSES,
            allows_direct_forwarding=allows_direct_forwarding,
            caches=api.TierSettings(PROXIES, 0.2, 10 * SECOND, OVERLOAD_MULTIPLE),
            parents=api.TierSettings(PROXIES, 0.1, 20 * SECOND, OVERLOAD_MULTIPLE),
            shared_store_timeout=10 * MS,
        )
        self.states = dict.fromkeys(CACHES + PARENTS, api.EndpointState.READY)
        self.started_at: dict[str, Instant | None] = dict.fromkeys(CACHES + PARENTS)
        self.requests: dict[str, TrackedRequest] = {}
        self.invalidations: list[TrackedInvalidation] = []
        # Time and work of the attempts that were sent to endpoints in slow start, by endpoint id.
        self.work: dict[str, list[tuple[Instant, float]]] = {}
        super().__init__(self.settings, self.endpoint_list(), seed=3)

    def endpoint_list(self) -> tuple[api.EndpointMetadata, ...]:
        caches = (
            cache(cache_id, self.states[cache_id], self.started_at[cache_id], cell=cell)
            for cache_id, cell in CELLS.items()
        )
        parents = (
            parent(parent_id, self.states[parent_id], self.started_at[parent_id]) for parent_id in PARENTS
        )
        return (*caches, *parents, ORIGIN)

    def pending(self) -> list[TrackedRequest]:
        """Returns the requests without a final response, sorted by id."""
        pending = [tracked for tracked in self.requests.values() if not tracked.is_over]
        return sorted(pending, key=lambda tracked: tracked.request.id)

    def attempts_in_flight(self) -> list[tuple[str, int]]:
        """Returns the request id and number of each attempt in flight, sorted."""
        return sorted(
            (request_id, number)
            for request_id, tracked in self.requests.items()
            for number in tracked.in_flight
        )

    # Events that a test passes to the router

    def track_request(self, request: api.Request) -> None:
        """Records a new request and passes it to the router."""
        self.requests[request.id] = TrackedRequest(request, self.now)
        self.handle(request)

    def track_outcome(
        self, request_id: str, number: int, status: api.AttemptStatus, cache_status: api.CacheStatus
    ) -> None:
        """Passes an attempt's outcome to the router; if the outcome is a response, the request is over."""
        tracked = self.requests[request_id]
        attempt = tracked.in_flight.pop(number)
        if status in api.NOT_EXECUTED:
            del tracked.sent_at[number]
        else:
            tracked.executed.append(attempt.cache)
        is_final = status is api.AttemptStatus.OK
        if is_final:
            tracked.is_over = True
        self.handle(api.AttemptOutcome(request_id, number, status, 30 * MS, is_final, cache_status))

    def track_disconnect(self, request_id: str) -> None:
        """Records that a client has disconnected, and tells the router."""
        self.requests[request_id].is_over = True
        self.handle(api.ClientDisconnected(request_id))

    def track_endpoint(self, endpoint_id: str, state: api.EndpointState, is_restarted: bool) -> None:
        """Changes an endpoint's state or replaces its process, and passes the update to the router."""
        self.states[endpoint_id] = state
        if is_restarted:
            self.started_at[endpoint_id] = self.now
            self.work.pop(endpoint_id, None)
        changed = tuple(metadata for metadata in self.endpoint_list() if metadata.id == endpoint_id)
        self.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, changed))

    def track_invalidation(self, object_name: str | None, age: Duration) -> None:
        """Records an invalidation and passes it to the router.

        The invalidation concerns one object, or the group of all requests if `object_name` is None.
        """
        self.invalidations.append(TrackedInvalidation(object_name, self.now - age))
        self.handle(api.Invalidation(object_name, 1, age))

    # The call of the router, and the checks of the resulting actions

    def handle(self, event: api.Event) -> list[api.Action]:
        """Passes one event to the router and checks each resulting action."""
        actions = super().handle(event)
        for action in actions:
            self._check(action)
        return actions

    def _check(self, action: api.Action) -> None:
        match action:
            case api.SetTimer():
                assert action.delay >= 0
            case api.ForwardAttempt():
                self._check_attempt(action)
            case api.CancelAttempt():
                self._check_cancellation(action)
            case api.Reject() | api.RejectIfUnsent() | api.Fail():
                self._check_final_response(action)

    def _check_cancellation(self, action: api.CancelAttempt) -> None:
        tracked = self.requests[action.request_id]
        assert action.attempt < tracked.attempt_count
        attempt = tracked.in_flight.pop(action.attempt, None)
        if attempt is not None:
            tracked.executed.append(attempt.cache)

    def _check_final_response(self, action: api.FinalResponse) -> None:
        """Checks the deadline invariant, and that the client may safely repeat a rejected request."""
        tracked = self.requests[action.request_id]
        assert not tracked.is_over
        assert self.now <= tracked.deadline
        assert isinstance(action, api.Reject) == self._is_client_retry_harmless(tracked)
        if isinstance(action, api.RejectIfUnsent):
            assert tracked.in_flight
            assert not tracked.executed
        tracked.is_over = True

    def _is_client_retry_harmless(self, tracked: TrackedRequest) -> bool:
        """Whether a repeat has no second effect, if it is forwarded while the key is remembered.

        The key must be remembered until the end of the client's wait, or until a client that follows
        Retry-After returns. The proxy does not forward a repeat that comes later than that.
        """
        request_class = self.settings.classes[tracked.request.class_name]
        if request_class.idempotency is api.Idempotency.IDEMPOTENT or not tracked.sent_at:
            return True
        if request_class.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            return False
        if request_class.deduplication_scope is not api.DeduplicationScope.ALL:
            return False
        window_end = self._window_end(tracked)
        returns_at = self.now + MAX_RETRY_AFTER + self.settings.deadline_margin
        return returns_at <= window_end or self._first_try_at(tracked) + request_class.deadline <= window_end

    def _first_try_at(self, tracked: TrackedRequest) -> Instant:
        """Returns when the client's first try arrived; for a client's retry, the earliest possible time."""
        if tracked.request.is_client_retry:
            return tracked.deadline - self.settings.classes[tracked.request.class_name].deadline
        return tracked.arrived_at

    def _window_end(self, tracked: TrackedRequest) -> Instant:
        """Returns the earliest time at which the key of a possibly executed request may be forgotten."""
        executed_at = list(tracked.sent_at.values())
        if tracked.request.is_client_retry:
            executed_at.append(self._first_try_at(tracked))
        return min(executed_at) + self.settings.classes[tracked.request.class_name].idempotency_window

    def _check_attempt(self, attempt: api.ForwardAttempt) -> None:
        tracked = self.requests[attempt.request_id]
        assert not tracked.is_over
        self._check_idempotency(tracked, attempt)
        self._check_age(tracked.request, attempt)
        for endpoint_id in {attempt.cache, attempt.source or attempt.cache}:
            assert endpoint_id == ORIGIN.id or self.states[endpoint_id] is api.EndpointState.READY
            self._check_slow_start(endpoint_id, tracked.request)
        tracked.in_flight[tracked.attempt_count] = attempt
        tracked.sent_at[tracked.attempt_count] = self.now
        tracked.attempt_count += 1
        assert tracked.attempt_count <= self.settings.max_attempts

    def _check_idempotency(self, tracked: TrackedRequest, attempt: api.ForwardAttempt) -> None:
        request_class = self.settings.classes[tracked.request.class_name]
        assert not tracked.in_flight  # a request has one attempt at a time
        if request_class.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            assert not tracked.executed
        is_with_key = request_class.idempotency is api.Idempotency.WITH_KEY
        if is_with_key and (tracked.executed or tracked.request.is_client_retry):
            assert self.now < self._window_end(tracked)
        if is_with_key and tracked.executed:
            first_cache = tracked.executed[0]
            if request_class.deduplication_scope is api.DeduplicationScope.CELL:
                assert CELLS.get(attempt.cache) == CELLS.get(first_cache) is not None

    def _check_age(self, request: api.Request, attempt: api.ForwardAttempt) -> None:
        for invalidation in self.invalidations:
            age = self.now - invalidation.invalidated_at
            if invalidation.concerns(request) and age <= self.settings.invalidation_lifetime:
                assert attempt.max_age is not None
                assert 0 < attempt.max_age <= max(1, age)
        request_class = self.settings.classes[request.class_name]
        if request_class.freshness_lifetime is not None:
            assert attempt.max_age is not None
            assert 0 < attempt.max_age <= request_class.freshness_lifetime + request_class.stale_grace

    def _check_slow_start(self, endpoint_id: str, request: api.Request) -> None:
        """Checks the slow start invariant against the budget of the smallest link that an endpoint may have.

        This proxy is one of `PROXIES` proxies and may use only its part of that link's budget.
        """
        started_at = self.started_at.get(endpoint_id)
        if started_at is None:
            return
        tier = self.settings.parents if endpoint_id in PARENTS else self.settings.caches
        window = self.settings.overload_window
        age = self.now - started_at
        if age >= tier.slow_start_duration:
            return
        assert request.size_kb is not None
        assert self.settings.transfer_rate_kb_per_s is not None
        work = request.size_kb / self.settings.transfer_rate_kb_per_s * SECOND
        recent = [sent for sent in self.work.get(endpoint_id, []) if sent[0] > self.now - window]
        recent.append((self.now, work))
        self.work[endpoint_id] = recent
        initial = tier.slow_start_initial_share
        share = initial + (1 - initial) * age / tier.slow_start_duration
        budget = OVERLOAD_MULTIPLE * share * MIN_LINK_TRANSFERS * window / PROXIES
        assert sum(work for _, work in recent) <= budget + 1  # 1 ns is allowed for rounding
