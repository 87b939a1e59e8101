"""The event loop: one thread that owns the router, the timers and all pending requests.

Other threads post events to its queue. The loop itself makes neither socket calls nor routing decisions.
"""

from __future__ import annotations

import queue
from collections import Counter

from olivepost import interface as api
from olivepost.proxy.action_executor import ActionExecutor
from olivepost.proxy.delay_histogram import DelayHistogram
from olivepost.proxy.event_loop_resources import EventLoopResources
from olivepost.proxy.event_queue import EventQueue, PostedEvent
from olivepost.proxy.exchange import Exchange, RequestAbandoned, RequestReceived, Response, ResponseKind
from olivepost.proxy.exchange_lifecycle import ExchangeLifecycle
from olivepost.proxy.messages import LoopEvent, StopEventLoop
from olivepost.proxy.pending_exchanges import PendingExchanges
from olivepost.proxy.process_events import ProcessEventHandler
from olivepost.proxy.stall_watch import ThreadActivity
from olivepost.proxy.timers import Timer, TimerQueue
from olivepost.proxy.upstream.request import UpstreamAborted, UpstreamCompleted, UpstreamUnsent
from olivepost.router import Router
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# A timer is counted as late if it fires later than this duration after the time at which it was due.
LATE_TIMER_AFTER: Duration = 5 * MILLISECOND


class EventLoop:
    """The event loop of one router, which dispatches events and due timers one after another.

    `run` is the main function of the event loop's thread. Only that thread calls the private methods, so they
    need no locks. Any thread may call `post` and read the counts. The thread that logs metrics calls
    `take_queue_delays` and `event_counts`. If the handling of one event or timer raises an exception, the
    exception is logged, and at most the request that the event or timer concerns fails.
    """

    def __init__(self, events: EventQueue, resources: EventLoopResources) -> None:
        self._events = events
        self._router = resources.router
        self._clock = resources.clock
        self._logger = resources.log
        self._response_cache = resources.response_cache
        self._pending = PendingExchanges(resources.max_executed_id_bytes)
        self._timers = TimerQueue(self._is_live)
        self._executor = ActionExecutor(resources, self._pending, self._timers, events.post)
        self._lifecycle = ExchangeLifecycle(resources, self._pending, self._executor)
        self._process_events = ProcessEventHandler(resources, self._lifecycle, self._executor)
        self._queue_delays = DelayHistogram()
        self._event_counts: Counter[str] = Counter()
        self.activity = ThreadActivity("event-loop")

    def post(self, event: LoopEvent) -> None:
        """Queues an event without blocking. Any thread may call this method."""
        self._events.post(event)

    @property
    def router(self) -> Router:
        """The router. Other threads may only read its counts, because the loop's thread changes it."""
        return self._router

    @property
    def timer_count(self) -> int:
        """Number of timers that are set, including stale timers, which no longer have an effect."""
        return len(self._timers)

    @property
    def pending_count(self) -> int:
        """Number of requests without a final response."""
        return len(self._pending)

    @property
    def executed_id_bytes(self) -> int:
        """Number of bytes that the ids of requests that may have been executed occupy at most."""
        return self._pending.executed_id_bytes

    def take_queue_delays(self) -> DelayHistogram:
        """Returns a histogram of the queue delays of the events that were handled since the last call.

        The queue delay of an event is the time for which the event has waited in the queue.
        """
        delays = self._queue_delays
        self._queue_delays = DelayHistogram()
        return delays

    def event_counts(self) -> dict[str, int]:
        """Returns how many events of each kind the loop has taken from the queue since the start."""
        return dict(self._event_counts)

    def run(self) -> None:
        """Handles events and timers until `StopEventLoop` arrives, and then clears the response cache."""
        is_running = True
        while is_running:
            try:
                is_running = self._run_once()
            except Exception:  # this thread must not end, because every request depends on it
                self._logger.exception("event_loop_error", kind="loop")
        self._response_cache.clear()

    def _run_once(self) -> bool:
        """Handles the next event and all due timers; returns whether the loop must go on."""
        try:
            posted_at, event = self._next_event()
        except queue.Empty:
            self._fire_due()
            return True
        now = self._clock.now()
        self.activity.begin_step(now)
        self._queue_delays.record(now - posted_at)
        self._event_counts[type(event).__name__] += 1
        if isinstance(event, StopEventLoop):
            return False
        try:
            self._handle(now, event)
        except Exception:  # the loop must go on, and the request of the failed event still gets a response
            self._logger.exception("event_loop_error", kind=type(event).__name__)
            self._fail_request_of(event)
        self._fire_due()
        return True

    # Events

    def _next_event(self) -> PostedEvent:
        """Waits for the next event; raises `queue.Empty` if a timer or the shutdown deadline is due first."""
        timeout_s = self._time_to_next_due_s()
        self.activity.end_step()
        try:
            return self._events.get(timeout_s)
        except queue.Empty:
            self.activity.begin_step(self._clock.now())
            raise

    def _handle(self, now: Instant, event: LoopEvent) -> None:
        match event:
            case RequestReceived():
                self._lifecycle.receive(now, event.exchange)
            case RequestAbandoned():
                self._lifecycle.abandon(now, event.exchange, None)
            case UpstreamCompleted():
                self._lifecycle.complete_attempt(now, event)
            case UpstreamUnsent():
                self._lifecycle.reroute(event.request)
            case UpstreamAborted():
                self._lifecycle.forward_deferred(event.request.exchange)
            case _:
                self._process_events.handle(now, event)

    def _fail_request_of(self, event: LoopEvent) -> None:
        """Fails the request that an event concerns, because the handling of the event raised an exception.

        The attempts of the request are cancelled. Has no effect if the event concerns no request.
        """
        exchange: Exchange | None = None
        if isinstance(event, (RequestReceived, RequestAbandoned)):
            exchange = event.exchange
        elif isinstance(event, (UpstreamCompleted, UpstreamUnsent)):
            exchange = event.request.exchange
        if exchange is not None:
            self._lifecycle.abandon(self._clock.now(), exchange, Response(ResponseKind.FAILED))

    # Timers

    def _time_to_next_due_s(self) -> float | None:
        """Returns the seconds until the next timer or the shutdown deadline is due, whichever is earlier.

        Returns None if there is neither a timer nor a shutdown deadline.
        """
        due_at = self._timers.next_due_at
        shutdown_at = self._lifecycle.shutdown_at
        if shutdown_at is not None and (due_at is None or shutdown_at < due_at):
            due_at = shutdown_at
        if due_at is None:
            return None
        return max(0.0, (due_at - self._clock.now()) / SECOND)

    def _fire_due(self) -> None:
        """Ends all requests if the shutdown deadline has passed, and then fires the due timers in order."""
        shutdown_at = self._lifecycle.shutdown_at
        if shutdown_at is not None:
            now = self._clock.now()
            if shutdown_at <= now:
                self._finish_all(now)
        while (due_at := self._timers.next_due_at) is not None:
            now = self._clock.now()
            if due_at > now:
                return
            self._fire_next(now)

    def _finish_all(self, now: Instant) -> None:
        try:
            self._lifecycle.finish_all(now)
        except Exception:  # the loop must continue for the remaining requests
            self._logger.exception("event_loop_error", kind="shutdown")

    def _fire_next(self, now: Instant) -> None:
        timer = self._timers.pop()
        if now - timer.due_at > LATE_TIMER_AFTER:
            self._logger.increment("late_timers")
        try:
            if timer.is_attempt_timeout:
                self._lifecycle.time_out_attempt(now, timer.timer_id)
            else:
                self._executor.execute(self._router.handle(now, api.TimerFired(timer.timer_id)))
        except Exception:  # an error while one timer is handled must not keep other timers from firing
            self._logger.exception("event_loop_error", kind="timer")

    def _is_live(self, timer: Timer) -> bool:
        """Whether the timer still has an effect.

        The timeout of an attempt has an effect if the attempt is still in flight. A timer that the router has
        set has an effect if the router still expects it.
        """
        if timer.is_attempt_timeout:
            return self._pending.attempt_of_timer(timer.timer_id) is not None
        return timer.timer_id in self._router.timers
