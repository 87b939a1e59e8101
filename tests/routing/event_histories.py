"""Random sequences of input events for one router, and a checker of the router's resulting actions."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

from olivepost import interface as api
from olivepost.units import Duration, Instant
from tests.router_harness import MS, SECOND, START, RouterDriver

OptionT = TypeVar("OptionT")

ENDPOINT_IDS = ("a:1", "b:1", "p:1", "q:1", "o:1")
OTHER_IDS = ("", "unknown:1")
ENDPOINT_KINDS = {"p": "parent", "q": "parent", "o": "origin"}  # endpoint kinds by the first letter of the id
REQUEST_IDS = ("r1", "r2", "r3", "")
OBJECTS = ("x", "y", "")
GROUPS = (None, 0, 1)
# Start times of endpoints: unknown, in the past, now and in the future.
STARTS = (None, None, 0, START - SECOND, START, START + 3_600 * SECOND)
DURATIONS = (0, MS, 100 * MS, SECOND, 3 * SECOND)
WEIGHTS = (1.0, 4.0, 100.0)
AMOUNTS = (0.0, 0.001, 1.0, 50.0)
MAX_ATTEMPT_NUMBER = 6
MAX_TIMER_ID = 50
MAX_CHANGED_ENDPOINTS = 3
FULL_LIST_SHARE = 0.3  # share of endpoint updates that list all endpoints


class HistoryChecker(RouterDriver):
    """A driver that checks the router's actions and pending requests.

    The driver keeps its own set of open requests, and compares the router's pending requests with this set.
    """

    def __init__(self, settings: api.Settings, endpoints: tuple[api.EndpointMetadata, ...]) -> None:
        self.open_requests: set[str] = set()
        self.started_responses: set[str] = set()
        super().__init__(settings, endpoints)

    def handle(self, event: api.Event) -> list[api.Action]:
        """Passes one event to the router and checks the router's actions and pending requests."""
        if isinstance(event, api.Request):
            self.open_requests.add(event.id)
            self.started_responses.discard(event.id)
        if isinstance(event, api.ResponseStarted) and event.request_id in self.open_requests:
            self.started_responses.add(event.request_id)
        actions = super().handle(event)
        for action in actions:
            self._check(action)
        pending = set(self.router.requests.pending)
        if isinstance(event, (api.AttemptOutcome, api.ClientDisconnected)):
            # An outcome or a disconnect may end its request without an action, so the checker accepts that
            # the router has dropped a request.
            self.open_requests &= pending
        assert pending == self.open_requests
        return actions

    def _check(self, action: api.Action) -> None:
        match action:
            case api.ForwardAttempt():
                assert action.request_id in self.open_requests
            case api.Reject() | api.RejectIfUnsent() | api.Fail() | api.ServeCachedResponse():
                self.open_requests.remove(action.request_id)
            case api.SetTimer():
                assert action.delay >= 0


class EventHistory:
    """Random events for a router, drawn from one seeded random generator.

    Some of them are events that the program around the router should not send.
    """

    def __init__(self, seed: int, class_names: tuple[str, ...]) -> None:
        self._random_source = random.Random(seed)
        self._class_names = class_names
        self._event_factories: list[Callable[[], api.Event]] = [
            *[self._request] * 4,
            *[self._outcome] * 4,
            self._endpoint_update,
            self._invalidation,
            self._hint,
            self._quota_requested,
            self._quota_received,
            lambda: api.ResponseStarted(self._choice(REQUEST_IDS), self._attempt_number()),
            lambda: api.ClientDisconnected(self._choice(REQUEST_IDS)),
            lambda: api.TimerFired(self._random_source.randrange(-1, MAX_TIMER_ID)),
            lambda: api.StoreAvailability(self._flag()),
            lambda: api.OutlierReported(self._endpoint_id()),
            lambda: api.MemoryPressure(self._choice(tuple(api.MemoryPressureLevel))),
        ]

    def first_list(self) -> tuple[api.EndpointMetadata, ...]:
        """Returns the metadata of all endpoints, each in the state READY."""
        return tuple(self._endpoint(endpoint_id, api.EndpointState.READY) for endpoint_id in ENDPOINT_IDS)

    def play(self, checker: HistoryChecker, event_count: int) -> None:
        """Passes `event_count` random events to the checker, with time between them, and then a shutdown."""
        for _ in range(event_count):
            checker.advance(self._choice(DURATIONS) // 10)
            event = self._choice(self._event_factories)()
            if not (isinstance(event, api.Request) and event.id in checker.open_requests):
                checker.handle(event)
        checker.handle(api.Shutdown())

    def _choice(self, options: Sequence[OptionT]) -> OptionT:
        return self._random_source.choice(options)

    def _flag(self) -> bool:
        return self._random_source.random() < 0.5

    def _endpoint_id(self) -> str:
        return self._choice((*ENDPOINT_IDS, *ENDPOINT_IDS, *OTHER_IDS))

    def _attempt_number(self) -> int:
        return self._random_source.randrange(-1, MAX_ATTEMPT_NUMBER)

    def _instant(self) -> Instant:
        return self._choice((0, START - SECOND, START + SECOND, START + 100 * SECOND, START + 3_600 * SECOND))

    def _duration(self) -> Duration:
        return self._choice(DURATIONS)

    def _endpoint(self, endpoint_id: str, state: api.EndpointState) -> api.EndpointMetadata:
        kind = ENDPOINT_KINDS.get(endpoint_id[:1], "standard")
        zone = self._choice(("west", "west", "hub", ""))
        return api.EndpointMetadata(
            endpoint_id, state, kind, zone, 0, self._choice(WEIGHTS), self._choice(STARTS)
        )

    def _endpoint_update(self) -> api.EndpointUpdate:
        if self._random_source.random() < FULL_LIST_SHARE:
            return api.EndpointUpdate(self._choice(tuple(api.EndpointUpdateKind)), self.first_list())
        changed = tuple(
            self._endpoint(self._endpoint_id(), self._choice(tuple(api.EndpointState)))
            for _ in range(self._random_source.randrange(MAX_CHANGED_ENDPOINTS + 1))
        )
        return api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, changed)

    def _request(self) -> api.Request:
        cached_response = api.CachedResponse(self._duration(), self._duration()) if self._flag() else None
        return api.Request(
            self._choice(REQUEST_IDS),
            self._choice(self._class_names),
            self._choice(OBJECTS),
            self._duration(),
            size_kb=self._choice((None, 0.0, 50.0)),
            group=self._choice(GROUPS),
            is_write=self._flag(),
            cached_response=cached_response,
        )

    def _outcome(self) -> api.AttemptOutcome:
        status = self._choice(tuple(api.AttemptStatus))
        return api.AttemptOutcome(
            self._choice(REQUEST_IDS),
            self._attempt_number(),
            status,
            self._duration(),
            is_final=status is api.AttemptStatus.OK,
            cache_status=self._choice(tuple(api.CacheStatus)),
            is_repeated_loss=self._flag(),
            is_not_modified=self._flag(),
        )

    def _invalidation(self) -> api.Invalidation:
        return api.Invalidation(self._choice((None, *OBJECTS)), self._choice(GROUPS), self._duration())

    def _hint(self) -> api.CacheHint:
        cache = self._choice((None, self._endpoint_id()))
        return api.CacheHint(self._choice(REQUEST_IDS), cache, self._flag(), self._duration())

    def _quota_key(self) -> api.QuotaKey:
        if self._flag():
            return self._choice((api.RETRY_QUOTA, api.QuotaKey(api.QuotaKind.RETRY, self._endpoint_id())))
        kind = self._choice(tuple(api.QuotaKind))
        return api.QuotaKey(kind, self._endpoint_id(), self._choice(STARTS))

    def _quota_requested(self) -> api.QuotaRequested:
        transfer_id = self._random_source.randrange(10)
        return api.QuotaRequested(transfer_id, self._quota_key(), self._choice(AMOUNTS), self._instant())

    def _quota_received(self) -> api.QuotaReceived:
        return api.QuotaReceived(self._quota_key(), self._choice(AMOUNTS), self._instant())
