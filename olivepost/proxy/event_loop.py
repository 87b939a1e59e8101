"""The engine: one thread that owns the router, the timers and all held requests.

Others post events to its queue; it makes no call on a socket and takes no decision of its own.
"""

from __future__ import annotations

import queue
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Protocol

from olivepost import interface as api
from olivepost.proxy import invariants
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.messages import DiscoveryEvent, DiscoveryHeartbeat
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.exchange import Exchange, RequestAbandoned, RequestReceived, Response, ResponseKind
from olivepost.proxy.response_cache import CacheEntry, ResponseCache, response_from
from olivepost.proxy.upstream.command import command_fields
from olivepost.proxy.upstream.pool import UpstreamPool
from olivepost.proxy.upstream.request import (
    UpstreamAborted,
    UpstreamCompleted,
    UpstreamRequest,
    UpstreamUnsent,
)
from olivepost.router import Router
from olivepost.units import MILLISECOND, SECOND

LATE_TIMER = 5 * MILLISECOND  # a timer that fires later than this is counted
MOST_DELAYS = 100_000
VOUCHED = 2 * SECOND  # after the coordinator was last heard: less than its events take to count as told


class StopEventLoop:
    """The last event."""


@dataclass(frozen=True, slots=True)
class ShutdownDeadline:
    """The front ends: whatever is held then, or comes later, gets its final answer by this time."""

    deadline: int


@dataclass(slots=True)
class StoreEvent:
    """What comes of the shared stores, for the router."""

    event: api.Event


class SharedStore(Protocol):
    """The shared stores, as the engine sees them: nothing here waits for them."""

    def look_up(self, ask: api.LookUpHint, object_: str, group: int | None) -> None: ...
    def release_lease(self, settled: api.ReleaseLease, issued: int) -> None: ...
    def notify(
        self,
        event: api.EndpointUpdate
        | api.ReportStaleHint
        | api.RequestQuota
        | api.DonateQuota
        | api.ReportOutlier,
    ) -> None: ...
    def invalidate(self, purge: api.Invalidation, now: int) -> None: ...


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is owed an answer, and its attempts that are out."""

    exchange: Exchange
    cache_entry: CacheEntry | None = None  # of the front's own, when the request came
    requests: dict[int, UpstreamRequest] = field(default_factory=dict)
    aborts_in_flight: int = 0  # attempts that are given up and may still be out, where only one may be
    waiting: UpstreamRequest | None = None  # what waits for that
    attempt_count: int = 0
    generated_at: int = 0  # of its answer


LoopEvent = (
    RequestReceived
    | RequestAbandoned
    | UpstreamCompleted
    | UpstreamUnsent
    | UpstreamAborted
    | DiscoveryEvent
    | DiscoveryHeartbeat
    | StoreEvent
    | ShutdownDeadline
    | StopEventLoop
)


class EventLoop:
    """Hosts one router."""

    def __init__(
        self, router: Router, clock: Clock, log: EventLog, copies: ResponseCache, flow: float
    ) -> None:
        self._router, self._clock, self._log, self._copies, self._flow = router, clock, log, copies, flow
        self._alone = (
            not router.settings.allows_hedged_requests
        )  # two attempts of a request are never out together
        self._heard = 0  # when the coordinator was last heard
        self._servers: UpstreamPool
        self._stores: SharedStore | None = None
        self._queue: queue.SimpleQueue[tuple[int, LoopEvent]] = queue.SimpleQueue()
        self._held: dict[str, PendingRequest] = {}
        self._timers: list[tuple[int, int, int, bool]] = []  # due, serial, token, whether it is a call's
        self._calls: dict[
            int, UpstreamRequest
        ] = {}  # that are out, by their timer: one that has ended leaves nothing
        self._serial = 0
        self._ending = 0  # when the front gives its last answers; 0: it goes on, or
        self._over = False  # it has given them, and what comes now gets its own at once
        self._delays: list[int] = []

    def attach_upstream(self, servers: UpstreamPool) -> None:
        """Names the server side, before the first event."""
        self._servers = servers

    def attach_shared_store(self, stores: SharedStore) -> None:
        """Names the shared stores, before the first event."""
        self._stores = stores

    def post(self, event: LoopEvent) -> None:
        """Hands over an event, from any thread."""
        self._queue.put((self._clock.now(), event))

    @property
    def pending_count(self) -> int:
        """Requests that are owed an answer."""
        return len(self._held)

    def take_queue_delays(self) -> list[int]:
        """How long events have waited since this was last asked, sorted."""
        taken, self._delays = self._delays, []
        return sorted(taken)

    def run(self) -> None:
        """Handles events and timers until told to stop."""
        while True:
            dues = [due for due in (self._timers[0][0] if self._timers else 0, self._ending) if due]
            wait = max(0.0, (min(dues) - self._clock.now()) / 1e9) if dues else None
            try:
                posted, event = self._queue.get(timeout=wait)
            except queue.Empty:
                self._fire()
                continue
            now = self._clock.now()
            if len(self._delays) < MOST_DELAYS:
                self._delays.append(now - posted)
            if isinstance(event, StopEventLoop):
                self._copies.clear()
                return
            try:
                self._take(now, event)
            except Exception:  # one event's fault must not end the rest; its request still gets its answer
                self._log.exception("engine_fault", kind=type(event).__name__)
                self._drop(event)
            self._fire()

    def _drop(self, event: LoopEvent) -> None:
        """After a fault: the request concerned fails, with what it has out."""
        exchange = event.exchange if isinstance(event, (RequestReceived, RequestAbandoned)) else None
        if isinstance(event, (UpstreamCompleted, UpstreamUnsent)):
            exchange = event.request.exchange
        if exchange is not None:
            self._abandon(self._clock.now(), exchange, Response(ResponseKind.FAILED))

    def _abandon(self, now: int, exchange: Exchange, answer: Response | None) -> None:
        """Ends a request, if it is still held, and has the router give up what it has out."""
        held = self._held.get(exchange.id)
        if held and held.exchange is exchange:
            self._close(held, answer)
            self._do(self._router.handle(now, api.ClientDisconnected(exchange.id)), held)

    def _fire(self) -> None:
        """Fires what has come due."""
        if 0 < self._ending <= (now := self._clock.now()):
            self._ending, self._over = 0, True
            try:
                self._do(self._router.handle(now, api.Shutdown()))
            except Exception:
                self._log.exception("engine_fault", kind="ending")
        while self._timers and self._timers[0][0] <= (now := self._clock.now()):
            due, _, token, calls = heappop(self._timers)
            if now - due > LATE_TIMER:
                self._log.increment("timers_late")
            try:
                if calls:
                    self._timed_out(now, token)
                else:
                    self._do(self._router.handle(now, api.TimerFired(token)))
            except Exception:
                self._log.exception("engine_fault", kind="timer")

    def _after(self, delay: int, token: int, calls: bool = False) -> None:
        self._serial += 1
        heappush(self._timers, (self._clock.now() + delay, self._serial, token, calls))

    def _take(
        self,
        now: int,
        event: RequestReceived
        | RequestAbandoned
        | UpstreamCompleted
        | UpstreamUnsent
        | UpstreamAborted
        | DiscoveryEvent
        | DiscoveryHeartbeat
        | StoreEvent
        | ShutdownDeadline,
    ) -> None:
        match event:
            case RequestReceived():
                self._arrive(now, event.exchange)
            case RequestAbandoned():
                self._abandon(now, event.exchange, None)
            case UpstreamCompleted():
                self._ended(now, event)
            case UpstreamUnsent():
                held = self._held.get(event.request.exchange.id)
                if held and held.requests.get(event.request.number) is event.request:
                    event.request.is_rerouted = True
                    self._servers.forward(event.request)
            case UpstreamAborted():
                self._go_on(event.request.exchange)
            case DiscoveryHeartbeat():
                self._heard = now
            case ShutdownDeadline():
                self._ending = event.deadline
            case DiscoveryEvent():
                self._told(now, event)
                if self._stores is not None:
                    self._share(now, self._stores, event.change)
            case StoreEvent() if isinstance(
                event.event, api.Invalidation
            ):  # as if the coordinator had told it
                self._told(now, DiscoveryEvent(event.event, []))
            case StoreEvent():
                self._do(self._router.handle(now, event.event))

    @staticmethod
    def _share(now: int, stores: SharedStore, what: api.EndpointUpdate | api.Invalidation) -> None:
        if isinstance(what, api.Invalidation):
            stores.invalidate(what, now)
        else:
            stores.notify(what)

    def _arrive(self, now: int, exchange: Exchange) -> None:
        if exchange.id in self._held:
            self._log.increment("id_used_twice")
            exchange.close(Response(ResponseKind.FAILED))
            return
        # Without word of the coordinator a purge may have come that no copy here has heard of.
        kept = self._copies.get(exchange) if self._flow and now - self._heard < VOUCHED else None
        copy = (
            api.CachedResponse(max(0, now - kept.generated_at), int(kept.body.length / self._flow * 1e9))
            if kept
            else None
        )
        self._held[exchange.id] = PendingRequest(exchange, kept)
        until = exchange.received_at + exchange.timeout
        until = now if self._over else min(until, self._ending or until)
        ttl = max(0, until - now)
        request = api.Request(
            exchange.id,
            exchange.class_name,
            exchange.object,
            ttl,
            group=exchange.group,
            part=exchange.part,
            cached_response=copy,
            is_write=exchange.is_write,
        )
        self._do(self._router.handle(now, request))

    def _told(self, now: int, event: DiscoveryEvent) -> None:
        """The list, or a purge. What was decided before it and is not yet begun is taken back.

        A call may wait for its connection; rules 3 and 5 count its first byte, not its decision.
        """
        if isinstance(event.change, api.Invalidation):
            purge = event.change
            self._copies.invalidate(purge.object, purge.group, now - purge.age)
            self._do(self._router.handle(now, purge))
            back = self._withdraw(
                lambda call: (
                    call.exchange.object == purge.object
                    if purge.object
                    else call.exchange.group == purge.group
                )
            )
        else:
            self._servers.update(event.addresses, event.change.kind is not api.EndpointUpdateKind.INCREMENTAL)
            self._do(self._router.handle(now, event.change))
            closed = {place.id for place in event.addresses if place.state is not api.EndpointState.READY}
            back = self._withdraw(lambda call: bool(closed & {call.cache, call.source}))
        for call in back:
            self._ended(now, UpstreamCompleted(call, api.AttemptStatus.NOT_SENT, now))

    def _withdraw(self, concerns: Callable[[UpstreamRequest], bool]) -> list[UpstreamRequest]:
        """Takes back calls that nobody has begun to write."""
        waiting = [
            held for held in self._held.values() if held.waiting is not None and concerns(held.waiting)
        ]
        back = [held.waiting for held in waiting if held.waiting is not None]
        for held in waiting:
            held.waiting = None
        return back + self._servers.withdraw(concerns)

    def _go_on(self, exchange: Exchange) -> None:
        """An attempt is no longer out: what waits for that may go."""
        held = self._held.get(exchange.id)
        if held is None or held.exchange is not exchange:
            return
        held.aborts_in_flight -= 1
        call, held.waiting = held.waiting, held.waiting if held.aborts_in_flight else None
        if call is not None and not held.aborts_in_flight and held.requests.get(call.number) is call:
            self._servers.forward(call)

    def _timed_out(self, now: int, timer: int) -> None:
        call = self._calls.get(timer)
        if call is not None:
            if call.connection is not None:
                call.connection.abort(call)
            self._ended(now, UpstreamCompleted(call, api.AttemptStatus.TIMED_OUT, now))

    def _ended(self, now: int, event: UpstreamCompleted) -> None:
        """An attempt's outcome; the first good answer goes to the client at once."""
        call, answer = event.request, event.response
        self._calls.pop(call.timer_id, None)
        held = self._held.get(call.exchange.id)
        if held is None or held.requests.get(call.number) is not call:
            if answer is not None:
                answer.release()
            return
        del held.requests[call.number]
        if event.status is not api.AttemptStatus.OK:
            self._log.increment(f"attempts_{event.status.name.lower()}")
        held.generated_at = answer.generated_at if answer else 0
        body = answer.body.share() if answer and answer.body else None  # for the router's word on keeping it
        if answer is not None:
            self._close(held, answer)
        took = max(0, event.completed_at - call.forwarded_at)
        final, bare = answer is not None, answer is not None and answer.kind is ResponseKind.NOT_MODIFIED
        outcome = api.AttemptOutcome(
            call.exchange.id,
            call.number,
            event.status,
            took,
            final,
            event.cache_status,
            event.is_repeated_loss,
            bare,
        )
        try:
            actions = self._router.handle(now, outcome)
            if answer is not None and api.StoreResponse(call.exchange.id) in actions:
                self._copies.store(call.exchange, answer)
        finally:
            if body is not None:
                body.release()
        self._do(actions, held)

    def _close(self, held: PendingRequest, answer: Response | None) -> None:
        """Ends a request; its attempts that are out are the router's to cancel."""
        del self._held[held.exchange.id]
        held.exchange.close(answer)

    def _do(self, actions: list[api.Action], closed: PendingRequest | None = None) -> None:
        """Carries out actions, in order."""
        over = {closed.exchange.id: closed} if closed else {}
        for action in actions:
            match action:
                case api.SetTimer():
                    self._after(action.delay, action.timer_id)
                case api.ForwardAttempt():
                    self._send(action)
                case api.CancelAttempt():
                    held = self._held.get(action.request_id) or over.get(action.request_id)
                    call = held.requests.pop(action.attempt, None) if held else None
                    if call is not None:
                        self._calls.pop(call.timer_id, None)
                        if call.connection is not None and held is not None:
                            held.aborts_in_flight += call.connection.abort(
                                call, self._alone and action.request_id in self._held
                            )
                case api.Reject() | api.Fail():
                    held = self._held.get(action.request_id)
                    if invariants.check(held is not None, "final_answer_is_owed") and held is not None:
                        over[action.request_id] = held
                        answer = (
                            Response(ResponseKind.REJECTED, retry_after=action.retry_after)
                            if isinstance(action, api.Reject)
                            else Response(ResponseKind.FAILED)
                        )
                        self._close(held, answer)
                case api.ServeCachedResponse():
                    held = self._held.get(action.request_id)
                    if (
                        invariants.check(held is not None, "final_answer_is_owed")
                        and held
                        and held.cache_entry
                    ):
                        self._log.increment("own_copies")
                        self._close(held, response_from(held.exchange, held.cache_entry))
                case api.StoreResponse():
                    pass  # done with the outcome that it goes with
                case api.Subscribe():  # the long poll is always on
                    self.post(DiscoveryEvent(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, ()), []))
                case _ if self._stores is not None:
                    self._consult(self._stores, action, over)

    def _consult(self, stores: SharedStore, action: api.Action, over: dict[str, PendingRequest]) -> None:
        """What the router has for the shared stores."""
        match action:
            case api.LookUpHint():
                held = self._held.get(action.request_id)
                if invariants.check(held is not None, "consults_for_what_is_held") and held is not None:
                    stores.look_up(action, held.exchange.object, held.exchange.group)
            case api.ReleaseLease():
                closed = over.get(action.request_id)
                stores.release_lease(action, closed.generated_at if closed else 0)
            case api.ReportStaleHint() | api.RequestQuota() | api.DonateQuota() | api.ReportOutlier():
                stores.notify(action)

    def _send(self, fetch: api.ForwardAttempt) -> None:
        held = self._held.get(fetch.request_id)
        if not invariants.check(held is not None, "nothing_sent_after_the_answer") or held is None:
            return
        exchange, number = held.exchange, held.attempt_count
        held.attempt_count += 1
        fields, now = command_fields(exchange, fetch), self._clock.now()
        call = UpstreamRequest(exchange, number, fetch.cache, fetch.source, now, fields, fetch.start_before)
        held.requests[number] = call
        self._serial += 1
        call.timer_id = self._serial
        self._calls[call.timer_id] = call
        self._after(fetch.timeout, call.timer_id, True)
        if held.aborts_in_flight:
            held.waiting = call
        else:
            self._servers.forward(call)
