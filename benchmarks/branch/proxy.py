"""An emulated proxy: a router and a store coordinator on a clock of its own."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from benchmarks.branch.cache import MAX_CLOCK_DRIFT, CacheResponse
from benchmarks.branch.simulation import START
from olivepost import interface as api
from olivepost.router import Router
from olivepost.shared_store import messages
from olivepost.shared_store.coordinator import StoreCoordinator
from olivepost.shared_store.terms import SharingTerms
from olivepost.units import MILLISECOND, SECOND

if TYPE_CHECKING:
    from benchmarks.branch.branch import Branch

TICK_INTERVAL = 5 * MILLISECOND  # of the store coordinator
MAX_CLOCK_OFFSET = 2 * SECOND
SEED_RANGE = 2**32


class EmulatedProxy:
    """One proxy of a branch."""

    def __init__(self, branch: Branch, number: int) -> None:
        self.branch = branch
        self.number = number
        self.incarnation = 0  # how often its process has started
        self.paused_until = 0
        self._clock_offset = branch.draw.randrange(-MAX_CLOCK_OFFSET, MAX_CLOCK_OFFSET)
        self._clock_rate = 1 + branch.draw.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        self.restart()

    @property
    def pending_count(self) -> int:
        """Requests that this proxy owes a response."""
        return len(self.router.requests.pending)

    def clock(self, at: int) -> int:
        """What this proxy's clock shows at a time of the simulation."""
        return START + self._clock_offset + int((at - START) * self._clock_rate)

    def restart(self) -> None:
        """Starts a new process under the name: nothing of the one before is known."""
        self.incarnation += 1
        branch = self.branch
        self.requests: dict[str, api.Request] = {}
        self.router = Router(branch.settings, branch.draw.randrange(SEED_RANGE))
        self.coordinator: StoreCoordinator | None = None
        restored = api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, branch.endpoints())
        self.handle_routing_event(restored)
        for group, invalidated_at in branch.cache_tier.invalidated_at.items():
            self.handle_routing_event(api.Invalidation(None, group, branch.now - invalidated_at))
        if branch.options.has_store:
            self._start_sharing(restored)

    def _start_sharing(self, restored: api.EndpointUpdate) -> None:
        branch = self.branch
        terms = SharingTerms(
            proxy=f"n{self.number}",
            incarnation=f"{branch.draw.getrandbits(64):016x}",
            stores=tuple(branch.stores),
            reply_timeout=branch.options.reply_timeout,
            sync_interval=branch.options.sync_interval,
        )
        self.coordinator = StoreCoordinator(terms, branch.draw.randrange(SEED_RANGE))
        self.handle_store_event(restored)
        self._tick(self.incarnation)

    def _tick(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.handle_store_event(messages.Tick())
            self.branch.after(TICK_INTERVAL, self, partial(self._tick, incarnation))

    def handle_routing_event(self, event: api.Event) -> None:
        """Hands an event to the router and carries out its actions."""
        now = self.clock(self.branch.now)
        self.branch.counts.steps += 1
        for action in self.router.handle(now, event):
            self._act(action)

    def handle_store_event(self, event: messages.Event) -> None:
        """Hands an event to the store coordinator and carries out its actions."""
        if self.coordinator is None:
            return
        self.branch.counts.steps += 1
        for action in self.coordinator.handle(self.clock(self.branch.now), event):
            match action:
                case messages.StoreCommand():
                    self.branch.store_links.send(self, action)
                case messages.NotifyRouter():
                    self.handle_routing_event(action.event)
                case messages.LogEvent():
                    self.branch.log_events[action.name] += 1

    def _act(self, action: api.Action) -> None:
        match action:
            case api.SetTimer():
                delay = int(action.delay / self._clock_rate) + 1
                self.branch.after(delay, self, partial(self._fire, self.incarnation, action.timer_id))
            case api.ForwardAttempt():
                self._forward(action)
            case api.LookUpHint():
                self.branch.counts.lookups += 1
                request = self.requests[action.request_id]
                self.handle_store_event(messages.LookupRequested(action, request.object, request.group))
            case api.ReleaseLease():
                self.handle_store_event(messages.LeaseReleased(action))
            case api.ReportStaleHint() | api.RequestQuota() | api.DonateQuota() | api.ReportOutlier():
                self.handle_store_event(action)

    def _fire(self, incarnation: int, timer_id: int) -> None:
        if incarnation == self.incarnation:
            self.handle_routing_event(api.TimerFired(timer_id))

    # Attempts

    def _forward(self, attempt: api.ForwardAttempt) -> None:
        """Sends an attempt to its cache, which answers after its latency."""
        request = self.requests[attempt.request_id]
        number = self.router.requests.pending[attempt.request_id].attempt_count - 1
        response = self.branch.cache_tier.respond(request, attempt)
        complete = partial(
            self._complete, self.incarnation, attempt.request_id, number, response, self.branch.now
        )
        self.branch.after(response.latency, self, complete)

    def _complete(
        self, incarnation: int, request_id: str, number: int, response: CacheResponse, sent_at: int
    ) -> None:
        if incarnation != self.incarnation or request_id not in self.router.requests.pending:
            return
        is_final = response.status is api.AttemptStatus.OK
        if is_final and number in self.router.requests.pending[request_id].in_flight:
            self.branch.counts.served += 1
        elapsed = self.branch.now - sent_at
        self.handle_routing_event(
            api.AttemptOutcome(request_id, number, response.status, elapsed, is_final, response.cache_status)
        )
