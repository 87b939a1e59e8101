"""An emulated proxy: a router and a store coordinator that share the proxy's own clock.

`EmulatedProxy` owns both and executes their actions in virtual time. Callbacks that were scheduled before the
proxy's last restart do nothing.
"""

from __future__ import annotations

from functools import partial

from benchmarks.branch.cache import MAX_CLOCK_DRIFT_SHARE, CacheResponse
from benchmarks.branch.environment import BranchEnvironment
from benchmarks.branch.simulation import START
from olivepost import interface as api
from olivepost.router import Router
from olivepost.shared_store import messages
from olivepost.shared_store.coordinator import StoreCoordinator
from olivepost.shared_store.terms import SharingTerms
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

TICK_INTERVAL: Duration = 5 * MILLISECOND  # interval between two ticks of the store coordinator
MAX_CLOCK_OFFSET: Duration = 2 * SECOND
SEED_RANGE = 2**32
INCARNATION_BITS = 64


class EmulatedProxy:
    """One proxy of a branch. Not thread-safe; only the thread that runs the simulation uses it."""

    def __init__(self, environment: BranchEnvironment, number: int) -> None:
        self.number = number
        self.incarnation = 0  # number of times that the proxy's process was started
        self.paused_until: Instant | None = None
        self._environment = environment
        self._simulation = environment.simulation
        draw = self._simulation.draw
        self._clock_offset = draw.randrange(-MAX_CLOCK_OFFSET, MAX_CLOCK_OFFSET)
        self._clock_rate = 1 + draw.uniform(-MAX_CLOCK_DRIFT_SHARE, MAX_CLOCK_DRIFT_SHARE)
        self.restart()

    @property
    def pending_count(self) -> int:
        """Returns the number of requests without a final response."""
        return len(self.router.requests.pending)

    def clock(self, at: Instant) -> Instant:
        """Returns the time of this proxy's clock at an instant of the simulation."""
        return START + self._clock_offset + int((at - START) * self._clock_rate)

    def restart(self) -> None:
        """Replaces the process by a new one, which knows only the endpoint list and past invalidations."""
        self.incarnation += 1
        environment = self._environment
        draw = self._simulation.draw
        self.requests: dict[str, api.Request] = {}
        self.router = Router(environment.settings, draw.randrange(SEED_RANGE))
        self.coordinator: StoreCoordinator | None = None
        endpoints = environment.cache_tier.listed_endpoints()
        restored = api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, endpoints)
        self.handle_routing_event(restored)
        for group, invalidated_at in environment.cache_tier.invalidated_at.items():
            age = self._simulation.now - invalidated_at
            self.handle_routing_event(api.Invalidation(None, group, age))
        if environment.options.has_store:
            self._start_coordinator(restored)

    def _start_coordinator(self, restored: api.EndpointUpdate) -> None:
        environment = self._environment
        draw = self._simulation.draw
        terms = SharingTerms(
            proxy=f"n{self.number}",
            incarnation=f"{draw.getrandbits(INCARNATION_BITS):016x}",
            stores=tuple(environment.store_links.by_store),
            reply_timeout=environment.options.reply_timeout,
            sync_interval=environment.options.sync_interval,
        )
        self.coordinator = StoreCoordinator(terms, draw.randrange(SEED_RANGE))
        self.handle_store_event(restored)
        self._tick(self.incarnation)

    def _tick(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.handle_store_event(messages.Tick())
            self._simulation.after(TICK_INTERVAL, self, partial(self._tick, incarnation))

    def handle_routing_event(self, event: api.Event) -> None:
        """Passes an event to the router and executes the resulting actions."""
        now = self.clock(self._simulation.now)
        self._environment.counts.steps += 1
        for action in self.router.handle(now, event):
            self._execute(action)

    def handle_store_event(self, event: messages.Event) -> None:
        """Passes an event to the store coordinator, if there is one, and executes the resulting actions."""
        if self.coordinator is None:
            return
        self._environment.counts.steps += 1
        for action in self.coordinator.handle(self.clock(self._simulation.now), event):
            match action:
                case messages.StoreCommand():
                    self._environment.store_links.send(self, action)
                case messages.NotifyRouter():
                    self.handle_routing_event(action.event)
                case messages.LogEvent():
                    self._environment.log_events[action.name] += 1

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.SetTimer():
                delay = int(action.delay / self._clock_rate) + 1
                self._simulation.after(
                    delay, self, partial(self._fire_timer, self.incarnation, action.timer_id)
                )
            case api.ForwardAttempt():
                self._forward(action)
            case api.LookUpHint():
                self._environment.counts.lookups += 1
                request = self.requests[action.request_id]
                self.handle_store_event(messages.LookupRequested(action, request.object, request.group))
            case api.ReleaseLease():
                self.handle_store_event(messages.LeaseReleased(action))
            case api.ReportStaleHint() | api.RequestQuota() | api.DonateQuota() | api.ReportOutlier():
                self.handle_store_event(action)

    def _fire_timer(self, incarnation: int, timer_id: int) -> None:
        if incarnation == self.incarnation:
            self.handle_routing_event(api.TimerFired(timer_id))

    # Attempts

    def _forward(self, attempt: api.ForwardAttempt) -> None:
        """Sends an attempt to its endpoint; the response arrives after the latency that it contains."""
        request = self.requests[attempt.request_id]
        number = self.router.requests.pending[attempt.request_id].attempt_count - 1
        response = self._environment.cache_tier.respond(request, attempt)
        complete = partial(
            self._complete, self.incarnation, attempt.request_id, number, response, self._simulation.now
        )
        self._simulation.after(response.latency, self, complete)

    def _complete(
        self, incarnation: int, request_id: str, number: int, response: CacheResponse, sent_at: Instant
    ) -> None:
        if incarnation != self.incarnation or request_id not in self.router.requests.pending:
            return
        is_final = response.status is api.AttemptStatus.OK
        if is_final and number in self.router.requests.pending[request_id].in_flight:
            self._environment.counts.served += 1
        elapsed = self._simulation.now - sent_at
        self.handle_routing_event(
            api.AttemptOutcome(request_id, number, response.status, elapsed, is_final, response.cache_status)
        )
