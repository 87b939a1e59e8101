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
from olivepost.config import MS, SECOND
from olivepost.proxy import invariants
from olivepost.proxy.clock import Clock
from olivepost.proxy.discovery.client import Heard, Told
from olivepost.proxy.event_log import Log
from olivepost.proxy.exchange import Answer, Arrived, Exchange, Left, Verdict
from olivepost.proxy.response_cache import Copies, Kept, answer_of
from olivepost.proxy.upstream.pool import Aborted, Call, Ended, Servers, Unsent, fetch_fields
from olivepost.router import Router

LATE_TIMER = 5 * MS  # a timer that fires later than this is counted
MOST_DELAYS = 100_000
VOUCHED = 2 * SECOND  # after the coordinator was last heard: less than its events take to count as told


class Stop:
    """The last event."""


@dataclass(frozen=True, slots=True)
class Ending:
    """The front ends: whatever is held then, or comes later, gets its final answer by this time."""

    by: int


@dataclass(slots=True)
class Advised:
    """What comes of the shared stores, for the router."""

    event: api.Event


class Stores(Protocol):
    """The shared stores, as the engine sees them: nothing here waits for them."""

    def consult(self, ask: api.LookUpHint, object_: str, group: int | None) -> None: ...
    def settle(self, settled: api.ReleaseLease, issued: int) -> None: ...
    def tell(
        self,
        event: api.EndpointUpdate
        | api.ReportStaleHint
        | api.RequestQuota
        | api.DonateQuota
        | api.ReportOutlier,
    ) -> None: ...
    def purged(self, purge: api.Invalidation, now: int) -> None: ...


@dataclass(slots=True, eq=False)
class Held:
    """A request that is owed an answer, and its attempts that are out."""

    exchange: Exchange
    copy: Kept | None = None  # of the front's own, when the request came
    calls: dict[int, Call] = field(default_factory=dict)
    aborting: int = 0  # attempts that are given up and may still be out, where only one may be
    next: Call | None = None  # what waits for that
    sends: int = 0
    issued: int = 0  # of its answer


Posted = Arrived | Left | Ended | Unsent | Aborted | Told | Heard | Advised | Ending | Stop


class Engine:
    """Hosts one router."""

    def __init__(self, router: Router, clock: Clock, log: Log, copies: Copies, flow: float) -> None:
        self._router, self._clock, self._log, self._copies, self._flow = router, clock, log, copies, flow
        self._alone = (
            not router.settings.allows_hedged_requests
        )  # two attempts of a request are never out together
        self._heard = 0  # when the coordinator was last heard
        self._servers: Servers
        self._stores: Stores | None = None
        self._queue: queue.SimpleQueue[tuple[int, Posted]] = queue.SimpleQueue()
        self._held: dict[str, Held] = {}
        self._timers: list[tuple[int, int, int, bool]] = []  # due, serial, token, whether it is a call's
        self._calls: dict[int, Call] = {}  # that are out, by their timer: one that has ended leaves nothing
        self._serial = 0
        self._ending = 0  # when the front gives its last answers; 0: it goes on, or
        self._over = False  # it has given them, and what comes now gets its own at once
        self._delays: list[int] = []

    def join_servers(self, servers: Servers) -> None:
        """Names the server side, before the first event."""
        self._servers = servers

    def join_stores(self, stores: Stores) -> None:
        """Names the shared stores, before the first event."""
        self._stores = stores

    def post(self, event: Posted) -> None:
        """Hands over an event, from any thread."""
        self._queue.put((self._clock.now(), event))

    @property
    def open(self) -> int:
        """Requests that are owed an answer."""
        return len(self._held)

    def delays(self) -> list[int]:
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
            if isinstance(event, Stop):
                self._copies.clear()
                return
            try:
                self._take(now, event)
            except Exception:  # one event's fault must not end the rest; its request still gets its answer
                self._log.fault("engine_fault", kind=type(event).__name__)
                self._drop(event)
            self._fire()

    def _drop(self, event: Posted) -> None:
        """After a fault: the request concerned fails, with what it has out."""
        exchange = event.exchange if isinstance(event, (Arrived, Left)) else None
        if isinstance(event, (Ended, Unsent)):
            exchange = event.call.exchange
        if exchange is not None:
            self._abandon(self._clock.now(), exchange, Answer(Verdict.FAILED))

    def _abandon(self, now: int, exchange: Exchange, answer: Answer | None) -> None:
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
                self._log.fault("engine_fault", kind="ending")
        while self._timers and self._timers[0][0] <= (now := self._clock.now()):
            due, _, token, calls = heappop(self._timers)
            if now - due > LATE_TIMER:
                self._log.count("timers_late")
            try:
                if calls:
                    self._timed_out(now, token)
                else:
                    self._do(self._router.handle(now, api.TimerFired(token)))
            except Exception:
                self._log.fault("engine_fault", kind="timer")

    def _after(self, delay: int, token: int, calls: bool = False) -> None:
        self._serial += 1
        heappush(self._timers, (self._clock.now() + delay, self._serial, token, calls))

    def _take(
        self, now: int, event: Arrived | Left | Ended | Unsent | Aborted | Told | Heard | Advised | Ending
    ) -> None:
        match event:
            case Arrived():
                self._arrive(now, event.exchange)
            case Left():
                self._abandon(now, event.exchange, None)
            case Ended():
                self._ended(now, event)
            case Unsent():
                held = self._held.get(event.call.exchange.id)
                if held and held.calls.get(event.call.number) is event.call:
                    event.call.moved = True
                    self._servers.send(event.call)
            case Aborted():
                self._go_on(event.call.exchange)
            case Heard():
                self._heard = now
            case Ending():
                self._ending = event.by
            case Told():
                self._told(now, event)
                if self._stores is not None:
                    self._share(now, self._stores, event.what)
            case Advised() if isinstance(event.event, api.Invalidation):  # as if the coordinator had told it
                self._told(now, Told(event.event, []))
            case Advised():
                self._do(self._router.handle(now, event.event))

    @staticmethod
    def _share(now: int, stores: Stores, what: api.EndpointUpdate | api.Invalidation) -> None:
        if isinstance(what, api.Invalidation):
            stores.purged(what, now)
        else:
            stores.tell(what)

    def _arrive(self, now: int, exchange: Exchange) -> None:
        if exchange.id in self._held:
            self._log.count("id_used_twice")
            exchange.close(Answer(Verdict.FAILED))
            return
        # Without word of the coordinator a purge may have come that no copy here has heard of.
        kept = self._copies.find(exchange) if self._flow and now - self._heard < VOUCHED else None
        copy = (
            api.CachedResponse(max(0, now - kept.issued), int(kept.body.length / self._flow * 1e9))
            if kept
            else None
        )
        self._held[exchange.id] = Held(exchange, kept)
        until = exchange.arrived + exchange.patience
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
            is_write=exchange.writes,
        )
        self._do(self._router.handle(now, request))

    def _told(self, now: int, event: Told) -> None:
        """The list, or a purge. What was decided before it and is not yet begun is taken back.

        A call may wait for its connection; rules 3 and 5 count its first byte, not its decision.
        """
        if isinstance(event.what, api.Invalidation):
            purge = event.what
            self._copies.purge(purge.object, purge.group, now - purge.age)
            self._do(self._router.handle(now, purge))
            back = self._withdraw(
                lambda call: (
                    call.exchange.object == purge.object
                    if purge.object
                    else call.exchange.group == purge.group
                )
            )
        else:
            self._servers.update(event.places, event.what.kind is not api.EndpointUpdateKind.INCREMENTAL)
            self._do(self._router.handle(now, event.what))
            closed = {place.id for place in event.places if place.state is not api.EndpointState.READY}
            back = self._withdraw(lambda call: bool(closed & {call.cache, call.source}))
        for call in back:
            self._ended(now, Ended(call, api.AttemptStatus.NOT_SENT, now))

    def _withdraw(self, concerns: Callable[[Call], bool]) -> list[Call]:
        """Takes back calls that nobody has begun to write."""
        waiting = [held for held in self._held.values() if held.next is not None and concerns(held.next)]
        back = [held.next for held in waiting if held.next is not None]
        for held in waiting:
            held.next = None
        return back + self._servers.withdraw(concerns)

    def _go_on(self, exchange: Exchange) -> None:
        """An attempt is no longer out: what waits for that may go."""
        held = self._held.get(exchange.id)
        if held is None or held.exchange is not exchange:
            return
        held.aborting -= 1
        call, held.next = held.next, held.next if held.aborting else None
        if call is not None and not held.aborting and held.calls.get(call.number) is call:
            self._servers.send(call)

    def _timed_out(self, now: int, timer: int) -> None:
        call = self._calls.get(timer)
        if call is not None:
            if call.link is not None:
                call.link.abort(call)
            self._ended(now, Ended(call, api.AttemptStatus.TIMED_OUT, now))

    def _ended(self, now: int, event: Ended) -> None:
        """An attempt's outcome; the first good answer goes to the client at once."""
        call, answer = event.call, event.answer
        self._calls.pop(call.timer, None)
        held = self._held.get(call.exchange.id)
        if held is None or held.calls.get(call.number) is not call:
            if answer is not None:
                answer.release()
            return
        del held.calls[call.number]
        if event.status is not api.AttemptStatus.OK:
            self._log.count(f"attempts_{event.status.name.lower()}")
        held.issued = answer.issued if answer else 0
        body = answer.body.share() if answer and answer.body else None  # for the router's word on keeping it
        if answer is not None:
            self._close(held, answer)
        took = max(0, event.at - call.sent)
        final, bare = answer is not None, answer is not None and answer.verdict is Verdict.CURRENT
        outcome = api.AttemptOutcome(
            call.exchange.id, call.number, event.status, took, final, event.note, event.shared, bare
        )
        try:
            actions = self._router.handle(now, outcome)
            if answer is not None and api.StoreResponse(call.exchange.id) in actions:
                self._copies.keep(call.exchange, answer)
        finally:
            if body is not None:
                body.release()
        self._do(actions, held)

    def _close(self, held: Held, answer: Answer | None) -> None:
        """Ends a request; its attempts that are out are the router's to cancel."""
        del self._held[held.exchange.id]
        held.exchange.close(answer)

    def _do(self, actions: list[api.Action], closed: Held | None = None) -> None:
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
                    call = held.calls.pop(action.attempt, None) if held else None
                    if call is not None:
                        self._calls.pop(call.timer, None)
                        if call.link is not None and held is not None:
                            held.aborting += call.link.abort(
                                call, self._alone and action.request_id in self._held
                            )
                case api.Reject() | api.Fail():
                    held = self._held.get(action.request_id)
                    if invariants.check(held is not None, "final_answer_is_owed") and held is not None:
                        over[action.request_id] = held
                        answer = (
                            Answer(Verdict.REFUSED, retry_after=action.retry_after)
                            if isinstance(action, api.Reject)
                            else Answer(Verdict.FAILED)
                        )
                        self._close(held, answer)
                case api.ServeCachedResponse():
                    held = self._held.get(action.request_id)
                    if invariants.check(held is not None, "final_answer_is_owed") and held and held.copy:
                        self._log.count("own_copies")
                        self._close(held, answer_of(held.exchange, held.copy))
                case api.StoreResponse():
                    pass  # done with the outcome that it goes with
                case api.Subscribe():  # the long poll is always on
                    self.post(Told(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, ()), []))
                case _ if self._stores is not None:
                    self._consult(self._stores, action, over)

    def _consult(self, stores: Stores, action: api.Action, over: dict[str, Held]) -> None:
        """What the router has for the shared stores."""
        match action:
            case api.LookUpHint():
                held = self._held.get(action.request_id)
                if invariants.check(held is not None, "consults_for_what_is_held") and held is not None:
                    stores.consult(action, held.exchange.object, held.exchange.group)
            case api.ReleaseLease():
                closed = over.get(action.request_id)
                stores.settle(action, closed.issued if closed else 0)
            case api.ReportStaleHint() | api.RequestQuota() | api.DonateQuota() | api.ReportOutlier():
                stores.tell(action)

    def _send(self, fetch: api.ForwardAttempt) -> None:
        held = self._held.get(fetch.request_id)
        if not invariants.check(held is not None, "nothing_sent_after_the_answer") or held is None:
            return
        exchange, number = held.exchange, held.sends
        held.sends += 1
        fields, now = fetch_fields(exchange, fetch), self._clock.now()
        call = Call(exchange, number, fetch.cache, fetch.source, now, fields, fetch.start_before)
        held.calls[number] = call
        self._serial += 1
        call.timer = self._serial
        self._calls[call.timer] = call
        self._after(fetch.timeout, call.timer, True)
        if held.aborting:
            held.next = call
        else:
            self._servers.send(call)
